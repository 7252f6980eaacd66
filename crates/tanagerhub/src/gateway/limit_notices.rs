//! Notices by which nodes tell each other of the limits that backend servers advertise.
//!
//! Nodes without a share of a limit rarely send anything to its backend server, so they would learn
//! late that it was lifted.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::VmId;
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_groups::Peer;
use tanagerhub_proxy::{Client, ResponseBody, Reuse, empty_body};
use tanagerhub_table::{Sections, decode_value, encode_value};

use crate::gateway::GatewayMetrics;
use crate::traffic_handle::TrafficHandle;

/// The path of the notices.
pub(crate) const NOTICES_PATH: &str = "/limits";
/// The maximum size of a notice.
const MAX_NOTICE_BYTES: usize = 256 << 10;
/// The timeout of sending a notice.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// The minimum interval between two notices to a peer.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// The same minimum for each peer that this node has, which bounds the notices of a large fleet.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(20);
/// The delay after a notice that a peer did not receive.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The limit of one backend server; `None` if it was lifted.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct LimitNotice {
    server: VmId,
    limit: Option<f64>,
}

/// A notice that is due.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct DueNotice {
    pub(crate) peer: SocketAddr,
    pub(crate) servers: BTreeSet<VmId>,
}

/// The notices that peers have not received yet.
#[derive(Debug, Default)]
pub(crate) struct LimitNotices {
    peers: HashMap<SocketAddr, PeerNotices>,
}

#[derive(Debug)]
struct PeerNotices {
    boot: u64,
    pending: BTreeSet<VmId>,
    /// The moment before which no notice is sent; `None` while one is on its way.
    next_at: Option<Moment>,
}

impl LimitNotices {
    /// Applies the live peers; a new process is told of all `limited` backend servers.
    pub(crate) fn set_peers(&mut self, peers: &[Peer], limited: &BTreeSet<VmId>) {
        let live: HashSet<SocketAddr> = peers.iter().map(|it| it.endpoint.address).collect();
        self.peers.retain(|address, _| live.contains(address));
        for peer in peers {
            let known = self.peers.get(&peer.endpoint.address);
            if known.is_none_or(|known| known.boot != peer.boot) {
                let notices = PeerNotices {
                    boot: peer.boot,
                    pending: limited.clone(),
                    next_at: Some(Moment::ZERO),
                };
                self.peers.insert(peer.endpoint.address, notices);
            }
        }
    }

    /// Adds changes that all peers must be told.
    pub(crate) fn add(&mut self, changed: &BTreeSet<VmId>) {
        for peer in self.peers.values_mut() {
            peer.pending.extend(changed);
        }
    }

    /// Returns the notices that are due.
    pub(crate) fn take_due(&mut self, now: Moment) -> Vec<DueNotice> {
        let is_due = |peer: &PeerNotices| {
            !peer.pending.is_empty() && peer.next_at.is_some_and(|at| at <= now)
        };
        let due = self.peers.iter_mut().filter(|(_, peer)| is_due(peer));
        let take = |(address, peer): (&SocketAddr, &mut PeerNotices)| {
            peer.next_at = None;
            DueNotice {
                peer: *address,
                servers: std::mem::take(&mut peer.pending),
            }
        };
        due.map(take).collect()
    }

    /// Records whether a peer has received a notice; otherwise it is sent again.
    pub(crate) fn record_result(&mut self, now: Moment, notice: DueNotice, received: bool) {
        let count = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let interval = MIN_INTERVAL.max(INTERVAL_PER_PEER.saturating_mul(count));
        let Some(peer) = self.peers.get_mut(&notice.peer) else {
            return;
        };
        if received {
            peer.next_at = Some(now + interval);
        } else {
            peer.next_at = Some(now + RETRY_DELAY.max(interval));
            peer.pending.extend(notice.servers);
        }
    }
}

/// Sends a notice with the limits that are in force at this moment. Returns whether the peer has
/// received it.
pub(crate) async fn send(
    client: &Client,
    clock: &Clock,
    traffic: &TrafficHandle,
    notice: &DueNotice,
) -> bool {
    let servers = notice.servers.iter();
    let notices: Vec<LimitNotice> = traffic.update(|traffic, _| {
        let notice = |server: &VmId| LimitNotice {
            server: *server,
            limit: traffic.server_limit(*server),
        };
        servers.map(notice).collect()
    });
    let body = encode_value(&notices, &Sections::default());
    let request = Request::post(NOTICES_PATH)
        .header(HOST, notice.peer.to_string())
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else {
        return false;
    };
    let send = client.send(notice.peer, request, Reuse::Idle, || true);
    match clock.timeout(SEND_TIMEOUT, send).await {
        Some(Ok(response)) => response.status == StatusCode::OK,
        Some(Err(error)) => {
            log::debug!(peer:% = notice.peer, error:%; "a notice of limits was not received");
            false
        }
        None => false,
    }
}

/// Applies the notice of a peer.
pub(crate) async fn receive(
    traffic: Arc<TrafficHandle>,
    metrics: &GatewayMetrics,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = Response::new(empty_body());
    let body = Limited::new(request.into_body(), MAX_NOTICE_BYTES)
        .collect()
        .await;
    let decoded = body
        .ok()
        .and_then(|body| decode_value::<Vec<LimitNotice>>(&body.to_bytes()).ok());
    let Some((notices, _)) = decoded else {
        metrics.unreadable_value("notice", &"invalid notice of limits");
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    for LimitNotice { server, limit } in notices {
        let is_valid = limit.is_none_or(|limit| limit.is_finite() && limit >= 0.0);
        let change = is_valid
            .then(|| traffic.update(|traffic, now| traffic.apply_server_limit(now, server, limit)));
        if let Some(change) = change.flatten() {
            log::info!(
                server:% = server,
                before = change.before,
                limit = change.limit,
                rate = change.rate;
                "a peer told of a backend server's limit"
            );
        }
    }
    response
}

#[cfg(test)]
mod tests;
