//! Runs one request through its attempts until it has a response.

mod takeover;

use std::sync::Arc;

use futures_lite::future;
use http::{Response, StatusCode};
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;
use tanagerhub_proxy::ResponseBody;
use tanagerhub_traffic::{AttemptEvent, Decision, Dispatch, Next, RequestInfo};

pub(crate) use self::takeover::LateCause;
use crate::gateway::attempt::{AttemptResponse, BufferedResponse, Received, RunningAttempt};
use crate::gateway::attempt_error::AttemptError;
use crate::gateway::call::Call;
use crate::gateway::failure::{Failure, Lack};
use crate::gateway::front::{Frontend, stopping};
use crate::gateway::memory::{CallMemory, no_memory_for_retry};
use crate::gateway::streaming::Streaming;
use crate::ticket::Ticket;

/// One request and its attempts.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) frontend: Arc<Frontend>,
    pub(crate) call: Arc<Call>,
    ticket: Option<Ticket>,
    /// The last response of a backend server that failed the request.
    last_failure: Option<BufferedResponse>,
    /// Whether a stream has begun, so that its caller has the head of a response.
    pub(crate) streaming: bool,
    /// Whether an attempt has begun that has neither ended nor a response.
    is_running: bool,
    trace: Trace,
}

/// The figures of a request that the log reports at its end.
#[derive(Debug, Default)]
struct Trace {
    attempts: u32,
    /// The group of the last attempt.
    last_group: Option<(GroupId, Epoch)>,
    /// When the first response or the first bytes of a stream arrived.
    first_byte: Option<Moment>,
    /// Whether any attempt may have reached a backend server.
    reached_server: bool,
    /// Whether any attempt may have run the request.
    may_have_run: bool,
    /// Whether the log has reported the end of the request.
    ended: bool,
}

impl Exchange {
    pub(crate) fn new(frontend: Arc<Frontend>, call: Call) -> Self {
        Self {
            frontend,
            call: Arc::new(call),
            ticket: None,
            last_failure: None,
            streaming: false,
            is_running: false,
            trace: Trace::default(),
        }
    }

    /// Submits the request to the traffic decisions and returns the response for the caller.
    pub(crate) async fn run(mut self, info: RequestInfo) -> Response<ResponseBody> {
        let (ticket, decision) = self.frontend.traffic.submit(info);
        self.ticket = Some(ticket);
        match self.start_until_stop(decision).await {
            Ok(AttemptResponse::Buffered(_, response)) => self.finish_buffered(*response),
            Ok(AttemptResponse::Stream(started)) => Streaming::respond(self, *started),
            Err(failure) => match self.forward(&failure).await {
                Some(response) => response,
                None => self.fail(failure),
            },
        }
    }

    /// Follows the traffic decisions until a response has started, or until the node must answer
    /// since it is about to end.
    async fn start_until_stop(&mut self, decision: Decision) -> Result<AttemptResponse, Failure> {
        let shared = Arc::clone(&self.frontend.shared);
        let last_event = self.call.last_event;
        let stopped = async {
            shared.wait_for_stop().await;
            None
        };
        let started = async { Some(self.start(decision, last_event).await) };
        let result = future::or(started, stopped).await;
        result.unwrap_or_else(|| {
            if self.is_running || self.trace.may_have_run {
                let reason = "the node stops, and a back end may have run the request";
                return Err(Failure::new(StatusCode::BAD_GATEWAY, reason));
            }
            Err(stopping())
        })
    }

    /// Forwards a request that has reached no backend server, if this node can't reach some of
    /// them.
    async fn forward(&mut self, failure: &Failure) -> Option<Response<ResponseBody>> {
        let forwarder = Arc::clone(&self.frontend.forwarder);
        let may_forward = failure.lack.is_some_and(|lack| forwarder.is_needed(lack))
            && !self.trace.reached_server
            && !self.call.forwarded;
        if !may_forward {
            return None;
        }
        let response = self.frontend.forward_until_stop(&self.call).await?;
        self.log_end(response.status(), "forwarded", true);
        Some(response)
    }

