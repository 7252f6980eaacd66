//! Runs the attempts of one request until the head of a response arrives.

use std::fmt;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

use futures_lite::future;
use http::StatusCode;
use tanagerhub_clock::Clock;
use tanagerhub_traffic::{AttemptEvent, AttemptKey, Decision, Dispatch, Next, Refusal};
use tanagerhub_wire::backend::{
    BackendClient, BackendError, BackendRequest, BackendResponse, BodyError, ConnectionRule,
    Timeouts,
};
use tanagerhub_wire::engine;

use crate::ticket::Ticket;
use crate::traffic_handle::TrafficHandle;

/// An attempt whose response head has not arrived yet.
type AttemptFuture = Pin<Box<dyn Future<Output = Result<BackendResponse, BackendError>> + Send>>;

/// The parts of the node that a run uses.
#[derive(Debug, Clone)]
pub(crate) struct RunContext {
    pub(crate) traffic: std::sync::Arc<TrafficHandle>,
    pub(crate) backends: BackendClient,
    pub(crate) clock: Clock,
}

/// A response whose head has arrived.
#[derive(Debug)]
pub(crate) struct StartedResponse {
    /// The attempt that it belongs to.
    pub(crate) dispatch: Dispatch,
    /// The response, with its body still to be read.
    pub(crate) response: BackendResponse,
}

/// One request and its attempts.
pub(crate) struct RequestRun {
    run_context: RunContext,
    ticket: Ticket,
    request: BackendRequest,
    in_flight: Vec<(Dispatch, AttemptFuture)>,
}

impl fmt::Debug for RequestRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestRun")
            .field("ticket", &self.ticket)
            .field("in_flight", &self.in_flight.len())
            .finish_non_exhaustive()
    }
}

impl RequestRun {
    /// Creates a run; `request` lacks only the headers and timeouts that differ between attempts.
    pub(crate) const fn new(
        run_context: RunContext,
        ticket: Ticket,
        request: BackendRequest,
    ) -> Self {
        Self {
            run_context,
            ticket,
            request,
            in_flight: Vec::new(),
        }
    }

    /// Carries out a decision, and those that follow, until the head of a response arrives.
    pub(crate) async fn start(&mut self, decision: Decision) -> Result<StartedResponse, Refusal> {
        self.apply_decision(&decision)?;
        loop {
            match self.next_step().await {
                Step::Decision(decision) => self.apply_decision(&decision)?,
                Step::MailboxClosed => return Err(decision_lost()),
                Step::Responded(dispatch, result) => match *result {
                    Ok(response) => {
                        if let Some(started) = self.accept_response_head(dispatch, response)? {
                            return Ok(started);
                        }
                    }
                    Err(error) => self.report_failure(dispatch.attempt, event_for_error(&error))?,
                },
            }
        }
    }

    /// Reports the failure of a started response, and starts another attempt if the traffic
    /// decisions allow it.
    pub(crate) async fn restart(
        &mut self,
        failed: AttemptKey,
        error: &BodyError,
        body: Option<bytes::Bytes>,
    ) -> Result<StartedResponse, Refusal> {
        self.replace_body(body);
        let event = match error {
            BodyError::Timeout { .. } => AttemptEvent::TimedOut,
            BodyError::Truncated { .. }
            | BodyError::Malformed { .. }
            | BodyError::TooLong { .. } => AttemptEvent::Broke,
        };
        let next = self.ticket.report(failed, event);
        let decision = self.decision_from(&next)?;
        self.start(decision).await
    }

    /// Reports progress or the end of a started response.
    ///
    /// If a dispatch is returned, that attempt has to supply the rest of the response: see
    /// [`resume`](Self::resume).
    pub(crate) fn report(&mut self, attempt: AttemptKey, event: AttemptEvent) -> Option<Dispatch> {
        match self.ticket.report(attempt, event) {
            Next::CancelOther(other) => self.cancel(other),
            Next::Retry(dispatch) => return Some(dispatch),
            Next::Continue | Next::Done | Next::Wait(_) | Next::Fail(_) => {}
        }
        None
    }

    /// Starts an attempt for the rest of a response, with the request body that requests it.
    pub(crate) async fn resume(
        &mut self,
        dispatch: Dispatch,
        body: Option<bytes::Bytes>,
    ) -> Result<StartedResponse, Refusal> {
        self.replace_body(body);
        self.start(Decision::Dispatch(dispatch)).await
    }

    fn replace_body(&mut self, body: Option<bytes::Bytes>) {
        if let Some(body) = body {
            self.request.body = body;
        }
    }

    /// Converts the next step after a failed response to a decision.
    fn decision_from(&mut self, next: &Next) -> Result<Decision, Refusal> {
        match next {
            Next::Retry(dispatch) => Ok(Decision::Dispatch(*dispatch)),
            Next::Wait(until) => Ok(Decision::Wait(*until)),
            Next::Fail(refusal) => Err(*refusal),
            Next::CancelOther(other) => {
                self.cancel(*other);
                Err(decision_lost())
            }
            Next::Continue | Next::Done => Err(decision_lost()),
        }
    }

    fn apply_decision(&mut self, decision: &Decision) -> Result<(), Refusal> {
        match decision {
            Decision::Dispatch(dispatch) => self.send_if_live(*dispatch),
            Decision::Wait(_) => {}
            Decision::Refuse(refusal) => return Err(*refusal),
        }
        Ok(())
    }

