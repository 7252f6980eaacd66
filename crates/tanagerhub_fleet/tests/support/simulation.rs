//! A deterministic simulation of a table, engines and nodes that run `Fleet`.
#![expect(
    dead_code,
    reason = "each test target uses a part of the shared simulation"
)]

mod actions;
mod engine;
mod invariants;
mod samples;
mod table;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tanagerhub_catalogue::{
    BootId, Catalogue, DataCentreId, EntryId, Epoch, GroupId, NodeId, Rank, Vm, VmId,
};
use tanagerhub_clock::Moment;
use tanagerhub_fleet::rows::GroupRow;
use tanagerhub_fleet::{
    EngineState, Fleet, FleetAction, FleetEvent, FleetSettings, GroupView, NotServing, Order, Peer,
};

pub use self::engine::{Engine, VmCondition};
pub use self::samples::{domains, model_catalogue};
pub use self::table::Table;

pub const SECOND: Duration = Duration::from_secs(1);
const LATENCY: Duration = Duration::from_millis(5);

#[derive(Debug)]
pub struct Node {
    pub id: NodeId,
    pub data_centre: DataCentreId,
    pub fleet: Fleet,
    pub running: bool,
    pub store_partitioned: bool,
    pub peers_partitioned: bool,
    pub settings: FleetSettings,
    delayed_events: Vec<FleetEvent>,
}

#[derive(Debug)]
enum QueuedItem {
    Event(usize, FleetEvent),
    Action(usize, FleetAction, Moment),
}

/// The complete simulated environment, driven by one manual clock.
#[derive(Debug)]
pub struct Simulation {
    pub now: Moment,
    pub table: Table,
    pub engines: BTreeMap<VmId, Engine>,
    pub vms: Vec<Vm>,
    pub nodes: Vec<Node>,
    pub catalogue: Catalogue,
    pub load_time: Duration,
    pub cold_time: Duration,
    pub tick: Duration,
    /// Pairs of a node's index and a VM that can't reach each other.
    pub partitioned: BTreeSet<(usize, VmId)>,
    /// Whether orders are held back instead of delivered, so that a test can deliver them late.
    pub hold_orders: bool,
    pub held_orders: Vec<(usize, Order)>,
    /// Whether the invariants are checked at each step.
    pub checking: bool,
    load_slots: Vec<Moment>,
    queue: BTreeMap<(Moment, u64), QueuedItem>,
    sequence: u64,
    /// The epochs in the VMs' rows at the last check.
    epochs: BTreeMap<VmId, Epoch>,
    /// The number of replicas held and its maximum, by entry, at the last check.
    held: BTreeMap<EntryId, (usize, usize)>,
    /// The VM-milliseconds for which listed VMs did not serve.
    pub stranded: u64,
}

/// Returns whether the group is a complete replica, warm or cold.
pub fn is_serving(view: &GroupView) -> bool {
    let slots = matches!(view.why_not, Some(NotServing::NoColdSlots));
    view.eligible || slots
}

/// Returns a duration in milliseconds, rounded down.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("the duration exceeds 64 bits of milliseconds")
}

impl Simulation {
    pub fn new(nodes: usize, vms: Vec<Vm>, catalogue: Catalogue) -> Self {
        Self::with_settings(nodes, vms, catalogue, &FleetSettings::default().standbys(0))
    }

    pub fn with_settings(
        nodes: usize,
        vms: Vec<Vm>,
        catalogue: Catalogue,
        settings: &FleetSettings,
    ) -> Self {
        let node = |index: usize| {
            let id = NodeId::of(&format!("node-{index}"));
            let data_centre = DataCentreId::of(&format!("dc-{}", index % 3));
            let settings = settings.clone().node(id, data_centre);
            Node {
                id,
                data_centre,
                fleet: Fleet::new(settings.clone(), index as u64 + 1),
                running: true,
                store_partitioned: false,
                peers_partitioned: false,
                settings,
                delayed_events: Vec::new(),
            }
        };
        let engine = |(count, vm): (usize, &Vm)| {
            let engine = Engine {
                vm: vm.id(),
                condition: VmCondition::Alive,
                boot: BootId(1_000 * count as u64 + 1),
                group: None,
                epoch: Epoch(0),
                rank: Rank(0),
                weights: None,
                ready_at: None,
                warm_at: None,
                checks_fencing: count % 2 == 0,
                leaving: false,
                ready_at_epoch: BTreeMap::new(),
                loads: 0,
            };
            (vm.id(), engine)
        };
        let mut simulation = Self {
            now: Moment::from_millis(10_000),
            table: Table::default(),
            engines: vms.iter().enumerate().map(engine).collect(),
            vms,
            nodes: (0..nodes).map(node).collect(),
            catalogue,
            load_time: settings.load_time,
            cold_time: Duration::from_secs(10),
            tick: Duration::from_millis(250),
            partitioned: BTreeSet::new(),
            hold_orders: false,
            held_orders: Vec::new(),
            checking: true,
            load_slots: vec![Moment::ZERO; settings.loads_max],
            queue: BTreeMap::new(),
            sequence: 0,
            epochs: BTreeMap::new(),
            held: BTreeMap::new(),
            stranded: 0,
        };
        for index in 0..nodes {
            simulation.send_state(index);
        }
        simulation
    }

