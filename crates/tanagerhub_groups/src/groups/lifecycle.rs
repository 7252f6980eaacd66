//! Brings groups into service (joins, readiness, opening), and makes the heads of dissolved groups
//! leave.

use std::collections::BTreeSet;
use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{Decision, GroupState, GroupsAction, JoinProof, OpenProof, Order, OrderResult};

use super::Groups;
use super::group::{Dissolving, Group, SentOrder};
use super::join_check::{FormerHead, JoinCheck, JoinEvidence};
use super::order_tries::{JoinForm, OrderNews};
use super::stage::LOAD_TIMEOUT_FACTOR;
use super::term::ActiveTerm;
use super::vm_entry::{OwnReport, VmEntry};

/// How long a group is not chosen again to be dissolved, whose head began no order to end it.
const STAY_TIME: Duration = Duration::from_mins(1);

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

    /// Returns whether a member can't take part, so that another VM is to take its place.
    pub(super) fn lacks_member(&self, now: Moment, group: &Group) -> bool {
        let mut members = group.members.iter();
        members.any(|vm| self.is_missing(now, group, *vm))
    }

    /// Returns whether a VM can't take part in its group: it is unusable, or is not in place and can't be
    /// brought there.
    pub(super) fn is_missing(&self, now: Moment, group: &Group, vm: VmId) -> bool {
        let is_late = match self.vms.state_in(vm, group) {
            None => self.is_unresponsive(now, vm),
            Some(GroupState::Ready) if group.was_ready && group.head() == Some(vm) => {
                self.is_unresponsive(now, vm)
            }
            Some(GroupState::Joining) => now.since(group.known_since) > self.join_timeout(group),
            Some(_) => false,
        };
        is_late || self.is_unusable(vm)
    }

    /// Returns the time after which a member that still joins is taken for lost.
    fn join_timeout(&self, group: &Group) -> Duration {
        let mut engines = self.engines.iter();
        let engine = engines.find(|engine| engine.service == group.row.service);
        let model = engine.and_then(|engine| engine.model(&group.row.model));
        model.map_or(Duration::MAX, |model| {
            (model.load_time + model.join_time) * LOAD_TIMEOUT_FACTOR
        })
    }

    /// Returns whether a VM can't be brought anywhere now: it begins no order, or gives no report.
    pub(super) fn is_unresponsive(&self, now: Moment, vm: VmId) -> bool {
        let entry = self.vms.get(vm);
        entry.is_some_and(|entry| entry.is_unresponsive(now))
    }

    /// Tells operators of the VMs that ignore orders, and of those that follow them again.
    pub(super) fn tell_ignored_orders(&mut self, now: Moment) {
        let entries = self.vms.list.values_mut();
        let news = entries.filter_map(|entry| {
            let vm = entry.report.vm.name.clone();
            Some(match entry.tries.take_news(now)? {
                OrderNews::Ignores(orders) => Decision::VmIgnoresOrders { vm, orders },
                OrderNews::Follows => Decision::VmFollowsOrders { vm },
            })
        });
        self.decisions.extend(news);
    }

    /// Returns whether a member is lost, so that the group's requests can't go on.
    pub(super) fn has_lost_member(&self, group: &Group) -> bool {
        let is_gone = |vm: &VmId| {
            let entry = self.vms.get(*vm);
            entry.is_none_or(|entry| entry.is_gone(&self.settings))
        };
        group.members.iter().any(is_gone)
    }

    /// Returns whether a VM can't remain a member: it is unknown, lost or leaving.
    pub(super) fn is_unusable(&self, vm: VmId) -> bool {
        self.vms
            .get(vm)
            .is_none_or(|entry| entry.is_gone(&self.settings) || entry.is_leaving())
    }

    /// Returns whether a VM can become a member: it is usable and reachable.
    pub(super) fn is_available(&self, vm: VmId) -> bool {
        let entry = self.vms.get(vm);
        !self.is_unusable(vm) && entry.is_some_and(|entry| !entry.is_unavailable(&self.settings))
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

    /// Orders the VMs that may still serve a group being dissolved to leave it.
    fn release_heads(&mut self, now: Moment, term: ActiveTerm, id: GroupId) {
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
                    self.send_order(now, term, id, *vm, Order::Leave { group, epoch });
                    self.ask_report(now, *vm);
                }
            } else if self.is_confirmed_gone(*vm) {
                self.release_members_first(now, term, id);
            }
        }
        if pending.is_empty() {
            self.release_members(now, term, id, FormerHead::Out);
            if let Some(group) = self.by_id.get_mut(&id) {
                group.dissolving = Some(Dissolving::HeadLeft);
            }
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
        self.release_members(now, term, id, FormerHead::Ended);
        if let Some(group) = self.by_id.get_mut(&id) {
            group.members_left.get_or_insert(now);
        }
    }

    /// Orders the members of a group to leave it, whose head is out or is to break off.
    fn release_members(&mut self, now: Moment, term: ActiveTerm, id: GroupId, head: FormerHead) {
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
                self.send_leave(now, term, vm, membership, head);
            }
        }
    }

    pub(super) fn is_reachable(&self, vm: VmId) -> bool {
        let entry = self.vms.get(vm);
        entry.is_some_and(|entry| !entry.is_unavailable(&self.settings))
    }

    /// Returns whether neither this node nor other nodes reach a VM.
    pub(super) fn is_confirmed_gone(&self, vm: VmId) -> bool {
        let entry = self.vms.get(vm);
        entry.is_none_or(|entry| {
            entry.is_unreachable(&self.settings) && entry.is_gone(&self.settings)
        })
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
        let entry = self.vms.list.get_mut(&vm);
        let Some((group, entry)) = self.by_id.get_mut(&id).zip(entry) else {
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
        entry.record_order(now);
        self.actions.push(GroupsAction::Order {
            vm,
            name: entry.report.vm.name.clone(),
            address: entry.report.vm.address,
            order,
            expires_at: term.ends_at(),
        });
        true
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
