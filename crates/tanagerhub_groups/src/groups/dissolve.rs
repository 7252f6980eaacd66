//! Has the heads and members of dissolved groups leave.

use std::collections::BTreeSet;
use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use super::Groups;
use super::group::{Dissolving, Group};
use super::join_check::FormerHead;
use super::term::ActiveTerm;
use super::vm_entry::VmEntry;

/// How long a group is not chosen again to be dissolved, whose head began no order to end it.
const STAY_TIME: Duration = Duration::from_mins(1);

impl Groups {
    /// Orders the VMs that may still serve a group being dissolved to leave it.
    pub(super) fn release_heads(&mut self, now: Moment, term: ActiveTerm, id: GroupId) {
        let Some(group) = self.by_id.get(&id) else {
            return;
        };
        if group.dissolving != Some(Dissolving::HeadLeaves) {
            return;
        }
        let pending = self.pending_heads(now, group);
        let (current, runs) = (group.epoch, !self.has_lost_member(group));
        let takes_part = |vm: &VmId| self.vms.state_in(*vm, group).is_some();
        let is_complete = group.members.iter().all(takes_part);
        for (vm, epoch) in &pending {
            if self.is_unresponsive(now, *vm) {
                if is_complete {
                    return self.keep_group(now, id);
                }
                self.release_members_first(now, term, id);
            } else if self.is_reachable(*vm) {
                let (group, epoch) = (id, *epoch);
                // A complete group may have been brought back since its head was closed.
                let may_run = runs && epoch == current;
                if !may_run || self.close_head(now, term, *vm, (group, epoch)) {
                    self.order_to_leave(now, term, *vm, (group, epoch));
                    self.ask_report(now, *vm);
                }
            } else if self.is_confirmed_gone(*vm) {
                self.release_members_first(now, term, id);
            }
        }
        if pending.is_empty()
            && let Some(group) = self.by_id.get_mut(&id)
        {
            group.dissolving = Some(Dissolving::HeadLeft);
        }
    }

    /// Ends the dissolution of a complete group whose head begins no order: it can go on.
    fn keep_group(&mut self, now: Moment, id: GroupId) {
        if let Some(group) = self.by_id.get_mut(&id) {
            group.dissolving = None;
            group.yields_to = None;
            group.closing_since = None;
            group.stays_until = now + STAY_TIME;
        }
    }

    /// Orders the members of a group to leave it before its head, which can't be reached or begins no
    /// order: without them it breaks off.
    fn release_members_first(&mut self, now: Moment, term: ActiveTerm, id: GroupId) {
        self.release_members(now, term, id);
        if let Some(group) = self.by_id.get_mut(&id) {
            group.members_left.get_or_insert(now);
        }
    }

    /// Orders the members of a group to leave it, whose head is to break off.
    fn release_members(&mut self, now: Moment, term: ActiveTerm, id: GroupId) {
        let in_group = |entry: &VmEntry| {
            let membership = entry
                .report
                .group
                .filter(|it| it.group == id && it.rank > 0)?;
            Some((membership.group, membership.epoch))
        };
        let list = self.vms.list.iter();
        let members = list.filter_map(|(vm, entry)| Some((*vm, in_group(entry)?)));
        let members: Vec<(VmId, (GroupId, Epoch))> = members.collect();
        for (vm, membership) in members {
            if self.is_reachable(vm) {
                self.send_leave(now, term, vm, membership, FormerHead::Ended);
            }
        }
    }

    /// Returns the heads of this and earlier epochs of a group that may still serve it.
    ///
    /// The head of an earlier epoch continues to serve while no order reaches it or its members.
    fn pending_heads(&self, now: Moment, group: &Group) -> BTreeSet<(VmId, Epoch)> {
        let serves = |(vm, entry): (&VmId, &VmEntry)| {
            let membership = entry.report.group.filter(|_| entry.is_serving_head())?;
            (membership.group == group.id).then_some((*vm, membership.epoch))
        };
        let mut pending: BTreeSet<_> = self.vms.list.iter().filter_map(serves).collect();
        let takes_part =
            |head: &VmId| !self.is_reachable(*head) || self.vms.state_in(*head, group).is_some();
        let head = group.head().filter(takes_part);
        pending.extend(head.map(|head| (head, group.epoch)));
        let has_left = |vm: &VmId, epoch: &Epoch| {
            let entry = self.vms.get(*vm);
            entry.is_some_and(|entry| entry.has_left(group.id, *epoch))
        };
        pending.retain(|(vm, epoch)| !self.has_broken_off(now, *vm, group) && !has_left(vm, epoch));
        pending
    }

    /// Returns whether a head that can't be reached, or begins no order, has been without its members for
    /// long enough.
    fn has_broken_off(&self, now: Moment, head: VmId, group: &Group) -> bool {
        let timeout = self.settings.stall_timeout;
        let has_passed = |since: Moment| now.since(since) >= timeout;
        let serves = self.vms.get(head).is_some_and(VmEntry::is_serving_head);
        let is_off = self.is_confirmed_gone(head) || !serves;
        is_off && group.members_left.is_some_and(has_passed)
    }
}
