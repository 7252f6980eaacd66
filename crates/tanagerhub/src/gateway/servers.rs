//! Serves callers, readiness checks, metrics and peers.

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Sender;
use async_std::net::TcpListener;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tanagerhub_clock::Clock;
use tanagerhub_proxy::{
    ResponseBody, Server, ServerLimits, StallLimit, empty_body, full_body, serve_within,
};

use crate::gateway::control::GatewayEvent;
use crate::gateway::feed::FeedSpec;
use crate::gateway::forwarder::Forwarder;
use crate::gateway::front::Frontend;
use crate::gateway::limit_notices::{self, NOTICES_PATH};
use crate::gateway::planner_calls::{self, PLANNER_PATH};
use crate::gateway::relay::Relay;
use crate::gateway::shared::SharedState;
use crate::gateway::{GatewayError, GatewayMetrics};
use crate::traffic_handle::TrafficHandle;

/// Binds an address and serves it with a handler.
async fn listen<H, F>(
    purpose: &'static str,
    address: SocketAddr,
    clock: &Clock,
    stall: Option<&StallLimit>,
    handler: H,
) -> Result<Server, GatewayError>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let listen_error = |source| GatewayError::Listen {
        purpose,
        address,
        source,
    };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let (limits, stall) = (ServerLimits::default(), stall.cloned());
    serve_within(listener, limits, clock.clone(), stall, handler).map_err(listen_error)
}

/// Serves the changes of the tables to peers, and receives their notices.
pub(crate) async fn serve_peers(
    address: SocketAddr,
    clock: &Clock,
    specs: &[&FeedSpec],
    traffic: &Arc<TrafficHandle>,
    frontend: &Arc<Frontend>,
    events: &Sender<GatewayEvent>,
) -> Result<Server, GatewayError> {
    let tables = specs
        .iter()
        .map(|spec| (spec.table, Arc::clone(&spec.relay)))
        .collect();
    let relay = Arc::new(Relay::new(clock.clone(), frontend.metrics.clone(), tables));
    let stall = frontend.memory.stall.as_ref();
    let (traffic, frontend) = (Arc::clone(traffic), Arc::clone(frontend));
    let events = events.clone();
    let handler = move |request: Request<Incoming>| {
        let (relay, traffic) = (Arc::clone(&relay), Arc::clone(&traffic));
        let frontend = Arc::clone(&frontend);
        let events = events.clone();
        async move {
            if Forwarder::is_marked(request.headers()) {
                return frontend.handle_forwarded(request).await;
            }
            match request.uri().path() {
                PLANNER_PATH => planner_calls::receive(events, &frontend.metrics, request).await,
                NOTICES_PATH => limit_notices::receive(traffic, &frontend.metrics, request).await,
                _ => relay.handle(request).await,
            }
        }
    };
    listen("peer", address, clock, stall, handler).await
}

pub(crate) async fn serve_callers(
    address: SocketAddr,
    clock: &Clock,
    frontend: Arc<Frontend>,
) -> Result<Server, GatewayError> {
    let stall = frontend.memory.stall.clone();
    let handler = move |request: Request<Incoming>| Arc::clone(&frontend).handle(request);
    listen("caller", address, clock, stall.as_ref(), handler).await
}

pub(crate) async fn serve_ready(
    address: SocketAddr,
    clock: &Clock,
    shared: &Arc<SharedState>,
) -> Result<Server, GatewayError> {
    let shared = Arc::clone(shared);
    let handler = move |_: Request<Incoming>| {
        let is_ready = shared.is_ready();
        async move {
            let mut response = Response::new(empty_body());
            if !is_ready {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            response
        }
    };
    listen("ready", address, clock, None, handler).await
}

pub(crate) async fn serve_metrics(
    address: SocketAddr,
    clock: &Clock,
    metrics: GatewayMetrics,
    events: &Sender<GatewayEvent>,
) -> Result<Server, GatewayError> {
    let events = events.clone();
    let handler = move |request: Request<Incoming>| {
        let (metrics, events) = (metrics.clone(), events.clone());
        async move {
            if request.uri().path() == "/state" {
                return state_response(&events).await;
            }
            text_response(metrics.text(), "text/plain; version=0.0.4")
        }
    };
    listen("metrics", address, clock, None, handler).await
}

async fn state_response(events: &Sender<GatewayEvent>) -> Response<ResponseBody> {
    let (sender, receiver) = async_channel::bounded(1);
    let sent = events.send(GatewayEvent::Dump(sender)).await.is_ok();
    let dump = if sent {
        receiver.recv().await.ok()
    } else {
        None
    };
    if let Some(dump) = dump {
        return text_response(dump, "application/json");
    }
    let mut response = Response::new(empty_body());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

fn text_response(content: String, content_type: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(content));
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
