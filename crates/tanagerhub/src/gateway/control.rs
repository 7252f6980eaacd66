//! The control thread: configuration, VMs, groups and presence.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use tanagerhub_catalogue::{Catalogue, DataCentreId, Epoch, GroupId, VmId};
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_groups::{
    Decision, Groups, GroupsAction, GroupsEvent, Head, Presence, PresenceAction, VmReport,
};
use tanagerhub_proxy::LimitsHandle;
use tanagerhub_table::{Commit, FeedError, StoreClock, VersionedRow};
use tanagerhub_traffic::{Route, RouteTable};

use crate::gateway::control_store::ControlStore;
use crate::gateway::feed::FeedNews;
use crate::gateway::feed_pace::{FeedBounds, FeedPaces, paces};
use crate::gateway::pulse::Pulses;
use crate::gateway::shared::Shared;
use crate::gateway::state_dump::StateDump;
use crate::gateway::{Configuration, Edges, GatewayMetrics, OperatorRow};
use crate::snapshot::Snapshot;
use crate::traffic_handle::TrafficHandle;

/// Time between two ticks of the decisions.
const TICK: Duration = Duration::from_millis(100);
/// The share of a limit over all nodes that nodes use, so that their clocks may differ a little.
const STARTS_MARGIN: f64 = 0.85;
/// For how long the routes of a snapshot hold: they are published anew whenever they change.
const TRUST: Duration = Duration::MAX;

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
    PresenceWritten(Commit),
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
    store_clock: StoreClock,
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
    /// The live nodes that the groups were told of.
    fleet: usize,
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
                if commit != Commit::Unknown {
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
                self.tell_groups(now, GroupsEvent::YieldPlan);
                self.presence.stops();
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
        let (nodes, place) = (self.presence.live(now), self.presence.place(now));
        if nodes != self.view.fleet {
            self.view.fleet = nodes;
            self.tell_groups(now, GroupsEvent::Nodes(nodes));
        }
        let plans = self.groups.is_planning();
        self.paces.set(&paces(nodes, place, plans, self.bounds));
        self.metrics.view(self.view.heads.len(), self.shared.age());
    }

    /// Takes in the operators' rows, and dates what is known of them.
    fn operators(&mut self, now: Moment, news: FeedNews) {
        let page = match news.page {
            Ok(page) => page,
            Err(error) => return self.note_store_failure(now, &error),
        };
        if std::mem::take(&mut self.view.store_lost) {
            log::info!(age_ms = self.shared.age().as_millis(); "the store answers again");
            self.tell_groups(now, GroupsEvent::StoreReturned);
        }
        if news.all {
            let listed = |zone: &String| {
                page.rows.iter().any(|row| {
                    let subject = self.edges.dialect.operator_row(row.key.name());
                    row.value.is_some() && subject == OperatorRow::Evacuation(zone.clone())
                })
            };
            let kept: BTreeSet<String> = self
                .view
                .evacuated
                .iter()
                .filter(|zone| listed(zone))
                .cloned()
                .collect();
            self.evacuate(now, kept);
        }
        for row in &page.rows {
            self.operator_row(now, row);
        }
        let proved = self
            .view
            .store_clock
            .date(news.sent, news.received, page.at);
        self.shared.prove(proved);
    }

    fn note_store_failure(&mut self, now: Moment, error: &FeedError) {
        if !std::mem::replace(&mut self.view.store_lost, true) {
            let age = self.shared.age();
            log::warn!(error:%, age_ms = age.as_millis(); "the store does not answer");
            self.tell_groups(now, GroupsEvent::StoreLost);
        }
    }

    fn operator_row(&mut self, now: Moment, row: &VersionedRow) {
        match self.edges.dialect.operator_row(row.key.name()) {
            OperatorRow::Configuration => {
                if let Some(value) = &row.value {
                    self.configure(now, value);
                }
            }
            OperatorRow::Evacuation(zone) => {
                let mut evacuated = self.view.evacuated.clone();
                if row.value.is_some() {
                    evacuated.insert(zone);
                } else {
                    evacuated.remove(&zone);
                }
                self.evacuate(now, evacuated);
            }
            OperatorRow::Other => {}
        }
    }

    fn evacuate(&mut self, now: Moment, zones: BTreeSet<String>) {
        if zones == self.view.evacuated {
            return;
        }
        log::info!(zones:? = zones; "data centres out of service");
        let ids = zones.iter().map(|zone| DataCentreId::of(zone)).collect();
        self.view.evacuated = zones;
        self.tell_groups(now, GroupsEvent::Evacuated(ids));
        self.publish_routes(now);
    }

    fn configure(&mut self, now: Moment, value: &[u8]) {
        let configuration = match self.edges.dialect.configuration(value) {
            Ok(configuration) => configuration,
            Err(error) => {
                log::error!(error:%; "the configuration can't be used; the last one stays");
                return;
            }
        };
        let known = self.view.configuration.as_ref().map(|it| it.version);
        if known.is_some_and(|known| known >= configuration.version) {
            return;
        }
        log::info!(version = configuration.version, before:? = known; "configuration in force");
        let configuration = Arc::new(configuration);
        self.limits.set(configuration.limits);
        self.shared.configure(Arc::clone(&configuration));
        let engines = configuration.engines.clone();
        self.view.configuration = Some(configuration);
        self.tell_groups(now, GroupsEvent::Engines(engines));
        self.view.heads.clear();
        self.publish_routes(now);
    }

    fn vms(&mut self, now: Moment, news: FeedNews) {
        let page = match news.page {
            Ok(page) => page,
            Err(error) => return note_lost("vms", &mut self.view.vms_lost, &error),
        };
        note_back("vms", &mut self.view.vms_lost);
        if news.all {
            let rows = page.rows.iter();
            let reports = rows.filter_map(|row| self.vm_report(row)).collect();
            self.tell_groups(now, GroupsEvent::AllVms(reports));
        } else {
            // In order: a page may tell of several changes of a row.
            for row in &page.rows {
                let gone = || GroupsEvent::VmGone(VmId::of(row.key.name()));
                let event = self
                    .vm_report(row)
                    .map_or_else(gone, GroupsEvent::VmChanged);
                self.tell_groups(now, event);
            }
        }
        self.publish_routes(now);
    }

    /// What a VM's row says; nothing if it has been removed or can't be read.
    fn vm_report(&self, row: &VersionedRow) -> Option<VmReport> {
        let name = row.key.name();
        match self.edges.dialect.vm(name, row.value.as_ref()?) {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!(vm = name, error:%; "a VM's row can't be read: it counts as gone");
                None
            }
        }
    }

    fn nodes(&mut self, now: Moment, news: FeedNews) {
        let page = match news.page {
            Ok(page) => page,
            Err(error) => {
                self.view.nodes_known = false;
                return note_lost("nodes", &mut self.view.nodes_lost, &error);
            }
        };
        note_back("nodes", &mut self.view.nodes_lost);
        if let Err(error) = self.presence.rows(now, &page.rows, news.all) {
            log::warn!(error:%; "a node's row is ignored");
        }
        self.view.nodes_known = true;
        self.tend_presence(now);
    }

    /// Writes this node's row when it is due, and tries to plan when nobody does.
    fn tend_presence(&mut self, now: Moment) {
        let configured = self.view.configuration.is_some();
        let knows = self.view.nodes_known && configured && !self.view.draining;
        for action in self.presence.tick(now, knows) {
            match action {
                PresenceAction::Write(value) => self.store.write_presence(value),
                PresenceAction::Plan(boots) => {
                    self.tell_groups(now, GroupsEvent::Plan(boots));
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
        let lost = self.groups.take_lost();
        if !lost.is_empty() {
            self.publish_routes(now);
        }
        for (group, epoch) in lost {
            self.pulses.alarm(group, epoch);
        }
        let plans = self.groups.is_planning();
        self.presence.plans(plans);
    }

    /// Publishes where requests may go, if that has changed.
    fn publish_routes(&mut self, now: Moment) {
        let Some(configuration) = self.view.configuration.clone() else {
            return;
        };
        let mut heads = self.groups.heads();
        for head in &mut heads {
            // Only whether it is cold matters, and that is covered by the limit that always holds.
            head.cold = Duration::ZERO;
        }
        let live = self.presence.live(now);
        if heads == self.view.heads && live == self.view.live && self.view.generation > 0 {
            return;
        }
        self.log_route_changes(&heads);
        let names: HashMap<GroupId, Arc<str>> = heads
            .iter()
            .map(|head| (head.group, Arc::from(head.name.as_str())))
            .collect();
        self.shared.rename(names);
        let routes = heads
            .iter()
            .map(|head| route(head, &configuration, live))
            .collect();
        self.view.heads = heads;
        self.view.live = live;
        self.view.generation += 1;
        let catalogue: Arc<Catalogue> = Arc::clone(&configuration.catalogue);
        self.traffic.publish(Snapshot {
            generation: self.view.generation,
            made: now,
            trust: TRUST,
            catalogue,
            routes: RouteTable { routes },
            fresh_until: Some(now + Duration::MAX),
            nodes: u32::try_from(live).unwrap_or(u32::MAX),
            place: 0,
        });
    }

    fn log_route_changes(&self, heads: &[Head]) {
        let key = |head: &Head| (head.group, head.epoch);
        let before: BTreeSet<_> = self.view.heads.iter().map(key).collect();
        let after: BTreeSet<_> = heads.iter().map(key).collect();
        for (group, epoch) in after.difference(&before) {
            log::info!(group:%, epoch = epoch.0; "requests may go to a group");
        }
        for (group, epoch) in before.difference(&after) {
            log::info!(group:%, epoch = epoch.0; "no more requests to a group");
        }
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

/// The route to a head, with this node's share of what it bears.
fn route(head: &Head, configuration: &Configuration, live: usize) -> Route {
    let live = u32::try_from(live).unwrap_or(u32::MAX).max(1);
    let starts = configuration.starts.get(&head.entry).copied();
    let mut route = Route::new(head.group, head.epoch, head.entry, head.address);
    route.data_centre = head.data_centre;
    route.slots = Some(head.slots);
    route.starts = starts.map(|starts| share(starts, live));
    route
}

/// A node's share of a limit over all nodes; one at least, or a large fleet could start nothing.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of a small count"
)]
fn share(limit: u32, nodes: u32) -> u32 {
    ((f64::from(limit) * STARTS_MARGIN / f64::from(nodes)) as u32).max(1)
}

fn log_decision(decision: &Decision) {
    let text = serde_json::to_string(decision);
    let text = text.unwrap_or_else(|error| error.to_string());
    log::info!(target: "tanagerhub::groups", detail = text.as_str(); "group decision");
}

/// Logs that a table's feed is lost, once until it is back.
fn note_lost(table: &str, lost: &mut bool, error: &FeedError) {
    if !std::mem::replace(lost, true) {
        log::warn!(table, error:%; "a feed does not answer");
    }
}

/// Logs that a feed that was lost answers again.
fn note_back(table: &str, lost: &mut bool) {
    if std::mem::take(lost) {
        log::info!(table; "a feed answers again");
    }
}
