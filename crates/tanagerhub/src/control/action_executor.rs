//! Executes the actions of the control thread, and sends it their results as events.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use http::{Method, StatusCode};
use tanagerhub_catalogue::{BootId, DataCentreId, Epoch, Rank, VmId};
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_fleet::{
    EngineState, FleetEvent, MemberReport, Order, OrderFailure, ProbeFailure, RowQuery,
    StoreFailure, Temperature,
};
use tanagerhub_membership::{
    Beacon, ContentHash, MembershipEvent, PeerRequest, PeerRequestId, PeerResponse, TableRead,
};
use tanagerhub_table::{Row, RowKey, Transaction};
use tanagerhub_wire::backend::{BackendClient, BackendError, BackendRequest, Timeouts};
use tanagerhub_wire::engine::{EngineClient, EngineError};
use tanagerhub_wire::peers::{PeerEvent, PeerSender};
use tanagerhub_wire::platform::{ObjectName, Platform, PlatformError, ReadRows};

use crate::control_event::ControlEvent;
use crate::fleet_copy::FleetCopy;

/// The number of rows per page when all rows with a prefix are read.
const ROWS_PER_PAGE: u32 = 1_000;
/// The timeout of each step of a probe of a plain service.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout of a request to a peer.
const PEER_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum length of the body of a probe response.
const MAX_HEALTH_BODY_BYTES: usize = 4_096;
/// The path for probes of plain services; any response but 503 shows that the service is ready.
const HEALTH_PATH: &str = "/health";

/// Executes the I/O of the control thread in tasks, so that the thread never waits for it.
#[derive(Debug)]
pub(crate) struct ActionExecutor {
    pub(crate) data_centre: DataCentreId,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) engines: EngineClient,
    pub(crate) backends: BackendClient,
    pub(crate) peers: PeerSender,
    pub(crate) clock: Clock,
    pub(crate) events: Sender<ControlEvent>,
    /// Requests of peers that await this node's response.
    pub(crate) pending_requests: Arc<PendingPeerRequests>,
}

/// Requests of peers that await this node's response.
#[derive(Debug, Default)]
pub(crate) struct PendingPeerRequests {
    pending: std::sync::Mutex<PendingResponses>,
}

#[derive(Debug, Default)]
struct PendingResponses {
    next_id: u64,
    responders: HashMap<PeerRequestId, Sender<PeerResponse>>,
}

impl PendingPeerRequests {
    fn insert(&self, responder: Sender<PeerResponse>) -> PeerRequestId {
        let mut pending = self.lock();
        pending.next_id += 1;
        let request_id = PeerRequestId(pending.next_id);
        pending.responders.insert(request_id, responder);
        request_id
    }

