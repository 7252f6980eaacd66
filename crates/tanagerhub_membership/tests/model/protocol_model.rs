//! A model of how a version is accepted while the store is down.
//!
//! Version 1 is committed; the proposer, node 0, holds it, and the store is unavailable. Nodes get
//! the version from a holder, are replaced, adopt, and acknowledge. Messages arrive at any later
//! moment. The decisions are made by the product's own types: [`Acceptance`], [`Adoption`] and
//! [`Confirmations`].

use std::time::Duration;

use pathfinding::directed::bfs::bfs_reach;
use tanagerhub_catalogue::{BootId, CatalogueVersion, NodeId};
use tanagerhub_clock::Moment;
use tanagerhub_membership::{
    Acceptance, AcceptanceStage, Adoption, Confirmations, Identity, is_recent, majority,
};

const OLD: CatalogueVersion = CatalogueVersion(0);
const NEW: CatalogueVersion = CatalogueVersion(1);

/// The rule that is violated on purpose, if any.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rules {
    /// The rules of the product.
    Product,
    /// A version is accepted after the first round of acknowledgements.
    OneRound,
    /// A new process adopts a version after responses of one slot fewer.
    FewerResponses,
}

/// The variant of the model to explore.
#[derive(Debug, Clone, Copy)]
pub struct Model {
    pub rules: Rules,
    pub nodes: u8,
    pub replacements: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Process {
    boot: u8,
    version: CatalogueVersion,
    /// Responses collected so far; `None` once the process counts towards a majority.
    adoption: Option<Adoption>,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    processes: Vec<Process>,
    acceptance: Acceptance,
    /// Acknowledgements that the proposer has not received yet: node, boot, round.
    acks: Vec<(u8, u8, u32)>,
    replaced: u8,
}

/// The result of an exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    pub states: usize,
    pub is_safe: bool,
}

impl Model {
    /// Explores every reachable state, or stops at the first unsafe one.
    pub fn explore(self) -> Verdict {
        let mut states = 0;
        for state in bfs_reach(self.start(), |state| self.next(state)) {
            states += 1;
            if self.is_unsafe(&state) {
                return Verdict {
                    states,
                    is_safe: false,
                };
            }
        }
        Verdict {
            states,
            is_safe: true,
        }
    }

    fn start(self) -> State {
        let process = |node| Process {
            boot: 0,
            version: if node == 0 { NEW } else { OLD },
            adoption: None,
        };
        let slots = (0..self.nodes).map(|node| NodeId(node.into()));
        let mut acceptance = Acceptance::new(slots, NEW);
        acceptance.record_ack(NodeId(0), identity(0), 0);
        State {
            processes: (0..self.nodes).map(process).collect(),
            acceptance,
            acks: Vec::new(),
            replaced: 0,
        }
    }

    /// Returns whether the version is accepted while some node can still be fresh without it.
    fn is_unsafe(self, state: &State) -> bool {
        self.is_accepted(state) && (0..self.nodes).any(|node| self.can_read_old(state, node))
    }

    fn is_accepted(self, state: &State) -> bool {
        let needed = match self.rules {
            Rules::OneRound => AcceptanceStage::Confirming,
            Rules::Product | Rules::FewerResponses => AcceptanceStage::Accepted,
        };
        state.acceptance.stage() >= needed
    }

    /// Returns whether a majority of the slots would confirm a node with the old version.
    fn can_read_old(self, state: &State, reader: u8) -> bool {
        let own = &state.processes[usize::from(reader)];
        if own.adoption.is_some() || own.version == NEW {
            return false;
        }
        let mut seen = Confirmations::default();
        let now = Moment::from_millis(1_000);
        for (node, process) in state.processes.iter().enumerate() {
            if process.adoption.is_none() && node != usize::from(reader) {
                seen.record_slot(NodeId(node as u64), process.version, now);
            }
        }
        let confirmed = seen.newest(usize::from(self.nodes), OLD);
        confirmed.is_some_and(|(at, _)| is_recent(at, now, Duration::from_secs(4)))
    }

    fn next(self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for node in self.distinct(state) {
            Self::receive_version(state, node, &mut next);
            self.acknowledge(state, node, &mut next);
            self.replace(state, node, &mut next);
            self.adopt(state, node, &mut next);
        }
        Self::receive(state, &mut next);
        next
    }

