//! A small deterministic bench: a table, engines and nodes that run the real decisions.
#![expect(dead_code, reason = "each test target uses a part of the shared bench")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tanagerhub_catalogue::{
    BootId, Catalogue, CatalogueVersion, Class, ColdLimit, DataCentreId, Entry, EntryId, EntryKind,
    Epoch, Fencing, GroupId, Limits, ModelEntry, NodeId, Rank, Vm, VmId, VmState,
};
use tanagerhub_clock::Moment;
use tanagerhub_fleet::rows::{EntryRow, GroupRow, VmRow, decode, group_of};
use tanagerhub_fleet::{
    EngineState, Fleet, FleetAction, FleetEvent, FleetSettings, GroupView, Health, MemberReport,
    NotServing, Order, OrderAnswer, OrderFailure, OrderKind, Peer, ProbeFailure, RowQuery,
    StoreFailure, Temperature,
};
use tanagerhub_table::{CommitOutcome, Row, RowKey, RowVersion, Transaction, TransactionId, Write};

pub const SECOND: Duration = Duration::from_secs(1);
const LATENCY: Duration = Duration::from_millis(5);

/// How an engine's VM is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Up {
    Alive,
    /// No answer, nothing is lost.
    Paused,
    /// No answer, and empty when it comes back.
    Dead,
    /// The VM runs, its engine doesn't.
    Refusing,
}

#[derive(Debug)]
pub struct Engine {
    pub vm: VmId,
    pub up: Up,
    pub boot: BootId,
    pub group: Option<GroupId>,
    pub epoch: Epoch,
    pub rank: Rank,
    pub weights: Option<String>,
    pub ready_at: Option<Moment>,
    pub warm_at: Option<Moment>,
    pub checks: bool,
    pub leaving: bool,
    /// Where, and when last, the engine could take part in a step.
    pub placed: BTreeMap<(GroupId, Epoch), Moment>,
    pub loads: u32,
}

impl Engine {
    fn state(&self, now: Moment) -> EngineState {
        match self.ready_at {
            None => EngineState::Empty,
            Some(at) if now < at => EngineState::Loading,
            Some(_) => EngineState::Ready,
        }
    }

    pub fn report(&self, now: Moment) -> MemberReport {
        let warm = self.warm_at.is_some_and(|at| now >= at);
        MemberReport {
            vm: self.vm,
            boot: self.boot,
            group: self.group,
            epoch: self.epoch,
            rank: self.rank,
            state: self.state(now),
            temperature: if warm {
                Temperature::Warm
            } else {
                Temperature::Cold
            },
            leaving: self.leaving,
            running: 0,
            waiting: 0,
        }
    }

    fn restart(&mut self) {
        self.boot = BootId(self.boot.0 + 1);
        self.group = None;
        self.epoch = Epoch(0);
        self.weights = None;
        self.ready_at = None;
        self.warm_at = None;
    }
}

/// The table, with faults.
#[derive(Debug, Default)]
pub struct Table {
    pub rows: BTreeMap<RowKey, Row>,
    pub down: bool,
    /// The next commits whose answers are lost after the write.
    pub lose: u32,
    pub commits: u64,
    pub reads: u64,
    version: u64,
}

