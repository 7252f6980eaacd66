//! One attempt of a request at a group, until its response or the first bytes of a stream arrive.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use futures_lite::future;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use tanagerhub_clock::Moment;
use tanagerhub_proxy::{
    BackendResponse, BackendResponseBody, Reservation, ReservedBody, ResponseBody, Reuse,
    SendError, full_body, strip_hop_headers,
};
use tanagerhub_traffic::Dispatch;

use crate::gateway::attempt_error::AttemptError;
use crate::gateway::call::Call;
use crate::gateway::front::Frontend;
use crate::gateway::group_activity::ActivityWatch;
use crate::gateway::{ResponseKind, Upstream};

/// The maximum size of a response that is buffered completely.
const MAX_BUFFERED_BYTES: usize = 8 << 20;
/// The urgency of a resumed stream, the highest one, since its caller notices the pause.
const RESUME_URGENCY: u8 = 0;

/// The response of a backend server that is on its way.
pub(crate) type PendingResponse =
    Pin<Box<dyn Future<Output = Result<Received, AttemptError>> + Send>>;

/// An attempt that has no response yet. Dropping it closes its connection.
pub(crate) struct RunningAttempt {
    pub(crate) dispatch: Dispatch,
    pub(crate) watch: ActivityWatch,
    pub(crate) sent: Moment,
    pub(crate) response: PendingResponse,
    /// The memory for the buffers of an attempt beside another one.
    pub(crate) buffers: Option<Reservation>,
}

/// A response that has been read completely.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) status: StatusCode,
    headers: HeaderMap,
    body: BufferedBody,
}

/// The body of such a response, with reserved bytes if the node's memory is limited.
#[derive(Debug)]
enum BufferedBody {
    Unlimited(Bytes),
    Reserved(Box<ReservedBody>),
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

/// What a backend server has sent: only the first bytes of a stream, but all of any other response.
pub(crate) enum Received {
    Buffered(BufferedResponse),
    Stream {
        status: StatusCode,
        headers: HeaderMap,
        first: Bytes,
        body: BackendResponseBody,
    },
}

impl fmt::Debug for RunningAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RunningAttempt")
            .field("dispatch", &self.dispatch)
            .field("sent", &self.sent)
            .finish_non_exhaustive()
    }
}

impl RunningAttempt {
    /// Sends the request to a group; a stream starts after `last_event`.
    pub(crate) fn start(
        frontend: &Arc<Frontend>,
        call: &Arc<Call>,
        dispatch: Dispatch,
        last_event: u32,
    ) -> Self {
        let sent = frontend.clock.now();
        let response = receive(
            Arc::clone(frontend),
            Arc::clone(call),
            dispatch,
            last_event,
            sent,
        );
        Self {
            dispatch,
            watch: frontend.activities.watch(dispatch.group, dispatch.epoch),
            sent,
            response: Box::pin(response),
            buffers: None,
        }
    }

    /// Combines the attempt with the response that it received.
    pub(crate) fn with_response(self, received: Received) -> AttemptResponse {
        match received {
            Received::Buffered(response) => {
                AttemptResponse::Buffered(self.dispatch, Box::new(response))
            }
            Received::Stream {
                status,
                headers,
                first,
                body,
            } => AttemptResponse::Stream(Box::new(StartedStream {
                dispatch: self.dispatch,
                status,
                headers,
                first,
                body,
                watch: self.watch,
            })),
        }
    }
}

impl BufferedResponse {
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(match self.body {
            BufferedBody::Unlimited(bytes) => full_body(bytes),
            BufferedBody::Reserved(body) => body.into_body(),
        });
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        strip_hop_headers(response.headers_mut());
        response.headers_mut().remove(http::header::CONTENT_LENGTH);
        response
    }
}

/// Sends the request and receives the response, until the deadline of the attempt.
async fn receive(
    frontend: Arc<Frontend>,
    call: Arc<Call>,
    dispatch: Dispatch,
    last_event: u32,
    sent: Moment,
) -> Result<Received, AttemptError> {
    let deadline = if call.is_resumed(last_event) {
        call.deadline
    } else {
        call.first_byte_deadline
    };
    let expired = async {
        frontend.clock.sleep(deadline.since(sent)).await;
        Err(AttemptError::Expired)
    };
    let exchange = send_and_receive(&frontend, &call, dispatch, last_event);
    future::or(exchange, expired).await
}

