//! Brings groups into service: joins, readiness, opening. Handles the results of orders.

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{Decision, GroupState, GroupsAction, JoinProof, OpenProof, Order, OrderResult};

use super::Groups;
use super::group::{Group, SentOrder};
use super::join_check::{JoinCheck, JoinEvidence};
use super::order_tries::JoinForm;
use super::term::ActiveTerm;
use super::vm_entry::OwnReport;

impl Groups {
    /// Sends the orders that bring groups into service, or that make the heads of groups being
    /// dissolved leave.
    pub(super) fn advance_groups(&mut self, now: Moment, term: ActiveTerm) {
        let ids: Vec<GroupId> = self.by_id.keys().copied().collect();
        for id in ids {
            let Some(group) = self.by_id.get(&id) else {
                continue;
            };
            if group.change_pending {
                continue;
            }
            if group.dissolving.is_some() {
                self.release_heads(now, term, id);
            } else if group.members.iter().all(|vm| self.is_available(*vm)) {
                self.bring_up(now, term, id);
            }
        }
    }

    /// Orders the members to join, and opens the group once every member is ready.
    fn bring_up(&mut self, now: Moment, term: ActiveTerm, id: GroupId) {
        let Some(group) = self.by_id.get(&id) else {
            return;
        };
        let states: Vec<(VmId, Option<GroupState>)> = group
            .members
            .iter()
            .map(|vm| (*vm, self.vms.state_in(*vm, group)))
            .collect();
        if group.joins.is_spent {
            return;
        }
        let was_ready = group.was_ready;
        let mut ready = true;
        for (vm, state) in &states {
            match state {
                // A member that left this epoch can rejoin only at a new epoch.
                None if was_ready => ready = false,
                None => {
                    ready = false;
                    self.order_join(now, term, id, *vm);
                }
                Some(GroupState::Joining | GroupState::Broken | GroupState::Closing) => {
                    ready = false;
                }
                Some(GroupState::Ready | GroupState::Open) => {}
            }
        }
        if ready {
            self.open(now, term, id, &states);
        }
    }

    /// Orders a member to join if it has proven that it may, and finds out otherwise.
    fn order_join(&mut self, now: Moment, term: ActiveTerm, id: GroupId, vm: VmId) {
        let has_joined = |own: &OwnReport, group: &Group| {
            let membership = own.group.map(|it| (it.group, it.epoch));
            membership == Some((id, group.epoch))
        };
        let own = self.own_report(now, term, vm);
        if own
            .zip(self.by_id.get(&id))
            .is_some_and(|(own, group)| has_joined(own, group))
        {
            // Its row doesn't show it yet.
            return;
        }
        match self.check_join(now, term, vm, Some(id)) {
            JoinCheck::Proven(evidence) => self.send_join(now, term, id, vm, evidence),
            JoinCheck::Unknown(needed) => self.ask_report(now, needed),
            JoinCheck::MustLeave(group, epoch, head) => {
                self.send_leave(now, term, vm, (group, epoch), head);
            }
            JoinCheck::HeadMustLeave(head, group, epoch) => {
                self.order_to_leave(now, term, head, (group, epoch));
            }
            JoinCheck::Taken | JoinCheck::Waits => {}
        }
    }

    /// Sends a member the next join, or has the group renewed if that needs another epoch.
    fn send_join(
        &mut self,
        now: Moment,
        term: ActiveTerm,
        id: GroupId,
        vm: VmId,
        evidence: JoinEvidence,
    ) {
        let Some((group, entry)) = self.by_id.get_mut(&id).zip(self.vms.get(vm)) else {
            return;
        };
        let wanted = entry.tries.next_join();
        if wanted == JoinForm::Sole
            && let Some(membership) = evidence.membership()
        {
            // Only a VM in no group gets a sole join.
            self.order_to_leave(now, term, vm, membership);
            return;
        }
        let interval = self.settings.order_retry_interval;
        let is_pending = |sent: &SentOrder| {
            let has_failed = sent.is_unanswered || sent.refused;
            !has_failed && now.since(sent.sent_at) < interval
        };
        let epoch = self.planner.term_epoch(group.epoch);
        let proof = match (group.joins.forms.get(&vm), wanted) {
            (None | Some(JoinForm::Counted), JoinForm::Counted) => Some(evidence.counted()),
            (None, JoinForm::Sole) => epoch.and_then(|epoch| evidence.sole(epoch)),
            (Some(JoinForm::Sole), _) if group.orders.get(&vm).is_some_and(is_pending) => return,
            (Some(JoinForm::Counted), JoinForm::Sole) | (Some(JoinForm::Sole), _) => None,
        };
        let Some((epoch, proof)) = epoch.zip(proof) else {
            return group.spend_epoch(now);
        };
        let join = Order::Join {
            group: id,
            epoch: epoch.get(),
            model: group.row.model.clone(),
            members: group.row.members.clone(),
            proof,
        };
        group.joins.forms.insert(vm, wanted);
        self.send_order(now, term, id, vm, join);
    }

