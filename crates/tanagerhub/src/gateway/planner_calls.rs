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
use tanagerhub_groups::{SeenVm, Successors};
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
}

/// The reply to a call of the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PlannerReply {
    /// Whether the node promises.
    Promise(bool),
    /// What the node found of the VM; `None` if it did not reach it.
    Probe(Option<SeenVm>),
}

/// The promises of the nodes that may become the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Promises {
    /// All nodes promised.
    All,
    /// Only nodes that replace a planner late gave no reply.
    Enough,
    TooFew,
}

/// Asks all these nodes to promise not to become the planner.
pub(crate) async fn ask_promises(client: &Client, clock: &Clock, nodes: &Successors) -> Promises {
    let all: Vec<SocketAddr> = nodes.first.iter().chain(&nodes.others).copied().collect();
    let replies = call_all(client, clock, &all, PlannerCall::Promise).await;
    let promised = Some(PlannerReply::Promise(true));
    let missing = replies.iter().filter(|reply| **reply != promised).count();
    if missing == 0 {
        return Promises::All;
    }
    let (first, others) = replies.split_at(nodes.first.len());
    let is_enough = first.iter().all(|reply| *reply == promised)
        && others.iter().all(|it| it.is_none() || *it == promised);
    log::info!(nodes = all.len(), missing, is_enough; "nodes did not promise to leave planning to this one");
    if is_enough {
        Promises::Enough
    } else {
        Promises::TooFew
    }
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
        Some(PlannerReply::Probe(seen)) => seen,
        Some(PlannerReply::Promise(_)) | None => None,
    });
    found.max_by_key(|seen| (seen.started_ms, seen.group.is_some()))
}

/// Sends a call to nodes at the same time. Returns their replies.
async fn call_all(
    client: &Client,
    clock: &Clock,
    nodes: &[SocketAddr],
    planner_call: PlannerCall,
) -> Vec<Option<PlannerReply>> {
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

/// Sends a call to a node. Returns `None` if there is no valid reply in time.
async fn call(
    client: &Client,
    clock: &Clock,
    node: SocketAddr,
    call: PlannerCall,
) -> Option<PlannerReply> {
    let body = encode_value(&call, &Sections::default());
    let request = Request::post(PLANNER_PATH)
        .header(HOST, node.to_string())
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let exchange = async {
        let response = client.send(node, request, Reuse::Idle, || true).await;
        let response = response.ok().filter(|it| it.status == StatusCode::OK)?;
        response.body.read(MAX_BYTES).await.ok()
    };
    let reply = clock.timeout(CALL_TIMEOUT, exchange).await.flatten();
    if reply.is_none() {
        client.close_idle(node);
    }
    decode_value(&reply?).ok().map(|(reply, _)| reply)
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
