//! The control thread: configuration, VMs, groups and presence.

mod feeds;
mod routes;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_groups::{
    Decision, Groups, GroupsAction, GroupsEvent, Head, Presence, PresenceAction,
};
use tanagerhub_proxy::LimitsHandle;
use tanagerhub_table::CommitResult;

use crate::gateway::control_store::ControlStore;
use crate::gateway::feed::FeedNews;
use crate::gateway::feed_pace::{FeedBounds, FeedPaces, paces};
use crate::gateway::pulse::Pulses;
use crate::gateway::relay::Peers;
use crate::gateway::shared::Shared;
use crate::gateway::state_dump::StateDump;
use crate::gateway::{Configuration, Edges, GatewayMetrics};
use crate::traffic_handle::TrafficHandle;

/// Time between two ticks of the decisions.
const TICK: Duration = Duration::from_millis(100);

/// What reaches the control thread.
#[derive(Debug)]
pub(crate) enum GatewayEvent {
    /// News of the operators' rows.
    Operators(FeedNews),
    /// News of the VMs' rows.
    Vms(FeedNews),
    /// News of the nodes' rows.
    Nodes(FeedNews),
    /// An answer to an action of the groups.
    Groups(GroupsEvent),
    /// The store's answer to the write of this node's row.
    PresenceWritten(CommitResult),
    /// Requests at a group failed or went silent.
    Suspected(GroupId, Epoch),
    /// How soon changes must be known is another matter from now on.
    Bounds(FeedBounds),
    /// Somebody wants to see the state.
    Dump(Sender<String>),
    /// The node stops: it plans no more.
    Drain,
    /// The thread is to end.
    Stop,
}

/// The state of the control thread.
#[derive(Debug)]
pub(crate) struct GatewayControl {
    pub(crate) clock: Clock,
    pub(crate) edges: Edges,
    pub(crate) store: ControlStore,
    pub(crate) shared: Arc<Shared>,
    pub(crate) traffic: Arc<TrafficHandle>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) groups: Groups,
    pub(crate) presence: Presence,
    /// How often the feeds ask the store.
    pub(crate) paces: FeedPaces,
    /// From whom the feeds may hear of the store's rows.
    pub(crate) peers: Arc<Peers>,
    /// How soon changes must be known.
    pub(crate) bounds: FeedBounds,
    /// The pulses of groups with requests, to wake those of a group that lost a member.
    pub(crate) pulses: Arc<Pulses>,
    /// The limits of callers' connections, which the configuration sets.
    pub(crate) limits: LimitsHandle,
    pub(crate) view: ControlView,
}

/// What the control thread knows and has published.
#[expect(
    clippy::struct_excessive_bools,
    reason = "facts that are independent of each other"
)]
#[derive(Debug, Default)]
pub(crate) struct ControlView {
    configuration: Option<Arc<Configuration>>,
    evacuated: BTreeSet<String>,
    /// Whether the nodes' rows have been read.
    nodes_known: bool,
    /// Whether the last call for the operators' rows had no answer.
    store_lost: bool,
    /// Whether the last call for the VMs' rows had no answer.
    vms_lost: bool,
    /// Whether the last call for the nodes' rows had no answer.
    nodes_lost: bool,
    draining: bool,
    in_use: bool,
    heads: Vec<Head>,
    live: usize,
    generation: u64,
}

impl GatewayControl {
    /// Runs until [`GatewayEvent::Stop`].
    pub(crate) async fn run(mut self, events: Receiver<GatewayEvent>) {
        let mut ticked = Moment::ZERO;
        loop {
            let left = TICK.saturating_sub(self.clock.now().since(ticked));
            match self.clock.timeout(left, events.recv()).await {
                Some(Ok(GatewayEvent::Stop) | Err(_)) => return,
                Some(Ok(event)) => self.take(event),
                None => {}
            }
            let now = self.clock.now();
            if now.since(ticked) >= TICK {
                ticked = now;
                self.tick(now);
            }
        }
    }

