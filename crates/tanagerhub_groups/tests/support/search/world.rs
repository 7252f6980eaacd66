//! Nodes with their decisions, a store and VMs, in simulated time. What happens next follows from the
//! troubles of a run and a seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{DataCentreId, EntryId, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_groups::{
    EngineSpec, Groups, GroupsAction, GroupsEvent, GroupsSettings, LoadLimit, ModelSpec, Order,
    Presence, PresenceAction, ProbeFailure, RelayEndpoint, SeenVm, VmReport,
};
use tanagerhub_table::{
    CommitResult, FeedPage, PageKind, RowKey, RowVersion, StoreAnswer, StoreTime, Transaction,
    VersionedRow, Write,
};

use super::calls::Answer;
use super::trouble::{Habit, LateOrder, Trouble};
use super::vm::VmModel;

pub const TICK: Duration = Duration::from_millis(100);
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// A question of a planner to other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Question {
    Promise,
    Consent {
        asked_at: Moment,
        wait: Option<Duration>,
    },
}

/// What happens at a time.
#[derive(Debug, Clone)]
pub enum Delivery {
    Tick,
    /// An event for the decisions of a process.
    Event(GroupsEvent),
    /// A transaction reaches the store.
    Commit(Transaction),
    /// An order reaches a VM.
    Order(VmId, Order),
    /// A held order is carried out late.
    LateOrder(VmId),
    Trouble(Trouble),
    VmRowLapses(VmId),
}

pub struct Node {
    pub presence: Presence,
    pub groups: Groups,
    pub boot: u64,
    pub alive: bool,
    pub draining: bool,
    pub frozen_until: Moment,
    /// Until when the store turns the node away.
    pub turned_until: Moment,
    /// The version of the rows that it has read; `None` before the first time.
    pub read: Option<u64>,
    pub reads_fail: bool,
}

/// A simulated deployment.
pub struct World {
    pub now: Moment,
    pub seed: u64,
    pub nodes: Vec<Node>,
    pub vms: BTreeMap<VmId, VmModel>,
    pub rows: BTreeMap<RowKey, VersionedRow>,
    pub version: u64,
    pub slow_until: Moment,
    pub slow_by: Duration,
    /// Until when the answers of the store are lost.
    pub lost_until: Moment,
    pub queue: BinaryHeap<Reverse<(Moment, u64)>>,
    pub deliveries: BTreeMap<u64, (usize, u64, Delivery)>,
    pub sent: u64,
    pub late: Vec<LateOrder>,
    /// Whether the first trouble has come.
    pub is_troubled: bool,
    /// The rules that were broken.
    pub broken: BTreeSet<String>,
    /// Whether a run may go on with two planners, in search of what they do.
    pub allows_two_planners: bool,
    /// Whether orders and decisions are printed.
    pub is_traced: bool,
    /// Who began to plan, by the store, and when.
    pub planner: (u64, Moment),
    /// Since when VMs suffice for a group that doesn't serve, while a node may plan.
    pub idle_since: Option<Moment>,
    pub orders: usize,
}

fn engine(large: usize) -> EngineSpec {
    let model = |name: &str, group_size, share| ModelSpec {
        name: name.to_owned(),
        entry: EntryId::of(name),
        group_size,
        share,
        load_time: Duration::from_secs(12),
        join_time: Duration::from_millis(1_100),
    };
    EngineSpec {
        service: "llm".to_owned(),
        slots: 17,
        models: vec![model("large", large, 0.75), model("small", 2, 0.25)],
        load_limit: LoadLimit {
            per_second: 5.0,
            concurrent: 7,
        },
    }
}

fn address(node: usize) -> SocketAddr {
    ([10, 1, 0, 1], 7_000 + u16::try_from(node).unwrap()).into()
}

