//! Carries one request through its attempts, up to the head of an answer.

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

/// An attempt on its way to the head of its answer.
type Flight = Pin<Box<dyn Future<Output = Result<BackendResponse, BackendError>> + Send>>;

/// What a run needs of the node.
#[derive(Debug, Clone)]
pub(crate) struct Line {
    pub(crate) traffic: std::sync::Arc<TrafficHandle>,
    pub(crate) backends: BackendClient,
    pub(crate) clock: Clock,
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub(crate) struct Started {
    /// The attempt that it belongs to.
    pub(crate) dispatch: Dispatch,
    /// The answer, with its body still to be read.
    pub(crate) answer: BackendResponse,
}

/// One request and its attempts.
pub(crate) struct Run {
    line: Line,
    ticket: Ticket,
    request: BackendRequest,
    flights: Vec<(Dispatch, Flight)>,
}

impl fmt::Debug for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Run")
            .field("ticket", &self.ticket)
            .field("flights", &self.flights.len())
            .finish_non_exhaustive()
    }
}

impl Run {
    /// Prepares a run; `request` lacks only what differs between attempts.
    pub(crate) const fn new(line: Line, ticket: Ticket, request: BackendRequest) -> Self {
        Self {
            line,
            ticket,
            request,
            flights: Vec::new(),
        }
    }

    /// Carries out a decision, and those that follow, until an answer begins.
    pub(crate) async fn start(&mut self, decision: Decision) -> Result<Started, Refusal> {
        self.obey(&decision)?;
        loop {
            match self.next_step().await {
                Step::Decided(decision) => self.obey(&decision)?,
                Step::Lost => return Err(lost()),
                Step::Answered(dispatch, result) => match *result {
                    Ok(answer) => {
                        if let Some(started) = self.judge(dispatch, answer)? {
                            return Ok(started);
                        }
                    }
                    Err(error) => self.report_failure(dispatch.attempt, event_of(&error))?,
                },
            }
        }
    }

    /// Reports on a started answer, and starts the next one where that is decided.
    pub(crate) async fn restart(
        &mut self,
        failed: AttemptKey,
        error: &BodyError,
        body: Option<bytes::Bytes>,
    ) -> Result<Started, Refusal> {
        self.replace_body(body);
        let event = match error {
            BodyError::Timeout { .. } => AttemptEvent::TimedOut,
            BodyError::Truncated { .. }
            | BodyError::Malformed { .. }
            | BodyError::TooLong { .. } => AttemptEvent::Broke,
        };
        let next = self.ticket.report(failed, event);
        let decision = self.decide(&next)?;
        self.start(decision).await
    }

    /// Reports progress or the end of a started answer.
    ///
    /// A dispatch says that the rest of the answer is to come from elsewhere, by
    /// [`resume`](Self::resume).
    pub(crate) fn report(&mut self, attempt: AttemptKey, event: AttemptEvent) -> Option<Dispatch> {
        match self.ticket.report(attempt, event) {
            Next::CancelOther(other) => self.cancel(other),
            Next::Retry(dispatch) => return Some(dispatch),
            Next::Continue | Next::Done | Next::Wait(_) | Next::Fail(_) => {}
        }
        None
    }

    /// Starts the rest of an answer elsewhere, with the body that asks for it.
    pub(crate) async fn resume(
        &mut self,
        dispatch: Dispatch,
        body: Option<bytes::Bytes>,
    ) -> Result<Started, Refusal> {
        self.replace_body(body);
        self.start(Decision::Dispatch(dispatch)).await
    }

    fn replace_body(&mut self, body: Option<bytes::Bytes>) {
        if let Some(body) = body {
            self.request.body = body;
        }
    }

    /// Turns a verdict on a broken answer into the decision to go on with.
    fn decide(&mut self, next: &Next) -> Result<Decision, Refusal> {
        match next {
            Next::Retry(dispatch) => Ok(Decision::Dispatch(*dispatch)),
            Next::Wait(until) => Ok(Decision::Wait(*until)),
            Next::Fail(refusal) => Err(*refusal),
            Next::CancelOther(other) => {
                self.cancel(*other);
                Err(lost())
            }
            Next::Continue | Next::Done => Err(lost()),
        }
    }