impl Table {
    fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        if self.down {
            return CommitOutcome::NotApplied;
        }
        self.commits += 1;
        for condition in &transaction.conditions {
            let found = self.rows.get(condition.key()).map(|row| row.version);
            if !condition.holds(found) {
                return CommitOutcome::Conflict {
                    key: condition.key().clone(),
                };
            }
        }
        let mut written = Vec::new();
        for write in &transaction.writes {
            self.version += 1;
            match write {
                Write::Put { key, value } => {
                    let row = Row {
                        key: key.clone(),
                        version: RowVersion(self.version),
                        transaction: transaction.id,
                        value: value.clone(),
                    };
                    self.rows.insert(key.clone(), row.clone());
                    written.push(row);
                }
                Write::Delete { key } => {
                    self.rows.remove(key);
                }
            }
        }
        if self.lose > 0 {
            self.lose -= 1;
            return CommitOutcome::Unknown;
        }
        CommitOutcome::Committed { rows: written }
    }

    fn read(&mut self, query: &RowQuery) -> Result<Vec<Row>, StoreFailure> {
        if self.down {
            return Err(StoreFailure::Unavailable);
        }
        self.reads += 1;
        Ok(match query {
            RowQuery::Keys(keys) => keys
                .iter()
                .filter_map(|key| self.rows.get(key).cloned())
                .collect(),
            RowQuery::Prefix(prefix) => self
                .rows
                .values()
                .filter(|row| row.key.as_str().starts_with(prefix))
                .cloned()
                .collect(),
        })
    }

    /// Writes a row past all conditions.
    pub fn put<T: serde::Serialize>(&mut self, key: RowKey, content: &T) {
        self.version += 1;
        let row = Row {
            key: key.clone(),
            version: RowVersion(self.version),
            transaction: TransactionId(0),
            value: tanagerhub_fleet::rows::encode(content),
        };
        self.rows.insert(key, row);
    }

    /// The groups that are replicas.
    pub fn groups(&self) -> BTreeMap<GroupId, GroupRow> {
        let mut groups = self.all_groups();
        groups.retain(|_, row| !row.standby);
        groups
    }

    /// All groups, with those that stand by.
    pub fn all_groups(&self) -> BTreeMap<GroupId, GroupRow> {
        self.rows
            .values()
            .filter_map(|row| Some((group_of(&row.key)?, decode(row).ok()?)))
            .collect()
    }

    pub fn vm(&self, vm: VmId) -> VmRow {
        let row = self.rows.get(&tanagerhub_fleet::rows::vm_key(vm));
        row.and_then(|row| decode(row).ok()).unwrap_or_default()
    }

    pub fn entry(&self, entry: EntryId) -> EntryRow {
        let row = self.rows.get(&tanagerhub_fleet::rows::entry_key(entry));
        row.and_then(|row| decode(row).ok()).unwrap_or_default()
    }
}

#[derive(Debug)]
pub struct Node {
    pub id: NodeId,
    pub data_centre: DataCentreId,
    pub fleet: Fleet,
    pub up: bool,
    pub store_cut: bool,
    pub peer_cut: bool,
    pub settings: FleetSettings,
    held: Vec<FleetEvent>,
}

#[derive(Debug)]
enum Item {
    Event(usize, FleetEvent),
    Action(usize, FleetAction, Moment),
}

/// Everything, under one manual clock.
#[derive(Debug)]
pub struct World {
    pub now: Moment,
    pub table: Table,
    pub engines: BTreeMap<VmId, Engine>,
    pub vms: Vec<Vm>,
    pub nodes: Vec<Node>,
    pub catalogue: Catalogue,
    pub load_time: Duration,
    pub cold_time: Duration,
    pub tick: Duration,
    /// Pairs that can't reach each other.
    pub cut: BTreeSet<(usize, VmId)>,
    /// Orders are kept instead of sent, to be sent late.
    pub hold_orders: bool,
    pub kept_orders: Vec<(usize, Order)>,
    /// Checks the promises at each step.
    pub checking: bool,
    store_slots: Vec<Moment>,
    queue: BTreeMap<(Moment, u64), Item>,
    count: u64,
    epochs: BTreeMap<VmId, Epoch>,
    held: BTreeMap<EntryId, (usize, usize)>,
    /// VM-milliseconds of listed VMs that did not serve.
    pub stranded: u64,
}

/// A catalogue with one model entry for each `(name, span, min, max)`.
pub fn models(list: &[(&str, u16, u32, u32)]) -> Catalogue {
    let entry = |&(name, span, min, max): &(&str, u16, u32, u32)| Entry {
        name: name.to_owned(),
        owner: "owner".to_owned(),
        class: Class::Interactive,
        limits: Limits {
            replicas_min: min,
            replicas_max: max,
            cold: ColdLimit { concurrency: 2 },
            ..Limits::default()
        },
        kind: EntryKind::Model(ModelEntry {
            weights: format!("{name}-weights"),
            span,
            fencing: Fencing::Ignored,
        }),
    };
    Catalogue {
        version: CatalogueVersion(1),
        entries: list.iter().map(entry).collect(),
        ..Catalogue::default()
    }
}

/// Whether the group is a whole replica, warm or cold.
pub fn is_serving(view: &GroupView) -> bool {
    let slots = matches!(view.why_not, Some(NotServing::NoColdSlots));
    view.eligible || slots
}

/// Whole milliseconds.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).expect("a short time")
}

