//! Runs the actions of the control thread and sends their results back as events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_std::task;
use rand::Rng as _;
use tanagerhub_catalogue::VmId;
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_groups::{
    GROUPS_TABLE, GroupsEvent, Order, OrderResult, ProbeFailure, SeenVm, TermRow, VmReport,
};
use tanagerhub_proxy::Client;
use tanagerhub_table::{CommitResult, RowKey, StoreAnswer, Transaction, TransactionId};
use tanagerhub_traffic::{CrashRowChanges, ServerLifetime};

use crate::gateway::control::GatewayEvent;
use crate::gateway::limit_notices::{self, DueNotice};
use crate::gateway::planner_calls::{self, PlannerReply};
use crate::gateway::self_reports::record_engine_report;
use crate::gateway::store_eras::StoreEras;
use crate::gateway::{Adapters, CallConditions, GatewayMetrics};
use crate::traffic_handle::TrafficHandle;

/// The store's table of the nodes' presence rows.
pub(crate) const NODES_TABLE: &str = "nodes";
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The timeout of a read of the groups' rows.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Spawns the calls of the control thread to the store and to the engines.
#[derive(Debug)]
pub(crate) struct ActionExecutor {
    pub(crate) node: String,
    pub(crate) adapters: Adapters,
    pub(crate) clock: Clock,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) events: Sender<GatewayEvent>,
    pub(crate) eras: Arc<StoreEras>,
    /// The client for notices to peers.
    pub(crate) peer_client: Client,
}

impl ActionExecutor {
    /// Returns this node's row with a value, and the nodes that are to guarantee its term.
    pub(crate) fn term_row(&self, value: Vec<u8>, guarantors: Vec<SocketAddr>) -> TermRow {
        let key = RowKey::in_table(NODES_TABLE, &self.node);
        TermRow {
            key,
            value,
            guarantors,
        }
    }

    /// Asks nodes to promise not to become the planner.
    pub(crate) fn ask_promises(&self, nodes: Vec<SocketAddr>) {
        let (client, clock) = (self.peer_client.clone(), self.clock.clone());
        let (asked_at, events) = (self.clock.now(), self.events.clone());
        task::spawn(async move {
            if let Some(by) = planner_calls::ask_promises(&client, &clock, &nodes).await {
                let event = GatewayEvent::Groups(GroupsEvent::Promised { asked_at, by });
                drop(events.send(event).await);
            }
        });
    }

    /// Asks nodes to consent to a takeover. `own` is the time after which this node does, if it is
    /// among those to ask.
    pub(crate) fn ask_consent(
        &self,
        asked_at: Moment,
        own: Option<Duration>,
        nodes: Vec<SocketAddr>,
    ) {
        let (client, clock) = (self.peer_client.clone(), self.clock.clone());
        self.spawn(async move {
            let wait = if own == Some(Duration::ZERO) {
                own
            } else {
                let others = planner_calls::ask_consent(&client, &clock, &nodes).await;
                own.into_iter().chain(others).min()
            };
            GatewayEvent::Groups(GroupsEvent::Consented { asked_at, wait })
        });
    }

    /// Has nodes probe a VM that this node doesn't reach.
    pub(crate) fn ask_peers(&self, nodes: Vec<SocketAddr>, vm: VmId) {
        let (client, clock) = (self.peer_client.clone(), self.clock.clone());
        self.spawn(async move {
            let seen = planner_calls::ask_peers(&client, &clock, &nodes, vm).await;
            GatewayEvent::Groups(GroupsEvent::PeersReplied { vm, seen })
        });
    }

    /// Probes a backend server for the planner on another node, unless it is paused.
    pub(crate) fn probe_for_peer(
        &self,
        traffic: &Arc<TrafficHandle>,
        known: VmReport,
        sender: Sender<PlannerReply>,
    ) {
        let probe = self.probe_once(traffic, known);
        task::spawn(async move {
            let report = probe.await.ok();
            let seen = report.map(|report| SeenVm {
                started_ms: report.started_ms,
                group: report.group,
            });
            // The caller may have given up.
            let _: Result<(), _> = sender.send(PlannerReply::Probe(seen)).await;
        });
    }

