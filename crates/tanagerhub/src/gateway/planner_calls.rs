//! Calls by which the planner asks other nodes what it can't know alone.

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Sender;
use async_std::task;
use bytes::Bytes;
use http::header::HOST;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::VmId;
use tanagerhub_clock::Clock;
use tanagerhub_groups::SeenVm;
use tanagerhub_proxy::{Client, ResponseBody, Reuse, empty_body, full_body};
use tanagerhub_table::{Sections, decode_value, encode_value};

use crate::gateway::GatewayMetrics;
use crate::gateway::control::GatewayEvent;

/// The path of the calls.
pub(crate) const PLANNER_PATH: &str = "/planner";
/// The maximum size of a call and of a reply.
const MAX_BYTES: usize = 4 << 10;
/// The timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// A call of the planner to another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PlannerCall {
    /// Promise not to become the planner for a while.
    Promise,
    /// Probe a VM.
    Probe(VmId),
    /// Consent to a takeover from a silent planner, and promise it nothing from now on.
    Consent,
}

/// The reply to a call of the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PlannerReply {
    /// Whether the node promises.
    Promise(bool),
    /// What the node found of the VM; `None` if it did not reach it.
    Probe(Option<SeenVm>),
    /// After how many milliseconds the node consents; `None` from a planner that goes on.
    Consent(Option<u64>),
}

/// What came of a call to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Called {
    Replied(PlannerReply),
    /// The node answered, but not as one that knows the call.
    Odd,
    Silent,
}

/// Asks all these nodes to promise not to become the planner. Returns those that do; `None` if one
/// refuses, which may plan itself.
pub(crate) async fn ask_promises(
    client: &Client,
    clock: &Clock,
    nodes: &[SocketAddr],
) -> Option<Vec<SocketAddr>> {
    let replies = call_all(client, clock, nodes, PlannerCall::Promise).await;
    let mut promised = Vec::new();
    let mut refused = 0;
    for (node, reply) in nodes.iter().zip(replies) {
        match reply {
            Called::Replied(PlannerReply::Promise(true)) => promised.push(*node),
            Called::Replied(_) | Called::Odd => refused += 1,
            Called::Silent => {}
        }
    }
    if promised.len() < nodes.len() {
        let promised = promised.len();
        log::info!(nodes = nodes.len(), promised, refused; "nodes did not promise to leave planning to this one");
    }
    (refused == 0).then_some(promised)
}

/// Asks nodes to consent to a takeover. Returns after which time the first of them does; `None` if
/// none of them answers.
pub(crate) async fn ask_consent(
    client: &Client,
    clock: &Clock,
    nodes: &[SocketAddr],
) -> Option<Duration> {
    let replies = call_all(client, clock, nodes, PlannerCall::Consent).await;
    let waits = replies.into_iter().filter_map(|reply| match reply {
        Called::Replied(PlannerReply::Consent(wait_ms)) => wait_ms,
        Called::Replied(_) | Called::Odd | Called::Silent => None,
    });
    waits.min().map(Duration::from_millis)
}

/// Has nodes probe a VM. Returns what one of them found that reached it as a member of a group, or
/// else what any of them found.
pub(crate) async fn ask_peers(
    client: &Client,
    clock: &Clock,
    nodes: &[SocketAddr],
    vm: VmId,
) -> Option<SeenVm> {
    let replies = call_all(client, clock, nodes, PlannerCall::Probe(vm)).await;
    let found = replies.into_iter().filter_map(|reply| match reply {
        Called::Replied(PlannerReply::Probe(seen)) => seen,
        Called::Replied(_) | Called::Odd | Called::Silent => None,
    });
    found.max_by_key(|seen| (seen.started_ms, seen.group.is_some()))
}

/// Sends a call to nodes at the same time. Returns their replies.
async fn call_all(
    client: &Client,
    clock: &Clock,
    nodes: &[SocketAddr],
    planner_call: PlannerCall,
) -> Vec<Called> {
    let send = |node: &SocketAddr| {
        let (client, clock, node) = (client.clone(), clock.clone(), *node);
        task::spawn(async move { call(&client, &clock, node, planner_call).await })
    };
    let calls: Vec<_> = nodes.iter().map(send).collect();
    let mut replies = Vec::new();
    for call in calls {
        replies.push(call.await);
    }
    replies
}

/// Sends a call to a node.
async fn call(client: &Client, clock: &Clock, node: SocketAddr, call: PlannerCall) -> Called {
    let body = encode_value(&call, &Sections::default());
    let request = Request::post(PLANNER_PATH)
        .header(HOST, node.to_string())
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else {
        return Called::Silent;
    };
    let exchange = async {
        let response = client.send(node, request, Reuse::Idle, || true).await;
        let response = response.ok()?;
        let status = response.status;
        Some((status, response.body.read(MAX_BYTES).await.ok()?))
    };
    match clock.timeout(CALL_TIMEOUT, exchange).await.flatten() {
        Some((StatusCode::OK, reply)) => {
            let decoded = decode_value(&reply);
            decoded.map_or(Called::Odd, |(reply, _)| Called::Replied(reply))
        }
        // The node is about to end.
        Some((StatusCode::SERVICE_UNAVAILABLE, _)) => Called::Silent,
        Some(_) => Called::Odd,
        None => {
            client.close_idle(node);
            Called::Silent
        }
    }
}

/// Handles the call of a planner with the control thread.
pub(crate) async fn receive(
    events: Sender<GatewayEvent>,
    metrics: &GatewayMetrics,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let body = Limited::new(request.into_body(), MAX_BYTES).collect().await;
    let call = body
        .ok()
        .and_then(|body| decode_value::<PlannerCall>(&body.to_bytes()).ok());
    let Some((call, _)) = call else {
        metrics.unreadable_value("planner call", &"invalid call of a planner");
        return status(StatusCode::BAD_REQUEST);
    };
    let (sender, replies) = async_channel::bounded(1);
    let sent = events.send(GatewayEvent::PlannerCall(call, sender)).await;
    match sent {
        Ok(()) => match replies.recv().await {
            Ok(reply) => Response::new(full_body(encode_value(&reply, &Sections::default()))),
            Err(_) => status(StatusCode::SERVICE_UNAVAILABLE),
        },
        Err(_) => status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn status(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests;
