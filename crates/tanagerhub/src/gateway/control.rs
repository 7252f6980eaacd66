//! The control thread, which owns the state of the configuration, VMs, groups and presence.

mod capacity;
mod crashes;
mod feeds;
mod routes;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use serde::Serialize;
use tanagerhub_catalogue::{DataCentreId, Epoch, GroupId, NodeId, VmId};
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_groups::{
    Decision, Groups, GroupsAction, GroupsEvent, Head, Presence, PresenceAction, Promised, Reach,
};
use tanagerhub_proxy::LimitsHandle;
use tanagerhub_table::CommitResult;
use tanagerhub_traffic::{CrashRowChanges, EndedReport, ServerLifetime};

use self::capacity::CapacityView;
use self::crashes::CrashWriter;
use crate::gateway::capacity::Carrier;
use crate::gateway::control_store::ActionExecutor;
use crate::gateway::feed::FeedUpdate;
use crate::gateway::feed_timing::{FeedBounds, SharedFeedTimings, feed_timings};
use crate::gateway::forwarder::Forwarder;
use crate::gateway::group_activity::GroupActivities;
use crate::gateway::limit_notices::{DueNotice, LimitNotices};
use crate::gateway::memory_metrics::MemoryDump;
use crate::gateway::planner_calls::{PlannerCall, PlannerReply};
use crate::gateway::relay::Peers;
use crate::gateway::shared::SharedState;
use crate::gateway::state_dump::{EraDump, PlannerDump, StateDump};
use crate::gateway::store_eras::StoreEras;
use crate::gateway::store_health::{MIN_PEERS, StoreHealth};
use crate::gateway::{Adapters, Configuration, GatewayMetrics};
use crate::traffic_handle::TrafficHandle;

/// The interval of the periodic decisions on groups, presence and feeds.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum GatewayEvent {
    /// An update of the operators' rows.
    OperatorRows(FeedUpdate),
    /// An update of the VMs' rows.
    VmRows(FeedUpdate),
    /// An update of the nodes' rows.
    NodeRows(FeedUpdate),
    /// An update of the rows of crashing requests.
    CrashRows(FeedUpdate),
    /// The result of writing these changes of the rows of crashing requests.
    CrashRowsWritten(CommitResult, CrashRowChanges),
    /// The result of an action that the group decisions requested.
    Groups(GroupsEvent),
    /// The result of writing this node's row.
    PresenceWritten(CommitResult),
    /// A notice of backend servers' limits was sent, and whether the peer has received it.
    LimitsSent(DueNotice, bool),
    /// Requests to a group failed or received no data.
    Suspected(GroupId, Epoch),
    /// A call of a planner on another node, with the channel for the reply.
    PlannerCall(PlannerCall, Sender<PlannerReply>),
    /// New bounds for the propagation of changes.
    BoundsChanged(FeedBounds),
    /// A request for the state dump, with the channel for the response.
    Dump(Sender<String>),
    /// The node starts to drain and resigns as planner.
    Drain,
    /// The control thread must exit.
    Stop,
}

/// The state of the control thread.
#[derive(Debug)]
pub(crate) struct GatewayControl {
    pub(crate) clock: Clock,
    pub(crate) adapters: Adapters,
    pub(crate) executor: ActionExecutor,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) traffic: Arc<TrafficHandle>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) groups: Groups,
    pub(crate) presence: Presence,
    /// The messages of shared capacity; `None` if this node takes no part in it.
    pub(crate) carrier: Option<Arc<Carrier>>,
    /// The timing of the feeds' calls, which the feeds read while they run.
    pub(crate) timings: SharedFeedTimings,
    /// The peers from which the feeds may receive the store's rows.
    pub(crate) peers: Arc<Peers>,
    /// The era of the store.
    pub(crate) eras: Arc<StoreEras>,
    /// Whether the store responds to this node.
    pub(crate) store_health: Arc<StoreHealth>,
    /// The bounds for the propagation of changes.
    pub(crate) bounds: FeedBounds,
    pub(crate) limit_notices: LimitNotices,
    pub(crate) forwarder: Arc<Forwarder>,
    /// The data centres to whose nodes requests may be forwarded; `None` for all.
    pub(crate) region: Option<BTreeSet<DataCentreId>>,
    /// The activity of groups with requests, to wake the requests of a group with an unreachable
    /// member.
    pub(crate) activities: Arc<GroupActivities>,
    /// The limits of callers' connections, updated with each configuration.
    pub(crate) limits: LimitsHandle,
    pub(crate) view: ControlView,
}

