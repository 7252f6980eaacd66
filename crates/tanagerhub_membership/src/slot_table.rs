//! The node slots that a node knows.

use std::collections::BTreeMap;

use tanagerhub_catalogue::NodeId;
use tanagerhub_table::RowVersion;
use xxhash_rust::xxh3::Xxh3;

use crate::{Identity, NodeSlot, SlotRow};

/// The node slots of all regions, and which process was last heard in each.
#[derive(Debug, Default)]
pub(crate) struct SlotTable {
    rows: BTreeMap<NodeId, SlotRow>,
    heard: BTreeMap<NodeId, Identity>,
    /// Rows that the table no longer has; peers may still tell of them.
    removed: BTreeMap<NodeId, RowVersion>,
}

impl SlotTable {
    /// Takes the rows of the table in place of those known.
    pub(crate) fn replace(&mut self, rows: impl IntoIterator<Item = SlotRow>) {
        let old = std::mem::take(&mut self.rows);
        self.rows = rows.into_iter().map(|row| (row.slot.node(), row)).collect();
        let gone = old.into_iter();
        let gone = gone.filter(|(node, _)| !self.rows.contains_key(node));
        self.removed
            .extend(gone.map(|(node, row)| (node, row.version)));
        self.removed.retain(|node, _| !self.rows.contains_key(node));
        self.note_identities();
    }

    /// Takes in rows that are newer than those known.
    pub(crate) fn merge(&mut self, rows: impl IntoIterator<Item = SlotRow>) {
        for row in rows {
            let node = row.slot.node();
            self.meet(node, row.slot.identity);
            let removed = self.removed.get(&node);
            if removed.is_some_and(|version| *version >= row.version) {
                continue;
            }
            let known = self.rows.get(&node);
            if known.is_none_or(|known| known.version < row.version) {
                self.rows.insert(node, row);
            }
        }
    }

    /// Forgets a slot.
    pub(crate) fn remove(&mut self, node: NodeId) {
        if let Some(row) = self.rows.remove(&node) {
            self.removed.insert(node, row.version);
        }
    }

    /// Notes which process speaks for a slot; says whether it is the newest known.
    pub(crate) fn meet(&mut self, node: NodeId, identity: Identity) -> bool {
        let known = self.heard.entry(node).or_default();
        *known = identity.max(*known);
        *known == identity
    }

    /// The newest process known in a slot.
    pub(crate) fn identity(&self, node: NodeId) -> Identity {
        self.heard.get(&node).copied().unwrap_or_default()
    }

    /// The row of a slot.
    pub(crate) fn row(&self, node: NodeId) -> Option<&SlotRow> {
        self.rows.get(&node)
    }

    /// The rows with the newest identities, for a peer.
    pub(crate) fn export(&self) -> Vec<SlotRow> {
        let newest = |row: &SlotRow| {
            let mut row = row.clone();
            row.slot.identity = self.identity(row.slot.node());
            row
        };
        self.rows.values().map(newest).collect()
    }

    /// All slots.
    pub(crate) fn all(&self) -> impl Iterator<Item = &NodeSlot> {
        self.rows.values().map(|row| &row.slot)
    }

    /// Slots of one region, in order.
    pub(crate) fn region<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a NodeSlot> {
        self.all().filter(move |slot| slot.region == region)
    }

    /// How many slots all regions have.
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    /// How many slots a region has.
    pub(crate) fn count(&self, region: &str) -> usize {
        self.region(region).count()
    }

    /// A hash over the slots of one region.
    pub(crate) fn digest(&self, region: &str) -> u64 {
        let mut hasher = Xxh3::new();
        for slot in self.region(region) {
            hasher.update(&slot.node().0.to_le_bytes());
        }
        hasher.digest()
    }

    fn note_identities(&mut self) {
        let rows: Vec<_> = self.all().map(|it| (it.node(), it.identity)).collect();
        for (node, identity) in rows {
            self.meet(node, identity);
        }
    }
}