/// Domains of `size` VMs, dealt out over three data centres.
pub fn domains(count: usize, size: usize) -> Vec<Vm> {
    let vm = |domain: usize, place: usize| Vm {
        name: format!("vm-{domain}-{place}"),
        address: SocketAddr::from((
            Ipv4Addr::new(
                10,
                u8::try_from(domain / 256).unwrap(),
                u8::try_from(domain % 256).unwrap(),
                u8::try_from(place).unwrap(),
            ),
            8_000,
        )),
        data_centre: format!("dc-{}", domain % 3),
        domain: format!("domain-{domain}"),
        service: None,
        state: VmState::Live,
    };
    (0..count)
        .flat_map(|domain| (0..size).map(move |place| vm(domain, place)))
        .collect()
}

impl World {
    pub fn new(nodes: usize, vms: Vec<Vm>, catalogue: Catalogue) -> Self {
        Self::with(nodes, vms, catalogue, &FleetSettings::default().standbys(0))
    }

    pub fn with(
        nodes: usize,
        vms: Vec<Vm>,
        catalogue: Catalogue,
        settings: &FleetSettings,
    ) -> Self {
        let node = |place: usize| {
            let id = NodeId::of(&format!("node-{place}"));
            let data_centre = DataCentreId::of(&format!("dc-{}", place % 3));
            let settings = settings.clone().node(id, data_centre);
            Node {
                id,
                data_centre,
                fleet: Fleet::new(settings.clone(), place as u64 + 1),
                up: true,
                store_cut: false,
                peer_cut: false,
                settings,
                held: Vec::new(),
            }
        };
        let engine = |(count, vm): (usize, &Vm)| {
            let engine = Engine {
                vm: vm.id(),
                up: Up::Alive,
                boot: BootId(1_000 * count as u64 + 1),
                group: None,
                epoch: Epoch(0),
                rank: Rank(0),
                weights: None,
                ready_at: None,
                warm_at: None,
                checks: count % 2 == 0,
                leaving: false,
                placed: BTreeMap::new(),
                loads: 0,
            };
            (vm.id(), engine)
        };
        let mut world = Self {
            now: Moment::from_millis(10_000),
            table: Table::default(),
            engines: vms.iter().enumerate().map(engine).collect(),
            vms,
            nodes: (0..nodes).map(node).collect(),
            catalogue,
            load_time: settings.load_time,
            cold_time: Duration::from_secs(10),
            tick: Duration::from_millis(250),
            cut: BTreeSet::new(),
            hold_orders: false,
            kept_orders: Vec::new(),
            checking: true,
            store_slots: vec![Moment::ZERO; settings.loads_max],
            queue: BTreeMap::new(),
            count: 0,
            epochs: BTreeMap::new(),
            held: BTreeMap::new(),
            stranded: 0,
        };
        for place in 0..nodes {
            world.introduce(place);
        }
        world
    }

    /// Tells a node all that the platform and its peers would.
    pub fn introduce(&mut self, place: usize) {
        let catalogue = Arc::new(self.catalogue.clone());
        let peers = self.peers();
        self.give(place, FleetEvent::Catalogue(catalogue));
        self.give(place, FleetEvent::Vms(self.vms.clone()));
        self.give(place, FleetEvent::Peers(peers));
    }

    pub fn spread(&mut self) {
        for place in 0..self.nodes.len() {
            self.introduce(place);
        }
    }

    /// Tells some nodes only.
    pub fn spread_to(&mut self, places: &[usize]) {
        for place in places {
            self.introduce(*place);
        }
    }

    pub fn peers(&self) -> Vec<Peer> {
        let live = self.nodes.iter().filter(|node| node.up && !node.peer_cut);
        live.map(|node| Peer {
            node: node.id,
            data_centre: node.data_centre,
        })
        .collect()
    }

    /// Gives an event to a node; one that is down gets it when it wakes.
    pub fn give(&mut self, place: usize, event: FleetEvent) {
        let node = &mut self.nodes[place];
        if !node.up {
            node.held.push(event);
            return;
        }
        let actions = node.fleet.on_event(self.now, event);
        for action in actions {
            self.push(LATENCY, Item::Action(place, action, self.now));
        }
    }

    fn push(&mut self, delay: Duration, item: Item) {
        self.count += 1;
        self.queue.insert((self.now + delay, self.count), item);
    }

    /// Pauses a node's process; what reaches it meanwhile waits.
    pub fn pause_node(&mut self, place: usize) {
        self.nodes[place].up = false;
    }

    pub fn wake_node(&mut self, place: usize) {
        self.nodes[place].up = true;
        for event in std::mem::take(&mut self.nodes[place].held) {
            self.give(place, event);
        }
    }

