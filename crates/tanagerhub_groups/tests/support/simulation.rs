#![expect(dead_code, reason = "each test file uses a part of the simulation")]
//! A simulated store, VMs and nodes with a simulated clock.

mod actions;
mod backend_server;
mod checks;
mod commit_fault;
mod orders;
mod serving;
mod store;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{EntryId, Epoch, GroupId, Vm, VmId, VmState};
use tanagerhub_clock::Moment;
use tanagerhub_groups::{
    Decision, EngineSpec, GROUPS_TABLE, GroupState, Groups, GroupsEvent, GroupsSettings, JoinProof,
    KnownBoots, LapsedBoot, LoadLimit, ModelSpec, Order, PlannerRow, Pledge, ProbeFailure, TermRow,
    VmReport,
};
use tanagerhub_table::{RowKey, RowVersion, StoreVersion, Transaction, VersionedRow};

use self::backend_server::BackendServer;
pub use self::commit_fault::CommitFault;
pub use self::store::StoreState;

/// The interval between two ticks of the nodes.
pub const TICK: Duration = Duration::from_millis(100);
/// The time from the order to open until the head serves.
const OPEN_TIME: Duration = Duration::from_millis(300);
/// The time without a change after which a planner's row counts as lapsed.
const PLANNER_TIMEOUT: Duration = Duration::from_millis(2_600);
/// The interval at which a planner writes its presence row.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the number of orders that a join names.
pub const fn joined_count(proof: &JoinProof) -> Option<u64> {
    match proof {
        JoinProof::Counted(proof) => Some(proof.order_count()),
        JoinProof::Sole(_) => None,
    }
}

/// Returns the key of the presence row of a node with this boot id.
fn presence_key(boot: u64) -> RowKey {
    RowKey::in_table("nodes", &format!("node-{boot}"))
}

/// Returns the address at which a node serves other nodes.
fn node_address(node: usize) -> SocketAddr {
    let port = 7_000 + u16::try_from(node).unwrap();
    SocketAddr::from(([10, 1, 0, 1], port))
}

/// Returns an engine with the model `big`, in groups of 4, and the model `small`, in groups of 2.
pub fn engine() -> EngineSpec {
    let model = |name: &str, group_size, load_time, join_time| ModelSpec {
        name: name.to_owned(),
        entry: EntryId::of(name),
        group_size,
        share: 0.5,
        load_time: Duration::from_secs(load_time),
        join_time: Duration::from_millis(join_time),
    };
    EngineSpec {
        service: "llm".to_owned(),
        slots: 17,
        models: vec![model("big", 4, 16, 1_600), model("small", 2, 12, 1_100)],
        load_limit: LoadLimit {
            per_second: 5.0,
            concurrent: 7,
        },
    }
}

/// A simulated store and VMs, with one or more nodes.
#[derive(Debug)]
pub struct Simulation {
    pub now: Moment,
    /// The engine that runs on all VMs.
    pub engine: EngineSpec,
    pub servers: BTreeMap<VmId, BackendServer>,
    pub nodes: Vec<Node>,
    pub store: StoreState,
    /// Faults of the next transactions.
    pub commit_faults: VecDeque<CommitFault>,
    /// Transactions that the store received and has not applied yet.
    pub delayed: Vec<Transaction>,
    /// VMs that leave such orders without a response, and execute them on
    /// [`Self::deliver_held_orders`].
    pub order_holders: BTreeMap<VmId, fn(&Order) -> bool>,
    pub held_orders: Vec<(VmId, Order)>,
    /// VMs where junk passes for the answer to orders to close and to leave, which they don't carry out.
    pub pretending: BTreeSet<VmId>,
    /// VMs that close each new connection because they are overloaded.
    pub overloaded: BTreeSet<VmId>,
    /// VMs that run but are unreachable for all nodes, with the result of probes.
    pub isolated: BTreeMap<VmId, ProbeFailure>,
    /// Nodes that reach no VM, with the result of their probes; the VMs continue to serve.
    pub cut_off: BTreeMap<usize, ProbeFailure>,
    /// Nodes and VMs between which nothing passes; other nodes reach these VMs.
    pub lost_paths: BTreeSet<(usize, VmId)>,
    /// VMs whose reports to probes can't be read.
    pub unreadable: BTreeSet<VmId>,
    /// VMs that stand still, and execute the orders sent meanwhile on [`Self::resume`].
    pub silent: BTreeSet<VmId>,
    /// All orders that nodes have sent.
    pub orders: Vec<(VmId, Order)>,
    /// The highest number of concurrent loads since requests began.
    pub max_concurrent_loads: usize,
    /// Whether the store sends nothing and refuses all commits.
    pub store_down: bool,
    /// The number of transactions that nodes have sent, except those that only renew a term.
    pub commits: usize,
    /// Whether the store answers no call.
    pub store_silent: bool,
    /// The number of times that nodes have read the rows.
    pub reads: usize,
    /// Nodes that the store turns away; other nodes reach it.
    pub turned_away: BTreeSet<usize>,
    /// Nodes that give other nodes no answer.
    pub mute: BTreeSet<usize>,
    /// Nodes that get no answer from another one, and that one.
    pub unheard: BTreeSet<(usize, usize)>,
    /// The maximum number of guarantors of a planner's term.
    pub guarantor_count: usize,
    /// Orders of nodes that were not the planner according to the store.
    pub foreign_orders: Vec<(usize, Order)>,
    /// Whether loads are fast, as before the first request.
    pub quick_loads: bool,
    pub violations: BTreeSet<String>,
    /// The members of each group at each epoch, by the name of the group's row and the epoch.
    member_lists: BTreeMap<(String, Epoch), Vec<String>>,
    /// Groups that a node reported to have an unreachable member.
    pub degraded: Vec<(GroupId, Epoch)>,
    /// The decisions of all nodes.
    pub decisions: Vec<Decision>,
}

