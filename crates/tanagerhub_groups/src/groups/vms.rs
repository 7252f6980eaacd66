//! The VMs, according to their reports and the results of probes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{Decision, GroupState, GroupsSettings, ProbeFailure, VmReport};

use super::group::Group;
use super::vm_entry::{Removal, VmEntry};

/// After this time without a new VM, all VMs that started together are considered listed.
const ARRIVAL_GAP: Duration = Duration::from_millis(700);
/// The longest time until all VMs that start together are listed.
const MAX_ARRIVAL_TIME: Duration = Duration::from_secs(3);
/// How long a VM is kept after its removal from the store; nothing depends on it after this time.
const REMOVED_RETENTION: Duration = Duration::from_secs(10);

/// All VMs that the store lists, or removed recently.
#[derive(Debug, Default)]
pub(super) struct Vms {
    pub(super) list: BTreeMap<VmId, VmEntry>,
    /// When the first and the newest VM were first listed.
    arrivals: Option<(Moment, Moment)>,
    /// Until this time a VM that disappears may have been dropped only because of the store's
    /// outage.
    relist_until: Moment,
    /// Groups that lost a member since the last [`take_lost_groups`](Self::take_lost_groups).
    lost_groups: Vec<LostGroup>,
}

/// A group that lost a member.
#[derive(Debug, Clone, Copy)]
struct LostGroup {
    group: GroupId,
    epoch: Epoch,
    /// The VM, if only failed probes say that it was lost.
    probed: Option<VmId>,
}

impl LostGroup {
    /// Returns a group whose member was lost for certain.
    const fn certain((group, epoch): (GroupId, Epoch)) -> Self {
        Self {
            group,
            epoch,
            probed: None,
        }
    }
}

impl Vms {
    pub(super) fn get(&self, vm: VmId) -> Option<&VmEntry> {
        self.list.get(&vm)
    }

    /// Returns the number of probes in flight.
    pub(super) fn pending_probes(&self) -> usize {
        let entries = self.list.values();
        entries.filter(|entry| entry.probe_pending).count()
    }

    /// Returns whether a VM reports a group at an epoch.
    pub(super) fn report_membership(&self, group: GroupId, epoch: Epoch) -> bool {
        let mut entries = self.list.values();
        entries.any(|entry| {
            entry
                .memberships()
                .any(|it| (it.group, it.epoch) == (group, epoch))
        })
    }

    /// Returns whether VMs that have just started may not be listed yet.
    pub(super) fn are_arriving(&self, now: Moment) -> bool {
        self.arrivals.is_some_and(|(first, newest)| {
            now.since(newest) < ARRIVAL_GAP && now.since(first) < MAX_ARRIVAL_TIME
        })
    }

    /// Returns whether [`take_lost_groups`](Self::take_lost_groups) has groups to check.
    pub(super) const fn has_lost_groups(&self) -> bool {
        !self.lost_groups.is_empty()
    }

    /// Returns the groups that lost a member since the last call: it ended or was silent for too
    /// long, restarted, or was removed without notice.
    ///
    /// A loss that only probes show waits for a probe later than `after`.
    pub(super) fn take_lost_groups(
        &mut self,
        after: Moment,
        settings: &GroupsSettings,
    ) -> Vec<(GroupId, Epoch)> {
        let vms = &self.list;
        let mut lost = Vec::new();
        self.lost_groups.retain(|it| {
            let entry = it.probed.and_then(|vm| vms.get(&vm));
            let Some(entry) = entry else {
                lost.push((it.group, it.epoch));
                return false;
            };
            let has_moved = entry.report.served_group() != (it.group, it.epoch);
            if !has_moved && entry.is_listed() && entry.failed_at <= after && entry.failures > 0 {
                return true;
            }
            if has_moved || entry.is_lost(settings) {
                lost.push((it.group, it.epoch));
            }
            false
        });
        lost
    }

    /// Returns the VM's state in a group, if it takes part at the group's epoch.
    pub(super) fn state_in(&self, vm: VmId, group: &Group) -> Option<GroupState> {
        self.get(vm)?.report.state_in(group.id, group.epoch)
    }

    /// Returns the VMs that failed their last probe, except unreachable ones that were removed from
    /// the store.
    pub(super) fn failing(&self, settings: &GroupsSettings) -> impl Iterator<Item = VmId> {
        let removed = |entry: &VmEntry| !entry.is_listed() && entry.is_unreachable(settings);
        let failing = self
            .list
            .iter()
            .filter(move |(_, entry)| entry.failures > 0 && !removed(entry));
        failing.map(|(vm, _)| *vm)
    }

    /// Returns the VMs without a model that may be loading one.
    pub(super) fn possibly_loading(&self) -> impl Iterator<Item = VmId> {
        let may_be_loading = |entry: &VmEntry| {
            entry.report.staged.is_empty()
                && entry.staging.is_none()
                && entry.report.busy != Some(false)
        };
        let list = self.list.iter();
        list.filter(move |(_, entry)| may_be_loading(entry))
            .map(|(vm, _)| *vm)
    }

