//! Relays a stream of events and resumes it at another group when it breaks.

use std::pin::Pin;

use bytes::Bytes;
use futures_lite::{future, stream};
use http::{Response, StatusCode};
use tanagerhub_proxy::{
    BodyError, IncompleteBody, Reservation, ResponseBody, stream_body, strip_hop_headers,
};
use tanagerhub_traffic::{AttemptEvent, EventRelay, RelayError};

use crate::gateway::attempt::{AttemptResponse, Received, RunningAttempt, StartedStream};
use crate::gateway::attempt_error::AttemptError;
use crate::gateway::exchange::{Exchange, LateCause};
use crate::gateway::failure::Failure;
use crate::gateway::memory::{CallMemory, EVENT_BYTES};

/// A stream that is being relayed to its caller.
pub(crate) struct Streaming {
    exchange: Exchange,
    started: StartedStream,
    relay: EventRelay,
    status: StatusCode,
    /// Completes at the deadline of the request.
    expiry: Pin<Box<dyn Future<Output = ()> + Send>>,
    /// Whether a member of the group was found unreachable and nothing has arrived since.
    alarmed: bool,
    /// The attempt that resumes the stream at another group while this one is silent.
    takeover: Option<RunningAttempt>,
    done: bool,
    /// The memory for events that exceed the buffers of the request.
    large_events: Option<Reservation>,
}

/// The next event of a stream.
enum Step {
    Chunk(Bytes),
    End,
    Broken(BreakCause),
    /// A member of the group is unreachable.
    Silent,
    /// The attempt that takes over has ended or has a response.
    TakenOver(Box<Result<Received, AttemptError>>),
    Expired,
}

/// The reason why a stream can't continue at its group.
enum BreakCause {
    Body(BodyError),
    Relay(RelayError),
    Silent,
}