    /// Writes this node's row without a condition on its previous content.
    pub(crate) fn write_presence(&self, value: Vec<u8>) {
        let key = RowKey::in_table(NODES_TABLE, &self.node);
        let id = TransactionId(u128::from(rand::rng().next_u64()));
        let commit = self.timed_commit(Transaction::new(id).put(key, value));
        self.spawn(async move { GatewayEvent::PresenceWritten(commit.await.result) });
    }

    /// Writes and deletes rows of crashing requests.
    pub(crate) fn write_crash_rows(&self, changes: CrashRowChanges) {
        let id = TransactionId(u128::from(rand::rng().next_u64()));
        let commit = self.timed_commit(changes.transaction(id));
        self.spawn(async move { GatewayEvent::CrashRowsWritten(commit.await.result, changes) });
    }

    /// Sends a notice of backend servers' limits to a peer.
    pub(crate) fn send_limits(&self, traffic: &Arc<TrafficHandle>, notice: DueNotice) {
        let (client, clock) = (self.peer_client.clone(), self.clock.clone());
        let traffic = Arc::clone(traffic);
        self.spawn(async move {
            let received = limit_notices::send(&client, &clock, &traffic, &notice).await;
            GatewayEvent::LimitsSent(notice, received)
        });
    }

    pub(crate) fn commit(&self, transaction: Transaction) {
        let id = transaction.id;
        let commit = self.timed_commit(transaction);
        self.spawn(async move {
            let answer = commit.await;
            GatewayEvent::Groups(GroupsEvent::Committed { id, answer })
        });
    }

    pub(crate) fn read_groups(&self) {
        let store = Arc::clone(&self.adapters.store);
        let (clock, metrics) = (self.clock.clone(), self.metrics.clone());
        let eras = Arc::clone(&self.eras);
        self.spawn(async move {
            let read = clock.timeout(READ_TIMEOUT, store.read(GROUPS_TABLE)).await;
            let page = match read.map(|answer| answer.result) {
                Some(Ok(page)) if eras.observe(page.era) => Some(page),
                Some(Ok(page)) => {
                    log::warn!(era = page.era.map(|era| era.0); "the groups' rows are of an earlier era");
                    None
                }
                Some(Err(error)) => {
                    log::warn!(error:%; "failed to read the groups' rows");
                    None
                }
                None => {
                    log::warn!("timeout reading the groups' rows");
                    None
                }
            };
            metrics.store_call(if page.is_some() {
                "read"
            } else {
                "read_failed"
            });
            GatewayEvent::Groups(GroupsEvent::RowsRead(page))
        });
    }

    /// Sends an order to a backend server before `expires_at`, unless it is paused.
    pub(crate) fn order(
        &self,
        traffic: &Arc<TrafficHandle>,
        server: ServerLifetime,
        (name, address): (String, SocketAddr),
        order: Order,
        expires_at: Moment,
    ) {
        let vm = server.server;
        let (traffic, sender) = (Arc::clone(traffic), self.events.clone());
        let engines = Arc::clone(&self.adapters.engines);
        let (metrics, clock) = (self.metrics.clone(), self.clock.clone());
        self.spawn(async move {
            let result = if may_begin_call(&traffic, vm) {
                let may_send = || clock.now() < expires_at && begin_call(&traffic, vm);
                let conditions = CallConditions {
                    timeout: ORDER_TIMEOUT,
                    may_send: &may_send,
                };
                let answer = engines.order(&name, address, &order, conditions).await;
                record_engine_report(&traffic, &metrics, &sender, server, &name, &answer.report);
                answer.result
            } else {
                OrderResult::Paused
            };
            metrics.order(order_outcome(result));
            GatewayEvent::Groups(GroupsEvent::Ordered { vm, order, result })
        });
    }