/// The state that the control thread has received from the store and published to traffic.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
#[derive(Debug, Default)]
pub(crate) struct ControlView {
    configuration: Option<Arc<Configuration>>,
    evacuated: BTreeSet<String>,
    /// Whether the last call for the nodes' rows succeeded.
    node_rows_current: bool,
    /// Whether the last call for the operators' rows failed.
    store_unreachable: bool,
    /// Whether the last call for the VMs' rows failed.
    vm_feed_failed: bool,
    /// Whether the last call for the nodes' rows failed, so that the log reports it once.
    node_feed_failed: bool,
    crash_writer: CrashWriter,
    draining: bool,
    in_use: bool,
    /// Whether this node is cut off from most backend servers.
    cut_off: bool,
    heads: Vec<Head>,
    /// The revision of the group decisions that the heads are from; `None` if they are to be
    /// published anew.
    routes_revision: Option<u64>,
    /// The backend servers in reach.
    reach: Reach,
    /// The revision of the group decisions that `reach` is from; `None` before the first one.
    reach_revision: Option<u64>,
    live_nodes: usize,
    /// The other nodes that share the limits of backend servers; `None` while they are unknown.
    senders: Option<Vec<NodeId>>,
    capacity: CapacityView,
    /// The generation of the last published snapshot; 0 before the first one.
    generation: u64,
    /// When the rows of the store's era are complete; `None` before it named one.
    restored_at: Option<Moment>,
    /// How often the store had returned from a copy when this node last wrote its rows again.
    store_returns: u64,
}

impl GatewayControl {
    /// Handles events and ticks until [`GatewayEvent::Stop`] or until all senders are dropped.
    pub(crate) async fn run(mut self, events: Receiver<GatewayEvent>) {
        let mut last_tick = Moment::ZERO;
        loop {
            let left = TICK_PERIOD.saturating_sub(self.clock.now().since(last_tick));
            match self.clock.timeout(left, events.recv()).await {
                Some(Ok(GatewayEvent::Stop) | Err(_)) => return,
                Some(Ok(event)) => self.handle_event(event),
                None => {}
            }
            let now = self.clock.now();
            if now.since(last_tick) >= TICK_PERIOD {
                last_tick = now;
                self.tick(now);
            }
        }
    }

    fn handle_event(&mut self, event: GatewayEvent) {
        let now = self.clock.now();
        self.check_store_return(now);
        match event {
            GatewayEvent::OperatorRows(update) => self.apply_operator_rows(now, update),
            GatewayEvent::VmRows(update) => self.apply_vm_rows(now, update),
            GatewayEvent::NodeRows(update) => self.apply_node_rows(now, update),
            GatewayEvent::CrashRows(update) => self.apply_crash_rows(update),
            GatewayEvent::CrashRowsWritten(commit, changes) => {
                self.crash_rows_written(now, commit, changes);
            }
            GatewayEvent::Groups(event) => self.handle_groups_event(now, event),
            GatewayEvent::PresenceWritten(commit) => {
                if commit != CommitResult::Unknown {
                    log::debug!(commit:?; "presence row written");
                }
            }
            GatewayEvent::LimitsSent(notice, received) => {
                self.limit_notices.record_result(now, notice, received);
            }
            GatewayEvent::Suspected(group, epoch) => {
                self.handle_groups_event(now, GroupsEvent::Suspected { group, epoch });
            }
            GatewayEvent::PlannerCall(call, sender) => self.answer_planner(now, call, &sender),
            GatewayEvent::BoundsChanged(bounds) => self.bounds = bounds,
            GatewayEvent::Dump(sender) => {
                drop(sender.try_send(self.dump(now)));
            }
            GatewayEvent::Drain => {
                self.view.draining = true;
                self.handle_groups_event(now, GroupsEvent::ResignPlanner);
                self.presence.set_stopping();
                self.update_presence(now);
                self.stop_coordinator(now);
            }
            GatewayEvent::Stop => {}
        }
    }

