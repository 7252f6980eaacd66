//! Several memberships in simulated time, with loss, delay, blocked links and pauses.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tanagerhub_catalogue::{BootId, Catalogue, CatalogueVersion, DataCentreId};
use tanagerhub_clock::Moment;
use tanagerhub_membership::{
    AgedFact, ApplyOutcome, Membership, MembershipEvent, MembershipSettings, OperationId,
    PeerRequestId,
};

#[path = "actions.rs"]
mod actions;
#[path = "store.rs"]
pub mod store;

use store::Store;

/// Time between two ticks of a node.
const TICK: Duration = Duration::from_millis(100);
/// One process of a node.
#[derive(Debug)]
pub struct Node {
    pub membership: Membership,
    pub address: SocketAddr,
    pub alive: bool,
    pub paused_until: Moment,
    pub sent_bytes: u64,
    pub sent: u64,
    pub adopted: Vec<(Moment, CatalogueVersion)>,
    pub received_facts: Vec<AgedFact>,
}

#[derive(Debug, Clone)]
enum Delivery {
    Tick,
    Event(Box<MembershipEvent>),
    Request {
        requester: usize,
        request_id: PeerRequestId,
        event: Box<MembershipEvent>,
    },
}

/// A simulated network and store with all processes.
#[derive(Debug)]
pub struct Simulation {
    pub now: Moment,
    pub nodes: Vec<Node>,
    pub store: Store,
    pub loss: f64,
    pub delay: Duration,
    pub store_delay: Duration,
    /// Links that drop everything, by the indices of sender and receiver.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Nodes that can't reach the store.
    pub without_store: BTreeSet<usize>,
    /// Nodes that can't fetch documents from the store or from peers.
    pub without_documents: BTreeSet<usize>,
    pub outcomes: Vec<(Moment, OperationId, ApplyOutcome)>,
    routes: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    payloads: BTreeMap<u64, (usize, Delivery)>,
    requests: BTreeMap<PeerRequestId, (usize, PeerRequestId)>,
    next: u64,
    rng: ChaCha8Rng,
    seed: u64,
}

