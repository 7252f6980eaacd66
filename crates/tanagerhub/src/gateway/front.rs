//! Accepts or refuses callers' requests.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use futures_lite::future;
use http::header::{AUTHORIZATION, CONTENT_LENGTH, HOST};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tanagerhub_catalogue::{Class, EntryId, IngressRoute, KeyHash, OrganisationId, RequestId};
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_proxy::{Client, RequestBody, RequestBodyError, ResponseBody, strip_hop_headers};
use tanagerhub_traffic::RequestInfo;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::gateway::call::Call;
use crate::gateway::control::GatewayEvent;
use crate::gateway::exchange::Exchange;
use crate::gateway::failure::Failure;
use crate::gateway::forwarder::Forwarder;
use crate::gateway::group_activity::GroupActivities;
use crate::gateway::memory::{CallMemory, MemoryLimits, memory_failure, reserve_buffers};
use crate::gateway::shared::SharedState;
use crate::gateway::{CallHead, Configuration, Dialect, GatewayMetrics, KeyHolder};
use crate::traffic_handle::TrafficHandle;

/// The retry delay for callers of a node without a configuration or with unconfirmed keys.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The retry delay for callers of a node that is about to end.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The share of its objective for which a request may wait for a group.
const QUEUE_TIMEOUT_SHARE: f64 = 0.5;
/// The share of the time that callers wait for an event for which a broken stream may wait for a
/// group; the group needs the rest until its first event.
const RESUME_TIMEOUT_SHARE: f64 = 0.5;
/// The minimum time that callers wait for the first byte of a stream.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(1_900);
/// The maximum number of parts of a prompt by which crashes are counted.
const MAX_PARTS: usize = 32;
/// The urgency of the least urgent requests; 0 is the most urgent.
const LEAST_URGENCY: u8 = 9;
/// The timeout of a request where neither the caller nor the route sets a shorter one.
const MAX_REQUEST_TIMEOUT: Duration = Duration::from_mins(10);

/// The handler of callers' requests.
#[derive(Debug)]
pub(crate) struct Frontend {
    pub(crate) clock: Clock,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) traffic: Arc<TrafficHandle>,
    pub(crate) client: Client,
    pub(crate) activities: Arc<GroupActivities>,
    /// The channel that reports groups to control, which probes their members.
    pub(crate) suspicions: Sender<GatewayEvent>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) forwarder: Arc<Forwarder>,
    pub(crate) memory: MemoryLimits,
}

