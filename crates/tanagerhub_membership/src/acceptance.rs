//! Acceptance of a catalogue version by a majority of a region.

use std::collections::{BTreeMap, BTreeSet};

use tanagerhub_catalogue::{CatalogueVersion, NodeId};

use crate::Identity;

/// Returns the smallest number of slots that is more than half of `count`.
///
/// # Examples
///
/// ```
/// assert_eq!(tanagerhub_membership::majority(5), 3);
/// assert_eq!(tanagerhub_membership::majority(6), 4);
/// ```
#[must_use]
pub const fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// The progress of a version towards acceptance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AcceptanceStage {
    /// Waiting for a majority to acknowledge the version.
    Collecting,
    /// Waiting for each slot of that majority to acknowledge again, as the same process.
    Confirming,
    /// A majority held the version at the same moment.
    Accepted,
}

/// The two rounds of acknowledgements that make a version accepted.
///
/// One round is not enough: a node that acknowledged may be replaced and adopt the old version
/// before the last acknowledgement arrives. Once a majority has acknowledged, it becomes the
/// quorum, and each of its members must acknowledge a second request. If all of them do so with
/// unchanged identities, every member held the version when the quorum was formed. A changed
/// identity restarts the first round.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::{CatalogueVersion, NodeId};
/// use tanagerhub_membership::{Acceptance, AcceptanceStage, Identity};
///
/// let (a, b, c) = (NodeId(1), NodeId(2), NodeId(3));
/// let mut acceptance = Acceptance::new([a, b, c], CatalogueVersion(4));
/// for _ in 0..2 {
///     let round = acceptance.round();
///     acceptance.record_ack(a, Identity::default(), round);
///     acceptance.record_ack(b, Identity::default(), round);
/// }
/// assert_eq!(acceptance.stage(), AcceptanceStage::Accepted);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Acceptance {
    version: CatalogueVersion,
    slots: BTreeSet<NodeId>,
    stage: AcceptanceStage,
    round: u32,
    quorum: BTreeMap<NodeId, Identity>,
    confirmed: BTreeSet<NodeId>,
    holders: BTreeSet<NodeId>,
}

impl Acceptance {
    /// Starts to collect acknowledgements of a region's slots.
    #[must_use]
    pub fn new(slots: impl IntoIterator<Item = NodeId>, version: CatalogueVersion) -> Self {
        Self {
            version,
            slots: slots.into_iter().collect(),
            stage: AcceptanceStage::Collecting,
            round: 0,
            quorum: BTreeMap::new(),
            confirmed: BTreeSet::new(),
            holders: BTreeSet::new(),
        }
    }

    /// Returns the version to be accepted.
    #[must_use]
    pub const fn version(&self) -> CatalogueVersion {
        self.version
    }

    /// Returns the slots of the region.
    #[must_use]
    pub const fn slots(&self) -> &BTreeSet<NodeId> {
        &self.slots
    }

    /// Returns the progress of the version.
    #[must_use]
    pub const fn stage(&self) -> AcceptanceStage {
        self.stage
    }

    /// Returns the number that requests must carry now and that acknowledgements must repeat.
    #[must_use]
    pub const fn round(&self) -> u32 {
        self.round
    }

    /// Returns the slots that have acknowledged the version in any round.
    #[must_use]
    pub const fn holders(&self) -> &BTreeSet<NodeId> {
        &self.holders
    }

    /// Returns the slots that have not acknowledged the version in any round.
    pub fn missing(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.slots.difference(&self.holders).copied()
    }

    /// Returns the slots to which a request should be sent now.
    #[must_use]
    pub fn pending(&self) -> Vec<NodeId> {
        match self.stage {
            AcceptanceStage::Collecting => self
                .slots
                .iter()
                .filter(|node| !self.quorum.contains_key(node))
                .copied()
                .collect(),
            AcceptanceStage::Confirming => {
                let open = self.quorum.keys().copied();
                let open = open.filter(|node| !self.confirmed.contains(node));
                open.chain(self.missing()).collect()
            }
            AcceptanceStage::Accepted => self.missing().collect(),
        }
    }

    /// Records an acknowledgement of a request of round `round`.
    pub fn record_ack(&mut self, node: NodeId, identity: Identity, round: u32) {
        if !self.slots.contains(&node) {
            return;
        }
        self.holders.insert(node);
        if round != self.round {
            return;
        }
        match self.stage {
            AcceptanceStage::Collecting => self.collect(node, identity),
            AcceptanceStage::Confirming => self.confirm(node, identity),
            AcceptanceStage::Accepted => {}
        }
    }

    /// Drops the quorum and starts the next round, for example because a member is unreachable.
    pub fn restart(&mut self) {
        if self.stage == AcceptanceStage::Accepted {
            return;
        }
        self.stage = AcceptanceStage::Collecting;
        self.round += 1;
        self.quorum.clear();
        self.confirmed.clear();
    }

    fn collect(&mut self, node: NodeId, identity: Identity) {
        self.quorum.insert(node, identity);
        if self.quorum.len() >= majority(self.slots.len()) {
            self.stage = AcceptanceStage::Confirming;
            self.round += 1;
        }
    }

    fn confirm(&mut self, node: NodeId, identity: Identity) {
        match self.quorum.get(&node) {
            None => {}
            Some(first) if *first == identity => {
                self.confirmed.insert(node);
                if self.confirmed.len() == self.quorum.len() {
                    self.stage = AcceptanceStage::Accepted;
                }
            }
            Some(_) => self.restart(),
        }
    }
}