    /// Follows the traffic decisions until a response has started.
    pub(crate) async fn start(
        &mut self,
        decision: Decision,
        last_event: u32,
    ) -> Result<AttemptResponse, Failure> {
        let mut decision = decision;
        loop {
            let dispatch = match decision {
                Decision::Refuse(refusal) => return Err(Failure::from_refusal(&refusal)),
                Decision::Wait(_) => {
                    decision = self.next_decision().await?;
                    continue;
                }
                Decision::Dispatch(dispatch) => dispatch,
            };
            let attempt = self.begin(dispatch, last_event);
            let followed = self.follow(attempt, last_event).await;
            self.is_running = false;
            match followed? {
                Ok(attempt_response) => return Ok(attempt_response),
                Err(next) => decision = self.decision_with_memory(&next)?,
            }
        }
    }

    /// Returns the decision that follows a failed attempt. Without memory to spare the request ends
    /// instead, so that its bytes become free.
    pub(crate) fn decision_with_memory(&mut self, next: &Next) -> Result<Decision, Failure> {
        let decision = decision_after(next)?;
        let memory = self.call.memory.as_ref();
        if !memory.is_some_and(CallMemory::forbids_retry) {
            return Ok(decision);
        }
        if let (Decision::Dispatch(dispatch), Some(ticket)) = (&decision, &mut self.ticket) {
            // The end of the ticket withdraws the attempt, which has not been sent.
            ticket.record_attempt(dispatch.attempt);
        }
        self.frontend.metrics.attempt("given_up_for_memory");
        Err(no_memory_for_retry(self.trace.may_have_run))
    }

    /// Reports the outcome of an attempt and returns the next step.
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
        decision.ok_or_else(lost_decision)
    }

    /// Accepts a response unless it is a failure that another group may run again.
    fn accept_response(
        &mut self,
        attempt_response: AttemptResponse,
    ) -> Result<AttemptResponse, Next> {
        self.trace
            .first_byte
            .get_or_insert(self.frontend.clock.now());
        match attempt_response {
            AttemptResponse::Buffered(dispatch, response) => {
                self.trace.reached_server = true;
                if self.is_failed_response(&response) {
                    self.last_failure = Some(*response);
                    self.trace.may_have_run = true;
                    return Err(self.report(dispatch, AttemptEvent::Failed));
                }
                self.frontend.metrics.attempt("answered");
                self.report(dispatch, AttemptEvent::Responded);
                Ok(AttemptResponse::Buffered(dispatch, response))
            }
            AttemptResponse::Stream(started) => {
                self.frontend.metrics.attempt("streaming");
                self.report(started.dispatch, AttemptEvent::FirstByte);
                Ok(AttemptResponse::Stream(started))
            }
        }
    }

    /// Reports a failed attempt and returns the next step, or the failure that ends the request.
    fn handle_failure(
        &mut self,
        dispatch: Dispatch,
        error: &AttemptError,
    ) -> Result<Next, Failure> {
        self.log_failed_attempt(dispatch, error);
        self.trace.reached_server |= error.has_reached_server();
        let event = error.event()?;
        self.trace.may_have_run |= may_have_run(event);
        Ok(self.report(dispatch, event))
    }

    fn log_failed_attempt(&self, dispatch: Dispatch, error: &AttemptError) {
        let label = error.label();
        self.frontend.metrics.attempt(label);
        log::info!(
            request = self.call.id.as_str(),
            group:% = dispatch.group,
            epoch = dispatch.epoch.0,
            fingerprint:% = format_args!("{:016x}", self.call.fingerprint),
            parts = self.call.part_list().as_str(),
            cause = label,
            detail = error.detail().as_str(),
            took_ms = self.frontend.clock.now().since(self.call.arrived).as_millis();
            "attempt failed"
        );
    }

    /// A stream that has begun can only continue with another stream.
    fn is_failed_response(&self, response: &BufferedResponse) -> bool {
        self.streaming || (response.status.is_server_error() && self.call.is_repeatable())
    }

    /// Returns whether a response is a failure that another group may run again.
    fn is_failure(&self, received: &Received) -> bool {
        match received {
            Received::Buffered(response) => self.is_failed_response(response),
            Received::Stream { .. } => false,
        }
    }

    /// Sends the request to a group.
    fn begin(&mut self, dispatch: Dispatch, last_event: u32) -> RunningAttempt {
        if let Some(ticket) = &mut self.ticket {
            ticket.record_attempt(dispatch.attempt);
        }
        self.trace.attempts += 1;
        self.is_running = true;
        self.trace.last_group = Some((dispatch.group, dispatch.epoch));
        RunningAttempt::start(&self.frontend, &self.call, dispatch, last_event)
    }

    fn finish_buffered(&mut self, response: BufferedResponse) -> Response<ResponseBody> {
        self.log_end(response.status, "answered", true);
        response.into_response()
    }

    /// Ends a failed request. The failure response of a backend server takes precedence over the
    /// node's own failure.
    fn fail(mut self, failure: Failure) -> Response<ResponseBody> {
        if let Some(response) = self.last_failure.take() {
            self.log_end(response.status, "failed by the backend server", true);
            return response.into_response();
        }
        if failure.lack == Some(Lack::Pauses) {
            self.frontend.metrics.self_report("refused");
        }
        self.log_end(failure.status, &failure.reason, true);
        failure.into_response()
    }

    /// Logs the end of the request; `complete` tells whether its caller gets a whole response.
    pub(crate) fn log_end(&mut self, status: StatusCode, outcome: &str, complete: bool) {
        self.trace.ended = true;
        let took = self.frontend.clock.now().since(self.call.arrived);
        self.frontend.metrics.request(status.as_u16(), took);
        if !complete {
            self.frontend.metrics.incomplete_response("cut");
        }
        let first = self.trace.first_byte.map(|at| at.since(self.call.arrived));
        let (group, epoch) = self.trace.last_group.unzip();
        let group = group.map(|group| group.to_string());
        log::info!(
            request = self.call.id.as_str(),
            status = status.as_u16(),
            outcome,
            complete,
            attempts = self.trace.attempts,
            group = group.as_deref(),
            epoch = epoch.map(|epoch| epoch.0),
            first_ms = first.map(|first| first.as_millis()),
            took_ms = took.as_millis();
            "request ended"
        );
    }
}