    fn take(&mut self, event: GatewayEvent) {
        let now = self.clock.now();
        match event {
            GatewayEvent::Operators(news) => self.operators(now, news),
            GatewayEvent::Vms(news) => self.vms(now, news),
            GatewayEvent::Nodes(news) => self.nodes(now, news),
            GatewayEvent::Groups(event) => self.tell_groups(now, event),
            GatewayEvent::PresenceWritten(commit) => {
                if commit != CommitResult::Unknown {
                    log::debug!(commit:?; "presence written");
                }
            }
            GatewayEvent::Suspected(group, epoch) => {
                self.tell_groups(now, GroupsEvent::Suspected { group, epoch });
            }
            GatewayEvent::Bounds(bounds) => self.bounds = bounds,
            GatewayEvent::Dump(reply) => {
                drop(reply.try_send(self.dump(now)));
            }
            GatewayEvent::Drain => {
                self.view.draining = true;
                self.tell_groups(now, GroupsEvent::ResignPlanner);
                self.presence.set_stopping();
                self.tend_presence(now);
            }
            GatewayEvent::Stop => {}
        }
    }

    fn tick(&mut self, now: Moment) {
        if !self.view.in_use && self.shared.is_in_use() {
            self.view.in_use = true;
            self.tell_groups(now, GroupsEvent::InUse);
        }
        self.tell_groups(now, GroupsEvent::Tick);
        self.tend_presence(now);
        self.publish_routes(now);
        self.tell_groups(now, GroupsEvent::NodeCount(self.presence.live_nodes(now)));
        self.tend_feeds(now);
        self.metrics.view(self.view.heads.len(), self.shared.age());
    }

    /// Sets whom the feeds ask, and how often.
    fn tend_feeds(&mut self, now: Moment) {
        let relays = self.presence.relay_addresses(now);
        if self.peers.set(relays) {
            let peers = self.peers.get();
            log::info!(peers:? = *peers; "peers that may tell of the store's rows");
        }
        let (askers, place) = (self.presence.store_readers(now), self.presence.rank(now));
        let plans = self.groups.is_planning();
        self.paces.set(&paces(askers, place, plans, self.bounds));
    }

    /// Writes this node's row when it is due, and tries to plan when nobody does.
    fn tend_presence(&mut self, now: Moment) {
        let configured = self.view.configuration.is_some();
        let knows = self.view.nodes_known && configured && !self.view.draining;
        for action in self.presence.tick(now, knows) {
            match action {
                PresenceAction::Write(value) => self.store.write_presence(value),
                PresenceAction::BecomePlanner(boots) => {
                    self.tell_groups(now, GroupsEvent::BecomePlanner(boots));
                }
            }
        }
    }

    /// Hands an event to the decisions on groups, and carries out what they want.
    fn tell_groups(&mut self, now: Moment, event: GroupsEvent) {
        let actions = self.groups.on_event(now, event);
        for action in actions {
            match action {
                GroupsAction::Commit(transaction) => self.store.commit(transaction),
                GroupsAction::ReadRows => self.store.read_groups(),
                GroupsAction::Order {
                    vm,
                    name,
                    address,
                    order,
                } => self.store.order(vm, name, address, order),
                GroupsAction::Probe { vm } => {
                    if let Some(report) = self.groups.report(vm) {
                        self.store.probe(report.clone());
                    }
                }
            }
        }
        for decision in self.groups.take_decisions() {
            log_decision(&decision);
        }
        let lost = self.groups.take_degraded();
        if !lost.is_empty() {
            self.publish_routes(now);
        }
        for (group, epoch) in lost {
            self.pulses.alarm(group, epoch);
        }
        let plans = self.groups.is_planning();
        self.presence.set_planning(plans);
    }

    fn dump(&self, now: Moment) -> String {
        let dump = StateDump {
            configuration: self.view.configuration.as_ref().map(|it| it.version),
            store_age_ms: u64::try_from(self.shared.age().as_millis()).unwrap_or(u64::MAX),
            nodes: self.view.live,
            plans: self.groups.is_planning(),
            evacuated: self.view.evacuated.iter().cloned().collect(),
            routes: self.view.heads.iter().map(Into::into).collect(),
            groups: self.groups.group_statuses(now),
            vms: self.groups.vm_statuses(),
        };
        dump.to_json()
    }
}

fn log_decision(decision: &Decision) {
    let text = serde_json::to_string(decision);
    let text = text.unwrap_or_else(|error| error.to_string());
    log::info!(target: "tanagerhub::groups", detail = text.as_str(); "group decision");
}