async fn send_and_receive(
    frontend: &Frontend,
    call: &Call,
    dispatch: Dispatch,
    last_event: u32,
) -> Result<Received, AttemptError> {
    let name = frontend.shared.name(dispatch.group);
    let name = name.ok_or(AttemptError::UnknownGroup)?;
    let request = build_request(frontend, call, &name, last_event);
    let mut response = send_if_allowed(frontend, call, dispatch, request).await?;
    let dialect = &frontend.dialect;
    let status = response.status;
    let kind = dialect.response_kind(&call.id, status, &response.headers);
    if kind == ResponseKind::Foreign {
        return Err(AttemptError::Foreign);
    }
    let decoded = dialect.self_report(status, &response.headers);
    frontend.record_self_report(call, dispatch, &name, &decoded);
    if call.forwarded {
        frontend.mark_leaving(dispatch, &mut response.headers, decoded.report.leaving);
    }
    match kind {
        ResponseKind::NotRun => {
            record_server_limit(frontend, call, dispatch, &name, &response.headers);
            return Err(AttemptError::NotRun);
        }
        ResponseKind::Misdirected => return Err(AttemptError::Misdirected),
        ResponseKind::OfOther | ResponseKind::Foreign => return Err(AttemptError::Foreign),
        ResponseKind::Valid => {
            record_server_limit(frontend, call, dispatch, &name, &response.headers);
        }
    }
    if !call.is_repeatable() && promises_not_run(status) {
        return Err(AttemptError::Unproven(status));
    }
    if call.kind.is_stream() && response.status.is_success() {
        let first = response.body.next().await.map_err(AttemptError::Body)?;
        return Ok(Received::Stream {
            status: response.status,
            headers: response.headers,
            first: first.ok_or(AttemptError::Empty)?,
            body: response.body,
        });
    }
    read_buffered(response, call).await
}

/// Returns whether a caller takes a status for the promise that its request never runs.
const fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Sends a request, unless its keys, its grant or a report of its backend server forbid it right
/// before the first byte.
async fn send_if_allowed(
    frontend: &Frontend,
    call: &Call,
    dispatch: Dispatch,
    request: Request<Full<Bytes>>,
) -> Result<BackendResponse, AttemptError> {
    let reuse = if call.is_repeatable() && !dispatch.fresh_connection {
        Reuse::Idle
    } else {
        Reuse::Never
    };
    let are_keys_valid = || !call.keyed || frontend.shared.are_keys_valid();
    let (has_lapsed, is_withheld) = (AtomicBool::new(false), AtomicBool::new(false));
    // Opening a connection may take longer than a grant may be used.
    let may_send = || {
        let traffic = &frontend.traffic;
        let withheld = !traffic.update(|traffic, now| traffic.may_send(now, dispatch.attempt));
        is_withheld.store(withheld, Ordering::Relaxed);
        let until = dispatch.send_until;
        let in_time = until.is_none_or(|until| frontend.clock.now() < until);
        has_lapsed.store(!in_time, Ordering::Relaxed);
        in_time && !withheld && are_keys_valid()
    };
    let sent = frontend
        .client
        .send(dispatch.address, request, reuse, may_send)
        .await;
    let (has_lapsed, is_withheld) = (has_lapsed.into_inner(), is_withheld.into_inner());
    let is_allowed = are_keys_valid() && !has_lapsed && !is_withheld;
    let not_opened = matches!(sent, Err(SendError::NotSent { .. })) && is_allowed;
    frontend
        .forwarder
        .record_send(dispatch.address, !not_opened);
    sent.map_err(|error| {
        if error.may_have_run() || is_allowed {
            AttemptError::Send(error)
        } else if is_withheld {
            AttemptError::Withheld
        } else if has_lapsed {
            AttemptError::GrantLapsed
        } else {
            AttemptError::KeyLapsed
        }
    })
}

/// Passes the request rate that a backend server advertises to the traffic decisions.
fn record_server_limit(
    frontend: &Frontend,
    call: &Call,
    dispatch: Dispatch,
    vm: &str,
    headers: &HeaderMap,
) {
    let request = call.id.as_str();
    let limit = match frontend.dialect.server_limit(headers) {
        Ok(limit) => limit,
        Err(error) => {
            log::warn!(request, vm, error:%; "invalid limit of a backend server ignored");
            return;
        }
    };
    let change = frontend
        .traffic
        .update(|traffic, now| traffic.record_server_limit(now, dispatch.attempt, limit));
    if let Some(change) = change {
        frontend.metrics.server_limit(limit.is_some());
        log::info!(
            request,
            vm,
            group:% = dispatch.group,
            epoch = dispatch.epoch.0,
            before = change.before,
            limit = change.limit,
            rate = change.rate;
            "limit of a backend server changed"
        );
    }
}

fn build_request(
    frontend: &Frontend,
    call: &Call,
    name: &str,
    last_event: u32,
) -> Request<Full<Bytes>> {
    let urgency = if call.is_resumed(last_event) {
        Some(RESUME_URGENCY)
    } else {
        call.urgency
            .map(|priority| priority.saturating_add(3).min(9))
    };
    let upstream = Upstream {
        vm: name,
        organisation: call.organisation.as_deref(),
        time_left: call.deadline.since(frontend.clock.now()),
        urgency,
        last_event,
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = http::Uri::from(call.target.clone());
    *request.headers_mut() = call.headers.clone();
    frontend.dialect.upstream(request.headers_mut(), &upstream);
    request
}

async fn read_buffered(response: BackendResponse, call: &Call) -> Result<Received, AttemptError> {
    let (status, headers, body) = (response.status, response.headers, response.body);
    let body = match &call.memory {
        Some(memory) => {
            let read = body.read_reserved(MAX_BUFFERED_BYTES, memory.budget());
            read.await
                .map(|body| BufferedBody::Reserved(Box::new(body)))
        }
        None => body
            .read(MAX_BUFFERED_BYTES)
            .await
            .map(BufferedBody::Unlimited),
    };
    Ok(Received::Buffered(BufferedResponse {
        status,
        headers,
        body: body.map_err(AttemptError::Body)?,
    }))
}
