//! Carries one request through its attempts.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;
use tanagerhub_proxy::{
    BackendResponse, BackendResponseBody, BodyError, ResponseBody, Reuse, SendError, full_body,
    strip_hop_headers,
};
use tanagerhub_traffic::{
    AttemptEvent, Decision, Dispatch, Next, Outcome, Reason, Refusal, RequestInfo,
};

use crate::gateway::call::Call;
use crate::gateway::control::GatewayEvent;
use crate::gateway::front::Front;
use crate::gateway::pulse::Watch;
use crate::gateway::reply::Failure;
use crate::gateway::streaming::Streaming;
use crate::gateway::{AnswerKind, Upstream};
use crate::ticket::Ticket;

/// The longest answer that is read whole, in bytes.
const WHOLE_LIMIT: usize = 8 << 20;
/// The least time after which a request without a first byte is tried elsewhere.
const MIN_PATIENCE: Duration = Duration::from_millis(150);
/// The same, as a multiple of the objective.
const PATIENCE: u32 = 2;
/// The same for a stream, whose first event waits for the prompts of others.
const STREAM_PATIENCE: u32 = 3;
/// The least time after which a group that shows no sign of life is suspected.
const MIN_QUIET: Duration = Duration::from_millis(250);
/// Time between two looks at whether a late request could go elsewhere.
pub(crate) const MOVE_AGAIN: Duration = Duration::from_millis(100);
/// The urgency of a stream that is resumed: its caller sees the pause.
const RESUME_URGENCY: u8 = 0;

/// One request and its attempts.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) front: Arc<Front>,
    pub(crate) call: Arc<Call>,
    ticket: Option<Ticket>,
    /// The last answer by which a back end failed the request.
    failed: Option<WholeAnswer>,
    trace: Trace,
}

/// What the log says of a request at its end.
#[derive(Debug, Default)]
struct Trace {
    attempts: u32,
    /// The group of the last attempt.
    last: Option<(GroupId, Epoch)>,
    /// When the first byte of an answer was there.
    first: Option<Moment>,
}

/// An answer that has been read to its end.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// A stream that has begun.
#[derive(Debug)]
pub(crate) struct Started {
    pub(crate) dispatch: Dispatch,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) first: Bytes,
    pub(crate) body: BackendResponseBody,
    pub(crate) watch: Watch,
}

/// What a back end answered.
pub(crate) enum Answered {
    Whole(Dispatch, Box<WholeAnswer>),
    Stream(Box<Started>),
}

/// Why an attempt brought no answer.
enum AttemptError {
    Send(SendError),
    Body(BodyError),
    NotRun,
    Misdirected,
    Foreign,
    /// The group's streams fell silent together.
    Silent,
    /// Nothing came back in time.
    Overdue,
    /// A stream without an event.
    Empty,
    /// The request's time is up.
    Expired,
    /// The key may have been taken away meanwhile.
    KeyLapsed,
    /// The group is no longer known.
    Unknown,
}

impl Exchange {
    pub(crate) fn new(front: Arc<Front>, call: Call) -> Self {
        Self {
            front,
            call: Arc::new(call),
            ticket: None,
            failed: None,
            trace: Trace::default(),
        }
    }

    /// Answers the request.
    pub(crate) async fn run(mut self, info: RequestInfo) -> Response<ResponseBody> {
        let (ticket, decision) = self.front.traffic.submit(info);
        self.ticket = Some(ticket);
        match self.start(decision, self.call.last_event).await {
            Ok(Answered::Whole(_, answer)) => self.finish_whole(*answer),
            Ok(Answered::Stream(started)) => Streaming::respond(self, *started),
            Err(failure) => self.fail(failure),
        }
    }

    /// Carries out decisions until an answer begins.
    pub(crate) async fn start(
        &mut self,
        decision: Decision,
        last_event: u32,
    ) -> Result<Answered, Failure> {
        let mut decision = decision;
        loop {
            let dispatch = match decision {
                Decision::Refuse(refusal) => return Err(Failure::of(&refusal)),
                Decision::Wait(_) => {
                    decision = self.next_decision().await?;
                    continue;
                }
                Decision::Dispatch(dispatch) => dispatch,
            };
            let next = match self.attempt(dispatch, last_event).await {
                Ok(answered) => match self.judge(answered) {
                    Ok(answered) => return Ok(answered),
                    Err(next) => next,
                },
                Err(error) => self.failed_attempt(dispatch, &error)?,
            };
            decision = decision_after(&next)?;
        }
    }