    /// Probes a backend server, unless it is paused.
    pub(crate) fn probe(&self, traffic: &Arc<TrafficHandle>, known: VmReport) {
        let (vm, sent) = (known.vm.id(), self.clock.now());
        let probe = self.probe_once(traffic, known);
        self.spawn(async move {
            let result = probe.await;
            GatewayEvent::Groups(GroupsEvent::Probed { vm, sent, result })
        });
    }

    /// Requests the report of a backend server, unless it is paused.
    fn probe_once(
        &self,
        traffic: &Arc<TrafficHandle>,
        known: VmReport,
    ) -> impl Future<Output = Result<VmReport, ProbeFailure>> + Send + 'static {
        let (traffic, sender) = (Arc::clone(traffic), self.events.clone());
        let engines = Arc::clone(&self.adapters.engines);
        let metrics = self.metrics.clone();
        async move {
            let vm = known.vm.id();
            let result = if may_begin_call(&traffic, vm) {
                let may_send = || begin_call(&traffic, vm);
                let conditions = CallConditions {
                    timeout: PROBE_TIMEOUT,
                    may_send: &may_send,
                };
                let answer = engines.report(&known, conditions).await;
                let report = answer.result.as_ref();
                let server = ServerLifetime {
                    server: vm,
                    started_ms: report.map_or(known.started_ms, |report| report.started_ms),
                };
                let name = known.vm.name.as_str();
                record_engine_report(&traffic, &metrics, &sender, server, name, &answer.report);
                answer.result
            } else {
                Err(ProbeFailure::Paused)
            };
            metrics.probe(probe_outcome(&result));
            result
        }
    }

    fn timed_commit(
        &self,
        transaction: Transaction,
    ) -> impl Future<Output = StoreAnswer<CommitResult>> + Send + 'static {
        let store = Arc::clone(&self.adapters.store);
        let (clock, metrics) = (self.clock.clone(), self.metrics.clone());
        let eras = Arc::clone(&self.eras);
        async move {
            let commit = clock.timeout(COMMIT_TIMEOUT, store.commit(transaction));
            let mut commit = commit.await.unwrap_or_else(|| CommitResult::Unknown.into());
            let acknowledges = matches!(
                commit.result,
                CommitResult::Applied(_) | CommitResult::Conflict
            );
            if acknowledges && !eras.observe(commit.era) {
                // What an earlier era has acknowledged may be lost.
                commit = CommitResult::Unknown.into();
            }
            metrics.store_call(commit_outcome(commit.result));
            commit
        }
    }

    fn spawn(&self, action: impl Future<Output = GatewayEvent> + Send + 'static) {
        let events = self.events.clone();
        task::spawn(async move {
            let event = action.await;
            // The control thread may have exited already; the event is then not needed.
            drop(events.send(event).await);
        });
    }
}

/// Whether a connection for a probe or an order may be opened.
fn may_begin_call(traffic: &TrafficHandle, vm: VmId) -> bool {
    traffic.update(|traffic, now| traffic.may_begin_control_call(now, vm))
}

/// Whether a probe or an order may be sent on its connection now.
fn begin_call(traffic: &TrafficHandle, vm: VmId) -> bool {
    traffic.update(|traffic, now| traffic.begin_control_call(now, vm))
}

const fn commit_outcome(commit: CommitResult) -> &'static str {
    match commit {
        CommitResult::Applied(_) => "applied",
        CommitResult::Conflict => "conflict",
        CommitResult::NotApplied => "not_applied",
        CommitResult::Unknown => "unknown",
    }
}

const fn probe_outcome(result: &Result<VmReport, ProbeFailure>) -> &'static str {
    match result {
        Ok(_) => "answered",
        Err(ProbeFailure::Paused) => "paused",
        Err(_) => "failed",
    }
}

const fn order_outcome(result: OrderResult) -> &'static str {
    match result {
        OrderResult::Accepted => "accepted",
        OrderResult::Unfit => "unfit",
        OrderResult::Stale => "stale",
        OrderResult::Misdirected => "misdirected",
        OrderResult::NotSent => "not_sent",
        OrderResult::Paused => "paused",
        OrderResult::Unknown => "unknown",
    }
}