/// A node and its group state machine.
#[derive(Debug)]
pub struct Node {
    pub groups: Groups,
    pub boot: u64,
    pub alive: bool,
    /// The VMs that it probed, in order.
    pub probes: Vec<VmId>,
    /// The number of probes without a result, and its peak.
    in_flight: usize,
    pub peak_in_flight: usize,
    pledge: Pledge,
    /// Whether the store served it when it started.
    is_listed: bool,
    /// When it last sent its row as the planner.
    renewed_at: Moment,
    events: Vec<GroupsEvent>,
}

impl Simulation {
    /// Creates a simulation with `domains` fabric domains of `size` empty VMs each, and one node.
    pub fn new(domains: usize, size: usize) -> Self {
        let mut simulation = Self {
            now: Moment::from_millis(1_000),
            engine: engine(),
            servers: BTreeMap::new(),
            nodes: Vec::new(),
            store: StoreState {
                version: 10,
                ..StoreState::default()
            },
            commit_faults: VecDeque::new(),
            delayed: Vec::new(),
            order_holders: BTreeMap::new(),
            held_orders: Vec::new(),
            pretending: BTreeSet::new(),
            isolated: BTreeMap::new(),
            cut_off: BTreeMap::new(),
            lost_paths: BTreeSet::new(),
            unreadable: BTreeSet::new(),
            silent: BTreeSet::new(),
            orders: Vec::new(),
            overloaded: BTreeSet::new(),
            max_concurrent_loads: 0,
            commits: 0,
            store_silent: false,
            reads: 0,
            turned_away: BTreeSet::new(),
            mute: BTreeSet::new(),
            unheard: BTreeSet::new(),
            guarantor_count: 3,
            foreign_orders: Vec::new(),
            store_down: false,
            quick_loads: true,
            violations: BTreeSet::new(),
            member_lists: BTreeMap::new(),
            degraded: Vec::new(),
            decisions: Vec::new(),
        };
        for domain in 0..domains {
            for index in 0..size {
                simulation.add_server(&format!("vm-{domain}-{index}"), domain);
            }
        }
        simulation.add_node(1);
        simulation
    }

    pub fn add_server(&mut self, name: &str, domain: usize) {
        let address: SocketAddr = format!("10.0.{domain}.1:{}", 1_000 + self.servers.len())
            .parse()
            .unwrap();
        let vm = Vm {
            name: name.to_owned(),
            address,
            data_centre: format!("dc-{domain}"),
            domain: format!("domain-{domain}"),
            service: Some("llm".to_owned()),
            state: VmState::Live,
        };
        let report = VmReport {
            vm,
            started_ms: 1,
            slots: 17,
            cold_remaining: Duration::ZERO,
            staged: Vec::new(),
            served_model: None,
            busy: None,
            order_count: None,
            group: None,
        };
        let server = BackendServer {
            report,
            alive: true,
            displaced: false,
            closing_time: Duration::ZERO,
            join_fault: None,
            order_count: 0,
            highest_epoch: Epoch(0),
            left: None,
            members: Vec::new(),
            last_model: None,
            pending: Vec::new(),
        };
        self.servers.insert(VmId::of(name), server);
    }

    pub fn add_node(&mut self, boot: u64) {
        let settings = GroupsSettings::default()
            .boot(boot)
            .first_start(self.quick_loads);
        let mut groups = Groups::new(settings, boot);
        groups.on_event(self.now, GroupsEvent::Engines(vec![self.engine.clone()]));
        self.nodes.push(Node {
            groups,
            boot,
            alive: true,
            probes: Vec::new(),
            in_flight: 0,
            peak_in_flight: 0,
            pledge: Pledge::default(),
            is_listed: !self.store_down,
            renewed_at: Moment::ZERO,
            events: vec![GroupsEvent::AllVms(self.reports())],
        });
    }

