//! VMs in groups that no row lists.
//!
//! Late orders may bring a head of a dissolved group back, or that of an earlier epoch may go on while
//! nobody reaches it. Such a group is ended, and its VMs leave it, so that they can be used.

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{Decision, GroupReport, GroupState, Order};

use super::Groups;
use super::group::SentOrder;
use super::join_check::{FormerHead, JoinCheck};
use super::term::ActiveTerm;

/// A group whose head was ordered to finish its requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndingGroup {
    pub(super) group: GroupId,
    pub(super) epoch: Epoch,
    /// When it was first ordered to.
    pub(super) since: Moment,
}

impl Groups {
    /// Orders a VM to leave a group that doesn't serve. If its head has ended, the VM is used elsewhere
    /// only after the time in which such a head breaks off.
    pub(super) fn send_leave(
        &mut self,
        now: Moment,
        term: ActiveTerm,
        vm: VmId,
        membership: (GroupId, Epoch),
        head: FormerHead,
    ) {
        if self.order_to_leave(now, term, vm, membership)
            && head == FormerHead::Ended
            && let Some(entry) = self.vms.list.get_mut(&vm)
        {
            entry.waits_until = now + self.settings.stall_timeout;
        }
    }

    /// Orders a VM to leave a group, or asks it whether it has. Returns whether the order was sent.
    pub(super) fn order_to_leave(
        &mut self,
        now: Moment,
        term: ActiveTerm,
        vm: VmId,
        (group, epoch): (GroupId, Epoch),
    ) -> bool {
        let is_sent = self.order_stray(now, term, vm, Order::Leave { group, epoch });
        if !is_sent {
            // Its last report may be older than the order.
            self.ask_report(now, vm);
        }
        is_sent
    }

    /// Sends an order to a VM that is to be free, unless it was the last one and sent shortly before.
    /// Returns whether the order was sent.
    fn order_stray(&mut self, now: Moment, term: ActiveTerm, vm: VmId, order: Order) -> bool {
        let interval = self.settings.order_retry_interval;
        let Some(entry) = self.vms.list.get_mut(&vm) else {
            return false;
        };
        let is_recent =
            |sent: &SentOrder| sent.order == order && now.since(sent.sent_at) < interval;
        if entry.tries.ignores_orders(now) || entry.stray_order.as_ref().is_some_and(is_recent) {
            return false;
        }
        entry.stray_order = Some(SentOrder::new(now, order.clone()));
        self.give_order(now, term, vm, order);
        true
    }

    /// Returns whether this node's groups don't contain one that a VM is in, which no other planner can
    /// have made since.
    fn is_unplanned(&self, membership: GroupReport) -> bool {
        match self.by_id.get(&membership.group) {
            Some(group) => membership.epoch < group.epoch,
            None => membership.epoch <= self.planner.highest_epoch(),
        }
    }

    /// Ends the group that a VM serves as the head, if no row lists it: it finishes its requests, and
    /// leaves.
    pub(super) fn end_group(&mut self, now: Moment, term: ActiveTerm, vm: VmId) {
        let serves = |it: &GroupReport| it.rank == 0 && it.state.serves();
        let Some(entry) = self.vms.get(vm) else {
            return;
        };
        let membership = entry.memberships().find(serves);
        let Some(membership) = membership.filter(|it| self.is_unplanned(*it)) else {
            return;
        };
        let (group, epoch) = (membership.group, membership.epoch);
        if !entry.is_ending(group, epoch) {
            let head = entry.report.vm.name.clone();
            self.record(Decision::EndingGroup { group, epoch, head });
        }
        if self.close_head(now, term, vm, (group, epoch)) {
            self.order_to_leave(now, term, vm, (group, epoch));
        }
    }

    /// Has the head of a group finish its requests. Returns whether it has, or had the time for it.
    pub(super) fn close_head(
        &mut self,
        now: Moment,
        term: ActiveTerm,
        vm: VmId,
        (group, epoch): (GroupId, Epoch),
    ) -> bool {
        let Some(entry) = self.vms.list.get_mut(&vm) else {
            return false;
        };
        let state = entry.report.state_in(group, epoch);
        if !state.is_some_and(GroupState::serves) {
            entry.ending = None;
            return true;
        }
        let since = entry.begin_ending(now, group, epoch);
        if now.since(since) >= self.settings.close_timeout {
            return true;
        }
        if state == Some(GroupState::Open) {
            self.order_stray(now, term, vm, Order::Close { group, epoch });
        }
        self.ask_report(now, vm);
        false
    }

    /// Has the free VMs that report a group leave it once its head doesn't serve.
    pub(super) fn release_strays(&mut self, now: Moment, term: ActiveTerm) {
        let free = self.available_vms().into_iter();
        let in_group = |vm: &VmId| {
            self.vms
                .get(*vm)
                .is_some_and(|it| it.report.group.is_some())
        };
        let strays: Vec<VmId> = free.filter(in_group).collect();
        for vm in strays {
            match self.check_join(now, term, vm, None) {
                JoinCheck::Unknown(needed) => self.ask_report(now, needed),
                JoinCheck::MustLeave(group, epoch, head) => {
                    self.send_leave(now, term, vm, (group, epoch), head);
                }
                JoinCheck::HeadMustLeave(head, group, epoch) => {
                    self.order_to_leave(now, term, head, (group, epoch));
                }
                JoinCheck::Taken => self.end_group(now, term, vm),
                JoinCheck::Proven(_) | JoinCheck::Waits => {}
            }
        }
    }
}
