//! Whether a VM may join a group, by what it has said itself in the current term.
//!
//! A VM takes any join of a higher epoch, also if its present group serves. Rows may be older than an
//! outage or a planner, so they can forbid a join but not allow it.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{GroupReport, GroupState, JoinProof};

use super::Groups;
use super::group::Group;
use super::planner::TermEpoch;
use super::term::ActiveTerm;
use super::vm_entry::{OwnReport, VmEntry};

/// How long what a VM has said of itself holds.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// The shortest interval at which a VM is asked for its report because of a join.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Whether a VM may join a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JoinCheck {
    Proven(JoinEvidence),
    /// The report of this VM is needed: of the VM itself, or of the head of its present group.
    Unknown(VmId),
    /// Its present group serves.
    Taken,
    /// It must leave its present group first, whose head doesn't serve.
    MustLeave(GroupId, Epoch, FormerHead),
    /// The head of its present group doesn't serve, but may be about to. It must leave first.
    HeadMustLeave(VmId, GroupId, Epoch),
    /// It left a group whose head has ended, and which may not have broken off yet; or the head of its
    /// present group can't be asked now.
    Waits,
}

/// What is known of the head of a group that a VM must leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FormerHead {
    /// It is out of the group, or it is the VM itself.
    Out,
    /// It has ended, or begins no order. It may not have broken off yet.
    Ended,
}

/// What a VM has said by which it may join a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct JoinEvidence {
    order_count: u64,
    /// Its membership in the group that it is to join, at another epoch; `None` if it is in no group.
    membership: Option<(GroupId, Epoch)>,
}

impl JoinEvidence {
    pub(super) const fn membership(self) -> Option<(GroupId, Epoch)> {
        self.membership
    }

    /// Returns the proof by the number of orders.
    pub(super) const fn counted(self) -> JoinProof {
        JoinProof::counted(self.order_count)
    }