    fn tick(&mut self, now: Moment) {
        if !self.view.in_use && self.shared.is_in_use() {
            self.view.in_use = true;
            self.handle_groups_event(now, GroupsEvent::InUse);
        }
        self.check_store_return(now);
        self.handle_groups_event(now, GroupsEvent::Tick);
        self.update_presence(now);
        self.publish_routes(now);
        self.update_capacity(now);
        self.handle_groups_event(now, GroupsEvent::NodeCount(self.presence.live_nodes(now)));
        self.update_feeds(now);
        self.share_crashes(now);
        self.share_limits(now);
        self.log_ended_reports();
        self.update_reach(now);
        self.metrics
            .record_routes(self.view.heads.len(), self.shared.age());
    }

    /// Has this node's row written again, and planning wait for complete rows, once the store has
    /// returned from a copy.
    fn check_store_return(&mut self, now: Moment) {
        let restored_at = self.eras.restored_at();
        if self.view.restored_at.is_none()
            && let Some(at) = restored_at
        {
            self.handle_groups_event(now, GroupsEvent::EraObserved(at));
        }
        self.view.restored_at = restored_at;
        let returns = self.eras.returns();
        if std::mem::replace(&mut self.view.store_returns, returns) == returns {
            return;
        }
        self.presence.write_again();
        let restored_at = restored_at.unwrap_or(now);
        self.handle_groups_event(now, GroupsEvent::StoreReturned(restored_at));
    }

    /// Checks whether this node is cut off from most backend servers.
    fn update_reach(&mut self, now: Moment) {
        let revision = Some(self.groups.revision());
        if self.view.reach_revision != revision {
            self.view.reach = self.groups.reach();
            self.view.reach_revision = revision;
        }
        let reach = self.view.reach;
        self.forwarder
            .set_reach(reach.is_cut_off(), reach.unreachable > 0);
        let peers = self.presence.peers(now).into_iter();
        let nearby = peers.filter(|peer| self.is_in_region(peer.endpoint.data_centre));
        let addresses = nearby.map(|peer| peer.endpoint.address).collect();
        self.forwarder.set_nodes(addresses);
        self.metrics.record_unreachable(reach.unreachable);
        self.metrics
            .record_ignoring(self.groups.vms_ignoring_orders());
        if reach.is_cut_off() == self.view.cut_off {
            return;
        }
        self.view.cut_off = reach.is_cut_off();
        let Reach {
            listed,
            unreachable,
        } = reach;
        if self.view.cut_off {
            log::warn!(listed, unreachable; "most backend servers are out of reach");
        } else {
            log::info!(listed, unreachable; "most backend servers are in reach again");
        }
    }

    fn is_in_region(&self, data_centre: DataCentreId) -> bool {
        let region = self.region.as_ref();
        region.is_none_or(|centres| centres.contains(&data_centre))
    }

    /// Logs and counts the pauses that have passed and the servers that have left.
    fn log_ended_reports(&self) {
        let ended = self
            .traffic
            .update(|traffic, _| traffic.take_ended_reports());
        for report in ended {
            let (EndedReport::Pause(server) | EndedReport::Leaving(server)) = report;
            let known = self.groups.report(server.server);
            let vm = known.map(|report| report.vm.name.as_str());
            let (what, outcome) = match report {
                EndedReport::Pause(_) => ("pause", "pause_ended"),
                EndedReport::Leaving(_) => ("leaving", "left"),
            };
            self.metrics.self_report(outcome);
            log::info!(vm, server = server.server.0, started_ms = server.started_ms, what;
                "self-report of a backend server ended");
        }
    }

