//! Decides which groups to renew, dissolve and form.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng as _;
use tanagerhub_catalogue::{DomainId, Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{Change, GroupRow, GroupState, Order};

use super::Groups;
use super::group::{Dissolving, Group};
use super::join_check::JoinCheck;
use super::spares::{FreeVms, Search, SpareRequirements};
use super::term::ActiveTerm;

/// How long a broken group without a spare VM waits before it may be dissolved.
const DISSOLVE_DELAY: Duration = Duration::from_millis(300);

type PlannedChanges = Vec<(Change, Option<GroupRow>)>;

impl Groups {
    /// Collects the due changes, and sends them in one transaction.
    pub(super) fn plan_changes(&mut self, now: Moment, term: ActiveTerm) {
        if self.may_reach_no_vm(now) {
            return;
        }
        if self.store_unreachable {
            self.release_strays(now, term);
            self.renew_groups_in_outage(now, term);
            return;
        }
        if !self.planner.can_commit(now) {
            return;
        }
        self.release_strays(now, term);
        self.release_for_waiting(now);
        self.plan_rebalance(now);
        let mut free = self.free_vms(now);
        let mut changes = PlannedChanges::new();
        let ids: Vec<GroupId> = self.by_id.keys().copied().collect();
        for id in ids {
            self.plan_group(now, term, id, &mut free, &mut changes);
        }
        self.plan_formations(now, term, &mut free, &mut changes);
        if !changes.is_empty() {
            self.submit_changes(now, term, changes);
        }
    }

    /// Renews groups with unusable members while the store is unreachable.
    ///
    /// A renewal keeps the group's id and adds free VMs only. The store doesn't contain it yet, so
    /// a planner that takes over detects it by the group that the VMs report.
    fn renew_groups_in_outage(&mut self, now: Moment, term: ActiveTerm) {
        let mut free = self.free_vms(now);
        let mut changes = PlannedChanges::new();
        let ids: Vec<GroupId> = self.by_id.keys().copied().collect();
        for id in ids {
            let is_pending = self.by_id.get(&id).is_none_or(|group| group.change_pending);
            if !is_pending {
                self.plan_group(now, term, id, &mut free, &mut changes);
            }
        }
        for (change, row) in changes {
            if let (Change::Renew { .. }, Some(row)) = (&change, row) {
                self.renew_provisionally(now, term, change, row);
            }
        }
    }

    pub(super) fn serving_groups(&self, now: Moment) -> BTreeSet<(GroupId, Epoch)> {
        let entries = self.vms.list.values();
        entries
            .filter_map(|entry| entry.may_serve(now, &self.settings))
            .collect()
    }

    fn plan_group(
        &mut self,
        now: Moment,
        term: ActiveTerm,
        id: GroupId,
        free: &mut FreeVms,
        changes: &mut PlannedChanges,
    ) {
        let Some(group) = self.by_id.get(&id) else {
            return;
        };
        match group.dissolving {
            Some(Dissolving::HeadLeft) => {
                changes.push((Change::Dissolve { group: id }, None));
                return;
            }
            Some(Dissolving::HeadLeaves) => return,
            None => {}
        }
        if self.dissolve_for_other_model(now, term, id) || self.yield_to_other(now, term, id) {
            return;
        }
        let Some(group) = self.by_id.get(&id) else {
            return;
        };
        let is_out = |vm: &VmId| self.vms.state_in(*vm, group).is_none();
        let is_taken = |vm: &VmId| is_out(vm) && self.is_taken(now, term, *vm, id);
        let taken: Vec<VmId> = group.members.iter().copied().filter(is_taken).collect();
        let is_broken = self.is_broken(now, group);
        for vm in &taken {
            self.end_group(now, term, *vm);
        }
        if taken.is_empty() && !is_broken {
            return self.mark_healthy(id, changes);
        }
        let since = self
            .by_id
            .get_mut(&id)
            .map_or(now, |group| *group.broken_since.get_or_insert(now));
        if !self.finish_requests(now, term, id) {
            return;
        }
        match self.renewed_members(now, term, id, free) {
            Search::Found(members) => changes.push(self.renew(id, &members)),
            Search::Awaits(vms) => self.ask_reports(now, &vms),
            Search::TooFew => self.consider_dissolving(now, id, since, free),
        }
    }

    /// Clears a group's failure state, and writes a provisional epoch to the store once it is
    /// reachable.
    fn mark_healthy(&mut self, id: GroupId, changes: &mut PlannedChanges) {
        let Some(group) = self.by_id.get_mut(&id) else {
            return;
        };
        group.broken_since = None;
        group.closing_since = None;
        if group.provisional && !self.store_unreachable {
            let members = group.row.members.clone();
            let change = Change::Renew { group: id, members };
            changes.push((change, Some(group.row.clone())));
        }
    }

    /// Returns whether a group can't continue at its epoch.
    fn is_broken(&self, now: Moment, group: &Group) -> bool {
        if group.joins.is_spent
            || self.lacks_member(now, group)
            || group.broken_since.is_some() && !self.is_complete(group)
        {
            return true;
        }
        let state = |vm: &VmId| self.vms.state_in(*vm, group);
        let head_broke = group.head().and_then(|vm| state(&vm)) == Some(GroupState::Broken);
        let left = group.was_ready && group.members.iter().any(|vm| state(vm).is_none());
        head_broke || left
    }

    /// Returns whether every member is ready at the group's epoch.
    fn is_complete(&self, group: &Group) -> bool {
        group.members.iter().all(|vm| {
            let state = self.vms.state_in(*vm, group);
            matches!(state, Some(GroupState::Ready | GroupState::Open))
        })
    }

    /// Orders the head to finish its requests unless a member is lost, and waits for it.
    ///
    /// Returns whether the group may be changed now.
    pub(super) fn finish_requests(&mut self, now: Moment, term: ActiveTerm, id: GroupId) -> bool {
        let Some(group) = self.by_id.get(&id) else {
            return false;
        };
        let runs = !self.has_lost_member(group);
        let Some(head) = group.head().filter(|_| runs) else {
            return true;
        };
        let epoch = group.epoch;
        let state = self.vms.state_in(head, group);
        if !matches!(state, Some(GroupState::Open | GroupState::Closing)) {
            return true;
        }
        let timeout = self.settings.close_timeout;
        let started = self
            .by_id
            .get_mut(&id)
            .map_or(now, |group| *group.closing_since.get_or_insert(now));
        if let Some(entry) = self.vms.list.get_mut(&head) {
            entry.begin_ending(started, id, epoch);
        }
        if state == Some(GroupState::Open) {
            self.send_order(now, term, id, head, Order::Close { group: id, epoch });
        }
        now.since(started) >= timeout
    }

    fn ask_reports(&mut self, now: Moment, vms: &[VmId]) {
        for vm in vms {
            self.ask_report(now, *vm);
        }
    }

    /// Returns the available members, followed by free VMs in place of the others.
    fn renewed_members(
        &self,
        now: Moment,
        term: ActiveTerm,
        id: GroupId,
        free: &mut FreeVms,
    ) -> Search {
        let Some(group) = self.by_id.get(&id) else {
            return Search::TooFew;
        };
        let (mut members, mut needed) = (Vec::new(), Vec::new());
        for vm in group
            .members
            .iter()
            .copied()
            .filter(|vm| self.is_available(*vm) && !self.is_missing(now, group, *vm))
        {
            if self.reports_group(vm, id) {
                members.push(vm);
                continue;
            }
            match self.check_join(now, term, vm, Some(id)) {
                JoinCheck::Taken => {}
                JoinCheck::Unknown(asked) => needed.push(asked),
                // It joins once nothing is in its way.
                JoinCheck::Proven(_)
                | JoinCheck::MustLeave(..)
                | JoinCheck::HeadMustLeave(..)
                | JoinCheck::Waits => members.push(vm),
            }
        }
        if !needed.is_empty() {
            return Search::Awaits(needed);
        }
        self.prefer_joined(group, &mut members, free);
        let missing = group.members.len() - members.len();
        if missing > 0 {
            let Some(domain) = self.domain_of(&group.members) else {
                return Search::TooFew;
            };
            let requirements = SpareRequirements {
                domain,
                service: &group.row.service,
                model: &group.row.model,
                group: Some(id),
            };
            let spares = match self.spares(now, term, free, requirements, missing) {
                Search::Found(spares) => spares,
                other => return other,
            };
            free.take(requirements.domain, &spares);
            members.extend(spares);
        }
        Search::Found(members)
    }

    /// Returns whether a VM's row tells of a group, at any epoch.
    fn reports_group(&self, vm: VmId, group: GroupId) -> bool {
        let membership = self.vms.get(vm).and_then(|entry| entry.report.group);
        membership.is_some_and(|membership| membership.group == group)
    }

    /// Puts VMs first that report the group at a newer epoch than the store's.
    ///
    /// A planner renewed the group with them while the store was unreachable. A member that is not
    /// among them was unusable at that time.
    fn prefer_joined(&self, group: &Group, members: &mut Vec<VmId>, free: &mut FreeVms) {
        let epoch = |vm: &VmId| {
            let membership = self.vms.get(*vm)?.report.group?;
            (membership.group == group.id && membership.epoch > group.epoch)
                .then_some(membership.epoch)
        };
        let Some(newest) = members.iter().filter_map(epoch).max() else {
            return;
        };
        let joined = |vm: &VmId| epoch(vm) == Some(newest);
        let all = free.by_domain.values().flatten().copied();
        let newcomers: Vec<VmId> = all.filter(joined).collect();
        let (mut first, rest): (Vec<VmId>, Vec<VmId>) = members.iter().copied().partition(joined);
        for vms in free.by_domain.values_mut() {
            vms.retain(|vm| !newcomers.contains(vm));
        }
        first.extend(newcomers);
        first.extend(rest);
        first.truncate(group.members.len());
        *members = first;
    }

    /// Returns the fabric domain of the first known VM.
    pub(super) fn domain_of(&self, members: &[VmId]) -> Option<DomainId> {
        let known = members.iter().find_map(|vm| self.vms.get(*vm));
        known.map(|entry| entry.domain)
    }

    fn renew(&mut self, id: GroupId, members: &[VmId]) -> (Change, Option<GroupRow>) {
        let row = self.by_id.get(&id).map(|group| group.row.clone());
        let names = self.names(members);
        let change = Change::Renew {
            group: id,
            members: names.clone(),
        };
        let epoch = self.planner.next_epoch();
        let row = row.map(|row| GroupRow {
            members: names,
            epoch,
            ..row
        });
        (change, row)
    }

    fn names(&self, members: &[VmId]) -> Vec<String> {
        members
            .iter()
            .filter_map(|vm| self.vms.get(*vm))
            .map(|entry| entry.report.vm.name.clone())
            .collect()
    }

    /// Starts dissolving a group without a spare VM, if its members can complete another group and
    /// none of them is merely silent.
    fn consider_dissolving(&mut self, now: Moment, id: GroupId, since: Moment, free: &FreeVms) {
        let Some(group) = self.by_id.get(&id) else {
            return;
        };
        let is_silent = |vm: &VmId| !self.is_unusable(*vm) && !self.is_available(*vm);
        if now.since(since) < DISSOLVE_DELAY
            || group.members.iter().any(is_silent)
            || !self.completes_another(now, group, free)
        {
            return;
        }
        if let Some(group) = self.by_id.get_mut(&id) {
            group.dissolving = Some(Dissolving::HeadLeaves);
        }
    }

    /// Returns whether another broken group of the domain can be completed with the usable members
    /// of a group.
    fn completes_another(&self, now: Moment, group: &Group, free: &FreeVms) -> bool {
        let Some(domain) = self.domain_of(&group.members) else {
            return false;
        };
        let usable = |group: &Group| {
            let members = group.members.iter();
            members
                .filter(|vm| !self.is_missing(now, group, **vm))
                .count()
        };
        let requirements = SpareRequirements {
            domain,
            service: &group.row.service,
            model: &group.row.model,
            group: None,
        };
        let spare = usable(group) + self.matching_spares(now, free, requirements).count();
        self.by_id.values().any(|other| {
            let alike = other.id != group.id
                && other.row.model == group.row.model
                && other.row.service == group.row.service
                && self.domain_of(&other.members) == Some(domain);
            let missing = other.members.len() - usable(other);
            // If two groups can complete each other, the one with more usable members is kept.
            let later = (usable(other), other.id) > (usable(group), group.id);
            alike
                && later
                && other.broken_since.is_some()
                && other.dissolving.is_none()
                && missing > 0
                && missing <= spare
        })
    }

    fn plan_formations(
        &mut self,
        now: Moment,
        term: ActiveTerm,
        free: &mut FreeVms,
        changes: &mut PlannedChanges,
    ) {
        for candidate in self.formation_candidates(now) {
            let size = candidate.group_size + candidate.reserve;
            let requirements = SpareRequirements {
                domain: candidate.domain,
                service: &candidate.service,
                model: &candidate.model,
                group: None,
            };
            let mut members = match self.spares(now, term, free, requirements, size) {
                Search::Found(spares) => spares,
                Search::Awaits(vms) => {
                    self.ask_reports(now, &vms);
                    // Other groups must not take the VMs that are asked.
                    free.take(candidate.domain, &vms);
                    continue;
                }
                Search::TooFew => continue,
            };
            members.truncate(candidate.group_size);
            free.take(candidate.domain, &members);
            let names = self.names(&members);
            let group = GroupId(self.rng.next_u64());
            let change = Change::Form {
                group,
                model: candidate.model.clone(),
                members: names.clone(),
            };
            let row = GroupRow {
                service: candidate.service,
                model: candidate.model,
                members: names,
                epoch: self.planner.next_epoch(),
            };
            changes.push((change, Some(row)));
        }
    }
}
