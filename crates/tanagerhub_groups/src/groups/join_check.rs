//! Whether a VM may join a group, by what it has said itself in the current term.
//!
//! A VM takes any join of a higher epoch, also if its present group serves. Rows may be older than an
//! outage or a planner, so they can forbid a join but not allow it.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{GroupReport, GroupState, GroupsAction, JoinProof, Order};

use super::Groups;
use super::term::ActiveTerm;
use super::vm_entry::{MAX_REPORT_LAG, OwnReport};

/// How long what a VM has said of itself holds.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// The shortest interval at which a VM is asked for its report because of a join.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Whether a VM may join a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JoinCheck {
    Proven(JoinProof),
    /// The report of this VM is needed: of the VM itself, or of the head of its present group.
    Unknown(VmId),
    /// Its present group serves.
    Taken,
    /// The head of its present group can't be asked. The VM must leave this group first.
    MustLeave(GroupId, Epoch),
    /// It left a group whose head could not be asked, and which may not have broken off yet.
    Waits,
}

impl Groups {
    /// Returns whether a VM may join a group; `None` is a new group.
    pub(super) fn check_join(
        &self,
        now: Moment,
        term: ActiveTerm,
        vm: VmId,
        group: Option<GroupId>,
    ) -> JoinCheck {
        let Some((entry, own)) = self.vms.get(vm).zip(self.own_report(now, term, vm)) else {
            return JoinCheck::Unknown(vm);
        };
        if now < entry.waits_until {
            return JoinCheck::Waits;
        }
        let memberships = [own.group, entry.report.group].into_iter().flatten();
        for membership in memberships.filter(|it| Some(it.group) != group) {
            if let Some(obstacle) = self.find_obstacle(now, term, vm, membership) {
                return obstacle;
            }
        }
        let is_counted = own.asked_at >= entry.ordered_at + MAX_REPORT_LAG;
        let order_count = own.order_count.filter(|_| is_counted);
        JoinCheck::Proven(JoinProof::with_count(order_count))
    }

    /// Returns what keeps a VM from leaving its present group for another one.
    fn find_obstacle(
        &self,
        now: Moment,
        term: ActiveTerm,
        vm: VmId,
        membership: GroupReport,
    ) -> Option<JoinCheck> {
        if membership.rank == 0 {
            return membership.state.serves().then_some(JoinCheck::Taken);
        }
        let (group, epoch) = (membership.group, membership.epoch);
        if self.planner.released.contains(&(group, epoch)) {
            return None;
        }
        let must_leave = JoinCheck::MustLeave(group, epoch);
        let Some(head) = self.find_head(vm, group, epoch) else {
            return Some(must_leave);
        };
        match self.own_report(now, term, head) {
            Some(own) => own.serves(group, epoch).then_some(JoinCheck::Taken),
            None if self.is_out_of_reach(head) => Some(must_leave),
            None => Some(JoinCheck::Unknown(head)),
        }
    }

    /// Returns the head of a group at an epoch, according to the VMs or to the group's row.
    fn find_head(&self, member: VmId, group: GroupId, epoch: Epoch) -> Option<VmId> {
        let is_head = |it: GroupReport| (it.group, it.epoch, it.rank) == (group, epoch, 0);
        let reported = self.vms.list.iter().find(|(_, entry)| {
            let own = entry.own.as_ref().and_then(|own| own.group);
            own.is_some_and(is_head) || entry.report.group.is_some_and(is_head)
        });
        let planned = || {
            let group = self.by_id.get(&group).filter(|it| it.epoch == epoch)?;
            group.head().filter(|head| *head != member)
        };
        reported.map(|(vm, _)| *vm).or_else(planned)
    }

    /// Returns what a VM said of itself lately, in this term.
    fn own_report(&self, now: Moment, term: ActiveTerm, vm: VmId) -> Option<&OwnReport> {
        let own = self.vms.get(vm)?.own.as_ref()?;
        let is_current =
            own.asked_at >= term.began_at() && now.since(own.asked_at) <= REPORT_LIFETIME;
        is_current.then_some(own)
    }

    fn is_out_of_reach(&self, vm: VmId) -> bool {
        let entry = self.vms.get(vm);
        entry.is_none_or(|entry| entry.is_unreachable(&self.settings))
    }

    /// Returns whether a VM that is to join a group has been found in another one that serves.
    pub(super) fn is_taken(&self, now: Moment, term: ActiveTerm, vm: VmId, group: GroupId) -> bool {
        self.check_join(now, term, vm, Some(group)) == JoinCheck::Taken
    }

    /// Asks a VM for its report, unless it was just asked or many others are being asked.
    pub(super) fn ask_report(&mut self, now: Moment, vm: VmId) {
        if self.awaited.len() >= self.settings.pending_probes {
            return;
        }
        let Some(entry) = self.vms.list.get_mut(&vm) else {
            return;
        };
        let was_asked = entry
            .asked_at
            .is_some_and(|at| now.since(at) < ASK_INTERVAL);
        if was_asked || entry.probe_pending {
            return;
        }
        entry.asked_at = Some(now);
        self.awaited.insert(vm);
        self.probe(now, vm);
    }

    /// Continues what waited for reports once the last one has arrived.
    pub(super) fn report_arrived(&mut self, now: Moment, vm: VmId) {
        if self.awaited.remove(&vm)
            && self.awaited.is_empty()
            && let Some(term) = self.active_term(now)
        {
            self.plan(now, term);
        }
    }

    /// Orders a VM to leave a group whose head can't be asked. It is used elsewhere only after the
    /// time in which such a head breaks off.
    pub(super) fn send_leave(
        &mut self,
        now: Moment,
        term: ActiveTerm,
        vm: VmId,
        (group, epoch): (GroupId, Epoch),
    ) {
        let interval = self.settings.order_retry_interval;
        let Some(entry) = self.vms.list.get_mut(&vm) else {
            return;
        };
        if now.since(entry.ordered_at) < interval {
            return;
        }
        entry.ordered_at = now;
        entry.waits_until = now + self.settings.stall_timeout;
        self.actions.push(GroupsAction::Order {
            vm,
            name: entry.report.vm.name.clone(),
            address: entry.report.vm.address,
            order: Order::Leave { group, epoch },
            expires_at: term.ends_at(),
        });
    }

    /// Has the free VMs that report a group without a known head leave it.
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
                JoinCheck::MustLeave(group, epoch) => {
                    self.send_leave(now, term, vm, (group, epoch));
                }
                JoinCheck::Proven(_) | JoinCheck::Taken | JoinCheck::Waits => {}
            }
        }
    }
}

impl OwnReport {
    /// Returns whether the VM serves a group as the head.
    fn serves(&self, group: GroupId, epoch: Epoch) -> bool {
        self.group
            .is_some_and(|it| (it.group, it.epoch) == (group, epoch) && it.state.serves())
    }
}

impl GroupState {
    /// Returns whether a head in this state accepts requests or has some to finish.
    pub(super) const fn serves(self) -> bool {
        match self {
            Self::Open | Self::Closing => true,
            Self::Joining | Self::Ready | Self::Broken => false,
        }
    }
}
