//! Cold slots: the division of a group's cold limit among nodes.

use std::time::Duration;

use tanagerhub_catalogue::{DataCentreId, GroupId, NodeId};
use tanagerhub_clock::Moment;

use crate::rendezvous::ranked_peers;
use crate::rows::ColdSlots;

use super::Fleet;
use super::group::Group;

/// The number of read intervals for which a holder may use its slots after its last read of the
/// rows.
const SLOT_USE_READ_INTERVALS: u32 = 2;
/// The number of read intervals that a new holder waits, so that the old holder has stopped using
/// the slots by then.
const MOVE_READ_INTERVALS: u32 = 4;
/// The number of read intervals after which a holder that left loses its slots.
const DEPARTED_READ_INTERVALS: u32 = 2;

impl Fleet {
    /// Divides a cold limit among the live nodes, starting with those in the group's data centre.
    pub(super) fn divide_slots(
        &self,
        id: GroupId,
        data_centre: DataCentreId,
        limit: u32,
    ) -> Vec<ColdSlots> {
        let mut nodes = ranked_peers(id.0, &self.peers);
        nodes.sort_by_key(|peer| peer.data_centre != data_centre);
        let count = u32::try_from(nodes.len()).unwrap_or(u32::MAX).min(limit);
        if count == 0 {
            return Vec::new();
        }
        let (each, remainder) = (limit / count, limit % count);
        nodes
            .into_iter()
            .zip(0..count)
            .map(|(peer, position)| ColdSlots {
                node: peer.node,
                count: each + u32::from(position < remainder),
            })
            .collect()
    }

    /// Returns the number of slots that this node may use on a cold group now.
    pub(super) fn own_slots(&self, now: Moment, group: &Group) -> u32 {
        let Some(entry) = self.catalogue.entry(group.row.entry) else {
            return 0;
        };
        let limit = entry.limits.cold.concurrency;
        let node = self.settings.node;
        if group.has_row() {
            let deadline = entry.limits.timeout;
            let usable = self.may_use_slots(now) && self.is_move_settled(now, group, deadline);
            return if usable {
                group.slots_of(node, limit)
            } else {
                0
            };
        }
        self.divide_slots(group.id, group.row.data_centre, limit)
            .iter()
            .find(|slots| slots.node == node)
            .map_or(0, |slots| slots.count)
    }

    /// Returns whether this node read the rows recently enough to use the slots that they assign to
    /// it.
    pub(super) fn may_use_slots(&self, now: Moment) -> bool {
        let bound = self.read_interval().saturating_mul(SLOT_USE_READ_INTERVALS);
        self.store
            .rows_confirmed_at
            .is_some_and(|read| now.since(read) < bound)
    }

    /// Returns whether the holders before the last move must have stopped using their slots by now.
    ///
    /// An old holder stops when its last read is [`SLOT_USE_READ_INTERVALS`] intervals old, and its
    /// requests in flight end by the entry's deadline.
    fn is_move_settled(&self, now: Moment, group: &Group, deadline: Duration) -> bool {
        let wait = self.read_interval().saturating_mul(MOVE_READ_INTERVALS) + deadline;
        group.row.moves == 0 || now.since(group.slots_divided_at) >= wait
    }

    /// Returns a holder that left and whose slots can be reassigned, if there is one.
    pub(super) fn departed_holder(&self, now: Moment, group: &Group) -> Option<NodeId> {
        group
            .row
            .slots
            .iter()
            .map(|slots| slots.node)
            .find(|node| self.has_departed(now, group, *node))
    }

    /// Returns whether a node left long enough ago to lose its slots.
    fn has_departed(&self, now: Moment, group: &Group, node: NodeId) -> bool {
        if self.peers.iter().any(|peer| peer.node == node) {
            return false;
        }
        let wait = self.read_interval().saturating_mul(DEPARTED_READ_INTERVALS);
        let seen = self.last_live.get(&node).copied();
        now.since(seen.unwrap_or(group.epoch_seen_at)) >= wait
    }

    /// Returns the division of slots in which those of holders that left are reassigned and all
    /// other nodes keep theirs.
    pub(super) fn reassigned_slots(&self, id: GroupId) -> Option<Vec<ColdSlots>> {
        let group = self.groups.get(&id)?;
        let entry = self.catalogue.entry(group.row.entry)?;
        let now = self.last_event;
        let mut free = entry.limits.cold.concurrency;
        let mut kept: Vec<ColdSlots> = Vec::new();
        for slots in &group.row.slots {
            let count = slots.count.min(free);
            if count == 0 || self.has_departed(now, group, slots.node) {
                continue;
            }
            free -= count;
            kept.push(ColdSlots { count, ..*slots });
        }
        for slots in self.divide_slots(id, group.row.data_centre, free) {
            match kept.iter_mut().find(|one| one.node == slots.node) {
                Some(one) => one.count += slots.count,
                None => kept.push(slots),
            }
        }
        Some(kept)
    }
}