impl Frontend {
    /// Handles one request and returns its response.
    pub(crate) async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        self.handle_from(request, Origin::Caller).await
    }

    /// Handles a request that another node has forwarded, or rejects it.
    pub(crate) async fn handle_forwarded(
        self: Arc<Self>,
        mut request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let version = Forwarder::take_mark(request.headers_mut());
        if version.is_none() {
            let error = "invalid mark of a forwarded request";
            self.metrics.unreadable_value("mark", &error);
        }
        if !version.is_some_and(|version| self.forwarder.accepts(version)) {
            return Forwarder::rejection();
        }
        let forwarder = Arc::clone(&self.forwarder);
        let mut response = self.handle_from(request, Origin::Node).await;
        forwarder.mark_response(&mut response);
        response
    }

    async fn handle_from(
        self: Arc<Self>,
        request: Request<Incoming>,
        origin: Origin,
    ) -> Response<ResponseBody> {
        let arrived = self.clock.now();
        self.shared.mark_in_use();
        let (mut parts, mut body) = RequestBody::split(request);
        Forwarder::take_mark(&mut parts.headers);
        let accepted = self.accept(arrived, parts, &mut body, origin);
        let stopped = async {
            self.shared.wait_for_stop().await;
            Err(RefusedRequest::new("", 0, stopping()))
        };
        match future::or(accepted, stopped).await {
            Ok((call, info)) => {
                if self.forwarder.is_cut_off()
                    && origin == Origin::Caller
                    && let Some(response) = self.forward_until_stop(&call).await
                {
                    self.record_forwarded(&call, response.status());
                    return response;
                }
                let exchange = Exchange::new(Arc::clone(&self), call);
                exchange.run(info).await
            }
            Err(refused) => {
                self.record_refused(arrived, &refused);
                let response = refused.failure.into_response();
                body.discard(&self.clock, response).await
            }
        }
    }

    /// Forwards a request to another node. Returns `None` if no node accepts it.
    pub(crate) async fn forward_until_stop(&self, call: &Call) -> Option<Response<ResponseBody>> {
        let stopped = async {
            self.shared.wait_for_stop().await;
            let reason = "the node stops, and another one may have run the request";
            Some(Failure::new(StatusCode::BAD_GATEWAY, reason).into_response())
        };
        let mut response = future::or(self.forwarder.forward(call), stopped).await?;
        self.record_forwarded_report(call, response.headers_mut());
        Some(response)
    }

    fn record_refused(&self, arrived: Moment, refused: &RefusedRequest) {
        let took = self.clock.now().since(arrived);
        self.metrics.request(refused.failure.status.as_u16(), took);
        log::info!(
            request = refused.id.as_str(),
            status = refused.failure.status.as_u16(),
            reason = refused.failure.reason.as_str(),
            version = refused.version,
            age_ms = self.shared.age().as_millis();
            "refused at the entry"
        );
    }

    /// Counts the response to a forwarded request.
    pub(crate) fn record_forwarded(&self, call: &Call, status: StatusCode) {
        let took = self.clock.now().since(call.arrived);
        self.metrics.attempt("forwarded");
        self.metrics.request(status.as_u16(), took);
    }

    /// Reads a request completely, and checks its route, key, size and model.
    ///
    /// The configuration that is in force once the body has been received decides.
    async fn accept(
        &self,
        arrived: Moment,
        mut parts: Parts,
        body: &mut RequestBody,
        origin: Origin,
    ) -> Result<(Call, RequestInfo), RefusedRequest> {
        let head = self.dialect.head(&parts).map_err(|error| {
            RefusedRequest::new("", 0, Failure::new(StatusCode::BAD_REQUEST, error.reason))
        })?;
        let (body, memory) = self.receive_body(arrived, &head, &parts, body).await?;
        let configuration = self.configuration(&head)?;
        let refused = |failure| RefusedRequest::new(&head.id, configuration.version, failure);
        let (route, holder) = self
            .route_and_holder(&configuration, &head, &parts)
            .map_err(refused)?;
        let timeout = request_timeout(&head, route);
        if self.shared.is_too_late(arrived + timeout) {
            return Err(refused(stopping()));
        }
        let entry = find_entry(&configuration, &head, route).map_err(refused)?;
        let priority = holder
            .and_then(|holder| holder.priority)
            .unwrap_or(route.priority);
        strip_hop_headers(&mut parts.headers);
        parts.headers.remove(CONTENT_LENGTH);
        // A caller may send its key on a public route too, which had none before.
        let has_key = configuration.keys.is_some() && head.key.is_some();
        let authorization = if route.public && !has_key {
            None
        } else {
            parts.headers.remove(AUTHORIZATION)
        };
        let organisation = holder.map(|holder| Arc::clone(&holder.organisation));
        let target = parts.uri.into_parts().path_and_query;
        let target = target.unwrap_or_else(root_path);
        let call = Call {
            fingerprint: fingerprint(&target, organisation.as_deref(), &body),
            id: head.id.clone(),
            arrived,
            method: parts.method,
            target,
            headers: parts.headers,
            authorization,
            forwarded: origin == Origin::Node,
            body,
            kind: route.kind,
            entry,
            organisation,
            keyed: holder.is_some(),
            urgency: route.kind.is_stream().then_some(priority),
            objective: route.first_byte_objective,
            deadline: arrived + timeout,
            first_byte_deadline: arrived + first_byte_timeout(route).min(timeout),
            last_event: head.last_event,
            parts: head.shared_parts.iter().copied().take(MAX_PARTS).collect(),
            memory,
        };
        let info = request_info(&call, &head, route, priority);
        Ok((call, info))
    }

    /// Receives the body of a request whose route and key are known.
    async fn receive_body(
        &self,
        arrived: Moment,
        head: &CallHead,
        parts: &Parts,
        body: &mut RequestBody,
    ) -> Result<(Bytes, Option<CallMemory>), RefusedRequest> {
        let configuration = self.configuration(head)?;
        let refused = |failure| RefusedRequest::new(&head.id, configuration.version, failure);
        let (route, holder) = self
            .route_and_holder(&configuration, head, parts)
            .map_err(refused)?;
        let priority = holder.and_then(|holder| holder.priority);
        let urgency = priority.unwrap_or(route.priority);
        let deadline = arrived + request_timeout(head, route);
        let limit = configuration.max_body_bytes;
        let Some(budget) = &self.memory.budget else {
            let left = deadline.since(self.clock.now());
            let body = body.read(&self.clock, limit, left).await;
            return Ok((body.map_err(|error| refused(body_failure(&error)))?, None));
        };
        let buffers = reserve_buffers(budget, urgency, &self.clock, deadline).await;
        let buffers = buffers.map_err(refused)?;
        let left = deadline.since(self.clock.now());
        let read = body.read_reserved(&self.clock, limit, left, budget, urgency);
        let (body, reserved) = read.await.map_err(|error| refused(body_failure(&error)))?;
        Ok((body, Some(CallMemory::new(reserved, buffers))))
    }

    /// Returns the configuration in force.
    fn configuration(&self, head: &CallHead) -> Result<Arc<Configuration>, RefusedRequest> {
        self.shared.configuration().ok_or_else(|| {
            let failure =
                Failure::unavailable("no configuration is known yet", NOT_READY_RETRY_AFTER);
            RefusedRequest::new(&head.id, 0, failure)
        })
    }

    /// Returns the route of a request, and the holder of its key if the route needs one.
    fn route_and_holder<'a>(
        &self,
        configuration: &'a Configuration,
        head: &CallHead,
        parts: &Parts,
    ) -> Result<(&'a IngressRoute, Option<&'a KeyHolder>), Failure> {
        let route = find_route(configuration, head, parts)?;
        let holder = self.key_holder(configuration, route, head)?;
        Ok((route, holder))
    }

    /// Returns the holder of a request's key, or `None` if the route needs no key.
    fn key_holder<'a>(
        &self,
        configuration: &'a Configuration,
        route: &IngressRoute,
        head: &CallHead,
    ) -> Result<Option<&'a KeyHolder>, Failure> {
        let Some(keys) = configuration.keys.as_ref().filter(|_| !route.public) else {
            return Ok(None);
        };
        if !self.shared.are_keys_valid() {
            let reason = "the store has not confirmed the keys for too long";
            return Err(Failure::unavailable(reason, NOT_READY_RETRY_AFTER));
        }
        let key = head.key.as_deref().map(KeyHash::of);
        let holder = key.and_then(|key| keys.get(&key));
        let unknown = || Failure::new(StatusCode::UNAUTHORIZED, "the key is unknown");
        holder.map(Some).ok_or_else(unknown)
    }
}

