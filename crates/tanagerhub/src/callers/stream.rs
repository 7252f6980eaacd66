//! Relays a stream of tokens to the caller; another backend server may continue it.

use bytes::Bytes;
use futures_lite::future;
use tanagerhub_traffic::{AttemptEvent, AttemptKey, Dispatch, EventRelay, Refusal};
use tanagerhub_wire::backend::{BackendBody, BodyError};
use tanagerhub_wire::callers::resume_body;
use tanagerhub_wire::http::ResponseSender;

use super::generated_text::GeneratedText;
use super::model::is_event_stream;
use crate::refusal::error_response;
use crate::request_run::{RequestRun, StartedResponse};

/// A streamed response that is being relayed to the caller.
#[derive(Debug)]
pub(super) struct StreamRelay {
    run: RequestRun,
    body: Bytes,
    events: EventRelay,
    text: GeneratedText,
}

/// How one attempt's part of the response ended.
enum AttemptEnd {
    /// The response is complete.
    Complete,
    /// The caller disconnected.
    CallerDisconnected,
    /// Another attempt has to supply the rest.
    Resume(ResumeCause),
}

/// Why another attempt has to supply the rest of a response.
enum ResumeCause {
    /// The backend server failed.
    Broken(BodyError),
    /// The backend server is slow, and this dispatch replaces it.
    Moved(Dispatch),
}

impl StreamRelay {
    /// Creates the relay; `body` is the request body as it is sent to engines.
    pub(super) fn new(run: RequestRun, body: Bytes) -> Self {
        Self {
            run,
            body,
            events: EventRelay::default(),
            text: GeneratedText::default(),
        }
    }

    /// Relays the response until it is complete, fails with an error event, or the caller
    /// disconnects.
    pub(super) async fn run(mut self, mut started: StartedResponse, sender: ResponseSender) {
        loop {
            let attempt = started.dispatch.attempt;
            match self.relay_attempt(started, &sender).await {
                AttemptEnd::Complete => {
                    let tokens = self.events.tokens();
                    self.run.report(attempt, AttemptEvent::Finished { tokens });
                    let _: Result<(), _> = sender.finish().await;
                    return;
                }
                AttemptEnd::CallerDisconnected => {
                    self.run.report(attempt, AttemptEvent::CallerLeft);
                    return;
                }
                AttemptEnd::Resume(cause) => {
                    match self.resume_elsewhere(attempt, cause, &sender).await {
                        Some(Ok(next_started)) => started = next_started,
                        Some(Err(refusal)) => return send_error_and_abort(&refusal, sender).await,
                        None => return,
                    }
                }
            }
        }
    }

    /// Starts an attempt for the rest of the response; `None` when the caller has disconnected.
    async fn resume_elsewhere(
        &mut self,
        attempt: AttemptKey,
        cause: ResumeCause,
        sender: &ResponseSender,
    ) -> Option<Result<StartedResponse, Refusal>> {
        self.events.resume();
        let body = resume_body(&self.body, self.text.as_str());
        let start = async {
            Some(match cause {
                ResumeCause::Broken(error) => self.run.restart(attempt, &error, body).await,
                ResumeCause::Moved(dispatch) => self.run.resume(dispatch, body).await,
            })
        };
        let caller_disconnected = async {
            sender.disconnected().await;
            None
        };
        future::or(caller_disconnected, start).await
    }

    /// Relays the body of one attempt.
    async fn relay_attempt(
        &mut self,
        started: StartedResponse,
        sender: &ResponseSender,
    ) -> AttemptEnd {
        let attempt = started.dispatch.attempt;
        let address = started.dispatch.address;
        if !is_event_stream(&started) {
            let reason = format!("{} is no continuation", started.response.status);
            return AttemptEnd::Resume(ResumeCause::Broken(BodyError::Malformed {
                address,
                reason,
            }));
        }
        let mut body = started.response.body;
        let mut out = Vec::new();
        loop {
            let Some(chunk) = next_chunk(&mut body, sender).await else {
                return AttemptEnd::CallerDisconnected;
            };
            let chunk = match chunk {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return self.check_end(address),
                Err(error) => return AttemptEnd::Resume(ResumeCause::Broken(error)),
            };
            let tokens_before = self.events.tokens();
            let pushed = self.events.push(&chunk, &mut out);
            self.text.push(&out);
            if !out.is_empty() && sender.send(std::mem::take(&mut out).into()).await.is_err() {
                return AttemptEnd::CallerDisconnected;
            }
            let tokens = self.events.tokens();
            if tokens > tokens_before
                && !self.events.is_done()
                && let Some(dispatch) = self.run.report(attempt, AttemptEvent::Token(tokens))
            {
                return AttemptEnd::Resume(ResumeCause::Moved(dispatch));
            }
            if let Err(error) = pushed {
                let reason = error.to_string();
                return AttemptEnd::Resume(ResumeCause::Broken(BodyError::Malformed {
                    address,
                    reason,
                }));
            }
        }
    }

    /// Checks whether the stream was complete when its body ended.
    fn check_end(&self, address: std::net::SocketAddr) -> AttemptEnd {
        match self.events.end() {
            Ok(()) => AttemptEnd::Complete,
            Err(error) => {
                let reason = error.to_string();
                AttemptEnd::Resume(ResumeCause::Broken(BodyError::Malformed {
                    address,
                    reason,
                }))
            }
        }
    }
}

/// Returns the next chunk, or `None` when the caller has disconnected.
async fn next_chunk(
    body: &mut BackendBody,
    sender: &ResponseSender,
) -> Option<Result<Option<Bytes>, BodyError>> {
    let chunk = async { Some(body.next().await) };
    let caller_disconnected = async {
        sender.disconnected().await;
        None
    };
    future::or(chunk, caller_disconnected).await
}

/// Sends an error event and closes the connection without completing the body, so that the caller
/// can't mistake the end of an incomplete stream for a normal one.
async fn send_error_and_abort(refusal: &Refusal, sender: ResponseSender) {
    let _: Result<(), _> = sender.send(error_response(refusal).event()).await;
    sender.abort();
}
