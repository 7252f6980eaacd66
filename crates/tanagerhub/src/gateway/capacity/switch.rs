//! Decides which backend servers are coordinated.

use std::collections::{BTreeSet, HashMap};

use tanagerhub_catalogue::EntryId;

/// A server becomes coordinated if all nodes together have less than this many starts per node:
/// whole-number shares then differ too much, or are zero.
const MIN_STARTS_PER_NODE: u32 = 3;
/// A coordinated server stays so until there are this many starts per node, so that a few nodes
/// that come and go don't switch it back and forth.
const LEAVE_STARTS_PER_NODE: u32 = 4;

/// The entries whose backend servers are coordinated.
#[derive(Debug, Default)]
pub(crate) struct CapacitySwitch {
    coordinated: BTreeSet<EntryId>,
}

impl CapacitySwitch {
    /// Decides for each entry with a limit, of which `starts` is the part that all nodes together
    /// use. `nodes` includes this one. Returns whether a decision has changed.
    ///
    /// A node alone has nothing to share, so it starts no coordination.
    pub(crate) fn update(&mut self, starts: &HashMap<EntryId, u32>, nodes: u32) -> bool {
        let is_coarse = |entry: &EntryId, starts: u32| {
            let per_node = if self.coordinated.contains(entry) {
                LEAVE_STARTS_PER_NODE
            } else {
                MIN_STARTS_PER_NODE
            };
            starts < nodes.saturating_mul(per_node)
        };
        let coarse = starts
            .iter()
            .filter(|(entry, starts)| nodes > 1 && is_coarse(entry, **starts));
        let coordinated = coarse.map(|(entry, _)| *entry).collect();
        let changed = coordinated != self.coordinated;
        self.coordinated = coordinated;
        changed
    }

    pub(crate) fn is_coordinated(&self, entry: EntryId) -> bool {
        self.coordinated.contains(&entry)
    }

    /// Returns the entries whose backend servers are coordinated.
    pub(crate) fn entries(&self) -> impl Iterator<Item = EntryId> {
        self.coordinated.iter().copied()
    }

    /// Returns the number of entries whose backend servers are coordinated.
    pub(crate) fn count(&self) -> usize {
        self.coordinated.len()
    }
}

#[cfg(test)]
mod tests;