impl Streaming {
    /// Returns the response that relays a started stream.
    pub(crate) fn respond(
        mut exchange: Exchange,
        started: StartedStream,
    ) -> Response<ResponseBody> {
        exchange.streaming = true;
        let clock = exchange.frontend.clock.clone();
        let took = clock.now().since(exchange.call.arrived);
        exchange.frontend.metrics.first_byte(took);
        let left = exchange.call.deadline.since(clock.now());
        let mut headers = started.headers.clone();
        strip_hop_headers(&mut headers);
        headers.remove(http::header::CONTENT_LENGTH);
        let status = started.status;
        let streaming = Self {
            large_events: exchange.call.memory.as_ref().map(CallMemory::large_events),
            relay: EventRelay::framed_by_body(exchange.call.last_event),
            exchange,
            started,
            status,
            expiry: Box::pin(async move { clock.sleep(left).await }),
            alarmed: false,
            takeover: None,
            done: false,
        };
        let events = stream::unfold(streaming, Self::next);
        let mut response = Response::new(stream_body(events));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Returns the next complete events, or `None` after the last one.
    async fn next(mut self) -> Option<(Result<Bytes, IncompleteBody>, Self)> {
        if self.done {
            return None;
        }
        loop {
            let broken = match self.step().await {
                Step::Chunk(chunk) => match self.relay_chunk(&chunk) {
                    Ok(events) if events.is_empty() => continue,
                    Ok(events) => return Some((Ok(events), self)),
                    Err(error) => BreakCause::Relay(error),
                },
                Step::End => match self.relay.end() {
                    Ok(()) => {
                        self.finish();
                        return None;
                    }
                    Err(error) => BreakCause::Relay(error),
                },
                Step::Silent => {
                    self.alarmed = true;
                    let (dispatch, tokens) = (self.started.dispatch, self.relay.tokens());
                    self.takeover = self.exchange.take_over(dispatch, LateCause::Silent, tokens);
                    continue;
                }
                Step::TakenOver(result) => {
                    self.finish_takeover(*result);
                    continue;
                }
                Step::Broken(broken) => broken,
                Step::Expired => {
                    self.abort("deadline passed");
                    return Some((Err(IncompleteBody), self));
                }
            };
            if self.resume_elsewhere(broken).await.is_none() {
                return Some((Err(IncompleteBody), self));
            }
        }
    }

    async fn step(&mut self) -> Step {
        let first = std::mem::take(&mut self.started.first);
        if !first.is_empty() {
            return Step::Chunk(first);
        }
        let dispatch = self.started.dispatch;
        let StartedStream { body, watch, .. } = &mut self.started;
        let may_move = self.takeover.is_none() && self.exchange.call.is_repeatable();
        let alarmed = self.alarmed;
        let clock = &self.exchange.frontend.clock;
        let chunk = async {
            match body.next().await {
                Ok(Some(chunk)) => Step::Chunk(chunk),
                Ok(None) => Step::End,
                Err(error) => Step::Broken(BreakCause::Body(error)),
            }
        };
        let taken_over = async {
            match &mut self.takeover {
                Some(attempt) => Step::TakenOver(Box::new(attempt.response.as_mut().await)),
                None => future::pending().await,
            }
        };
        let silent = async {
            if !may_move {
                future::pending::<()>().await;
            }
            if alarmed {
                clock.sleep(self.exchange.move_poll_period(dispatch)).await;
            } else {
                watch.wait_for_alarm().await;
            }
            Step::Silent
        };
        let expired = async {
            self.expiry.as_mut().await;
            Step::Expired
        };
        future::or(chunk, future::or(taken_over, future::or(silent, expired))).await
    }

    /// Adds a chunk and returns the events that it completes.
    fn relay_chunk(&mut self, chunk: &[u8]) -> Result<Bytes, RelayError> {
        if std::mem::take(&mut self.alarmed) {
            // The group still sends data, so the alarm was false.
            self.started.watch.rearm();
        }
        if self.takeover.take().is_some() {
            self.exchange.cancel_others(self.started.dispatch);
        }
        self.started
            .watch
            .record_activity(self.exchange.frontend.clock.now());
        let mut events = Vec::with_capacity(chunk.len());
        self.relay.push(chunk, &mut events)?;
        if let Some(large_events) = &mut self.large_events {
            let held = (events.capacity() + self.relay.partial_bytes()) as u64;
            large_events.record(held.saturating_sub(EVENT_BYTES));
        }
        Ok(events.into())
    }

    /// Continues the stream at the group that takes over, if its response can be used.
    fn finish_takeover(&mut self, result: Result<Received, AttemptError>) {
        let Some(attempt) = self.takeover.take() else {
            return;
        };
        let silent = self.started.dispatch;
        let response = self
            .exchange
            .taken_over(silent, LateCause::Silent, attempt, result);
        if let Some(AttemptResponse::Stream(started)) = response {
            self.log_break(&BreakCause::Silent);
            self.continue_with(*started);
        }
    }

    fn continue_with(&mut self, started: StartedStream) {
        self.relay.resume();
        self.started = started;
        self.alarmed = false;
    }

    /// Resumes the stream at another group; returns `None` if that is impossible.
    async fn resume_elsewhere(&mut self, cause: BreakCause) -> Option<()> {
        self.log_break(&cause);
        match self.resume(&cause).await {
            Ok(AttemptResponse::Stream(started)) => {
                self.continue_with(*started);
                Some(())
            }
            Ok(AttemptResponse::Buffered(..)) => {
                self.abort("a backend server refused to resume the stream")
            }
            Err(failure) => self.abort(&failure.reason),
        }
    }

    /// Reports the end of the attempt, and waits for the response of the one that follows.
    async fn resume(&mut self, cause: &BreakCause) -> Result<AttemptResponse, Failure> {
        let (dispatch, tokens) = (self.started.dispatch, self.relay.tokens());
        self.exchange.report(dispatch, AttemptEvent::Token(tokens));
        let next = self.exchange.report(dispatch, cause.event());
        let next = match self.takeover.take() {
            Some(attempt) => match self.exchange.follow(attempt, tokens).await? {
                Ok(response) => return Ok(response),
                Err(next) => next,
            },
            None => next,
        };
        let decision = self.exchange.decision_with_memory(&next)?;
        self.exchange.start(decision, tokens).await
    }

    fn log_break(&self, cause: &BreakCause) {
        let StartedStream {
            dispatch, watch, ..
        } = &self.started;
        let now = self.exchange.frontend.clock.now();
        log::info!(
            request = self.exchange.call.id.as_str(),
            group:% = dispatch.group,
            epoch = dispatch.epoch.0,
            fingerprint:% = format_args!("{:016x}", self.exchange.call.fingerprint),
            parts = self.exchange.call.part_list().as_str(),
            event = self.relay.tokens(),
            cause = cause.description().as_str(),
            silent_ms = now.since(watch.last_activity()).as_millis();
            "stream broke"
        );
        self.exchange.frontend.metrics.attempt("stream_broke");
    }

    fn finish(&mut self) {
        if self.takeover.take().is_some() {
            self.exchange.cancel_others(self.started.dispatch);
        }
        let tokens = self.relay.tokens();
        let event = AttemptEvent::Finished { tokens };
        self.exchange.report(self.started.dispatch, event);
        self.exchange.log_end(self.status, "streamed", true);
    }

    /// Logs the end of an incomplete stream and returns `None`. The response then ends with
    /// [`IncompleteBody`], so that the caller can't mistake it for a complete one.
    fn abort(&mut self, reason: &str) -> Option<()> {
        self.done = true;
        self.exchange.log_end(self.status, reason, false);
        None
    }
}

impl BreakCause {
    const fn event(&self) -> AttemptEvent {
        match self {
            Self::Body(_) | Self::Relay(_) => AttemptEvent::Broke,
            Self::Silent => AttemptEvent::Silent,
        }
    }

    fn description(&self) -> String {
        match self {
            Self::Body(error) => error.to_string(),
            Self::Relay(error) => error.to_string(),
            Self::Silent => "all streams of the group are silent".to_owned(),
        }
    }
}