impl World {
    /// Creates a deployment of two nodes, with a large group's size and further VMs.
    pub fn new(seed: u64, large: usize, vms: usize) -> Self {
        let mut world = Self {
            // The first joins come shortly after the start of a node.
            now: Moment::ZERO,
            seed: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            nodes: Vec::new(),
            vms: BTreeMap::new(),
            rows: BTreeMap::new(),
            version: 10,
            slow_until: Moment::ZERO,
            slow_by: Duration::ZERO,
            lost_until: Moment::ZERO,
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            sent: 0,
            late: Vec::new(),
            is_troubled: false,
            broken: BTreeSet::new(),
            allows_two_planners: false,
            is_traced: false,
            planner: (0, Moment::ZERO),
            idle_since: None,
            orders: 0,
        };
        for index in 0..vms {
            let vm = VmModel::new(
                &format!("vm-{index}"),
                8_000 + u16::try_from(index).unwrap(),
            );
            world.vms.insert(vm.vm.id(), vm);
        }
        for _ in 0..2 {
            world.start_node(large);
        }
        world
    }

    /// Sets what VMs do with orders, by their index.
    pub fn set_habits(&mut self, habits: &[(usize, Habit)]) {
        for (index, habit) in habits {
            let vm = VmId::of(&format!("vm-{index}"));
            self.vms.get_mut(&vm).unwrap().habits.push(*habit);
        }
    }

