//! Forwards requests to another node while this one can't reach the backend servers.
//!
//! The other node handles a forwarded request like one of its own callers, with its own checks, and
//! never forwards it again.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::{future, stream};
use http::header::{AUTHORIZATION, HeaderName};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_proxy::{
    BackendResponse, BackendResponseBody, Client, IncompleteBody, Reservation, ResponseBody, Reuse,
    SendError, empty_body, full_body, stream_body, strip_hop_headers,
};

use crate::gateway::call::Call;
use crate::gateway::failure::{Failure, Lack};
use crate::gateway::memory::CallMemory;
use crate::gateway::shared::SharedState;
use crate::gateway::{Dialect, GatewayMetrics};

/// Marks a forwarded request; the value is the version of the configuration that the other node
/// must know at least.
const FORWARDED: HeaderName = HeaderName::from_static("tanagerhub-forwarded");
/// Marks the response to a forwarded request; the value is the version of the configuration by
/// which it was handled, or zero if the node did not accept the request.
const HANDLED_BY: HeaderName = HeaderName::from_static("tanagerhub-handled-by");
/// The number of different backend servers to which no connection could be opened, without a
/// success in between, from which on this node is considered cut off.
const FAILED_SERVERS: usize = 3;
/// How long such failures count after the last one; longer than failing groups get no requests.
const FAILURE_LIFETIME: Duration = Duration::from_secs(2);
/// The maximum number of nodes that a request is offered to.
const MAX_OFFERS: usize = 4;
/// How long a node gets no more requests after it was unreachable or did not accept one.
const AVOIDANCE: Duration = Duration::from_millis(500);
/// The maximum size of a response that is buffered completely.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// The nodes to which requests may be forwarded, and whether this node needs them.
#[derive(Debug)]
pub(crate) struct Forwarder {
    client: Client,
    clock: Clock,
    dialect: Arc<dyn Dialect>,
    shared: Arc<SharedState>,
    metrics: GatewayMetrics,
    nodes: Mutex<Nodes>,
    failures: Mutex<Failures>,
    /// Whether probes of most backend servers fail.
    cut_off: AtomicBool,
    /// Whether probes of any backend server fail.
    impaired: AtomicBool,
    /// The newest version of the configuration by which a request was handled elsewhere.
    seen_version: AtomicU64,
}

#[derive(Debug, Default)]
struct Nodes {
    addresses: Vec<SocketAddr>,
    avoided_until: HashMap<SocketAddr, Moment>,
}

/// The backend servers to which no connection could be opened since a request last reached one.
#[derive(Debug, Default)]
struct Failures {
    servers: HashSet<SocketAddr>,
    last: Moment,
}

/// The result of offering a request to one node.
enum Offer {
    /// The node has handled the request.
    Handled(Response<ResponseBody>),
    /// The request has not reached the node, or the node did not accept it.
    NotAccepted,
    /// The request may have run, and there is no response.
    Lost(Failure),
}

impl Forwarder {
    pub(crate) fn new(
        client: Client,
        clock: Clock,
        dialect: Arc<dyn Dialect>,
        shared: Arc<SharedState>,
        metrics: GatewayMetrics,
    ) -> Self {
        Self {
            client,
            clock,
            dialect,
            shared,
            metrics,
            nodes: Mutex::default(),
            failures: Mutex::default(),
            cut_off: AtomicBool::new(false),
            impaired: AtomicBool::new(false),
            seen_version: AtomicU64::new(0),
        }
    }

    pub(crate) fn set_nodes(&self, addresses: Vec<SocketAddr>) {
        let mut nodes = self.nodes();
        nodes
            .avoided_until
            .retain(|address, _| addresses.contains(address));
        nodes.addresses = addresses;
    }

    /// Sets whether probes of most backend servers fail, and whether those of any do.
    pub(crate) fn set_reach(&self, cut_off: bool, impaired: bool) {
        self.cut_off.store(cut_off, Ordering::Relaxed);
        self.impaired.store(impaired, Ordering::Relaxed);
    }

    /// Records whether a connection to a backend server could be opened.
    pub(crate) fn record_send(&self, server: SocketAddr, opened: bool) {
        let mut failures = self.failures();
        if opened {
            failures.servers.clear();
            return;
        }
        let now = self.clock.now();
        if now.since(failures.last) >= FAILURE_LIFETIME {
            failures.servers.clear();
        }
        failures.last = now;
        failures.servers.insert(server);
    }