    fn obey(&mut self, decision: &Decision) -> Result<(), Refusal> {
        match decision {
            Decision::Dispatch(dispatch) => self.send_live(*dispatch),
            Decision::Wait(_) => {}
            Decision::Refuse(refusal) => return Err(*refusal),
        }
        Ok(())
    }

    /// Sends a dispatch, unless its attempt was cancelled while it waited in the mailbox.
    fn send_live(&mut self, dispatch: Dispatch) {
        let is_live = self
            .line
            .traffic
            .with(|traffic, _| traffic.is_live(dispatch.attempt));
        if is_live {
            self.send(dispatch);
        }
    }

    fn send(&mut self, dispatch: Dispatch) {
        self.ticket.begin(dispatch.attempt);
        let request = self.fill(&dispatch);
        let line = self.line.clone();
        let flight = async move {
            // A process that was paused since the decision must not send any more.
            let may_send = || line.traffic.may_send();
            let sent = line.backends.send_if(dispatch.address, request, may_send);
            sent.await
        };
        self.flights.push((dispatch, Box::pin(flight)));
    }

    fn fill(&self, dispatch: &Dispatch) -> BackendRequest {
        let now = self.line.clock.now();
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
        let mut head = |name: &'static str, value: String| {
            if let Ok(value) = value.parse() {
                request.headers.insert(name, value);
            }
        };
        head(engine::REQUEST_ID, dispatch.request.to_string());
        head(engine::GROUP, dispatch.group.to_string());
        head(engine::EPOCH, dispatch.epoch.to_string());
        head(engine::PRIORITY, dispatch.priority.to_string());
        if dispatch.resume_at > 0 {
            head(engine::LAST_EVENT_ID, dispatch.resume_at.to_string());
        }
        request
    }

    /// Waits for the first answer, or for a decision.
    async fn next_step(&mut self) -> Step {
        let Self {
            ticket, flights, ..
        } = self;
        let answered = poll_fn(|context| {
            for place in 0..flights.len() {
                let flight = flights[place].1.as_mut();
                if let Poll::Ready(result) = flight.poll(context) {
                    let (dispatch, _) = flights.swap_remove(place);
                    return Poll::Ready(Step::Answered(dispatch, Box::new(result)));
                }
            }
            Poll::Pending
        });
        let decided = async { ticket.decision().await.map_or(Step::Lost, Step::Decided) };
        future::or(answered, decided).await
    }

    /// Decides whether an answer's head is the start of the answer.
    fn judge(
        &mut self,
        dispatch: Dispatch,
        answer: BackendResponse,
    ) -> Result<Option<Started>, Refusal> {
        if is_not_run(&answer) {
            self.report_failure(dispatch.attempt, AttemptEvent::RefusedNotRun)?;
            return Ok(None);
        }
        if answer
            .headers
            .get(engine::TEMPERATURE)
            .is_some_and(|value| value == "cold")
        {
            self.report(dispatch.attempt, AttemptEvent::Cold);
        }
        self.report(dispatch.attempt, AttemptEvent::FirstByte);
        Ok(Some(Started { dispatch, answer }))
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
        self.flights
            .retain(|(dispatch, _)| dispatch.attempt != attempt);
    }
}

enum Step {
    Answered(Dispatch, Box<Result<BackendResponse, BackendError>>),
    Decided(Decision),
    Lost,
}

/// Whether the back end says that it ran no part of the request.
fn is_not_run(answer: &BackendResponse) -> bool {
    let refused = answer.status == StatusCode::CONFLICT
        || answer.status == StatusCode::SERVICE_UNAVAILABLE
        || answer.status == StatusCode::TOO_MANY_REQUESTS;
    refused
        && answer
            .headers
            .get(engine::NOT_RUN)
            .is_some_and(|value| value == "true")
}

const fn event_of(error: &BackendError) -> AttemptEvent {
    match error {
        BackendError::NotSent { .. } => AttemptEvent::ConnectFailed,
        BackendError::Timeout { .. } => AttemptEvent::TimedOut,
        BackendError::Broken { .. } | BackendError::Malformed { .. } => AttemptEvent::Broke,
    }
}

/// The refusal of a request whose decision was lost, which a healthy node never gives.
const fn lost() -> Refusal {
    Refusal {
        reason: tanagerhub_traffic::Reason::BrokenAnswer,
        retry_after: None,
        outcome: tanagerhub_traffic::Outcome::Unknown,
        status: 500,
    }
}