    /// Returns the proof of a VM in no group by an epoch at which it gets no other join.
    pub(super) fn sole(self, epoch: TermEpoch) -> Option<JoinProof> {
        let is_free = self.membership.is_none();
        is_free.then(|| JoinProof::sole_at(epoch.get()))
    }
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
            return self.needs_report(now, vm);
        };
        if now < entry.waits_until {
            return JoinCheck::Waits;
        }
        // Its state may be another one since the last order to it, or since its row changed.
        if entry.is_report_outdated() || entry.is_row_newer(own) {
            return JoinCheck::Unknown(vm);
        }
        // A row may lag behind what the VM has said.
        let has_left = |it: &GroupReport| entry.has_left(it.group, it.epoch);
        let present: Vec<GroupReport> = entry.memberships().filter(|it| !has_left(it)).collect();
        if let Some(other) = present.iter().find(|it| Some(it.group) != group) {
            return self.obstacle(now, term, vm, *other);
        }
        JoinCheck::Proven(JoinEvidence {
            order_count: own.order_count,
            membership: present.first().map(|it| (it.group, it.epoch)),
        })
    }

    /// Returns what keeps a VM from joining another group than its present one.
    ///
    /// It leaves its present group in any case: its head may be brought back by a late order, and a VM
    /// that is in no group has no head.
    fn obstacle(
        &self,
        now: Moment,
        term: ActiveTerm,
        vm: VmId,
        membership: GroupReport,
    ) -> JoinCheck {
        let (group, epoch) = (membership.group, membership.epoch);
        if membership.rank == 0 {
            let own = self.own_report(now, term, vm);
            return if membership.state.serves() {
                JoinCheck::Taken
            } else if own.is_some_and(OwnReport::is_opening) {
                JoinCheck::Unknown(vm)
            } else {
                JoinCheck::MustLeave(group, epoch, FormerHead::Out)
            };
        }
        let has_ended = JoinCheck::MustLeave(group, epoch, FormerHead::Ended);
        let Some(head) = self.find_head(vm, group, epoch) else {
            return has_ended;
        };
        let Some(own) = self.own_report(now, term, head) else {
            return if self.is_confirmed_gone(head) {
                has_ended
            } else if self.is_reachable(head) {
                self.needs_report(now, head)
            } else {
                JoinCheck::Waits
            };
        };
        let is_member = |it: GroupReport| (it.group, it.epoch) == (group, epoch);
        if !own.group.is_some_and(is_member) {
            // The head's row may be newer than what it has said, and can forbid the join.
            let is_out = |entry: &VmEntry| {
                entry.has_left(group, epoch) && !entry.report.group.is_some_and(is_member)
            };
            return if self.vms.get(head).is_some_and(is_out) {
                JoinCheck::MustLeave(group, epoch, FormerHead::Out)
            } else {
                JoinCheck::Unknown(head)
            };
        }
        let is_planned = |it: &Group| it.epoch == epoch && it.dissolving.is_none();
        let is_in_use = own.serves(group, epoch) || self.by_id.get(&group).is_some_and(is_planned);
        if is_in_use {
            JoinCheck::Taken
        } else if self.is_unresponsive(now, head) {
            has_ended
        } else {
            JoinCheck::HeadMustLeave(head, group, epoch)
        }
    }

    /// Returns that a VM is to be asked, unless it gives no report.
    fn needs_report(&self, now: Moment, vm: VmId) -> JoinCheck {
        match self.vms.get(vm) {
            Some(entry) if entry.gives_no_report(now) => JoinCheck::Waits,
            _ => JoinCheck::Unknown(vm),
        }
    }

    /// Returns the head of a group at an epoch, according to the VMs or to the group's row.
    fn find_head(&self, member: VmId, group: GroupId, epoch: Epoch) -> Option<VmId> {
        let is_head = |it: GroupReport| (it.group, it.epoch, it.rank) == (group, epoch, 0);
        let mut entries = self.vms.list.iter();
        let reported = entries.find(|(_, entry)| entry.memberships().any(is_head));
        let known = || self.planner.heads.get(&(group, epoch)).copied();
        let head = reported.map(|(vm, _)| *vm).or_else(known);
        head.filter(|head| *head != member)
    }

    /// Returns what a VM said of itself lately, in this term.
    pub(super) fn own_report(&self, now: Moment, term: ActiveTerm, vm: VmId) -> Option<&OwnReport> {
        let own = self.vms.get(vm)?.own.as_ref()?;
        let is_current =
            own.asked_at >= term.began_at() && now.since(own.asked_at) <= REPORT_LIFETIME;
        is_current.then_some(own)
    }

    /// Returns whether a VM that is to join a group has been found in another one that serves.
    pub(super) fn is_taken(&self, now: Moment, term: ActiveTerm, vm: VmId, group: GroupId) -> bool {
        self.check_join(now, term, vm, Some(group)) == JoinCheck::Taken
    }

    /// Asks a VM for its report, unless it was just asked. While many probes are in flight it waits
    /// until half of them have ended.
    pub(super) fn ask_report(&mut self, now: Moment, vm: VmId) {
        if self.vms.pending_probes() >= self.settings.pending_probes {
            self.asks_wait = true;
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
        entry.record_question(now);
        self.awaited.insert(vm);
        self.probe(now, vm);
    }

    /// Continues what waited for reports once the last one has arrived.
    pub(super) fn report_arrived(&mut self, now: Moment, vm: VmId) {
        let is_last = self.awaited.remove(&vm) && self.awaited.is_empty();
        let has_room = || self.vms.pending_probes() <= self.settings.pending_probes / 2;
        let goes_on = self.asks_wait && has_room();
        if (is_last || goes_on)
            && let Some(term) = self.active_term(now)
        {
            self.asks_wait = false;
            self.plan(now, term);
        }
    }
}

impl OwnReport {
    /// Returns whether the VM may be about to serve as the head: it is ready, and executes an order.
    fn is_opening(&self) -> bool {
        let is_ready = |it: GroupReport| it.rank == 0 && it.state == GroupState::Ready;
        self.busy && self.group.is_some_and(is_ready)
    }

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
