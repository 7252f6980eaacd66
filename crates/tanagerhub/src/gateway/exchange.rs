//! Runs one request through its attempts until it has a response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;
use tanagerhub_proxy::{
    BackendResponse, BackendResponseBody, ResponseBody, Reuse, full_body, strip_hop_headers,
};
use tanagerhub_traffic::{AttemptEvent, Decision, Dispatch, Next, RequestInfo};

use crate::gateway::attempt_error::AttemptError;
use crate::gateway::call::Call;
use crate::gateway::control::GatewayEvent;
use crate::gateway::failure::Failure;
use crate::gateway::front::Frontend;
use crate::gateway::group_activity::ActivityWatch;
use crate::gateway::streaming::Streaming;
use crate::gateway::{ResponseKind, Upstream};
use crate::ticket::Ticket;

/// The maximum size of a response that is buffered completely.
const MAX_BUFFERED_BYTES: usize = 8 << 20;
/// The minimum time after which a request without a first byte may be sent to another group.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);
/// The time after which a request may be sent to another group, as a multiple of its objective.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;
/// The same multiple for a stream, whose first event waits until the group has read the prompts of
/// other requests.
const STREAM_TIMEOUT_FACTOR: u32 = 3;
/// The minimum time after which a group that sends nothing is suspected.
const MIN_SUSPICION_DELAY: Duration = Duration::from_millis(250);
/// The interval at which a late request checks whether it may move to another group.
pub(crate) const MOVE_POLL_PERIOD: Duration = Duration::from_millis(100);
/// The urgency of a resumed stream, the highest one, since its caller notices the pause.
const RESUME_URGENCY: u8 = 0;

/// One request and its attempts.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) frontend: Arc<Frontend>,
    pub(crate) call: Arc<Call>,
    ticket: Option<Ticket>,
    /// The last response of a backend server that failed the request.
    last_failure: Option<BufferedResponse>,
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
    /// Whether the log has reported the end of the request.
    ended: bool,
}

/// A response that has been read completely.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// A stream whose first bytes have arrived.
#[derive(Debug)]
pub(crate) struct StartedStream {
    pub(crate) dispatch: Dispatch,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) first: Bytes,
    pub(crate) body: BackendResponseBody,
    pub(crate) watch: ActivityWatch,
}

/// A response of a backend server, with the attempt that received it.
pub(crate) enum AttemptResponse {
    Buffered(Dispatch, Box<BufferedResponse>),
    Stream(Box<StartedStream>),
}

impl Exchange {
    pub(crate) fn new(frontend: Arc<Frontend>, call: Call) -> Self {
        Self {
            frontend,
            call: Arc::new(call),
            ticket: None,
            last_failure: None,
            trace: Trace::default(),
        }
    }

    /// Submits the request to the traffic decisions and returns the response for the caller.
    pub(crate) async fn run(mut self, info: RequestInfo) -> Response<ResponseBody> {
        let (ticket, decision) = self.frontend.traffic.submit(info);
        self.ticket = Some(ticket);
        match self.start(decision, self.call.last_event).await {
            Ok(AttemptResponse::Buffered(_, response)) => self.finish_buffered(*response),
            Ok(AttemptResponse::Stream(started)) => Streaming::respond(self, *started),
            Err(failure) => self.fail(failure),
        }
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
            let next = match self.attempt(dispatch, last_event).await {
                Ok(attempt_response) => match self.accept_response(attempt_response) {
                    Ok(attempt_response) => return Ok(attempt_response),
                    Err(next) => next,
                },
                Err(error) => self.handle_failure(dispatch, &error)?,
            };
            decision = decision_after(&next)?;
        }
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
                if response.status.is_server_error() && self.call.is_repeatable() {
                    self.last_failure = Some(*response);
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
        let label = error.label();
        self.frontend.metrics.attempt(label);
        log::info!(
            request = self.call.id.as_str(),
            group:% = dispatch.group,
            epoch = dispatch.epoch.0,
            fingerprint:% = format_args!("{:016x}", self.call.fingerprint),
            cause = label,
            detail = error.detail().as_str(),
            took_ms = self.frontend.clock.now().since(self.call.arrived).as_millis();
            "attempt failed"
        );
        Ok(self.report(dispatch, error.event()?))
    }

    /// Sends the request to one group and reads the response: only the first bytes of a stream, but
    /// all of any other response.
    async fn attempt(
        &mut self,
        dispatch: Dispatch,
        last_event: u32,
    ) -> Result<AttemptResponse, AttemptError> {
        if let Some(ticket) = &mut self.ticket {
            ticket.record_attempt(dispatch.attempt);
        }
        self.trace.attempts += 1;
        self.trace.last_group = Some((dispatch.group, dispatch.epoch));
        let watch = self
            .frontend
            .activities
            .watch(dispatch.group, dispatch.epoch);
        let sent = self.frontend.clock.now();
        let deadline = if self.call.is_resumed(last_event) {
            self.call.deadline
        } else {
            self.call.first_byte_deadline
        };
        let left = deadline.since(sent);
        let expired = async {
            self.frontend.clock.sleep(left).await;
            Err(AttemptError::Expired)
        };
        let late = async {
            if !self.call.is_repeatable() {
                future::pending::<()>().await;
            }
            Err(self.wait_until_late(dispatch, &watch, sent).await)
        };
        let exchange = self.send_and_receive(dispatch, last_event);
        let attempt_response = future::or(exchange, future::or(late, expired)).await;
        attempt_response.map(|response| match response {
            ReceivedResponse::Buffered(response) => {
                AttemptResponse::Buffered(dispatch, Box::new(response))
            }
            ReceivedResponse::Stream {
                status,
                headers,
                first,
                body,
            } => AttemptResponse::Stream(Box::new(StartedStream {
                dispatch,
                status,
                headers,
                first,
                body,
                watch,
            })),
        })
    }