    fn reports(&self) -> Vec<VmReport> {
        let listed = self.servers.values();
        listed
            .map(|server| VmReport {
                // The store's rows don't contain whether a VM is busy.
                busy: None,
                ..server.report.clone()
            })
            .collect()
    }

    /// Changes the group size of the model `big`.
    pub fn resize_big(&mut self, size: usize) {
        self.resize_groups((size, self.engine.models[1].group_size));
    }

    /// Changes the group sizes of the models `big` and `small`.
    pub fn resize_groups(&mut self, (big, small): (usize, usize)) {
        self.engine.models[0].group_size = big;
        self.engine.models[1].group_size = small;
        for node in &mut self.nodes {
            let engines = vec![self.engine.clone()];
            node.events.push(GroupsEvent::Engines(engines));
        }
    }

    /// Sends the complete list of VMs to all nodes.
    pub fn list_all(&mut self) {
        let reports = self.reports();
        for node in &mut self.nodes {
            node.events.push(GroupsEvent::AllVms(reports.clone()));
        }
    }

    /// Ends the time of fast loads.
    pub fn begin_traffic(&mut self) {
        self.quick_loads = false;
        for node in &mut self.nodes {
            node.events.push(GroupsEvent::InUse);
        }
    }

    /// Writes a row of the groups' table that no planner wrote.
    pub fn put_row(&mut self, name: &str, value: &[u8]) {
        self.store.version += 1;
        let key = RowKey::in_table(GROUPS_TABLE, name);
        let row = VersionedRow {
            key: key.clone(),
            version: RowVersion(self.store.version),
            value: Some(value.to_vec()),
        };
        self.store.rows.insert(key, row);
    }

    /// Makes the store unreachable for all nodes, or reachable with the changes since.
    pub fn set_store_down(&mut self, down: bool) {
        self.store_down = down;
        let reports = self.reports();
        for node in &mut self.nodes {
            if down {
                node.events.push(GroupsEvent::StoreUnreachable);
            } else {
                node.events.push(GroupsEvent::StoreReachable);
                node.events.push(GroupsEvent::AllVms(reports.clone()));
            }
        }
    }

    /// Makes a node try to become the planner.
    pub fn plan(&mut self, node: usize, known_boots: KnownBoots) {
        let event = GroupsEvent::BecomePlanner {
            boots: known_boots,
            row: self.term_row(node),
        };
        self.nodes[node].events.push(event);
    }

    /// Returns a node's presence row as the planner.
    fn term_row(&self, node: usize) -> TermRow {
        let others = self.nodes.iter().enumerate();
        // A node that starts while the store is away is not known to others.
        let is_known = |it: &Node| it.alive && (!self.store_down || it.is_listed);
        let others = others.filter(|(index, it)| *index != node && is_known(it));
        let guarantors = others.map(|(index, _)| node_address(index));
        TermRow {
            key: presence_key(self.nodes[node].boot),
            value: self.now.as_millis().to_le_bytes().to_vec(),
            guarantors: guarantors.take(self.guarantor_count).collect(),
        }
    }

