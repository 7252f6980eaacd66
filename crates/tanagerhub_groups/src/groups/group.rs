//! One group, as its row says.

use std::collections::{BTreeMap, BTreeSet};

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{GroupRow, Order};

/// One group and what this node has done for it.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) id: GroupId,
    pub(super) epoch: Epoch,
    pub(super) row: GroupRow,
    pub(super) members: Vec<VmId>,
    /// Since when this node knows the epoch.
    pub(super) known_since: Moment,
    /// The last order to each member.
    pub(super) orders: BTreeMap<VmId, SentOrder>,
    /// Whether every member was ready at this epoch at some time.
    pub(super) was_ready: bool,
    /// Since when a member is lost or the group has failed.
    pub(super) broken_since: Option<Moment>,
    /// When the head was told to finish its requests.
    pub(super) closing_since: Option<Moment>,
    /// The larger group of its domain for which it is to be dissolved.
    pub(super) yields_to: Option<GroupId>,
    /// Whether it is being dissolved, and whether its head is known to have left.
    pub(super) dissolving: Option<Dissolving>,
    /// Heads that have left it, and the epochs that they left.
    pub(super) released_heads: BTreeSet<(VmId, Epoch)>,
    /// Whether the store does not know its epoch yet.
    pub(super) provisional: bool,
    /// Whether the store's answer to a change of it is awaited.
    pub(super) change_pending: bool,
}

/// An order that was sent.
#[derive(Debug, Clone)]
pub(super) struct SentOrder {
    pub(super) order: Order,
    pub(super) sent_at: Moment,
}

/// How far a dissolution is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Dissolving {
    /// A head, of this or an earlier epoch, may still serve.
    HeadLeaves,
    /// No head serves; the members are free.
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
            was_ready: false,
            broken_since: None,
            closing_since: None,
            yields_to: None,
            dissolving: None,
            released_heads: BTreeSet::new(),
            provisional: false,
            change_pending: false,
        }
    }

    pub(super) fn head(&self) -> Option<VmId> {
        self.members.first().copied()
    }
}