    fn take(&self, request_id: PeerRequestId) -> Option<Sender<PeerResponse>> {
        self.lock().responders.remove(&request_id)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PendingResponses> {
        self.pending
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Forwards the messages of peers to the control thread.
pub(crate) async fn receive_peers(
    peers: Receiver<PeerEvent>,
    pending_requests: Arc<PendingPeerRequests>,
    events: Sender<ControlEvent>,
) {
    while let Ok(event) = peers.recv().await {
        let event = match event {
            PeerEvent::Beacon { from, beacon } => {
                ControlEvent::Membership(MembershipEvent::Beacon { from, beacon })
            }
            PeerEvent::Request {
                request: PeerRequest::Fleet,
                responder,
            } => ControlEvent::FleetCopyRequested(responder),
            PeerEvent::Request { request, responder } => {
                let request_id = pending_requests.insert(responder);
                ControlEvent::Membership(MembershipEvent::PeerRequest {
                    request_id,
                    request,
                })
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
}

impl ActionExecutor {
    pub(crate) fn commit_fleet(&self, transaction: Transaction) {
        let platform = Arc::clone(&self.platform);
        let id = transaction.id;
        self.spawn(async move {
            let outcome = platform.commit(transaction).await;
            ControlEvent::Fleet(FleetEvent::Committed {
                transaction: id,
                outcome,
            })
        });
    }

    pub(crate) fn commit_membership(&self, transaction: Transaction) {
        let platform = Arc::clone(&self.platform);
        let id = transaction.id;
        self.spawn(async move {
            let outcome = platform.commit(transaction).await;
            ControlEvent::Membership(MembershipEvent::Committed {
                transaction: id,
                outcome,
            })
        });
    }

    pub(crate) fn read_fleet(&self, read: tanagerhub_fleet::ReadId, query: RowQuery) {
        let platform = Arc::clone(&self.platform);
        self.spawn(async move {
            let rows = match query {
                RowQuery::Keys(keys) => platform.read(ReadRows::Keys(keys)).await,
                RowQuery::Prefix(prefix) => read_prefix(&*platform, prefix).await,
            };
            let result = rows.map_err(|error| store_failure(&error));
            ControlEvent::Fleet(FleetEvent::Rows { read, result })
        });
    }

    pub(crate) fn read_membership(&self, read: tanagerhub_membership::ReadId, rows: TableRead) {
        let platform = Arc::clone(&self.platform);
        self.spawn(async move {
            let rows = match rows {
                TableRead::Keys(keys) => platform.read(ReadRows::Keys(keys)).await,
                TableRead::Prefix(prefix) => read_prefix(&*platform, &prefix).await,
            };
            ControlEvent::Membership(match rows {
                Ok(rows) => MembershipEvent::Rows { read, rows },
                Err(_unavailable) => MembershipEvent::ReadFailed { read },
            })
        });
    }

    pub(crate) fn read_vms(&self) {
        let platform = Arc::clone(&self.platform);
        self.spawn(async move {
            let vms = platform.vms().await;
            vms.map_or(ControlEvent::VmsReadFailed, ControlEvent::Vms)
        });
    }

    pub(crate) fn probe(&self, vm: VmId, address: SocketAddr, is_service: bool, sent: Moment) {
        let engines = self.engines.clone();
        let backends = self.backends.clone();
        self.spawn(async move {
            let result = if is_service {
                probe_service(&backends, vm, address).await
            } else {
                engines
                    .report(address)
                    .await
                    .map_err(|error| engine_probe_failure(&error))
            };
            ControlEvent::Fleet(FleetEvent::Probed { vm, sent, result })
        });
    }

    pub(crate) fn order(&self, address: SocketAddr, order: Order, until: Moment) {
        let engines = self.engines.clone();
        let clock = self.clock.clone();
        self.spawn(async move {
            let result = if clock.now() >= until {
                Err(OrderFailure::Expired)
            } else {
                let response = engines.order(address, &order).await;
                response.map_err(|_no_response| OrderFailure::Lost)
            };
            let Order {
                vm, group, epoch, ..
            } = order;
            ControlEvent::Fleet(FleetEvent::Ordered {
                vm,
                group,
                epoch,
                result,
            })
        });
    }

    pub(crate) fn send_beacon(&self, to: SocketAddr, beacon: Beacon) {
        let peers = self.peers.clone();
        task::spawn(async move {
            // A datagram that the operating system rejects is treated as lost.
            drop(peers.send_beacon(to, &beacon).await);
        });
    }

    pub(crate) fn send_peer_request(
        &self,
        request_id: PeerRequestId,
        to: SocketAddr,
        request: PeerRequest,
    ) {
        let peers = self.peers.clone();
        self.spawn(async move {
            let response = peers
                .send_request(to, &request, PEER_REQUEST_TIMEOUT)
                .await
                .ok();
            ControlEvent::Membership(MembershipEvent::PeerResponse {
                request_id,
                response,
            })
        });
    }

    /// Requests a peer's group rows and VMs.
    pub(crate) fn request_fleet_copy(&self, to: SocketAddr) {
        let peers = self.peers.clone();
        self.spawn(async move {
            let copy = match peers
                .send_request(to, &PeerRequest::Fleet, PEER_REQUEST_TIMEOUT)
                .await
            {
                Ok(PeerResponse::Fleet(bytes)) => FleetCopy::decode(&bytes),
                Ok(_) | Err(_) => None,
            };
            ControlEvent::FleetCopyReceived(copy.unwrap_or_default())
        });
    }

    pub(crate) fn respond_to_peer(&self, request_id: PeerRequestId, response: PeerResponse) {
        if let Some(responder) = self.pending_requests.take(request_id) {
            drop(responder.try_send(response));
        }
    }

    pub(crate) fn fetch_object(&self, hash: ContentHash) {
        let platform = Arc::clone(&self.platform);
        self.spawn(async move {
            let body = platform.get_object(ObjectName::from(hash.0)).await;
            let body = body.ok().map(Arc::from);
            ControlEvent::Membership(MembershipEvent::Fetched { hash, body })
        });
    }

    pub(crate) fn store_object(&self, hash: ContentHash, body: Arc<[u8]>) {
        let platform = Arc::clone(&self.platform);
        self.spawn(async move {
            let kept = platform.put_object(body.to_vec()).await.is_ok();
            ControlEvent::Membership(MembershipEvent::Stored { hash, kept })
        });
    }

    fn spawn(&self, work: impl Future<Output = ControlEvent> + Send + 'static) {
        let events = self.events.clone();
        task::spawn(async move {
            let event = work.await;
            drop(events.send(event).await);
        });
    }
}

/// Reads all rows with a prefix, page by page.
async fn read_prefix(platform: &dyn Platform, prefix: &str) -> Result<Vec<Row>, PlatformError> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after: Option<RowKey> = rows.last().map(|row| row.key.clone());
        let page = ReadRows::Prefix {
            prefix: prefix.to_owned(),
            after,
            limit: ROWS_PER_PAGE,
        };
        let page = platform.read(page).await?;
        let is_last = page.len() < ROWS_PER_PAGE as usize;
        rows.extend(page);
        if is_last {
            return Ok(rows);
        }
    }
}

/// Probes a plain service; it has no boot id, so the report holds the default one.
async fn probe_service(
    backends: &BackendClient,
    vm: VmId,
    address: SocketAddr,
) -> Result<MemberReport, ProbeFailure> {
    let timeouts = Timeouts {
        connect: PROBE_TIMEOUT,
        first_byte: PROBE_TIMEOUT,
        body_idle: PROBE_TIMEOUT,
    };
    let request = BackendRequest::new(Method::GET, HEALTH_PATH).timeouts(timeouts);
    let response = backends
        .send(address, request)
        .await
        .map_err(|error| backend_probe_failure(&error))?;
    // The body is read so that the connection can be reused.
    let status = response.status;
    drop(response.body.read(MAX_HEALTH_BODY_BYTES).await);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(ProbeFailure::Refused);
    }
    Ok(MemberReport {
        vm,
        boot: BootId::default(),
        group: None,
        epoch: Epoch::default(),
        rank: Rank::default(),
        state: EngineState::Ready,
        temperature: Temperature::Warm,
        leaving: false,
        running: 0,
        waiting: 0,
    })
}

const fn engine_probe_failure(error: &EngineError) -> ProbeFailure {
    match error {
        EngineError::Backend(error) => backend_probe_failure(error),
        EngineError::Body(_) => ProbeFailure::Timeout,
        EngineError::Status { .. } | EngineError::Malformed { .. } => ProbeFailure::Malformed,
    }
}

const fn backend_probe_failure(error: &BackendError) -> ProbeFailure {
    match error {
        BackendError::NotSent { .. } => ProbeFailure::Refused,
        BackendError::Malformed { .. } => ProbeFailure::Malformed,
        BackendError::Broken { .. } | BackendError::Timeout { .. } => ProbeFailure::Timeout,
    }
}

const fn store_failure(error: &PlatformError) -> StoreFailure {
    match error {
        PlatformError::RateLimited => StoreFailure::RateLimited,
        PlatformError::Unavailable { .. }
        | PlatformError::NoObject { .. }
        | PlatformError::Malformed { .. } => StoreFailure::Unavailable,
    }
}
