//! The state of one group on this node.

use std::collections::BTreeMap;

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{GroupRow, Order};

use super::order_tries::JoinForm;

/// A group's row, and what this node has done for the group.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) id: GroupId,
    pub(super) epoch: Epoch,
    pub(super) row: GroupRow,
    pub(super) members: Vec<VmId>,
    /// When this node first read or made the epoch.
    pub(super) known_since: Moment,
    /// The last order sent to each member.
    pub(super) orders: BTreeMap<VmId, SentOrder>,
    /// The joins at this epoch.
    pub(super) joins: EpochJoins,
    /// Whether every member has been ready at this epoch.
    pub(super) was_ready: bool,
    /// When the group was found broken: a member is unusable, or the group failed.
    pub(super) broken_since: Option<Moment>,
    /// When the head was first ordered to finish its requests.
    pub(super) closing_since: Option<Moment>,
    /// The broken group of the same domain in whose favour this group is to be dissolved.
    pub(super) yields_to: Option<GroupId>,
    /// The progress of the dissolution; `None` if the group is not being dissolved.
    pub(super) dissolving: Option<Dissolving>,
    /// Until when it is not dissolved for another group or model, because its head began no order to
    /// end it.
    pub(super) stays_until: Moment,
    /// When the members were first ordered to leave before the head. It breaks off without them.
    pub(super) members_left: Option<Moment>,
    /// Whether the store does not contain this epoch yet.
    pub(super) provisional: bool,
    /// Whether a change of the group was sent to the store and has no result yet.
    pub(super) change_pending: bool,
}

/// The joins that name one epoch of a group.
#[derive(Debug, Default)]
pub(super) struct EpochJoins {
    /// The form in which each member was ordered to join.
    pub(super) forms: BTreeMap<VmId, JoinForm>,
    /// Whether no further join may name the epoch, so that the group needs another one.
    pub(super) is_spent: bool,
}

/// An order and the time it was sent.
#[derive(Debug, Clone)]
pub(super) struct SentOrder {
    pub(super) order: Order,
    pub(super) sent_at: Moment,
    /// Whether the VM has refused it. It is sent again as soon as its evidence is another one.
    pub(super) refused: bool,
    /// Whether the call has ended without an answer.
    pub(super) is_unanswered: bool,
}

impl SentOrder {
    pub(super) const fn new(sent_at: Moment, order: Order) -> Self {
        Self {
            order,
            sent_at,
            refused: false,
            is_unanswered: false,
        }
    }
}

/// The progress of a group's dissolution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Dissolving {
    /// A head of this or an earlier epoch may still serve.
    HeadLeaves,
    /// No head serves; the members can be freed.
    HeadLeft,
}

impl Group {
    pub(super) fn new(now: Moment, id: GroupId, row: GroupRow) -> Self {
        let members = row.members.iter().map(|name| VmId::of(name)).collect();
        Self {
            id,
            epoch: row.epoch,
            row,
            members,
            known_since: now,
            orders: BTreeMap::new(),
            joins: EpochJoins::default(),
            was_ready: false,
            broken_since: None,
            closing_since: None,
            yields_to: None,
            dissolving: None,
            stays_until: Moment::ZERO,
            members_left: None,
            provisional: false,
            change_pending: false,
        }
    }

    pub(super) fn head(&self) -> Option<VmId> {
        self.members.first().copied()
    }

    /// Has the group renewed before another member joins.
    pub(super) fn spend_epoch(&mut self, now: Moment) {
        self.joins.is_spent = true;
        self.broken_since.get_or_insert(now);
    }
}