    /// Tells the peers of changed limits of backend servers.
    fn share_limits(&mut self, now: Moment) {
        let (changed, limited) = self.traffic.update(|traffic, _| {
            let limited: BTreeSet<VmId> = traffic.limited_servers().collect();
            (traffic.take_changed_limits(), limited)
        });
        let peers = self.presence.peers(now);
        self.limit_notices.set_peers(&peers, &limited);
        self.limit_notices.add(&changed);
        for notice in self.limit_notices.take_due(now) {
            self.executor.send_limits(&self.traffic, notice);
        }
    }

    /// Whether a call to the store may begin. A node with several peers leaves a store that doesn't
    /// respond alone for a while.
    pub(crate) fn begin_store_call(&self, now: Moment) -> bool {
        self.peers.get().len() < MIN_PEERS || self.store_health.begin_call(now)
    }

    /// Updates the peers and the timing of the feeds.
    fn update_feeds(&mut self, now: Moment) {
        let relays = self.presence.relay_addresses(now);
        if self.peers.set(relays) {
            let peers = self.peers.get();
            log::info!(peers:? = *peers; "peers that may tell of the store's rows");
        }
        let (store_readers, rank) = (self.presence.store_readers(now), self.presence.rank(now));
        let planning = self.groups.is_planning();
        self.timings
            .set(&feed_timings(store_readers, rank, planning, self.bounds));
    }

    /// Writes this node's row when it is due, and tries to become planner if there is none.
    fn update_presence(&mut self, now: Moment) {
        let configured = self.view.configuration.is_some();
        let is_sound = !self.view.draining && !self.view.cut_off;
        let can_plan = self.view.node_rows_current && configured && is_sound;
        for action in self.presence.tick(now, can_plan) {
            let guarantors = || self.presence.guarantors(now);
            match action {
                PresenceAction::Write(value) if self.groups.writes_presence() => {
                    let row = self.executor.term_row(value, guarantors());
                    self.handle_groups_event(now, GroupsEvent::RenewTerm(row));
                }
                PresenceAction::Write(value) => self.executor.write_presence(value),
                PresenceAction::BecomePlanner { boots, value } => {
                    let row = self.executor.term_row(value, guarantors());
                    self.handle_groups_event(now, GroupsEvent::BecomePlanner { boots, row });
                }
            }
        }
    }

    /// Replies to the planner on another node.
    fn answer_planner(&mut self, now: Moment, call: PlannerCall, sender: &Sender<PlannerReply>) {
        match call {
            PlannerCall::Probe(vm) => {
                if let Some(report) = self.groups.report(vm) {
                    let sender = sender.clone();
                    self.executor
                        .probe_for_peer(&self.traffic, report.clone(), sender);
                } else {
                    // The caller may have given up.
                    let _: Result<(), _> = sender.try_send(PlannerReply::Probe(None));
                }
            }
            PlannerCall::Promise => {
                let store_fails = self.view.store_unreachable;
                let promised = if self.groups.may_promise() {
                    self.presence.promise(now, store_fails)
                } else {
                    Promised::Refused
                };
                let reply = match promised {
                    Promised::Given => PlannerReply::Promise(true),
                    Promised::Refused => PlannerReply::Promise(false),
                    // Without a reply the planner goes on unless it needs this node.
                    Promised::NotYet => return,
                };
                // The caller may have given up.
                let _: Result<(), _> = sender.try_send(reply);
            }
            PlannerCall::Consent => {
                let own_term = self.groups.yield_term(now);
                let wait = own_term.map(|wait| wait.max(self.presence.consent(now)));
                let wait_ms = wait.map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
                log::info!(wait_ms; "another node takes over from a silent planner");
                // The caller may have given up.
                let _: Result<(), _> = sender.try_send(PlannerReply::Consent(wait_ms));
            }
        }
    }

    /// Asks the other nodes, the guarantors of the term among them, to promise not to become the
    /// planner.
    fn ask_promises(&self, now: Moment, guarantors: Vec<SocketAddr>) {
        let mut nodes = guarantors;
        let others = self.presence.successors(now).into_iter();
        nodes.extend(
            others
                .filter(|node| !nodes.contains(node))
                .collect::<Vec<_>>(),
        );
        self.executor.ask_promises(nodes);
    }