    /// Applies a VM's report from the store. Returns a decision if the VM starts to leave.
    pub(super) fn upsert(&mut self, now: Moment, report: VmReport) -> Option<Decision> {
        let name = report.vm.name.clone();
        if !self.list.contains_key(&report.vm.id()) {
            let first = self.arrivals.map_or(now, |(first, _)| first);
            self.arrivals = Some((first, now));
        }
        let entry = self
            .list
            .entry(report.vm.id())
            .or_insert_with(|| VmEntry::new(report.clone()));
        let was_leaving = entry.changed_at > Moment::ZERO && entry.is_leaving();
        entry.removed = None;
        entry.changed_at = now;
        if entry.report.started_ms != report.started_ms {
            let lost = LostGroup::certain(entry.report.served_group());
            self.lost_groups.push(lost);
        }
        entry.apply_report(report);
        let leaves = entry.is_leaving() && !was_leaving;
        leaves.then_some(Decision::VmLeaving { vm: name })
    }

    /// Applies the complete list of VMs, and removes those not in it. Returns the resulting
    /// decisions.
    pub(super) fn replace_all(&mut self, now: Moment, reports: Vec<VmReport>) -> Vec<Decision> {
        let listed: BTreeSet<VmId> = reports.iter().map(|report| report.vm.id()).collect();
        let missing: Vec<VmId> = self
            .list
            .keys()
            .filter(|vm| !listed.contains(vm))
            .copied()
            .collect();
        let removed: Vec<Decision> = missing
            .into_iter()
            .filter_map(|vm| self.remove(now, vm))
            .collect();
        let changed = reports
            .into_iter()
            .filter_map(|report| self.upsert(now, report));
        removed.into_iter().chain(changed).collect()
    }

    /// Marks a VM as removed from the store. Returns a decision unless it was already removed.
    pub(super) fn remove(&mut self, now: Moment, vm: VmId) -> Option<Decision> {
        let relist_deadline = now.max(self.relist_until);
        let entry = self.list.get_mut(&vm)?;
        if entry.removed.is_some() {
            return None;
        }
        entry.removed = Some(Removal {
            since: now,
            relist_deadline,
            confirmed: false,
        });
        let vm = entry.report.vm.name.clone();
        let lost = entry.confirm_removal(now).map(LostGroup::certain);
        self.lost_groups.extend(lost);
        Some(Decision::VmGone { vm })
    }

    /// Starts the period in which VMs may disappear only because of the store's outage.
    pub(super) fn start_relist_grace(&mut self, now: Moment, settings: &GroupsSettings) {
        self.relist_until = now + settings.relist_grace;
    }

    /// Confirms the removals that are final, and drops VMs whose retention has passed. Returns
    /// whether there may have been any.
    pub(super) fn drop_removed(&mut self, now: Moment) -> bool {
        if self.list.values().all(|entry| entry.removed.is_none()) {
            return false;
        }
        let entries = self.list.values_mut();
        let lost = entries.filter_map(|entry| entry.confirm_removal(now));
        self.lost_groups.extend(lost.map(LostGroup::certain));
        self.list.retain(|_, entry| {
            entry
                .removed
                .is_none_or(|removal| now.since(removal.since) < REMOVED_RETENTION)
        });
        true
    }

    /// Records that a start of a backend server is about to leave.
    pub(super) fn record_leaving(&mut self, vm: VmId, started_ms: u64) {
        if let Some(entry) = self.list.get_mut(&vm) {
            entry.leaving_start = Some(started_ms);
        }
    }

    /// Applies the result of a probe. Returns the change if the VM became reachable or unreachable.
    pub(super) fn apply_probe_result(
        &mut self,
        now: Moment,
        vm: VmId,
        sent: Moment,
        result: Result<VmReport, ProbeFailure>,
        settings: &GroupsSettings,
    ) -> Option<ReachabilityChange> {
        let entry = self.list.get_mut(&vm)?;
        entry.probe_pending = false;
        entry.probed_at = now;
        let was_unreachable = entry.is_unreachable(settings);
        // A newer start of the backend server has taken over the address; the store lists it under
        // its own name.
        let result = result.and_then(|report| {
            let same = report.started_ms == entry.report.started_ms;
            same.then_some(report).ok_or(ProbeFailure::Misdirected)
        });
        match result {
            Ok(report) => {
                entry.clear_failures();
                entry.apply_probe(sent, report);
                was_unreachable.then_some(ReachabilityChange::Reachable)
            }
            Err(ProbeFailure::Malformed | ProbeFailure::Paused) => None,
            Err(ProbeFailure::TurnedAway) if entry.record_turned_away(now, settings) => None,
            Err(cause) => {
                let had_ended = entry.has_ended(settings);
                entry.record_failure(now, sent, cause, settings);
                let ends = !had_ended && entry.has_ended(settings);
                if ends {
                    let (group, epoch) = entry.report.served_group();
                    self.lost_groups.push(LostGroup {
                        group,
                        epoch,
                        probed: Some(vm),
                    });
                }
                if !was_unreachable && entry.is_unreachable(settings) {
                    return Some(ReachabilityChange::Unreachable(cause));
                }
                ends.then_some(ReachabilityChange::Ended(cause))
            }
        }
    }
}

/// A change in the reachability of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReachabilityChange {
    Unreachable(ProbeFailure),
    /// An unreachable VM will not go on.
    Ended(ProbeFailure),
    Reachable,
}