    fn open(
        &mut self,
        now: Moment,
        term: ActiveTerm,
        id: GroupId,
        states: &[(VmId, Option<GroupState>)],
    ) {
        let Some(group) = self.by_id.get_mut(&id) else {
            return;
        };
        group.was_ready = true;
        let epoch = group.epoch;
        let Some((head, Some(GroupState::Ready))) = states.first().copied() else {
            return;
        };
        if group.closing_since.is_some() {
            return;
        }
        let known = self
            .vms
            .get(head)
            .and_then(|entry| entry.count_in(id, epoch));
        let Some(proof) = known.map(OpenProof::with_count) else {
            return self.ask_report(now, head);
        };
        let order = Order::Open {
            group: id,
            epoch,
            proof,
        };
        if self.send_order(now, term, id, head, order) {
            self.record(Decision::Opening { group: id, epoch });
        }
    }

    /// Sends an order to a member, unless the same order was sent within the retry interval.
    ///
    /// Returns whether the order was sent.
    pub(super) fn send_order(
        &mut self,
        now: Moment,
        term: ActiveTerm,
        id: GroupId,
        vm: VmId,
        order: Order,
    ) -> bool {
        let interval = self.settings.order_retry_interval;
        let Some((group, entry)) = self.by_id.get_mut(&id).zip(self.vms.get(vm)) else {
            return false;
        };
        let recent = |sent: &&SentOrder| {
            let is_same = sent.order.is_same(&order) && now.since(sent.sent_at) < interval;
            is_same && (!sent.refused || sent.order == order)
        };
        if entry.tries.ignores_orders(now) || group.orders.get(&vm).as_ref().is_some_and(recent) {
            return false;
        }
        group.orders.insert(vm, SentOrder::new(now, order.clone()));
        self.give_order(now, term, vm, order);
        true
    }

    /// Gives a VM an order within the term.
    pub(super) fn give_order(&mut self, now: Moment, term: ActiveTerm, vm: VmId, order: Order) {
        let Some(entry) = self.vms.list.get_mut(&vm) else {
            return;
        };
        entry.record_order(now);
        self.actions.push(GroupsAction::Order {
            vm,
            name: entry.report.vm.name.clone(),
            address: entry.report.vm.address,
            order,
            expires_at: term.ends_at(),
        });
    }

    /// Handles the result of an order.
    pub(super) fn order_done(&mut self, now: Moment, vm: VmId, order: &Order, result: OrderResult) {
        if !matches!(result, OrderResult::Accepted | OrderResult::Paused) {
            let name = self.vms.get(vm).map(|entry| entry.report.vm.name.clone());
            self.record(Decision::OrderFailed {
                vm: name.unwrap_or_default(),
                result,
            });
        }
        if let Some(entry) = self.vms.list.get_mut(&vm) {
            entry.tries.record_result(result);
        }
        self.join_done(vm, order, result);
        match (order, result) {
            // That the VM has left is known once it says so.
            (Order::Leave { .. }, OrderResult::Accepted) => self.ask_report(now, vm),
            (
                Order::Join {
                    group,
                    epoch,
                    proof,
                    ..
                },
                OrderResult::Accepted,
            ) => {
                // The VM confirms the number, so this needs no report.
                if let JoinProof::Counted(proof) = proof
                    && let Some(entry) = self.vms.list.get_mut(&vm)
                {
                    let count = proof.order_count().saturating_add(1);
                    entry.record_membership(now, (*group, *epoch), count);
                }
            }
            (Order::Join { group, epoch, .. }, OrderResult::Stale) => {
                self.handle_stale_join(now, *group, *epoch);
            }
            (Order::Join { group, .. } | Order::Open { group, .. }, OrderResult::Unfit) => {
                self.order_refused(now, vm, *group);
            }
            (_, OrderResult::Misdirected) => {
                if let Some(entry) = self.vms.list.get_mut(&vm) {
                    entry.record_misdirected(now, &self.settings);
                }
            }
            (Order::Stage { .. }, OrderResult::Unfit | OrderResult::NotSent) => {
                if let Some(entry) = self.vms.list.get_mut(&vm) {
                    entry.staging = None;
                }
            }
            _ => {}
        }
    }

    /// Records that a join has its result or got no answer.
    fn join_done(&mut self, vm: VmId, order: &Order, result: OrderResult) {
        let Order::Join { group, proof, .. } = order else {
            return;
        };
        if let Some(entry) = self.vms.list.get_mut(&vm) {
            entry.tries.record_join(*proof, result);
        }
        let sent = self
            .by_id
            .get_mut(group)
            .and_then(|it| it.orders.get_mut(&vm));
        if let Some(sent) = sent.filter(|sent| sent.order == *order) {
            sent.is_unanswered = result == OrderResult::Unknown;
        }
    }

    /// Handles a VM that refuses an order by its evidence: it may have accepted another order since.
    fn order_refused(&mut self, now: Moment, vm: VmId, id: GroupId) {
        if let Some(entry) = self.vms.list.get_mut(&vm) {
            entry.forget_report();
        }
        let group = self.by_id.get_mut(&id);
        if let Some(sent) = group.and_then(|group| group.orders.get_mut(&vm)) {
            sent.refused = true;
        }
        self.ask_report(now, vm);
    }

    /// Handles a member that has seen a higher epoch than the group's: the group needs a new epoch.
    fn handle_stale_join(&mut self, now: Moment, id: GroupId, epoch: Epoch) {
        if self.store_unreachable && self.planner.is_held() {
            // Another planner has committed a newer epoch to the store, which this node can't read.
            self.resign_silently();
            return;
        }
        if let Some(group) = self.by_id.get_mut(&id)
            && group.epoch == epoch
        {
            let is_first = group.broken_since.is_none();
            group.spend_epoch(now);
            if is_first {
                self.epoch_refused();
            }
        }
    }
}