    /// Sends a node the catalogue, the list of VMs and the list of peers.
    pub fn send_state(&mut self, index: usize) {
        let catalogue = Arc::new(self.catalogue.clone());
        let peers = self.peers();
        self.deliver(index, FleetEvent::Catalogue(catalogue));
        self.deliver(index, FleetEvent::Vms(self.vms.clone()));
        self.deliver(index, FleetEvent::Peers(peers));
    }

    pub fn send_state_to_all(&mut self) {
        for index in 0..self.nodes.len() {
            self.send_state(index);
        }
    }

    /// Sends the present state to some nodes only.
    pub fn send_state_to(&mut self, indexes: &[usize]) {
        for index in indexes {
            self.send_state(*index);
        }
    }

    pub fn peers(&self) -> Vec<Peer> {
        let live = self
            .nodes
            .iter()
            .filter(|node| node.running && !node.peers_partitioned);
        live.map(|node| Peer {
            node: node.id,
            data_centre: node.data_centre,
        })
        .collect()
    }

    /// Delivers an event to a node; a paused node handles it when it resumes.
    pub fn deliver(&mut self, index: usize, event: FleetEvent) {
        let node = &mut self.nodes[index];
        if !node.running {
            node.delayed_events.push(event);
            return;
        }
        let actions = node.fleet.on_event(self.now, event);
        for action in actions {
            self.schedule(LATENCY, QueuedItem::Action(index, action, self.now));
        }
    }

    fn schedule(&mut self, delay: Duration, item: QueuedItem) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), item);
    }

    /// Pauses a node's process; events for it are delayed until it resumes.
    pub fn pause_node(&mut self, index: usize) {
        self.nodes[index].running = false;
    }

    pub fn resume_node(&mut self, index: usize) {
        self.nodes[index].running = true;
        for event in std::mem::take(&mut self.nodes[index].delayed_events) {
            self.deliver(index, event);
        }
    }

    /// Replaces a node's process by a new one with the same id; its delayed events are lost.
    pub fn restart_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.fleet = Fleet::new(node.settings.clone(), self.sequence);
        node.delayed_events.clear();
        node.running = true;
        self.send_state(index);
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` returns true, and returns the time that it took; panics after `limit`.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            assert!(
                self.now.since(start) < limit,
                "condition not reached within {limit:?}"
            );
            self.step();
        }
        self.now.since(start)
    }

    pub fn step(&mut self) {
        let end = self.now + self.tick;
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let item = entry.remove();
            self.now = at;
            match item {
                QueuedItem::Event(index, event) => self.deliver(index, event),
                QueuedItem::Action(index, action, sent) => self.perform(index, action, sent),
            }
        }
        self.now = end;
        if self.checking {
            self.record_ready_engines();
        }
        for index in 0..self.nodes.len() {
            if self.nodes[index].running {
                self.deliver(index, FleetEvent::Tick);
            }
        }
        let serving: usize = self
            .views(0)
            .filter(is_serving)
            .map(|view| view.members.len())
            .sum();
        self.stranded += (self.vms.len() - serving) as u64 * millis(self.tick);
        if self.checking {
            self.check_invariants();
        }
    }

    fn record_ready_engines(&mut self) {
        for engine in self.engines.values_mut() {
            if engine.condition == VmCondition::Alive
                && engine.state(self.now) == EngineState::Ready
                && let Some(group) = engine.group
            {
                engine
                    .ready_at_epoch
                    .insert((group, engine.epoch), self.now);
            }
        }
    }

    pub fn engine(&mut self, vm: VmId) -> &mut Engine {
        self.engines.get_mut(&vm).expect("the VM is not listed")
    }

    pub fn set_condition(&mut self, vm: VmId, condition: VmCondition) {
        let engine = self.engine(vm);
        if condition == VmCondition::Alive
            && matches!(engine.condition, VmCondition::Dead | VmCondition::Refusing)
        {
            engine.restart();
        }
        engine.condition = condition;
    }

    pub fn views(&self, index: usize) -> impl Iterator<Item = GroupView> {
        self.nodes[index].fleet.groups(self.now)
    }

    /// Returns the number of groups that a node may send requests to.
    pub fn eligible(&self, index: usize) -> usize {
        self.views(index).filter(|view| view.eligible).count()
    }

    /// Returns the number of groups that are complete and warm at a node.
    pub fn serving(&self, index: usize) -> usize {
        self.views(index)
            .filter(|view| view.phase == tanagerhub_fleet::Phase::Serving)
            .filter(is_serving)
            .count()
    }

    pub fn view(&self, index: usize, id: GroupId) -> Option<GroupView> {
        self.nodes[index].fleet.group(self.now, id)
    }

    /// Returns the replica with the lowest group id.
    pub fn first_group(&self) -> (GroupId, GroupRow) {
        self.table
            .groups()
            .into_iter()
            .next()
            .expect("the group does not exist")
    }
}
