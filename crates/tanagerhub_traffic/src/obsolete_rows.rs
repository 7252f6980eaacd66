//! Rows of crashes that are to be deleted from the store.
//!
//! All nodes that run a request with a part of a prompt find out that the part is sound, each for
//! itself. The node that wrote a row deletes it at once. The others leave each other time, so that
//! one deletion is enough in a large fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use tanagerhub_clock::Moment;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::CrashKey;

/// The range over which nodes spread their deletions of a row, for each node of the fleet.
const SPREAD_PER_NODE: Duration = Duration::from_millis(50);

/// The rows that a node is to delete.
#[derive(Debug, Default)]
pub(crate) struct ObsoleteRows {
    /// Makes this node's place in the range differ from that of other nodes.
    seed: u64,
    /// The number of nodes that may delete the same row.
    nodes: u32,
    /// Rows to delete next.
    due: Vec<CrashKey>,
    /// Rows to delete at a later time, unless another node has done so by then.
    deferred: BTreeMap<CrashKey, Moment>,
}

impl ObsoleteRows {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            nodes: 1,
            ..Self::default()
        }
    }

    pub(crate) const fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes;
    }

    /// Adds rows to delete at once.
    pub(crate) fn extend(&mut self, rows: impl IntoIterator<Item = CrashKey>) {
        self.due.extend(rows);
    }

    /// Adds a row that any node may delete.
    pub(crate) fn defer(&mut self, now: Moment, row: CrashKey) {
        let key = row.row_key();
        let place = xxh3_64_with_seed(key.as_str().as_bytes(), self.seed) >> u32::BITS;
        let range = SPREAD_PER_NODE * self.nodes;
        let delay = range * u32::try_from(place).unwrap_or(u32::MAX) / u32::MAX;
        self.deferred.entry(row).or_insert(now + delay);
    }

    /// Records that a row has been deleted.
    pub(crate) fn remove(&mut self, row: &CrashKey) {
        self.deferred.remove(row);
    }

    /// Takes the rows that are due, at most `limit` of them.
    pub(crate) fn take_due(&mut self, now: Moment, limit: usize) -> Vec<CrashKey> {
        let due = &mut self.due;
        self.deferred.retain(|row, at| {
            let is_due = *at <= now;
            if is_due {
                due.push(*row);
            }
            !is_due
        });
        let count = limit.min(self.due.len());
        self.due.drain(..count).collect()
    }
}
