//! The VMs, according to their reports and the results of probes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tanagerhub_catalogue::{DataCentreId, DomainId, Epoch, GroupId, VmId, VmState};
use tanagerhub_clock::Moment;

use crate::{Decision, GroupState, GroupsSettings, ProbeFailure, VmReport};

use super::group::Group;
use super::silence::Silence;

/// The greatest age of the state that a probe returns.
const MAX_REPORT_LAG: Duration = Duration::from_millis(400);
/// The longest time between two rejected probes that count as one busy period. It is at least the
/// interval at which the planner probes a member.
const MAX_BUSY_GAP: Duration = Duration::from_millis(2_500);
/// After this time without a new VM, all VMs that started together are considered listed.
const ARRIVAL_GAP: Duration = Duration::from_millis(700);
/// The longest time until all VMs that start together are listed.
const MAX_ARRIVAL_TIME: Duration = Duration::from_secs(3);
/// How long a VM must reject probes until it is considered ended; a shorter time may be a fault of
/// the link.
const MIN_REJECTION_TIME: Duration = Duration::from_millis(500);
/// How long a suspicion affects the failure count of a VM.
const SUSPICION_LIFETIME: Duration = Duration::from_millis(500);
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

/// The state of one VM.
#[derive(Debug)]
pub(super) struct VmEntry {
    pub(super) report: VmReport,
    /// The VM's fabric domain, as in the report.
    pub(super) domain: DomainId,
    /// The VM's data centre, as in the report.
    pub(super) data_centre: DataCentreId,
    /// The removal from the store; `None` while the store lists the VM.
    removed: Option<Removal>,
    /// The number of consecutive failed probes; one of a suspected VM counts as several.
    pub(super) failures: u32,
    /// When the last failed probe was sent.
    failed_at: Moment,
    /// When the VM became unreachable; meaningful only while it is.
    unreachable_since: Moment,
    /// The period in which it rejects probes; `None` after a successful probe.
    busy_period: Option<BusyPeriod>,
    /// The period in which it leaves probes unanswered; `None` after a response.
    silence: Option<Silence>,
    /// Whether failed probes showed that the VM will not go on; meaningful only while it is
    /// unreachable.
    ended: bool,
    /// When the store last reported a change.
    pub(super) changed_at: Moment,
    pub(super) probed_at: Moment,
    pub(super) probe_pending: bool,
    /// When the VM was last suspected: requests at its group failed, or the store removed the VM.
    pub(super) suspected_at: Moment,
    /// The model that it was ordered to load, and when.
    pub(super) staging: Option<(String, Moment)>,
}

/// A period in which a VM rejects probes.
#[derive(Debug, Clone, Copy)]
struct BusyPeriod {
    first: Moment,
    last: Moment,
}

#[derive(Debug, Clone, Copy)]
struct Removal {
    since: Moment,
    relist_deadline: Moment,
    /// Whether the time in which it could be listed again has passed.
    confirmed: bool,
}

impl VmEntry {
    fn new(report: VmReport) -> Self {
        Self {
            domain: report.vm.domain_id(),
            data_centre: report.vm.data_centre_id(),
            report,
            removed: None,
            failures: 0,
            failed_at: Moment::ZERO,
            unreachable_since: Moment::ZERO,
            busy_period: None,
            silence: None,
            ended: false,
            changed_at: Moment::ZERO,
            probed_at: Moment::ZERO,
            probe_pending: false,
            suspected_at: Moment::ZERO,
            staging: None,
        }
    }

    /// Returns whether the VM is unreachable, or removed from the store for good.
    pub(super) fn is_unavailable(&self, settings: &GroupsSettings) -> bool {
        !self.is_listed() || self.is_unreachable(settings)
    }

    /// Returns whether the VM will not go on: it has ended, or was removed from the store for good.
    pub(super) fn is_lost(&self, settings: &GroupsSettings) -> bool {
        !self.is_listed() || self.has_ended(settings)
    }

    /// Returns whether the VM is unreachable, and not merely silent for a short time.
    pub(super) fn has_ended(&self, settings: &GroupsSettings) -> bool {
        self.is_unreachable(settings) && (self.ended || !self.is_listed())
    }

    /// Returns whether the VM leaves probes unanswered and may still go on.
    pub(super) const fn is_silent(&self) -> bool {
        !self.ended && self.silence.is_some()
    }

    /// Returns whether an unanswered probe that is sent now shows that the VM has been silent for
    /// too long.
    pub(super) fn is_silence_due(&self, now: Moment, settings: &GroupsSettings) -> bool {
        let is_long = |silence: Silence| silence.length(now) >= settings.silence_timeout;
        !self.ended && self.silence.is_some_and(is_long)
    }

    /// Returns whether the VM has failed enough probes to count as unreachable.
    pub(super) const fn is_unreachable(&self, settings: &GroupsSettings) -> bool {
        self.failures >= settings.probe_failure_limit
    }

    /// Returns whether the VM began to fail probes within the last `period`, and still does.
    pub(super) fn fails_since(
        &self,
        now: Moment,
        period: Duration,
        settings: &GroupsSettings,
    ) -> bool {
        let since = if self.is_unreachable(settings) {
            self.unreachable_since
        } else {
            self.failed_at
        };
        self.failures > 0 && now.since(since) < period
    }