    /// Replaces a node's process by a new one at the same address.
    pub fn restart_node(&mut self, place: usize) {
        let node = &mut self.nodes[place];
        node.fleet = Fleet::new(node.settings.clone(), self.count);
        node.held.clear();
        node.up = true;
        self.introduce(place);
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` holds; gives the time that it took, or panics after `limit`.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            assert!(self.now.since(start) < limit, "not reached in {limit:?}");
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
                Item::Event(place, event) => self.give(place, event),
                Item::Action(place, action, sent) => self.act(place, action, sent),
            }
        }
        self.now = end;
        if self.checking {
            self.place_engines();
        }
        for place in 0..self.nodes.len() {
            if self.nodes[place].up {
                self.give(place, FleetEvent::Tick);
            }
        }
        let serving: usize = self
            .views(0)
            .filter(is_serving)
            .map(|view| view.members.len())
            .sum();
        self.stranded += (self.vms.len() - serving) as u64 * millis(self.tick);
        if self.checking {
            self.check();
        }
    }

    fn place_engines(&mut self) {
        for engine in self.engines.values_mut() {
            if engine.up == Up::Alive
                && engine.state(self.now) == EngineState::Ready
                && let Some(group) = engine.group
            {
                engine.placed.insert((group, engine.epoch), self.now);
            }
        }
    }

    fn act(&mut self, place: usize, action: FleetAction, sent: Moment) {
        let cut = self.nodes[place].store_cut;
        let event = match action {
            FleetAction::Commit(transaction) => FleetEvent::Committed {
                transaction: transaction.id,
                outcome: if cut {
                    CommitOutcome::NotApplied
                } else {
                    self.table.commit(&transaction)
                },
            },
            FleetAction::Read { read, query } => FleetEvent::Rows {
                read,
                result: if cut {
                    Err(StoreFailure::Unavailable)
                } else {
                    self.table.read(&query)
                },
            },
            FleetAction::Probe { vm, .. } => {
                let result = self.probe(place, vm);
                let event = FleetEvent::Probed { vm, sent, result };
                let late = result == Err(ProbeFailure::Timeout);
                let delay = if late {
                    Duration::from_millis(500)
                } else {
                    LATENCY
                };
                return self.push(delay, Item::Event(place, event));
            }
            FleetAction::Order { order, .. } => {
                if self.hold_orders {
                    self.kept_orders.push((place, order));
                    return;
                }
                let (vm, group, epoch) = (order.vm, order.group, order.epoch);
                let result = self.obey(place, order);
                FleetEvent::Ordered {
                    vm,
                    group,
                    epoch,
                    result,
                }
            }
            FleetAction::Attest {
                group,
                epoch,
                age,
                health,
            } => return self.spread_attest(place, (group, epoch), age + LATENCY, health),
        };
        self.push(LATENCY, Item::Event(place, event));
    }

    fn spread_attest(
        &mut self,
        from: usize,
        group: (GroupId, Epoch),
        age: Duration,
        health: Health,
    ) {
        if self.nodes[from].peer_cut {
            return;
        }
        for place in 0..self.nodes.len() {
            if place == from || self.nodes[place].peer_cut {
                continue;
            }
            let event = FleetEvent::Attested {
                from: self.nodes[from].id,
                group: group.0,
                epoch: group.1,
                age: age + LATENCY,
                health,
            };
            self.push(LATENCY, Item::Event(place, event));
        }
    }

    fn probe(&self, place: usize, vm: VmId) -> Result<MemberReport, ProbeFailure> {
        let engine = self.engines.get(&vm).ok_or(ProbeFailure::Timeout)?;
        if self.cut.contains(&(place, vm)) {
            return Err(ProbeFailure::Timeout);
        }
        match engine.up {
            Up::Alive => Ok(engine.report(self.now)),
            Up::Refusing => Err(ProbeFailure::Refused),
            Up::Paused | Up::Dead => Err(ProbeFailure::Timeout),
        }
    }

    /// Hands an order to its engine.
    pub fn obey(&mut self, place: usize, order: Order) -> Result<OrderAnswer, OrderFailure> {
        let (now, load, cold) = (self.now, self.load_time, self.cold_time);
        let cut = self.cut.contains(&(place, order.vm));
        let engine = self.engines.get_mut(&order.vm).ok_or(OrderFailure::Lost)?;
        if cut || engine.up != Up::Alive {
            return Err(OrderFailure::Lost);
        }
        if engine.checks && order.epoch < engine.epoch {
            return Ok(OrderAnswer::Stale {
                epoch: engine.epoch,
            });
        }
        engine.epoch = order.epoch;
        match order.kind {
            OrderKind::Release => {
                engine.group = None;
                engine.weights = None;
                engine.ready_at = None;
            }
            OrderKind::Join { rank, weights, .. } => {
                engine.group = Some(order.group);
                engine.rank = rank;
                if engine.weights.as_ref() != Some(&weights) || engine.ready_at.is_none() {
                    engine.weights = Some(weights);
                    engine.loads += 1;
                    let slot = self.store_slots.iter_mut().min().expect("a load slot");
                    *slot = (*slot).max(now) + load;
                    engine.ready_at = Some(*slot);
                    engine.warm_at = Some(*slot + cold);
                }
            }
        }
        Ok(OrderAnswer::Accepted)
    }

    pub fn engine(&mut self, vm: VmId) -> &mut Engine {
        self.engines.get_mut(&vm).expect("a known VM")
    }

    pub fn set_up(&mut self, vm: VmId, up: Up) {
        let engine = self.engine(vm);
        if up == Up::Alive && matches!(engine.up, Up::Dead | Up::Refusing) {
            engine.restart();
        }
        engine.up = up;
    }

    pub fn views(&self, place: usize) -> impl Iterator<Item = GroupView> {
        self.nodes[place].fleet.groups(self.now)
    }

    /// Groups of an entry that a node may send work to.
    pub fn eligible(&self, place: usize) -> usize {
        self.views(place).filter(|view| view.eligible).count()
    }

    /// Groups that are whole and warm at a node.
    pub fn serving(&self, place: usize) -> usize {
        self.views(place)
            .filter(|view| view.phase == tanagerhub_fleet::Phase::Serving)
            .filter(is_serving)
            .count()
    }

    pub fn view(&self, place: usize, id: GroupId) -> Option<GroupView> {
        self.nodes[place].fleet.group(self.now, id)
    }

    /// The first group by id.
    pub fn first(&self) -> (GroupId, GroupRow) {
        self.table.groups().into_iter().next().expect("a group")
    }

    /// Checks the promises; panics with what is broken.
    pub fn check(&mut self) {
        let groups = self.table.all_groups();
        let mut homes = BTreeMap::new();
        for (id, row) in &groups {
            for vm in &row.members {
                let other = homes.insert(*vm, *id);
                assert_eq!(other, None, "VM {vm} is in two groups");
                assert_eq!(self.table.vm(*vm).group, Some(*id), "row of VM {vm}");
            }
        }
        for entry in &self.catalogue.entries {
            let fits = |row: &&GroupRow| row.entry == entry.id() && !row.draining && !row.standby;
            let held = groups.values().filter(fits).count();
            assert_eq!(held, self.table.entry(entry.id()).held as usize);
            let max = entry.limits.replicas_max as usize;
            let (old_held, old_max) = self
                .held
                .insert(entry.id(), (held, max))
                .unwrap_or((0, max));
            assert!(
                held <= old_held || held <= max.max(old_max),
                "{} grew to {held} replicas, its limit is {max}",
                entry.name
            );
        }
        for vm in &self.vms {
            let epoch = self.table.vm(vm.id()).epoch;
            let old = self.epochs.insert(vm.id(), epoch).unwrap_or_default();
            assert!(epoch >= old, "epoch of {} fell", vm.name);
        }
        self.check_views();
    }

    fn check_views(&self) {
        let mut slots: BTreeMap<(GroupId, Epoch), u32> = BTreeMap::new();
        for node in self.nodes.iter().filter(|node| node.up) {
            for view in node.fleet.groups(self.now) {
                *slots.entry((view.id, view.epoch)).or_default() += view.cold_slots;
                if view.eligible {
                    self.check_whole(&view);
                }
            }
        }
        for ((id, epoch), count) in slots {
            assert!(count <= 2, "group {id} epoch {epoch}: {count} cold slots");
        }
    }

    fn check_whole(&self, view: &GroupView) {
        let limit = Duration::from_secs(2) + self.tick;
        for member in &view.members {
            let seen = self.engines[&member.vm].placed.get(&(view.id, view.epoch));
            let age = seen.map(|at| self.now.since(*at));
            assert!(
                age.is_some_and(|age| age <= limit),
                "group {} is eligible, member {} is missing since {age:?}",
                view.id,
                member.vm
            );
        }
    }
}