impl Drop for Exchange {
    /// Logs a request whose connection ended before its response.
    fn drop(&mut self) {
        if self.trace.ended {
            return;
        }
        self.frontend.metrics.incomplete_response("caller_left");
        let (group, epoch) = self.trace.last_group.unzip();
        let group = group.map(|group| group.to_string());
        let first = self.trace.first_byte.map(|at| at.since(self.call.arrived));
        let took = self.frontend.clock.now().since(self.call.arrived);
        log::info!(
            request = self.call.id.as_str(),
            attempts = self.trace.attempts,
            group = group.as_deref(),
            epoch = epoch.map(|epoch| epoch.0),
            first_ms = first.map(|first| first.as_millis()),
            took_ms = took.as_millis();
            "connection ended before the response was complete"
        );
    }
}

/// Returns the decision that follows a failed attempt.
fn decision_after(next: &Next) -> Result<Decision, Failure> {
    match next {
        Next::Retry(dispatch) => Ok(Decision::Dispatch(*dispatch)),
        Next::Wait(until) => Ok(Decision::Wait(*until)),
        Next::Fail(refusal) => Err(Failure::from_refusal(refusal)),
        Next::Continue | Next::Done | Next::CancelOther(_) => Err(lost_decision()),
    }
}

/// Returns whether a backend server may have run the request of an attempt that ended like this.
const fn may_have_run(event: AttemptEvent) -> bool {
    !matches!(
        event,
        AttemptEvent::ConnectFailed
            | AttemptEvent::NotSent
            | AttemptEvent::Withheld
            | AttemptEvent::RefusedNotRun
    )
}

/// Returns the failure of a request whose decision was lost, which never happens on a healthy node.
fn lost_decision() -> Failure {
    Failure::new(StatusCode::INTERNAL_SERVER_ERROR, "the decision was lost")
}