    /// Returns the group and epoch that the VM may be serving as the head.
    ///
    /// It reported this last, and it has not been unreachable for longer than a head serves on its
    /// own.
    pub(super) fn may_serve(
        &self,
        now: Moment,
        settings: &GroupsSettings,
    ) -> Option<(GroupId, Epoch)> {
        let membership = self.report.group.filter(|_| self.is_serving_head())?;
        let stalled = self.is_unreachable(settings)
            && now.since(self.unreachable_since) >= settings.stall_timeout;
        (!stalled).then_some((membership.group, membership.epoch))
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.report.vm.state == VmState::Leaving
    }

    /// Returns whether the store lists the VM, or may list it again shortly.
    pub(super) fn is_listed(&self) -> bool {
        self.removed.is_none_or(|removal| !removal.confirmed)
    }

    /// Confirms the removal if it is final. Returns the group that has lost a member with it, unless
    /// the VM left with notice.
    fn confirm_removal(&mut self, now: Moment) -> Option<(GroupId, Epoch)> {
        let leaves = self.is_leaving();
        let removal = self.removed.as_mut().filter(|it| !it.confirmed)?;
        removal.confirmed = removal.relist_deadline <= now;
        (removal.confirmed && !leaves).then(|| self.report.served_group())
    }

    /// Applies a probed report, whose state may be older than the probe by up to
    /// [`MAX_REPORT_LAG`]. If the store may have reported a newer state, only `busy` is applied,
    /// which the store's rows don't contain.
    fn apply_probe(&mut self, sent: Moment, report: VmReport) {
        if sent >= self.changed_at + MAX_REPORT_LAG {
            self.apply_report(report);
        } else {
            self.report.busy = report.busy;
        }
    }

    fn apply_report(&mut self, report: VmReport) {
        let restarted = report.started_ms != self.report.started_ms;
        if restarted {
            self.clear_failures();
        }
        if self
            .staging
            .as_ref()
            .is_some_and(|(model, _)| report.has_staged(model))
        {
            self.staging = None;
        }
        let busy = report.busy.or(self.report.busy.filter(|_| !restarted));
        self.domain = report.vm.domain_id();
        self.data_centre = report.vm.data_centre_id();
        self.report = report;
        self.report.busy = busy;
    }

    /// Records a rejected probe. Returns whether the rejection may be due to load alone.
    ///
    /// Only a head accepts requests; any other member has no load that would make it reject probes.
    fn record_turned_away(&mut self, now: Moment, settings: &GroupsSettings) -> bool {
        let recent = self
            .busy_period
            .filter(|before| now.since(before.last) < MAX_BUSY_GAP);
        let first = recent.map_or(now, |before| before.first);
        self.busy_period = Some(BusyPeriod { first, last: now });
        self.silence = None;
        self.is_serving_head() && now.since(first) < settings.busy_timeout
    }

    /// Returns whether the VM is the head of a group that is open or closing.
    pub(super) const fn is_serving_head(&self) -> bool {
        match &self.report.group {
            Some(membership) => matches!(membership.state, GroupState::Open | GroupState::Closing),
            None => false,
        }
    }

    fn clear_failures(&mut self) {
        self.failures = 0;
        self.busy_period = None;
        self.silence = None;
        self.ended = false;
    }

    /// Counts a failed probe, which was sent at `sent`.
    fn record_failure(
        &mut self,
        now: Moment,
        sent: Moment,
        cause: ProbeFailure,
        settings: &GroupsSettings,
    ) {
        self.failed_at = sent;
        self.ended |= match cause {
            ProbeFailure::TurnedAway => self
                .busy_period
                .is_some_and(|busy| now.since(busy.first) >= MIN_REJECTION_TIME),
            ProbeFailure::Unanswered => {
                let silence = Silence::extended(self.silence, now, sent, settings.silence_timeout);
                self.silence = Some(silence);
                silence.is_final()
            }
            ProbeFailure::Refused | ProbeFailure::Misdirected | ProbeFailure::Malformed => true,
        };
        // A suspicion and a failed probe are independent evidence, and together count as enough
        // failed probes.
        let suspected = now.since(self.suspected_at) < SUSPICION_LIFETIME && now > Moment::ZERO;
        let weight = if suspected {
            settings.probe_failure_limit
        } else {
            1
        };
        self.set_failures(now, self.failures.saturating_add(weight), settings);
    }

    /// Marks the VM as unreachable, because another VM or start responds at its address.
    pub(super) fn record_misdirected(&mut self, now: Moment, settings: &GroupsSettings) {
        self.ended = true;
        self.set_failures(now, settings.probe_failure_limit, settings);
    }

    fn set_failures(&mut self, now: Moment, failures: u32, settings: &GroupsSettings) {
        if !self.is_unreachable(settings) {
            self.unreachable_since = now;
        }
        self.failures = failures;
    }
}

impl Vms {
    pub(super) fn get(&self, vm: VmId) -> Option<&VmEntry> {
        self.list.get(&vm)
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
            Err(ProbeFailure::Malformed) => None,
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