    /// Returns the addresses of all nodes.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        (0..self.nodes.len()).map(node_address).collect()
    }

    /// Returns boot ids in which the process `boot` has not changed its presence row since now.
    pub fn lapsed(&self, boot: u64) -> KnownBoots {
        let row = presence_key(boot);
        let version = self.store.rows.get(&row).map_or(0, |row| row.version.0);
        let version = StoreVersion::new(self.store.era, RowVersion(version));
        KnownBoots {
            lapsed: vec![LapsedBoot {
                boot,
                row,
                version,
                unchanged: PLANNER_TIMEOUT,
            }],
            ..KnownBoots::default()
        }
    }

    /// Returns the boot id in the planner's row.
    fn planner_boot(&self) -> u64 {
        let row = self
            .store
            .rows
            .get(&RowKey::in_table(GROUPS_TABLE, "planner"));
        let value = row.and_then(|row| row.value.as_ref());
        value.map_or(0, |value| {
            let decoded = bincode::serde::decode_from_slice(value, bincode::config::standard());
            let (row, _): (PlannerRow, usize) = decoded.unwrap();
            row.boot
        })
    }

    /// Advances the simulation by `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TICK;
            self.advance_servers();
            for index in 0..self.nodes.len() {
                if self.nodes[index].alive {
                    self.tick_node(index);
                }
            }
            self.check_groups();
        }
    }

    /// Runs until `done` holds; panics if it does not hold within `timeout`.
    pub fn run_until(&mut self, timeout: Duration, what: &str, done: impl Fn(&Self) -> bool) {
        let end = self.now + timeout;
        while !done(self) {
            assert!(self.now < end, "timed out before: {what}");
            self.run(TICK);
        }
    }

    /// Applies the delayed transactions.
    pub fn apply_delayed(&mut self) {
        for transaction in std::mem::take(&mut self.delayed) {
            self.apply(&transaction);
        }
    }

    /// Makes a VM unreachable for all nodes, whose probes fail in the given way; it continues to
    /// serve.
    pub fn isolate(&mut self, name: &str, failure: ProbeFailure) {
        self.isolated.insert(VmId::of(name), failure);
    }

    /// Makes a VM stand still: it keeps its connections and responds to nothing.
    pub fn silence(&mut self, name: &str) {
        self.silent.insert(VmId::of(name));
    }

    /// Makes a silent VM go on where it stood still.
    pub fn resume(&mut self, name: &str) {
        let silent = VmId::of(name);
        self.silent.remove(&silent);
        let held = std::mem::take(&mut self.held_orders).into_iter();
        let (own, others): (Vec<_>, Vec<_>) = held.partition(|(vm, _)| *vm == silent);
        self.held_orders = others;
        for (vm, order) in own {
            self.execute_order(vm, &order);
        }
    }

    /// Makes a VM close each new connection.
    pub fn overload(&mut self, name: &str) {
        self.overloaded.insert(VmId::of(name));
    }

    /// Reports to a node that requests at a head's group failed.
    pub fn suspect(&mut self, node: usize, head: &str) {
        let membership = self.server(head).report.group.unwrap();
        let (group, epoch) = (membership.group, membership.epoch);
        let event = GroupsEvent::Suspected { group, epoch };
        self.nodes[node].events.push(event);
    }

    /// Changes a VM's report, and sends it to all nodes.
    pub fn report(&mut self, name: &str, change: impl FnOnce(&mut VmReport)) {
        change(&mut self.server(name).report);
        let report = self.server(name).report.clone();
        for node in &mut self.nodes {
            node.events.push(GroupsEvent::VmChanged(report.clone()));
        }
    }

    /// Sends an event to a node.
    pub fn send_event(&mut self, node: usize, event: GroupsEvent) {
        self.nodes[node].events.push(event);
    }

    /// Returns the names of all members of all groups that a node knows.
    pub fn assigned(&self, node: usize) -> Vec<String> {
        let groups = self.nodes[node].groups.group_statuses(self.now);
        groups.into_iter().flat_map(|group| group.members).collect()
    }

    /// Stops a VM's backend server. The VM refuses connections, because nothing listens.
    pub fn stop_server(&mut self, name: &str) {
        self.server(name).alive = false;
    }

    pub fn server(&mut self, name: &str) -> &mut BackendServer {
        self.servers.get_mut(&VmId::of(name)).unwrap()
    }

    /// Removes a VM from the store's list.
    pub fn unlist(&mut self, name: &str) {
        for node in &mut self.nodes {
            node.events.push(GroupsEvent::VmRemoved(VmId::of(name)));
        }
    }

    /// Returns the names of the heads that serve a model, according to the VMs.
    pub fn open_heads(&self, model: &str) -> Vec<String> {
        let serves = |server: &&BackendServer| {
            server.alive
                && server.report.served_model.as_deref() == Some(model)
                && server
                    .report
                    .group
                    .is_some_and(|membership| membership.state == GroupState::Open)
        };
        let heads = self.servers.values().filter(serves);
        heads.map(|server| server.report.vm.name.clone()).collect()
    }

    /// Returns whether a VM is the head of an open group, according to the VM.
    pub fn is_open_head(&self, vm: VmId) -> bool {
        let membership = self.servers[&vm].report.group;
        membership.is_some_and(|membership| membership.state == GroupState::Open)
    }

    /// Returns the names of the members of a head's group.
    pub fn members(&self, head: &str) -> Vec<String> {
        self.servers[&VmId::of(head)].members.clone()
    }

    fn advance_servers(&mut self) {
        let now = self.now;
        let mut changed = Vec::new();
        let silent = &self.silent;
        let runs = |vm: &VmId, server: &BackendServer| server.alive && !silent.contains(vm);
        for (vm, server) in &mut self.servers {
            if runs(vm, server) && server.advance(now) {
                changed.push(VmReport {
                    busy: None,
                    ..server.report.clone()
                });
            }
        }
        if self.store_down {
            return;
        }
        for node in &mut self.nodes {
            let reports = changed.iter().cloned();
            node.events.extend(reports.map(GroupsEvent::VmChanged));
        }
    }
}