/// Who sent a request to this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    Caller,
    Node,
}

/// A request that was refused before any attempt.
struct RefusedRequest {
    id: String,
    version: u64,
    failure: Failure,
}

impl RefusedRequest {
    fn new(id: &str, version: u64, failure: Failure) -> Self {
        Self {
            id: id.to_owned(),
            version,
            failure,
        }
    }
}

fn find_route<'a>(
    configuration: &'a Configuration,
    head: &CallHead,
    parts: &Parts,
) -> Result<&'a IngressRoute, Failure> {
    debug_assert!(parts.headers.contains_key(HOST) || head.host.is_empty());
    configuration
        .ingress
        .find(&head.host, parts.uri.path())
        .ok_or_else(|| Failure::new(StatusCode::NOT_FOUND, "no route leads there"))
}

/// Returns the catalogue entry of the service and the model that a request names.
fn find_entry(
    configuration: &Configuration,
    head: &CallHead,
    route: &IngressRoute,
) -> Result<EntryId, Failure> {
    let id = xxh3_64(head.id.as_bytes());
    let no_service = || Failure::new(StatusCode::NOT_FOUND, "the route leads to no service");
    let service = route.target(id).ok_or_else(no_service)?;
    let entry = configuration.entry(service, head.model.as_deref());
    entry.ok_or_else(|| Failure::new(StatusCode::NOT_FOUND, "the service has no such model"))
}

