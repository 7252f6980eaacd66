//! When the held version was last confirmed, and by whom.

use std::collections::BTreeMap;
use std::time::Duration;

use tanagerhub_catalogue::{CatalogueVersion, NodeId};
use tanagerhub_clock::Moment;

use crate::{Confirmer, majority};

/// That no newer version than `max_version` existed somewhere at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Confirmation {
    /// The highest version that can have been there.
    pub max_version: CatalogueVersion,
    /// When, on the own clock; never later than the truth.
    pub at: Moment,
}

/// The fewest slots of a region whose majority can stand in for the store.
const MIN_SLOTS: usize = 3;

/// What the store and each other slot of the region last said of their version.
///
/// The own slot agrees with itself and is not kept.
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
    /// Notes that the table named `version` as the newest at moment `at`.
    pub fn record_store(&mut self, version: CatalogueVersion, at: Moment) {
        if self.store.is_none_or(|known| known.at < at) {
            self.store = Some(Confirmation {
                max_version: version,
                at,
            });
        }
    }

    /// Notes that a slot held no version above `max_version` at moment `at`.
    pub fn record_slot(&mut self, node: NodeId, max_version: CatalogueVersion, at: Moment) {
        let known = self.slots.get(&node);
        if known.is_none_or(|known| known.at < at) {
            self.slots.insert(node, Confirmation { max_version, at });
        }
    }

    /// Forgets slots that are no longer counted.
    pub fn retain(&mut self, counted: impl Fn(NodeId) -> bool) {
        self.slots.retain(|node, _| counted(*node));
    }

    /// What the store last said.
    #[must_use]
    pub const fn store_confirmation(&self) -> Option<Confirmation> {
        self.store
    }

    /// What a slot last said.
    #[must_use]
    pub fn slot_confirmation(&self, node: NodeId) -> Option<Confirmation> {
        self.slots.get(&node).copied()
    }

    /// The last moment at which `version` was surely not behind an accepted one.
    ///
    /// `slots` is the number of the region's slots, the own one included.
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

    /// The newest moment since which a majority has said that it holds nothing newer.
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

/// Whether something confirmed at `at` may still be relied on at `now`.
#[must_use]
pub fn is_recent(at: Moment, now: Moment, limit: Duration) -> bool {
    now.since(at) < limit
}
