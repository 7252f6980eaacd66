//! The node slots that a node has recorded.

use std::collections::BTreeMap;

use tanagerhub_catalogue::NodeId;
use tanagerhub_table::RowVersion;
use xxhash_rust::xxh3::Xxh3;

use crate::{Identity, NodeSlot, SlotRow};

/// The node slots of all regions, and the newest process recorded for each.
#[derive(Debug, Default)]
pub(crate) struct SlotTable {
    rows: BTreeMap<NodeId, SlotRow>,
    identities: BTreeMap<NodeId, Identity>,
    /// Versions of rows that were removed from the table; peers may still send these rows.
    removed: BTreeMap<NodeId, RowVersion>,
    regions: BTreeMap<String, RegionSlots>,
}

/// The slots of one region, in order, and a hash over them.
#[derive(Debug, Default)]
struct RegionSlots {
    nodes: Vec<NodeId>,
    digest: u64,
}

impl SlotTable {
    /// Replaces all rows by the rows of the table.
    pub(crate) fn replace(&mut self, rows: impl IntoIterator<Item = SlotRow>) {
        let old = std::mem::take(&mut self.rows);
        self.rows = rows.into_iter().map(|row| (row.slot.node(), row)).collect();
        let dropped = old.into_iter();
        let dropped = dropped.filter(|(node, _)| !self.rows.contains_key(node));
        self.removed
            .extend(dropped.map(|(node, row)| (node, row.version)));
        self.removed.retain(|node, _| !self.rows.contains_key(node));
        self.record_identities();
        self.rebuild();
    }

    /// Merges rows received from the table or a peer, keeping the newer version of each.
    pub(crate) fn merge(&mut self, rows: impl IntoIterator<Item = SlotRow>) {
        for row in rows {
            let node = row.slot.node();
            self.record_identity(node, row.slot.identity);
            let removed = self.removed.get(&node);
            if removed.is_some_and(|version| *version >= row.version) {
                continue;
            }
            let known = self.rows.get(&node);
            if known.is_none_or(|known| known.version < row.version) {
                self.rows.insert(node, row);
            }
        }
        self.rebuild();
    }

    /// Removes a slot.
    pub(crate) fn remove(&mut self, node: NodeId) {
        if let Some(row) = self.rows.remove(&node) {
            self.removed.insert(node, row.version);
        }
        self.rebuild();
    }

    /// Records a process that occupies a slot. Returns whether it is the newest one recorded.
    pub(crate) fn record_identity(&mut self, node: NodeId, identity: Identity) -> bool {
        let known = self.identities.entry(node).or_default();
        *known = identity.max(*known);
        *known == identity
    }

    /// Returns the newest process recorded for a slot.
    pub(crate) fn identity(&self, node: NodeId) -> Identity {
        self.identities.get(&node).copied().unwrap_or_default()
    }

    /// Returns the row of a slot.
    pub(crate) fn row(&self, node: NodeId) -> Option<&SlotRow> {
        self.rows.get(&node)
    }

    /// Returns all rows, with the newest recorded identities, to be sent to a peer.
    pub(crate) fn export(&self) -> Vec<SlotRow> {
        let newest = |(node, row): (&NodeId, &SlotRow)| {
            let mut row = row.clone();
            row.slot.identity = self.identity(*node);
            row
        };
        self.rows.iter().map(newest).collect()
    }

    /// Returns the slots of all regions.
    pub(crate) fn all(&self) -> impl Iterator<Item = &NodeSlot> {
        self.rows.values().map(|row| &row.slot)
    }

    /// Returns the slots of one region, in the order of their ids.
    pub(crate) fn region(&self, region: &str) -> impl Iterator<Item = &NodeSlot> {
        let rows = self.nodes(region).iter();
        rows.filter_map(|node| self.row(*node)).map(|row| &row.slot)
    }

    /// Returns the ids of one region's slots, in ascending order.
    pub(crate) fn nodes(&self, region: &str) -> &[NodeId] {
        let slots = self.regions.get(region);
        slots.map_or(&[], |slots| &slots.nodes)
    }

    /// Returns the ids of every region's slots, with the region's name.
    pub(crate) fn regions(&self) -> impl Iterator<Item = (&str, &[NodeId])> {
        let regions = self.regions.iter();
        regions.map(|(name, slots)| (name.as_str(), slots.nodes.as_slice()))
    }

    /// Returns the number of slots of all regions.
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns the number of slots of a region.
    pub(crate) fn count(&self, region: &str) -> usize {
        self.nodes(region).len()
    }

    /// Returns a hash over the ids of one region's slots; zero for an unknown region.
    pub(crate) fn digest(&self, region: &str) -> u64 {
        self.regions.get(region).map_or(0, |slots| slots.digest)
    }

    fn record_identities(&mut self) {
        let rows = self.rows.iter();
        let rows: Vec<_> = rows.map(|(node, row)| (*node, row.slot.identity)).collect();
        for (node, identity) in rows {
            self.record_identity(node, identity);
        }
    }

    fn rebuild(&mut self) {
        self.regions.clear();
        for (node, row) in &self.rows {
            let region = self.regions.entry(row.slot.region.clone()).or_default();
            region.nodes.push(*node);
        }
        for slots in self.regions.values_mut() {
            let mut hasher = Xxh3::new();
            for node in &slots.nodes {
                hasher.update(&node.0.to_le_bytes());
            }
            slots.digest = hasher.digest();
        }
    }
}