    /// Reports what became of an attempt.
    pub(crate) fn report(&mut self, dispatch: Dispatch, event: AttemptEvent) -> Next {
        match &mut self.ticket {
            Some(ticket) => ticket.report(dispatch.attempt, event),
            None => Next::Done,
        }
    }

    async fn next_decision(&self) -> Result<Decision, Failure> {
        let decision = match &self.ticket {
            Some(ticket) => ticket.next_decision().await,
            None => None,
        };
        decision.ok_or_else(lost)
    }

    /// Takes an answer for good, unless it is a failure that may be tried elsewhere.
    fn judge(&mut self, answered: Answered) -> Result<Answered, Next> {
        self.trace.first.get_or_insert(self.front.clock.now());
        match answered {
            Answered::Whole(dispatch, answer) => {
                if answer.status.is_server_error() && self.call.is_repeatable() {
                    self.failed = Some(*answer);
                    return Err(self.report(dispatch, AttemptEvent::Failed));
                }
                self.front.metrics.attempt("answered");
                self.report(dispatch, AttemptEvent::Responded);
                Ok(Answered::Whole(dispatch, answer))
            }
            Answered::Stream(started) => {
                self.front.metrics.attempt("streaming");
                self.report(started.dispatch, AttemptEvent::FirstByte);
                Ok(Answered::Stream(started))
            }
        }
    }

    /// Reports a failed attempt; fails when the request is to end with it.
    fn failed_attempt(
        &mut self,
        dispatch: Dispatch,
        error: &AttemptError,
    ) -> Result<Next, Failure> {
        let label = error.label();
        self.front.metrics.attempt(label);
        log::info!(
            request = self.call.id.as_str(),
            group:% = dispatch.group,
            epoch = dispatch.epoch.0,
            cause = label,
            detail = error.detail().as_str(),
            took_ms = self.front.clock.now().since(self.call.arrived).as_millis();
            "attempt failed"
        );
        let event = match error {
            AttemptError::Send(SendError::NotSent { .. } | SendError::ConnectionClosed { .. })
            | AttemptError::Unknown => AttemptEvent::ConnectFailed,
            AttemptError::NotRun | AttemptError::Misdirected => AttemptEvent::RefusedNotRun,
            AttemptError::Silent => AttemptEvent::Silent,
            AttemptError::Overdue => AttemptEvent::TimedOut,
            AttemptError::Send(_)
            | AttemptError::Body(_)
            | AttemptError::Foreign
            | AttemptError::Empty => AttemptEvent::Broke,
            AttemptError::Expired => return Err(expired()),
            AttemptError::KeyLapsed => {
                let reason = "the store has not confirmed the key for too long";
                return Err(Failure::unavailable(reason, Duration::from_millis(500)));
            }
        };
        Ok(self.report(dispatch, event))
    }

    /// Sends the request to one group, and reads its answer as far as it must be known.
    async fn attempt(
        &mut self,
        dispatch: Dispatch,
        last_event: u32,
    ) -> Result<Answered, AttemptError> {
        if let Some(ticket) = &mut self.ticket {
            ticket.record_attempt(dispatch.attempt);
        }
        self.trace.attempts += 1;
        self.trace.last = Some((dispatch.group, dispatch.epoch));
        let watch = self.front.pulses.watch(dispatch.group, dispatch.epoch);
        let sent = self.front.clock.now();
        let limit = if self.call.is_resumed(last_event) {
            self.call.give_up
        } else {
            self.call.begin_by
        };
        let left = limit.since(sent);
        let expired = async {
            self.front.clock.sleep(left).await;
            Err(AttemptError::Expired)
        };
        let hurried = async {
            if !self.call.is_repeatable() {
                future::pending::<()>().await;
            }
            Err(self.impatience(dispatch, &watch, sent).await)
        };
        let work = self.exchange(dispatch, last_event);
        let answered = future::or(work, future::or(hurried, expired)).await;
        answered.map(|answer| match answer {
            Received::Whole(answer) => Answered::Whole(dispatch, Box::new(answer)),
            Received::Stream {
                status,
                headers,
                first,
                body,
            } => Answered::Stream(Box::new(Started {
                dispatch,
                status,
                headers,
                first,
                body,
                watch,
            })),
        })
    }