    /// Returns a pseudo-random number below `bound`.
    pub fn draw(&mut self, bound: u64) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) % bound
    }

    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.draw(to - from))
    }

    pub fn presence_key(node: usize) -> RowKey {
        RowKey::in_table("nodes", &format!("node-{node}"))
    }

    /// Starts another node, which is the only one with its name and address.
    pub fn start_node(&mut self, large: usize) {
        let node = self.nodes.len();
        let boot = 100 + u64::try_from(node).unwrap();
        let draw = self.draw(250);
        let endpoint = RelayEndpoint {
            data_centre: DataCentreId::of("dc"),
            address: address(node),
        };
        let presence = Presence::new(format!("node-{node}"), boot, draw).relay(endpoint);
        let settings = GroupsSettings::default().boot(boot).first_start(node < 2);
        let settings = settings.stall_timeout(Duration::from_secs(5));
        let mut groups = Groups::new(settings, boot);
        groups.on_event(self.now, GroupsEvent::Engines(vec![engine(large)]));
        self.nodes.push(Node {
            presence,
            groups,
            boot,
            alive: true,
            draining: false,
            frozen_until: Moment::ZERO,
            turned_until: Moment::ZERO,
            read: None,
            reads_fail: false,
        });
        let delay = self.millis(1, 100);
        self.send(delay, node, Delivery::Tick);
    }

    /// Has something happen after a delay; what concerns a process is dropped once it has ended.
    pub fn send(&mut self, delay: Duration, node: usize, delivery: Delivery) {
        self.sent += 1;
        let boot = self.nodes.get(node).map_or(0, |it| it.boot);
        self.queue.push(Reverse((self.now + delay, self.sent)));
        self.deliveries.insert(self.sent, (node, boot, delivery));
    }

    /// Runs until `end`, or until a rule is broken.
    pub fn run(&mut self, end: Moment) {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at >= end || !self.broken.is_empty() {
                self.now = self.now.max(end);
                self.queue.push(Reverse((at, id)));
                return;
            }
            let (node, _, delivery) = self.deliveries.remove(&id).unwrap();
            self.now = self.now.max(at);
            self.advance_vms();
            let frozen_until = self.nodes[node].frozen_until;
            let is_own = matches!(delivery, Delivery::Tick | Delivery::Event(_));
            if is_own && frozen_until > self.now {
                let delay = frozen_until.since(self.now);
                self.send(delay, node, delivery);
                continue;
            }
            self.deliver(node, delivery);
        }
    }

    fn deliver(&mut self, node: usize, delivery: Delivery) {
        match delivery {
            Delivery::Tick if self.nodes[node].alive => self.tick(node),
            Delivery::Event(event) if self.nodes[node].alive => self.handle(node, event),
            Delivery::Tick | Delivery::Event(_) => {}
            Delivery::Commit(transaction) => self.commit_arrives(node, &transaction),
            Delivery::Order(vm, order) => self.order_arrives(node, vm, order),
            Delivery::LateOrder(vm) => self.carry_out_late(vm),
            Delivery::Trouble(trouble) => self.trouble(trouble),
            Delivery::VmRowLapses(vm) => {
                let name = self.vms[&vm].vm.name.clone();
                self.write(RowKey::in_table("vms", &name), None);
            }
        }
    }

    /// Returns whether the store serves a node.
    pub fn reaches_store(&self, node: usize) -> bool {
        self.nodes[node].turned_until <= self.now
    }

    pub fn write(&mut self, key: RowKey, value: Option<Vec<u8>>) {
        self.version += 1;
        let version = RowVersion(self.version);
        let row = VersionedRow {
            key: key.clone(),
            version,
            value,
        };
        self.rows.insert(key, row);
    }

    pub fn page(&self, table: &str, after: u64) -> FeedPage {
        let rows = self.rows.values();
        let rows = rows.filter(|it| it.key.table() == table && it.version.0 > after);
        let is_listed = |it: &&VersionedRow| after > 0 || it.value.is_some();
        FeedPage {
            rows: rows.filter(is_listed).cloned().collect(),
            version: RowVersion(self.version),
            at: StoreTime(self.now.as_millis()),
            era: None,
        }
    }

    /// Reads the rows of nodes and VMs, or finds that the store turns the node away.
    pub fn feed(&mut self, node: usize) {
        if !self.reaches_store(node) {
            let it = &mut self.nodes[node];
            it.presence.record_read_failure();
            if !std::mem::replace(&mut it.reads_fail, true) {
                self.handle(node, GroupsEvent::StoreUnreachable);
            }
            return;
        }
        let read = self.nodes[node].read.replace(self.version);
        let kind = if read.is_none() {
            PageKind::All
        } else {
            PageKind::Changes
        };
        let page = self.page("nodes", read.unwrap_or(0));
        let now = self.now;
        self.nodes[node]
            .presence
            .apply_page(now, &page, kind)
            .unwrap();
        if std::mem::take(&mut self.nodes[node].reads_fail) {
            self.handle(node, GroupsEvent::StoreReachable);
            let all = self.listed_vms();
            self.handle(node, GroupsEvent::AllVms(all));
        } else if read.is_none() {
            let all = self.listed_vms();
            self.handle(node, GroupsEvent::AllVms(all));
        } else {
            for row in self.page("vms", read.unwrap_or(0)).rows {
                let vm = VmId::of(row.key.name());
                let event = if row.value.is_some() {
                    GroupsEvent::VmChanged(self.row_of(vm))
                } else {
                    GroupsEvent::VmRemoved(vm)
                };
                self.handle(node, event);
            }
        }
    }

    fn row_of(&self, vm: VmId) -> VmReport {
        VmReport {
            busy: None,
            order_count: None,
            ..self.vms[&vm].report()
        }
    }

    fn listed_vms(&self) -> Vec<VmReport> {
        let rows = self.rows.values().filter(|it| it.key.table() == "vms");
        let listed = rows.filter(|it| it.value.is_some());
        listed
            .map(|it| self.row_of(VmId::of(it.key.name())))
            .collect()
    }

    fn tick(&mut self, node: usize) {
        let jitter = self.millis(0, 6);
        self.send(TICK + jitter, node, Delivery::Tick);
        self.feed(node);
        self.handle(node, GroupsEvent::Tick);
        self.check_repair();
        let now = self.now;
        let it = &mut self.nodes[node];
        let can_plan = it.read.is_some() && !it.reads_fail && !it.draining;
        for action in it.presence.tick(now, can_plan) {
            match action {
                PresenceAction::Write(value) if self.nodes[node].groups.writes_presence() => {
                    let row = self.term_row(node, value);
                    self.handle(node, GroupsEvent::RenewTerm(row));
                }
                PresenceAction::Write(value) => {
                    let id = tanagerhub_table::TransactionId(0);
                    let write = Transaction::new(id).put(Self::presence_key(node), value);
                    let delay = self.millis(1, 6);
                    self.send(delay, node, Delivery::Commit(write));
                }
                PresenceAction::BecomePlanner { boots, value } => {
                    let row = self.term_row(node, value);
                    self.handle(node, GroupsEvent::BecomePlanner { boots, row });
                }
            }
        }
    }

    pub fn handle(&mut self, node: usize, event: GroupsEvent) {
        let now = self.now;
        let actions = self.nodes[node].groups.on_event(now, event);
        for decision in self.nodes[node].groups.take_decisions() {
            self.trace(&format!("node-{node}: {decision:?}"));
        }
        self.nodes[node].groups.take_degraded();
        for action in actions {
            self.act(node, action);
        }
        let it = &mut self.nodes[node];
        let planning = it.groups.is_planning();
        it.presence.set_planning(planning);
    }

    fn act(&mut self, node: usize, action: GroupsAction) {
        let near = self.millis(1, 5);
        match action {
            GroupsAction::Commit(transaction) => {
                let slow = if self.now < self.slow_until {
                    self.slow_by
                } else {
                    Duration::ZERO
                };
                self.send(near + slow, node, Delivery::Commit(transaction));
            }
            GroupsAction::ReadRows => {
                let page = self.reaches_store(node).then(|| self.page("groups", 0));
                let slow = self.now < self.slow_until && self.slow_by > Duration::from_millis(900);
                let page = page.filter(|_| !slow);
                self.send(near, node, Delivery::Event(GroupsEvent::RowsRead(page)));
            }
            GroupsAction::Order {
                vm,
                order,
                expires_at,
                ..
            } => {
                self.orders += 1;
                assert!(self.now < expires_at, "{order:?} after the end of the term");
                let (boot, since) = self.planner;
                let is_other = boot != 0 && boot != self.nodes[node].boot && since < self.now;
                if is_other && !self.allows_two_planners {
                    let text = format!("PLANNERS: node-{node} orders beside {boot}");
                    self.broken.insert(text);
                }
                self.send(near, node, Delivery::Order(vm, order));
            }
            GroupsAction::Probe { vm } => self.probe(node, vm, near),
            GroupsAction::AskPeers { vm } => {
                let others = self.nodes.iter().enumerate();
                let mut others = others.filter(|(index, it)| *index != node && self.runs(it));
                let model = &self.vms[&vm];
                let answers = model.alive && model.silent_until <= self.now;
                let report = model.lagging_report(self.now);
                let seen = (others.next().is_some() && answers).then_some(SeenVm {
                    started_ms: report.started_ms,
                    group: report.group,
                });
                let event = GroupsEvent::PeersReplied { vm, seen };
                self.send(PROBE_TIMEOUT, node, Delivery::Event(event));
            }
            question => self.ask(node, question),
        }
    }

    pub fn runs(&self, node: &Node) -> bool {
        node.alive && node.frozen_until <= self.now
    }

    /// Puts a question to other nodes, whose answers come together.
    pub fn ask_nodes(&mut self, node: usize, asked: &[SocketAddr], question: Question) {
        let asked_at = self.now;
        let mut answers: Vec<(SocketAddr, Answer)> = Vec::new();
        for index in 0..self.nodes.len() {
            let at = address(index);
            if index == node || !asked.contains(&at) || !self.runs(&self.nodes[index]) {
                continue;
            }
            if let Some(answer) = self.answer(index, question) {
                answers.push((at, answer));
            }
        }
        let all = answers.len() == asked.len();
        let delay = if all {
            self.millis(2, 10)
        } else {
            CALL_TIMEOUT
        };
        if let Some(event) = Self::conclude(question, asked_at, &answers) {
            self.send(delay, node, event);
        }
    }

    fn probe(&mut self, node: usize, vm: VmId, near: Duration) {
        let (sent, model) = (self.now, &self.vms[&vm]);
        let (delay, result) = if !model.alive {
            (near, Err(ProbeFailure::Refused))
        } else if model.silent_until > self.now {
            (PROBE_TIMEOUT, Err(ProbeFailure::Unanswered))
        } else {
            (near, Ok(model.lagging_report(self.now)))
        };
        let event = GroupsEvent::Probed { vm, sent, result };
        self.send(delay, node, Delivery::Event(event));
    }

    pub fn commit_arrives(&mut self, node: usize, transaction: &Transaction) {
        let id = transaction.id;
        let applied = self.reaches_store(node).then(|| self.apply(transaction));
        let answered = applied.filter(|_| self.now >= self.lost_until);
        let result = answered.unwrap_or(CommitResult::Unknown);
        let delay = match answered {
            Some(_) => self.millis(1, 5),
            None => COMMIT_TIMEOUT,
        };
        if id.0 != 0 {
            let answer = StoreAnswer::new(result, None);
            let event = GroupsEvent::Committed { id, answer };
            self.send(delay, node, Delivery::Event(event));
        }
    }

    pub fn apply(&mut self, transaction: &Transaction) -> CommitResult {
        let known = |key: &RowKey| {
            let row = self.rows.get(key).filter(|row| row.value.is_some());
            row.map(|row| row.version)
        };
        let holds = transaction
            .conditions
            .iter()
            .all(|it| it.holds(known(it.key())));
        if !holds {
            return CommitResult::Conflict;
        }
        self.version += 1;
        let version = RowVersion(self.version);
        for write in &transaction.writes {
            let (key, value) = match write {
                Write::Put { key, value } => (key, Some(value.clone())),
                Write::Delete { key } => (key, None),
            };
            if key.name() == "planner" {
                let boot = value.as_ref().map_or(0, |value| boot_in(value));
                if boot != self.planner.0 {
                    self.planner = (boot, self.now);
                }
            }
            let row = VersionedRow {
                key: key.clone(),
                version,
                value,
            };
            self.rows.insert(key.clone(), row);
        }
        CommitResult::Applied(version)
    }

    fn advance_vms(&mut self) {
        let ids: Vec<VmId> = self.vms.keys().copied().collect();
        for vm in ids {
            let Some(model) = self.vms.get(&vm).filter(|it| it.alive) else {
                continue;
            };
            if model.silent_until > self.now {
                continue;
            }
            let is_complete = model.member.as_ref().is_none_or(|it| {
                let takes_part = |name: &String| {
                    let other = &self.vms[&VmId::of(name)];
                    let member = other.member.as_ref();
                    other.alive && member.is_some_and(|own| own.is(it.group, it.epoch))
                };
                it.members.iter().all(takes_part)
            });
            let now = self.now;
            let model = self.vms.get_mut(&vm).unwrap();
            model.advance(now, is_complete);
            if model.record(now) {
                let name = model.vm.name.clone();
                self.write(RowKey::in_table("vms", &name), Some(Vec::new()));
            }
        }
    }

    pub fn trace(&self, line: &str) {
        if self.is_traced {
            println!(
                "{:.3} s  {line}",
                self.now.since(Moment::ZERO).as_secs_f64()
            );
        }
    }
}

/// Returns the boot id in a planner's row.
fn boot_in(value: &[u8]) -> u64 {
    let config = bincode::config::standard();
    let decoded = bincode::serde::decode_from_slice(value, config);
    let (row, _): (tanagerhub_groups::PlannerRow, usize) = decoded.unwrap();
    row.boot
}