    /// Asks a silent planner and its guarantors, of which this node may be one, to consent to a
    /// takeover.
    fn ask_consent(&mut self, now: Moment, asked_at: Moment, planner: u64, nodes: Vec<SocketAddr>) {
        let own_address = self.presence.own_address();
        let is_own = |node: &SocketAddr| Some(*node) == own_address;
        let own = nodes.iter().any(is_own).then(|| self.presence.consent(now));
        let mut nodes = nodes;
        nodes.extend(self.presence.address_of(planner));
        nodes.retain(|node| !is_own(node));
        self.executor.ask_consent(asked_at, own, nodes);
    }

    /// Passes an event to the group decisions and runs the resulting actions.
    fn handle_groups_event(&mut self, now: Moment, event: GroupsEvent) {
        let actions = self.groups.on_event(now, event);
        for action in actions {
            match action {
                GroupsAction::Commit(transaction) => self.executor.commit(transaction),
                GroupsAction::ReadRows => self.executor.read_groups(),
                GroupsAction::Order {
                    vm,
                    name,
                    address,
                    order,
                    expires_at,
                } => {
                    let report = self.groups.report(vm);
                    let server = ServerLifetime {
                        server: vm,
                        started_ms: report.map_or(0, |report| report.started_ms),
                    };
                    self.executor
                        .order(&self.traffic, server, (name, address), order, expires_at);
                }
                GroupsAction::AskPromises { guarantors } => self.ask_promises(now, guarantors),
                GroupsAction::AskConsent {
                    planner,
                    guarantors,
                    asked_at,
                } => self.ask_consent(now, asked_at, planner, guarantors),
                GroupsAction::AskPeers { vm } => {
                    self.executor.ask_peers(self.presence.witnesses(now), vm);
                }
                GroupsAction::Probe { vm } => {
                    if let Some(report) = self.groups.report(vm) {
                        self.executor.probe(&self.traffic, report.clone());
                    }
                }
            }
        }
        for decision in self.groups.take_decisions() {
            if let Decision::RowIgnored { reason } = &decision {
                self.metrics.unreadable_value("group", reason);
                continue;
            }
            log_decision(&decision);
        }
        let lost = self.groups.take_lost_groups();
        if !lost.is_empty() {
            self.traffic
                .with(|traffic, now| traffic.record_losses(now, &lost));
        }
        let degraded = self.groups.take_degraded();
        if !degraded.is_empty() {
            self.publish_routes(now);
        }
        for (group, epoch) in degraded {
            self.activities.raise_alarm(group, epoch);
        }
        let planning = self.groups.is_planning();
        self.presence.set_planning(planning);
    }

    fn planner_dump(&self, now: Moment) -> PlannerDump {
        let term = self.groups.term_remaining(now);
        PlannerDump {
            holder: self.presence.planner().map(str::to_owned),
            holds_row: self.groups.is_planning(),
            term_ms: u64::try_from(term.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn dump(&self, now: Moment) -> String {
        let dump = StateDump {
            configuration: self.view.configuration.as_ref().map(|it| it.version),
            store_age_ms: u64::try_from(self.shared.age().as_millis()).unwrap_or(u64::MAX),
            store_era: EraDump::of(&self.eras),
            nodes: self.view.live_nodes,
            plans: self.groups.may_plan(now),
            planner: self.planner_dump(now),
            evacuated: self.view.evacuated.iter().cloned().collect(),
            memory: self.shared.memory().map(MemoryDump::of),
            routes: self.view.heads.iter().map(Into::into).collect(),
            groups: self.groups.group_statuses(now),
            vms: self.groups.vm_statuses(),
            models: self.groups.model_statuses(),
            capacity: self.capacity_dump(),
        };
        dump.to_json()
    }
}

fn log_decision(decision: &Decision) {
    let text = to_json(decision);
    log::info!(target: "tanagerhub::groups", detail = text.as_str(); "group decision");
}

fn to_json(decision: &impl Serialize) -> String {
    serde_json::to_string(decision).unwrap_or_else(|error| error.to_string())
}
