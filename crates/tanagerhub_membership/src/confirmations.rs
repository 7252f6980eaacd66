//! Confirmations of the held version by the store and by other nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use tanagerhub_catalogue::{CatalogueVersion, NodeId};
use tanagerhub_clock::Moment;

use crate::{Confirmer, majority};

/// An observation that one source had no version newer than `max_version` at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Confirmation {
    /// The highest version that the source can have had.
    pub max_version: CatalogueVersion,
    /// When, on this process's clock; never later than the actual moment.
    pub at: Moment,
}

/// Minimum number of slots of a region whose majority can replace the store.
const MIN_SLOTS: usize = 3;

/// The last confirmation by the store and by each other slot of the region.
///
/// This process's own slot always agrees and is not recorded.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerhub_catalogue::{CatalogueVersion, NodeId};
/// use tanagerhub_clock::Moment;
/// use tanagerhub_membership::{Confirmations, Confirmer};
///
/// let mut seen = Confirmations::default();
/// let (now, version) = (Moment::from_millis(9_000), CatalogueVersion(3));
/// assert_eq!(seen.newest(3, version), None);
/// seen.record_slot(NodeId(2), version, now);
/// assert_eq!(seen.newest(3, version), Some((now, Confirmer::Majority)));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Confirmations {
    store: Option<Confirmation>,
    slots: BTreeMap<NodeId, Confirmation>,
}

impl Confirmations {
    /// Records that the table named `version` as the newest at moment `at`.
    pub fn record_store(&mut self, version: CatalogueVersion, at: Moment) {
        if self.store.is_none_or(|known| known.at < at) {
            self.store = Some(Confirmation {
                max_version: version,
                at,
            });
        }
    }

    /// Records that a slot held no version above `max_version` at moment `at`.
    pub fn record_slot(&mut self, node: NodeId, max_version: CatalogueVersion, at: Moment) {
        let known = self.slots.get(&node);
        if known.is_none_or(|known| known.at < at) {
            self.slots.insert(node, Confirmation { max_version, at });
        }
    }

    /// Drops slots that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(NodeId) -> bool) {
        self.slots.retain(|node, _| is_listed(*node));
    }

    /// Returns the last confirmation by the store.
    #[must_use]
    pub const fn store_confirmation(&self) -> Option<Confirmation> {
        self.store
    }

    /// Returns the last confirmation by a slot.
    #[must_use]
    pub fn slot_confirmation(&self, node: NodeId) -> Option<Confirmation> {
        self.slots.get(&node).copied()
    }

    /// Returns the last moment at which no version newer than `version` can have been accepted,
    /// and what confirmed it.
    ///
    /// `slots` is the number of the region's slots, including this process's own.
    #[must_use]
    pub fn newest(&self, slots: usize, version: CatalogueVersion) -> Option<(Moment, Confirmer)> {
        let store = self.store.filter(|seen| seen.max_version <= version);
        let store = store.map(|seen| (seen.at, Confirmer::Store));
        let majority = self.majority_moment(slots, version);
        let majority = majority.map(|at| (at, Confirmer::Majority));
        match (store, majority) {
            (Some(store), Some(majority)) if majority.0 > store.0 => Some(majority),
            (Some(store), _) => Some(store),
            (None, majority) => majority,
        }
    }

    /// Returns the newest moment since which a majority has confirmed that it holds nothing newer.
    fn majority_moment(&self, slots: usize, version: CatalogueVersion) -> Option<Moment> {
        let agreeing = self
            .slots
            .values()
            .filter(|seen| seen.max_version <= version);
        let mut moments: Vec<Moment> = agreeing.map(|seen| seen.at).collect();
        moments.sort_unstable_by(|a, b| b.cmp(a));
        let others = majority(slots) - 1;
        let last = others.checked_sub(1).filter(|_| slots >= MIN_SLOTS)?;
        moments.get(last).copied()
    }
}

/// Returns whether a confirmation of moment `at` is younger than `limit` at `now`.
#[must_use]
pub fn is_recent(at: Moment, now: Moment, limit: Duration) -> bool {
    now.since(at) < limit
}