    /// Returns whether most backend servers are out of this node's reach.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.cut_off.load(Ordering::Relaxed) || self.failed_servers() >= FAILED_SERVERS
    }

    /// Returns whether any backend server is.
    fn is_impaired(&self) -> bool {
        self.impaired.load(Ordering::Relaxed) || self.failed_servers() > 0
    }

    /// Returns whether a request that found no backend server in this node's reach is to be
    /// forwarded.
    pub(crate) fn is_needed(&self, lack: Lack) -> bool {
        match lack {
            Lack::Servers => self.is_impaired(),
            Lack::Room => self.is_cut_off() || self.failed_servers() > 0,
            Lack::Pauses => false,
        }
    }

    fn failed_servers(&self) -> usize {
        let failures = self.failures();
        if self.clock.now().since(failures.last) >= FAILURE_LIFETIME {
            return 0;
        }
        failures.servers.len()
    }

    fn failures(&self) -> MutexGuard<'_, Failures> {
        self.failures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the headers are those of a forwarded request.
    pub(crate) fn is_marked(headers: &HeaderMap) -> bool {
        headers.contains_key(FORWARDED)
    }

    /// Removes the mark of a forwarded request from its headers. Returns the version of the
    /// configuration that it requires.
    pub(crate) fn take_mark(headers: &mut HeaderMap) -> Option<u64> {
        let mark = headers.remove(FORWARDED)?;
        mark.to_str().ok()?.parse().ok()
    }

    /// Returns whether a forwarded request that requires this version is accepted here.
    pub(crate) fn accepts(&self, version: u64) -> bool {
        let known = self.shared.configuration().map(|it| it.version);
        self.shared.is_ready() && !self.is_cut_off() && known.is_some_and(|known| known >= version)
    }

    /// Returns the response to a forwarded request that is not accepted.
    pub(crate) fn rejection() -> Response<ResponseBody> {
        let mut response = Response::new(empty_body());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response.headers_mut().insert(HANDLED_BY, 0.into());
        response
    }

    /// Marks the response to a forwarded request.
    pub(crate) fn mark_response(&self, response: &mut Response<ResponseBody>) {
        let version = self.shared.configuration().map_or(0, |it| it.version);
        response.headers_mut().insert(HANDLED_BY, version.into());
    }

    /// Forwards a request of which nothing has reached a backend server. Returns `None` if no node
    /// accepts it.
    pub(crate) async fn forward(&self, call: &Call) -> Option<Response<ResponseBody>> {
        for _ in 0..MAX_OFFERS {
            let address = self.choose()?;
            match self.offer(call, address).await {
                Offer::Handled(response) => {
                    self.log(call, address, response.status());
                    return Some(response);
                }
                Offer::Lost(failure) => {
                    self.log(call, address, failure.status);
                    return Some(failure.into_response());
                }
                Offer::NotAccepted => self.avoid(address),
            }
        }
        None
    }

    fn log(&self, call: &Call, node: SocketAddr, status: StatusCode) {
        log::info!(
            request = call.id.as_str(),
            node:%,
            status = status.as_u16(),
            took_ms = self.clock.now().since(call.arrived).as_millis();
            "request forwarded"
        );
    }

    /// Chooses a node at random, so that all of them share the work of those that are cut off.
    fn choose(&self) -> Option<SocketAddr> {
        let now = self.clock.now();
        let nodes = self.nodes();
        let is_avoided = |address: &SocketAddr| {
            let until = nodes.avoided_until.get(address);
            until.is_some_and(|until| *until > now)
        };
        let usable: Vec<&SocketAddr> = nodes
            .addresses
            .iter()
            .filter(|address| !is_avoided(address))
            .collect();
        if usable.is_empty() {
            return None;
        }
        Some(*usable[rand::random_range(0..usable.len())])
    }

    fn avoid(&self, address: SocketAddr) {
        let until = self.clock.now() + AVOIDANCE;
        self.nodes().avoided_until.insert(address, until);
    }

    async fn offer(&self, call: &Call, address: SocketAddr) -> Offer {
        let Some(request) = self.request(call) else {
            return Offer::NotAccepted;
        };
        // A pooled connection may have failed unnoticed, which would leave the outcome unknown.
        let reuse = if call.is_repeatable() {
            Reuse::Idle
        } else {
            Reuse::Never
        };
        let are_keys_valid = || !call.keyed || self.shared.are_keys_valid();
        let exchange = async {
            let response = self
                .client
                .send(address, request, reuse, are_keys_valid)
                .await;
            self.receive(call, address, response).await
        };
        let expired = async {
            let left = call.first_byte_deadline.since(self.clock.now());
            self.clock.sleep(left).await;
            let reason = "the request's deadline has passed";
            Offer::Lost(Failure::new(StatusCode::GATEWAY_TIMEOUT, reason))
        };
        future::or(exchange, expired).await
    }

    fn request(&self, call: &Call) -> Option<Request<Full<Bytes>>> {
        let version = self.seen_version.load(Ordering::Relaxed);
        let known = self.shared.configuration()?.version;
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = http::Uri::from(call.target.clone());
        *request.headers_mut() = call.headers.clone();
        let headers = request.headers_mut();
        if let Some(authorization) = &call.authorization {
            headers.insert(AUTHORIZATION, authorization.clone());
        }
        headers.insert(FORWARDED, HeaderValue::from(version.max(known)));
        let left = call.deadline.since(self.clock.now());
        self.dialect.set_timeout(headers, left);
        Some(request)
    }

    async fn receive(
        &self,
        call: &Call,
        address: SocketAddr,
        response: Result<BackendResponse, SendError>,
    ) -> Offer {
        let mut response = match response {
            Ok(response) => response,
            Err(error) if error.may_have_run() => return Offer::Lost(lost(&error.to_string())),
            Err(error) => {
                log::info!(request = call.id.as_str(), node:% = address, error:%; "node not reached");
                return Offer::NotAccepted;
            }
        };
        let Some(mark) = response.headers.remove(HANDLED_BY) else {
            return Offer::NotAccepted;
        };
        match mark.to_str().map(str::parse) {
            Ok(Ok(0)) => return Offer::NotAccepted,
            Ok(Ok(version)) => {
                self.seen_version.fetch_max(version, Ordering::Relaxed);
            }
            // The request has run at a node that marks its responses in another form.
            _ => self.metrics.unreadable_value("mark", &format!("{mark:?}")),
        }
        let body = if call.kind.is_stream() && response.status.is_success() {
            let memory = call.memory.as_ref().map(CallMemory::buffers);
            stream_body(stream::unfold(Some((response.body, memory)), next_chunk))
        } else if let Some(memory) = &call.memory {
            let read = response
                .body
                .read_reserved(MAX_BUFFERED_BYTES, memory.budget());
            match read.await {
                Ok(body) => body.into_body(),
                Err(error) => return Offer::Lost(lost(&error.to_string())),
            }
        } else {
            match response.body.read(MAX_BUFFERED_BYTES).await {
                Ok(body) => full_body(body),
                Err(error) => return Offer::Lost(lost(&error.to_string())),
            }
        };
        let mut forwarded = Response::new(body);
        *forwarded.status_mut() = response.status;
        *forwarded.headers_mut() = response.headers;
        strip_hop_headers(forwarded.headers_mut());
        forwarded.headers_mut().remove(http::header::CONTENT_LENGTH);
        Offer::Handled(forwarded)
    }

    fn nodes(&self) -> MutexGuard<'_, Nodes> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the failure of a request whose outcome at another node is unknown.
fn lost(reason: &str) -> Failure {
    Failure::new(StatusCode::BAD_GATEWAY, reason)
}

/// A stream of another node, with the memory for its buffers.
type ForwardedStream = (BackendResponseBody, Option<Arc<Reservation>>);

/// Returns the next chunk of a stream; a stream that breaks off does not end as complete.
async fn next_chunk(
    stream: Option<ForwardedStream>,
) -> Option<(Result<Bytes, IncompleteBody>, Option<ForwardedStream>)> {
    let (mut body, memory) = stream?;
    match body.next().await {
        Ok(Some(chunk)) => Some((Ok(chunk), Some((body, memory)))),
        Ok(None) => None,
        Err(_) => Some((Err(IncompleteBody), None)),
    }
}

#[cfg(test)]
mod tests;