    /// Waits until the request is better tried elsewhere, and may be.
    ///
    /// A group that shows no sign of life is suspected on the way, so that its members are probed.
    /// A late answer is better than none: where the request can't go elsewhere, it stays.
    async fn impatience(&self, dispatch: Dispatch, watch: &Watch, sent: Moment) -> AttemptError {
        let factor = if self.call.kind.is_stream() {
            STREAM_PATIENCE
        } else {
            PATIENCE
        };
        let patience = (self.call.objective * factor).max(MIN_PATIENCE);
        let overdue = async {
            let quiet = watch.patience().max(MIN_QUIET).min(patience);
            self.front.clock.sleep(quiet).await;
            if watch.heard() < sent {
                self.suspect(dispatch);
            }
            self.front.clock.sleep(patience.saturating_sub(quiet)).await;
            while !self.may_move(dispatch) {
                self.front.clock.sleep(MOVE_AGAIN).await;
            }
            AttemptError::Overdue
        };
        let silent = async {
            watch.alarm().await;
            while !self.may_repeat(dispatch) {
                self.front.clock.sleep(MOVE_AGAIN).await;
            }
            AttemptError::Silent
        };
        future::or(overdue, silent).await
    }

    fn may_move(&self, dispatch: Dispatch) -> bool {
        let ticket = self.ticket.as_ref();
        ticket.is_some_and(|ticket| ticket.may_move(dispatch.attempt))
    }

    /// Whether the request may be sent again, were this attempt to end without an answer.
    pub(crate) fn may_repeat(&self, dispatch: Dispatch) -> bool {
        let ticket = self.ticket.as_ref();
        ticket.is_some_and(|ticket| ticket.may_repeat(dispatch.attempt))
    }

    fn suspect(&self, dispatch: Dispatch) {
        let event = GatewayEvent::Suspected(dispatch.group, dispatch.epoch);
        // A suspicion that finds no room comes again with the next request.
        drop(self.front.suspicions.try_send(event));
    }

    async fn exchange(
        &self,
        dispatch: Dispatch,
        last_event: u32,
    ) -> Result<Received, AttemptError> {
        let name = self.front.shared.name(dispatch.group);
        let name = name.ok_or(AttemptError::Unknown)?;
        let request = self.request(&name, last_event);
        let reuse = if self.call.is_repeatable() {
            Reuse::Idle
        } else {
            Reuse::Never
        };
        let keys_hold = || !self.call.keyed || self.front.shared.keys_hold();
        let sent = self
            .front
            .client
            .send(dispatch.address, request, reuse, keys_hold)
            .await;
        if !keys_hold() && sent.is_err() {
            return Err(AttemptError::KeyLapsed);
        }
        let mut answer = sent.map_err(AttemptError::Send)?;
        let kind = self
            .front
            .dialect
            .answer(&self.call.id, answer.status, &answer.headers);
        match kind {
            AnswerKind::NotRun => return Err(AttemptError::NotRun),
            AnswerKind::Misdirected => return Err(AttemptError::Misdirected),
            AnswerKind::Foreign => return Err(AttemptError::Foreign),
            AnswerKind::Answer => {}
        }
        if self.call.kind.is_stream() && answer.status.is_success() {
            let first = answer.body.next().await.map_err(AttemptError::Body)?;
            return Ok(Received::Stream {
                status: answer.status,
                headers: answer.headers,
                first: first.ok_or(AttemptError::Empty)?,
                body: answer.body,
            });
        }
        read_whole(answer).await
    }

    fn request(&self, name: &str, last_event: u32) -> Request<Full<Bytes>> {
        let call = &self.call;
        let urgency = if call.is_resumed(last_event) {
            Some(RESUME_URGENCY)
        } else {
            call.urgency
                .map(|priority| priority.saturating_add(3).min(9))
        };
        let upstream = Upstream {
            vm: name,
            organisation: call.organisation.as_deref(),
            left: call.give_up.since(self.front.clock.now()),
            urgency,
            last_event,
        };
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = http::Uri::from(call.target.clone());
        *request.headers_mut() = call.headers.clone();
        self.front
            .dialect
            .upstream(request.headers_mut(), &upstream);
        request
    }