/// Returns the address of a node by its index.
pub fn address(index: usize) -> SocketAddr {
    let (high, low) = (index / 250, index % 250 + 1);
    let byte = |value| u8::try_from(value).expect("below 250 * 250 nodes");
    SocketAddr::from(([10, 0, byte(high), byte(low)], 7400))
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Moment::ZERO,
            nodes: Vec::new(),
            store: Store::new(),
            loss: 0.0,
            delay: Duration::from_millis(1),
            store_delay: Duration::from_millis(10),
            blocked_links: BTreeSet::new(),
            without_store: BTreeSet::new(),
            without_documents: BTreeSet::new(),
            outcomes: Vec::new(),
            routes: BTreeMap::new(),
            queue: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            requests: BTreeMap::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            seed,
        }
    }

    /// Returns a simulation of `count` nodes in `regions` regions, run until every node has
    /// recorded all slots (for two minutes at most), and for five seconds more.
    pub fn settled(seed: u64, count: usize, regions: usize) -> Self {
        let mut simulation = Self::new(seed);
        for index in 0..count {
            simulation.start(index, index % regions);
        }
        let limit = simulation.now + Duration::from_mins(2);
        while simulation.now < limit && !simulation.all_slots_recorded() {
            simulation.run(Duration::from_secs(1));
        }
        simulation.run(Duration::from_secs(5));
        simulation
    }

    fn all_slots_recorded(&self) -> bool {
        let slots = |node: &Node| node.membership.status(self.now).all_slots;
        let count = self.nodes.len();
        self.nodes.iter().all(|node| slots(node) == count)
    }

    /// Starts a process at the address with this index; messages to it go to the newest process.
    pub fn start(&mut self, index: usize, region: usize) -> usize {
        let boot = BootId(self.rng.random());
        let centre = DataCentreId::of(["a", "b", "c"][index % 3]);
        let mut settings =
            MembershipSettings::new(address(index), boot, format!("region-{region}"), centre);
        settings.seeds = (0..3).map(address).collect();
        let node = Node {
            membership: Membership::new(settings, self.seed ^ self.rng.random::<u64>()),
            address: address(index),
            alive: true,
            paused_until: Moment::ZERO,
            sent_bytes: 0,
            sent: 0,
            adopted: Vec::new(),
            received_facts: Vec::new(),
        };
        let number = self.nodes.len();
        self.nodes.push(node);
        self.routes.insert(address(index), number);
        let offset = TICK.mul_f64(self.rng.random_range(0.0..1.0));
        self.deliver(number, self.now + offset, Delivery::Tick);
        number
    }

    /// Terminates a process.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
    }

    /// Pauses a process; messages to it are delivered afterwards.
    pub fn pause(&mut self, node: usize, duration: Duration) {
        self.nodes[node].paused_until = self.now + duration;
    }

    /// Delivers the messages to the process's address to this process again.
    pub fn route_to(&mut self, node: usize) {
        self.routes.insert(self.nodes[node].address, node);
    }

    /// Blocks the links between a node and all others, in both directions.
    pub fn isolate(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            self.blocked_links.insert((node, other));
            self.blocked_links.insert((other, node));
        }
    }

    /// Applies an operator's catalogue through a node.
    pub fn apply(&mut self, node: usize, operation: u64, expected: u64) {
        let event = MembershipEvent::Apply {
            operation: OperationId(operation),
            catalogue: catalogue(operation),
            expected: CatalogueVersion(expected),
        };
        self.event(node, event);
    }

    /// Delivers an event to a node immediately.
    pub fn event(&mut self, node: usize, event: MembershipEvent) {
        let actions = self.nodes[node].membership.on_event(self.now, event);
        self.perform_actions(node, actions);
    }

    pub fn run(&mut self, duration: Duration) {
        self.run_with(duration, |_| {});
    }

    /// Runs for `duration` and calls `check` after each step.
    pub fn run_with(&mut self, duration: Duration, mut check: impl FnMut(&mut Self)) {
        let end = self.now + duration;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let (node, delivery) = self.payloads.remove(&id).expect("queued");
            self.step(node, delivery);
            check(self);
        }
        self.now = end;
    }

    pub fn version(&self, node: usize) -> u64 {
        self.nodes[node].membership.version().0
    }

    pub fn is_fresh(&self, node: usize) -> bool {
        let awake = self.nodes[node].paused_until <= self.now && self.nodes[node].alive;
        awake && self.nodes[node].membership.freshness(self.now).is_fresh()
    }

    /// Returns the outcome of an operator's change.
    pub fn outcome(&self, operation: u64) -> Option<&ApplyOutcome> {
        let found = self
            .outcomes
            .iter()
            .find(|it| it.1 == OperationId(operation));
        found.map(|(_, _, outcome)| outcome)
    }

    /// Returns when the outcome of an operator's change was reported.
    pub fn completed_at(&self, operation: u64) -> Moment {
        let found = self
            .outcomes
            .iter()
            .find(|it| it.1 == OperationId(operation));
        found.expect("the change has an outcome").0
    }

    fn deliver(&mut self, node: usize, at: Moment, delivery: Delivery) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.payloads.insert(self.next, (node, delivery));
    }

    fn step(&mut self, node: usize, delivery: Delivery) {
        if !self.nodes[node].alive {
            return;
        }
        let resume_at = self.nodes[node].paused_until;
        if resume_at > self.now {
            self.deliver(node, resume_at, delivery);
            return;
        }
        match delivery {
            Delivery::Tick => {
                self.event(node, MembershipEvent::Tick);
                self.deliver(node, self.now + TICK, Delivery::Tick);
            }
            Delivery::Event(event) => self.event(node, *event),
            Delivery::Request {
                requester,
                request_id,
                event,
            } => {
                if let MembershipEvent::PeerRequest {
                    request_id: own, ..
                } = *event
                {
                    self.requests.insert(own, (requester, request_id));
                }
                self.event(node, *event);
            }
        }
    }

    fn later(&mut self, node: usize, after: Duration, event: MembershipEvent) {
        let at = self.now + after;
        self.deliver(node, at, Delivery::Event(Box::new(event)));
    }
}

/// Returns a catalogue that differs from those of all other numbers.
pub fn catalogue(number: u64) -> Catalogue {
    let mut catalogue = Catalogue::default();
    catalogue.marks.vms_out.insert(format!("vm-{number}"));
    catalogue
}