    /// Waits until the response is late or a member of the group is unreachable, and the request
    /// may be sent to another group.
    ///
    /// Meanwhile a group that sends nothing is suspected, so that its members are probed. A late
    /// response is better than none, so a request that can't move keeps waiting.
    async fn wait_until_late(
        &self,
        dispatch: Dispatch,
        watch: &ActivityWatch,
        sent: Moment,
    ) -> AttemptError {
        let factor = if self.call.kind.is_stream() {
            STREAM_TIMEOUT_FACTOR
        } else {
            ATTEMPT_TIMEOUT_FACTOR
        };
        let timeout = (self.call.objective * factor).max(MIN_ATTEMPT_TIMEOUT);
        let overdue = async {
            let suspicion_delay = watch.silence_limit().max(MIN_SUSPICION_DELAY).min(timeout);
            self.frontend.clock.sleep(suspicion_delay).await;
            if watch.last_activity() < sent {
                self.suspect(dispatch);
            }
            self.frontend
                .clock
                .sleep(timeout.saturating_sub(suspicion_delay))
                .await;
            while !self.may_move(dispatch) {
                self.frontend.clock.sleep(MOVE_POLL_PERIOD).await;
            }
            AttemptError::Overdue
        };
        let silent = async {
            watch.wait_for_alarm().await;
            while !self.may_repeat(dispatch) {
                self.frontend.clock.sleep(MOVE_POLL_PERIOD).await;
            }
            AttemptError::Silent
        };
        future::or(overdue, silent).await
    }

    fn may_move(&self, dispatch: Dispatch) -> bool {
        let ticket = self.ticket.as_ref();
        ticket.is_some_and(|ticket| ticket.may_move(dispatch.attempt))
    }

    /// Returns whether the request may be sent again if this attempt ends without a response.
    pub(crate) fn may_repeat(&self, dispatch: Dispatch) -> bool {
        let ticket = self.ticket.as_ref();
        ticket.is_some_and(|ticket| ticket.may_repeat(dispatch.attempt))
    }

    fn suspect(&self, dispatch: Dispatch) {
        let event = GatewayEvent::Suspected(dispatch.group, dispatch.epoch);
        // If sending fails, the next late request sends the suspicion again.
        drop(self.frontend.suspicions.try_send(event));
    }

    async fn send_and_receive(
        &self,
        dispatch: Dispatch,
        last_event: u32,
    ) -> Result<ReceivedResponse, AttemptError> {
        let name = self.frontend.shared.name(dispatch.group);
        let name = name.ok_or(AttemptError::UnknownGroup)?;
        let request = self.request(&name, last_event);
        let reuse = if self.call.is_repeatable() {
            Reuse::Idle
        } else {
            Reuse::Never
        };
        let are_keys_valid = || !self.call.keyed || self.frontend.shared.are_keys_valid();
        let sent = self
            .frontend
            .client
            .send(dispatch.address, request, reuse, are_keys_valid)
            .await;
        if !are_keys_valid() && sent.is_err() {
            return Err(AttemptError::KeyLapsed);
        }
        let mut response = sent.map_err(AttemptError::Send)?;
        let kind =
            self.frontend
                .dialect
                .response_kind(&self.call.id, response.status, &response.headers);
        match kind {
            ResponseKind::NotRun => return Err(AttemptError::NotRun),
            ResponseKind::Misdirected => return Err(AttemptError::Misdirected),
            ResponseKind::Foreign => return Err(AttemptError::Foreign),
            ResponseKind::Valid => {}
        }
        if self.call.kind.is_stream() && response.status.is_success() {
            let first = response.body.next().await.map_err(AttemptError::Body)?;
            return Ok(ReceivedResponse::Stream {
                status: response.status,
                headers: response.headers,
                first: first.ok_or(AttemptError::Empty)?,
                body: response.body,
            });
        }
        read_buffered(response).await
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
            time_left: call.deadline.since(self.frontend.clock.now()),
            urgency,
            last_event,
        };
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = http::Uri::from(call.target.clone());
        *request.headers_mut() = call.headers.clone();
        self.frontend
            .dialect
            .upstream(request.headers_mut(), &upstream);
        request
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
pub(crate) fn decision_after(next: &Next) -> Result<Decision, Failure> {
    match next {
        Next::Retry(dispatch) => Ok(Decision::Dispatch(*dispatch)),
        Next::Wait(until) => Ok(Decision::Wait(*until)),
        Next::Fail(refusal) => Err(Failure::from_refusal(refusal)),
        Next::Continue | Next::Done | Next::CancelOther(_) => Err(lost_decision()),
    }
}

/// A response of a backend server to one attempt.
enum ReceivedResponse {
    Buffered(BufferedResponse),
    Stream {
        status: StatusCode,
        headers: HeaderMap,
        first: Bytes,
        body: BackendResponseBody,
    },
}

async fn read_buffered(response: BackendResponse) -> Result<ReceivedResponse, AttemptError> {
    let (status, headers) = (response.status, response.headers);
    let body = response.body.read(MAX_BUFFERED_BYTES).await;
    Ok(ReceivedResponse::Buffered(BufferedResponse {
        status,
        headers,
        body: body.map_err(AttemptError::Body)?,
    }))
}

impl BufferedResponse {
    fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(full_body(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        strip_hop_headers(response.headers_mut());
        response.headers_mut().remove(http::header::CONTENT_LENGTH);
        response
    }
}

/// Returns the failure of a request whose decision was lost, which never happens on a healthy node.
fn lost_decision() -> Failure {
    Failure::new(StatusCode::INTERNAL_SERVER_ERROR, "the decision was lost")
}