    fn finish_whole(&self, answer: WholeAnswer) -> Response<ResponseBody> {
        self.log_end(answer.status, "answered");
        answer.into_response()
    }

    /// Ends a request without an answer of its own; a back end's failure goes before the node's.
    fn fail(mut self, failure: Failure) -> Response<ResponseBody> {
        if let Some(answer) = self.failed.take() {
            self.log_end(answer.status, "failed by the back end");
            return answer.into_response();
        }
        self.log_end(failure.status, &failure.reason);
        failure.into_response()
    }

    pub(crate) fn log_end(&self, status: StatusCode, outcome: &str) {
        let took = self.front.clock.now().since(self.call.arrived);
        self.front.metrics.request(status.as_u16(), took);
        let first = self.trace.first.map(|at| at.since(self.call.arrived));
        let (group, epoch) = self.trace.last.unzip();
        let group = group.map(|group| group.to_string());
        log::info!(
            request = self.call.id.as_str(),
            status = status.as_u16(),
            outcome,
            attempts = self.trace.attempts,
            group = group.as_deref(),
            epoch = epoch.map(|epoch| epoch.0),
            first_ms = first.map(|first| first.as_millis()),
            took_ms = took.as_millis();
            "request ended"
        );
    }
}

/// The decision that follows a failed attempt.
pub(crate) fn decision_after(next: &Next) -> Result<Decision, Failure> {
    match next {
        Next::Retry(dispatch) => Ok(Decision::Dispatch(*dispatch)),
        Next::Wait(until) => Ok(Decision::Wait(*until)),
        Next::Fail(refusal) => Err(Failure::of(refusal)),
        Next::Continue | Next::Done | Next::CancelOther(_) => Err(lost()),
    }
}

/// What an exchange with a back end brought.
enum Received {
    Whole(WholeAnswer),
    Stream {
        status: StatusCode,
        headers: HeaderMap,
        first: Bytes,
        body: BackendResponseBody,
    },
}

async fn read_whole(answer: BackendResponse) -> Result<Received, AttemptError> {
    let (status, headers) = (answer.status, answer.headers);
    let body = answer.body.read(WHOLE_LIMIT).await;
    Ok(Received::Whole(WholeAnswer {
        status,
        headers,
        body: body.map_err(AttemptError::Body)?,
    }))
}

impl WholeAnswer {
    fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(full_body(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        strip_hop_headers(response.headers_mut());
        response.headers_mut().remove(http::header::CONTENT_LENGTH);
        response
    }
}

impl AttemptError {
    const fn label(&self) -> &'static str {
        match self {
            Self::Send(SendError::NotSent { .. }) => "not_sent",
            Self::Send(SendError::ConnectionClosed { .. }) => "turned_away",
            Self::Send(SendError::Broken { .. }) => "broken",
            Self::Send(SendError::Malformed { .. }) => "malformed",
            Self::Body(_) => "body_cut",
            Self::NotRun => "not_run",
            Self::Misdirected => "misdirected",
            Self::Foreign => "foreign",
            Self::Silent => "silent",
            Self::Overdue => "overdue",
            Self::Empty => "empty",
            Self::Expired => "expired",
            Self::KeyLapsed => "key_lapsed",
            Self::Unknown => "group_unknown",
        }
    }

    fn detail(&self) -> String {
        match self {
            Self::Send(error) => error.to_string(),
            Self::Body(error) => error.to_string(),
            _ => String::new(),
        }
    }
}

/// The failure of a request whose decision was lost, which a healthy node never gives.
fn lost() -> Failure {
    Failure::new(StatusCode::INTERNAL_SERVER_ERROR, "the decision was lost")
}

/// The failure of a request whose time was up while a back end may have worked on it.
fn expired() -> Failure {
    Failure::of(&Refusal {
        reason: Reason::DeadlinePassed,
        retry_after: None,
        outcome: Outcome::Unknown,
        status: StatusCode::GATEWAY_TIMEOUT.as_u16(),
    })
}