    /// Returns all nodes, but only the first of those to which nothing has happened yet: the others
    /// are equivalent to it.
    fn distinct(self, state: &State) -> Vec<u8> {
        let mut seen_untouched = false;
        let is_first = |node: &u8| {
            let untouched = is_untouched(state, *node);
            let repeated = untouched && seen_untouched;
            seen_untouched |= untouched;
            !repeated
        };
        (0..self.nodes).filter(is_first).collect()
    }

    /// A node that counts towards a majority receives the version from any holder.
    fn receive_version(state: &State, node: u8, next: &mut Vec<State>) {
        let process = &state.processes[usize::from(node)];
        if process.adoption.is_some() || process.version == NEW {
            return;
        }
        let mut after = state.clone();
        after.processes[usize::from(node)].version = NEW;
        next.push(after);
    }

    /// A holder responds to the request of the current round; the response arrives later.
    fn acknowledge(self, state: &State, node: u8, next: &mut Vec<State>) {
        let process = &state.processes[usize::from(node)];
        let wanted = state.acceptance.pending().contains(&NodeId(node.into()));
        let ack = (node, process.boot, state.acceptance.round());
        let holds = process.adoption.is_none() && process.version == NEW;
        if node == 0 || !wanted || !holds || self.is_accepted(state) || state.acks.contains(&ack) {
            return;
        }
        let mut after = state.clone();
        after.acks.push(ack);
        after.acks.sort_unstable();
        next.push(after);
    }

    /// The proposer records an acknowledgement; those of earlier rounds are ignored.
    fn receive(state: &State, next: &mut Vec<State>) {
        for index in 0..state.acks.len() {
            let mut after = state.clone();
            let (node, boot, round) = after.acks.remove(index);
            after
                .acceptance
                .record_ack(NodeId(node.into()), identity(boot), round);
            let round = after.acceptance.round();
            after.acceptance.record_ack(NodeId(0), identity(0), round);
            after.acks.retain(|ack| ack.2 == round);
            next.push(after);
        }
    }

    /// A node's VM is replaced; the new process starts without any state.
    fn replace(self, state: &State, node: u8, next: &mut Vec<State>) {
        // Without its proposer a change is abandoned; only an accepted change is explored further.
        let abandoned = node == 0 && !self.is_accepted(state);
        if abandoned || state.replaced == self.replacements {
            return;
        }
        let mut after = state.clone();
        after.replaced += 1;
        let process = &mut after.processes[usize::from(node)];
        process.boot += 1;
        process.version = OLD;
        process.adoption = Some(self.new_adoption());
        next.push(after);
    }

    fn new_adoption(self) -> Adoption {
        let needed = majority(usize::from(self.nodes));
        match self.rules {
            Rules::FewerResponses => Adoption::with_required(needed - 1),
            Rules::Product | Rules::OneRound => Adoption::new(usize::from(self.nodes)),
        }
    }

    /// A new process gets a response of one slot that counts towards a majority, and counts towards
    /// it as well after enough responses.
    fn adopt(self, state: &State, node: u8, next: &mut Vec<State>) {
        let Some(adoption) = &state.processes[usize::from(node)].adoption else {
            return;
        };
        for other in self.distinct(state) {
            let process = &state.processes[usize::from(other)];
            if process.adoption.is_some() || other == node {
                continue;
            }
            let mut collected = adoption.clone();
            collected.record(NodeId(other.into()), process.version);
            if collected == *adoption {
                continue;
            }
            let mut after = state.clone();
            let process = &mut after.processes[usize::from(node)];
            match collected.highest() {
                Some(version) => {
                    process.version = version;
                    process.adoption = None;
                }
                None => process.adoption = Some(collected),
            }
            next.push(after);
        }
    }
}

/// Returns whether a node is in its initial state and no other node has recorded it.
fn is_untouched(state: &State, node: u8) -> bool {
    let process = &state.processes[usize::from(node)];
    let slot = NodeId(node.into());
    let as_started = process.boot == 0 && process.version == OLD && process.adoption.is_none();
    let adoptions = state.processes.iter().filter_map(|it| it.adoption.as_ref());
    let mut recorded = adoptions.map(|adoption| {
        let mut with_response = adoption.clone();
        with_response.record(slot, OLD);
        with_response == *adoption
    });
    let has_no_ack = state.acks.iter().all(|ack| ack.0 != node);
    as_started
        && has_no_ack
        && !state.acceptance.holders().contains(&slot)
        && !recorded.any(|it| it)
}

fn identity(boot: u8) -> Identity {
    Identity {
        incarnation: boot.into(),
        boot: BootId(boot.into()),
    }
}