    /// Sends a dispatch, unless its attempt was cancelled while the decision was in the mailbox.
    fn send_if_live(&mut self, dispatch: Dispatch) {
        let is_live = self
            .run_context
            .traffic
            .with(|traffic, _| traffic.is_live(dispatch.attempt));
        if is_live {
            self.send(dispatch);
        }
    }

    fn send(&mut self, dispatch: Dispatch) {
        self.ticket.record_attempt(dispatch.attempt);
        let request = self.attempt_request(&dispatch);
        let run_context = self.run_context.clone();
        let attempt_future = async move {
            // Checked right before sending, since the process may have been paused after the
            // decision, which may then be outdated.
            let may_send = || run_context.traffic.may_send();
            let sent = run_context
                .backends
                .send_if(dispatch.address, request, may_send);
            sent.await
        };
        self.in_flight.push((dispatch, Box::pin(attempt_future)));
    }

    fn attempt_request(&self, dispatch: &Dispatch) -> BackendRequest {
        let now = self.run_context.clock.now();
        let mut request = self.request.clone();
        let timeouts = Timeouts {
            first_byte: dispatch.first_byte_deadline.since(now),
            body_idle: dispatch.stall,
            ..Timeouts::default()
        };
        request = request.timeouts(timeouts);
        if dispatch.fresh_connection {
            request = request.connection(ConnectionRule::Proven);
        }
        let mut set_header = |name: &'static str, value: String| {
            if let Ok(value) = value.parse() {
                request.headers.insert(name, value);
            }
        };
        set_header(engine::REQUEST_ID, dispatch.request.to_string());
        set_header(engine::GROUP, dispatch.group.to_string());
        set_header(engine::EPOCH, dispatch.epoch.to_string());
        set_header(engine::PRIORITY, dispatch.priority.to_string());
        if dispatch.resume_at > 0 {
            set_header(engine::LAST_EVENT_ID, dispatch.resume_at.to_string());
        }
        request
    }

    /// Waits for the next response head, failure or decision.
    async fn next_step(&mut self) -> Step {
        let Self {
            ticket, in_flight, ..
        } = self;
        let responded = poll_fn(|context| {
            for index in 0..in_flight.len() {
                let attempt_future = in_flight[index].1.as_mut();
                if let Poll::Ready(result) = attempt_future.poll(context) {
                    let (dispatch, _) = in_flight.swap_remove(index);
                    return Poll::Ready(Step::Responded(dispatch, Box::new(result)));
                }
            }
            Poll::Pending
        });
        let decided = async {
            ticket
                .next_decision()
                .await
                .map_or(Step::MailboxClosed, Step::Decision)
        };
        future::or(responded, decided).await
    }

    /// Reports a response head; returns `None` if the backend server refused to run the request.
    fn accept_response_head(
        &mut self,
        dispatch: Dispatch,
        response: BackendResponse,
    ) -> Result<Option<StartedResponse>, Refusal> {
        if is_refused_not_run(&response) {
            self.report_failure(dispatch.attempt, AttemptEvent::RefusedNotRun)?;
            return Ok(None);
        }
        if response
            .headers
            .get(engine::TEMPERATURE)
            .is_some_and(|value| value == "cold")
        {
            self.report(dispatch.attempt, AttemptEvent::Cold);
        }
        self.report(dispatch.attempt, AttemptEvent::FirstByte);
        Ok(Some(StartedResponse { dispatch, response }))
    }

    fn report_failure(&mut self, attempt: AttemptKey, event: AttemptEvent) -> Result<(), Refusal> {
        match self.ticket.report(attempt, event) {
            Next::Retry(dispatch) => self.send(dispatch),
            Next::Fail(refusal) => return Err(refusal),
            Next::CancelOther(other) => self.cancel(other),
            Next::Wait(_) | Next::Continue | Next::Done => {}
        }
        Ok(())
    }

    fn cancel(&mut self, attempt: AttemptKey) {
        self.in_flight
            .retain(|(dispatch, _)| dispatch.attempt != attempt);
    }
}

enum Step {
    Responded(Dispatch, Box<Result<BackendResponse, BackendError>>),
    Decision(Decision),
    MailboxClosed,
}

/// Returns whether the backend server states that it ran no part of the request.
fn is_refused_not_run(response: &BackendResponse) -> bool {
    let refused = response.status == StatusCode::CONFLICT
        || response.status == StatusCode::SERVICE_UNAVAILABLE
        || response.status == StatusCode::TOO_MANY_REQUESTS;
    refused
        && response
            .headers
            .get(engine::NOT_RUN)
            .is_some_and(|value| value == "true")
}

const fn event_for_error(error: &BackendError) -> AttemptEvent {
    match error {
        BackendError::NotSent { .. } => AttemptEvent::ConnectFailed,
        BackendError::Timeout { .. } => AttemptEvent::TimedOut,
        BackendError::Broken { .. } | BackendError::Malformed { .. } => AttemptEvent::Broke,
    }
}

/// Returns the refusal of a request that is left without a decision, which does not occur in a
/// healthy node.
const fn decision_lost() -> Refusal {
    Refusal {
        reason: tanagerhub_traffic::Reason::BrokenAnswer,
        retry_after: None,
        outcome: tanagerhub_traffic::Outcome::Unknown,
        status: 500,
    }
}