/// Returns the failure of a request that has not run at a node that is about to end.
pub(crate) fn stopping() -> Failure {
    Failure::unavailable("the node stops", STOPPING_RETRY_AFTER)
}

fn body_failure(error: &RequestBodyError) -> Failure {
    let status = match error {
        RequestBodyError::TooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        RequestBodyError::TimedOut { .. } => StatusCode::REQUEST_TIMEOUT,
        RequestBodyError::Broken(_) => StatusCode::BAD_REQUEST,
        RequestBodyError::Memory(error) => return memory_failure(*error),
    };
    Failure::new(status, error.to_string())
}

fn root_path() -> PathAndQuery {
    PathAndQuery::from_static("/")
}

/// Returns the hash by which equal requests are recognised.
fn fingerprint(target: &PathAndQuery, organisation: Option<&str>, body: &[u8]) -> u64 {
    let mut content = Xxh3::new();
    content.update(target.as_str().as_bytes());
    content.update(organisation.unwrap_or_default().as_bytes());
    content.update(body);
    content.digest()
}

fn request_info(call: &Call, head: &CallHead, route: &IngressRoute, priority: u8) -> RequestInfo {
    let organisation = call.organisation.as_deref().unwrap_or_default();
    let info = RequestInfo::new(
        RequestId(rand::random()),
        OrganisationId::of(organisation),
        call.entry,
    );
    let info = if call.kind.is_stream() {
        info.objective(call.objective)
    } else {
        info
    };
    info.deadline(call.deadline)
        .repeat(Call::repeat(call.kind))
        .tokens(head.prompt_tokens, head.max_tokens)
        .fingerprint(call.fingerprint)
        .parts(call.parts.iter().copied())
        .class(class_of_priority(priority))
        .urgency(priority.min(LEAST_URGENCY))
        .attempts(route.max_attempts)
        .queue_timeout(route.first_byte_objective.mul_f64(QUEUE_TIMEOUT_SHARE))
        .resume_timeout(first_byte_timeout(route).mul_f64(RESUME_TIMEOUT_SHARE))
}

/// Returns how long the caller of a request waits, and its route allows.
fn request_timeout(head: &CallHead, route: &IngressRoute) -> Duration {
    head.timeout
        .unwrap_or(MAX_REQUEST_TIMEOUT)
        .min(route.timeout)
}

/// Returns the timeout for the first byte of a stream; callers abandon a stream that shows nothing
/// for long.
fn first_byte_timeout(route: &IngressRoute) -> Duration {
    if !route.kind.is_stream() {
        return MAX_REQUEST_TIMEOUT;
    }
    let pause = route.event_gap_objective.unwrap_or_default();
    MIN_FIRST_BYTE_TIMEOUT
        .max(route.first_byte_objective * 4)
        .max(pause * 8)
}

const fn class_of_priority(priority: u8) -> Class {
    match priority {
        0 => Class::Interactive,
        1 => Class::Standard,
        _ => Class::Batch,
    }
}
