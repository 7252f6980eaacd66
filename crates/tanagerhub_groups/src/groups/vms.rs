//! The VMs, as they report themselves.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, VmId, VmState};
use tanagerhub_clock::Moment;

use crate::{Decision, GroupState, GroupsSettings, ProbeFailure, VmReport};

use super::group::Group;

/// How old the answer to a probe may be.
const MAX_REPORT_LAG: Duration = Duration::from_millis(400);
/// The longest time between two probes that were turned away for one reason: no shorter than
/// between two probes of a member by the node that plans.
const MAX_BUSY_GAP: Duration = Duration::from_millis(2_500);
/// Time without a new VM after which all that were started together are listed.
const ARRIVAL_GAP: Duration = Duration::from_millis(700);
/// The longest that all VMs together take to be listed.
const MAX_ARRIVAL_TIME: Duration = Duration::from_secs(3);
/// For how long a suspicion counts.
const SUSPICION_LIFETIME: Duration = Duration::from_millis(500);
/// How long a VM is remembered after the store stopped listing it.
const REMOVED_RETENTION: Duration = Duration::from_secs(10);

/// All VMs that are listed, or were a moment ago.
#[derive(Debug, Default)]
pub(super) struct Vms {
    pub(super) list: BTreeMap<VmId, VmEntry>,
    /// When the first and the newest VM were first listed.
    arrivals: Option<(Moment, Moment)>,
    /// Until when a VM that vanishes is taken for one that the store merely lost sight of.
    relist_until: Moment,
}

/// One VM.
#[derive(Debug)]
pub(super) struct VmEntry {
    pub(super) report: VmReport,
    /// When the store stopped listing it, and until when it may be listed again.
    removed: Option<Removal>,
    /// Unanswered probes in a row.
    pub(super) failures: u32,
    /// When it was last found silent.
    silent_since: Moment,
    /// When it turned probes away, if none was answered since.
    busy_period: Option<BusyPeriod>,
    /// When the store last told of a change.
    pub(super) changed_at: Moment,
    pub(super) probed_at: Moment,
    pub(super) probe_pending: bool,
    /// When requests at its group last gave a reason to probe it.
    pub(super) suspected_at: Moment,
    /// The model that it was told to load, and when.
    pub(super) staging: Option<(String, Moment)>,
}

/// A time in which a VM turned probes away.
#[derive(Debug, Clone, Copy)]
struct BusyPeriod {
    first: Moment,
    last: Moment,
}

#[derive(Debug, Clone, Copy)]
struct Removal {
    since: Moment,
    relist_deadline: Moment,
    /// Whether the time in which it could have been listed again is over.
    confirmed: bool,
}

impl VmEntry {
    fn new(report: VmReport) -> Self {
        Self {
            report,
            removed: None,
            failures: 0,
            silent_since: Moment::ZERO,
            busy_period: None,
            changed_at: Moment::ZERO,
            probed_at: Moment::ZERO,
            probe_pending: false,
            suspected_at: Moment::ZERO,
            staging: None,
        }
    }

    /// Whether it is lost, as far as the store and the probes show.
    pub(super) fn is_unavailable(&self, settings: &GroupsSettings) -> bool {
        self.removed.is_some_and(|removal| removal.confirmed) || self.is_unreachable(settings)
    }

    /// Whether it does not answer.
    pub(super) const fn is_unreachable(&self, settings: &GroupsSettings) -> bool {
        self.failures >= settings.probe_failure_limit
    }

    /// The group that it may serve as the head: it said so last, and if it is out of reach, it has
    /// not been so for longer than a head serves by itself.
    pub(super) fn may_serve(
        &self,
        now: Moment,
        settings: &GroupsSettings,
    ) -> Option<(GroupId, Epoch)> {
        let membership = self.report.group.filter(|_| self.is_serving_head())?;
        let stalled =
            self.is_unreachable(settings) && now.since(self.silent_since) >= settings.stall_timeout;
        (!stalled).then_some((membership.group, membership.epoch))
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.report.vm.state == VmState::Leaving
    }

    /// Whether the store lists it, or may list it again in a moment.
    pub(super) fn is_listed(&self) -> bool {
        self.removed.is_none_or(|removal| !removal.confirmed)
    }

    /// Takes in the answer to a probe, which tells of a moment somewhat before it was sent.
    fn apply_probe(&mut self, sent: Moment, report: VmReport) {
        if sent >= self.changed_at + MAX_REPORT_LAG {
            self.apply_report(report);
        } else {
            self.report.busy = report.busy;
        }
    }

    fn apply_report(&mut self, report: VmReport) {
        let restarted = report.started != self.report.started;
        if restarted {
            self.failures = 0;
            self.busy_period = None;
        }
        if self
            .staging
            .as_ref()
            .is_some_and(|(model, _)| report.has_staged(model))
        {
            self.staging = None;
        }
        let busy = report.busy.or(self.report.busy.filter(|_| !restarted));
        self.report = report;
        self.report.busy = busy;
    }

    /// Takes in that it turned a probe away; says whether that may be for too much work alone.
    ///
    /// Only a head takes requests; another member has no reason to turn anybody away.
    fn record_turned_away(&mut self, now: Moment, settings: &GroupsSettings) -> bool {
        let recent = self
            .busy_period
            .filter(|before| now.since(before.last) < MAX_BUSY_GAP);
        let first = recent.map_or(now, |before| before.first);
        self.busy_period = Some(BusyPeriod { first, last: now });
        self.is_serving_head() && now.since(first) < settings.busy_timeout
    }

    /// Whether it is the head of a group that is open.
    pub(super) const fn is_serving_head(&self) -> bool {
        match &self.report.group {
            Some(membership) => matches!(membership.state, GroupState::Open | GroupState::Closing),
            None => false,
        }
    }

    /// Counts a failed probe.
    fn record_failure(&mut self, now: Moment, settings: &GroupsSettings) {
        // Two signs that don't depend on each other count like two unanswered probes.
        let suspected = now.since(self.suspected_at) < SUSPICION_LIFETIME && now > Moment::ZERO;
        let weight = if suspected {
            settings.probe_failure_limit
        } else {
            1
        };
        self.set_failures(now, self.failures.saturating_add(weight), settings);
    }

    /// Takes in that something else answers at its address.
    pub(super) fn record_misdirected(&mut self, now: Moment, settings: &GroupsSettings) {
        self.set_failures(now, settings.probe_failure_limit, settings);
    }

    fn set_failures(&mut self, now: Moment, failures: u32, settings: &GroupsSettings) {
        if !self.is_unreachable(settings) {
            self.silent_since = now;
        }
        self.failures = failures;
    }
}

impl Vms {
    pub(super) fn get(&self, vm: VmId) -> Option<&VmEntry> {
        self.list.get(&vm)
    }

    /// Whether VMs that have just been started may still be on their way into the list.
    pub(super) fn are_arriving(&self, now: Moment) -> bool {
        self.arrivals.is_some_and(|(first, newest)| {
            now.since(newest) < ARRIVAL_GAP && now.since(first) < MAX_ARRIVAL_TIME
        })
    }

    /// What a VM reports of its part in a group, if it takes part at the group's epoch.
    pub(super) fn state_in(&self, vm: VmId, group: &Group) -> Option<GroupState> {
        self.get(vm)?.report.state_in(group.id, group.epoch)
    }

    /// VMs that did not answer their last probe, but for those that are known gone.
    pub(super) fn failing(&self, settings: &GroupsSettings) -> impl Iterator<Item = VmId> {
        let removed = |entry: &VmEntry| !entry.is_listed() && entry.is_unreachable(settings);
        let failing = self
            .list
            .iter()
            .filter(move |(_, entry)| entry.failures > 0 && !removed(entry));
        failing.map(|(vm, _)| *vm)
    }

    /// VMs without a model of which it is not known whether they load one.
    pub(super) fn with_unknown_load(&self) -> impl Iterator<Item = VmId> {
        let has_unknown_load = |entry: &VmEntry| {
            entry.report.staged.is_empty()
                && entry.staging.is_none()
                && entry.report.busy != Some(false)
        };
        let list = self.list.iter();
        list.filter(move |(_, entry)| has_unknown_load(entry))
            .map(|(vm, _)| *vm)
    }

    /// Takes in what the store says of a VM; says what that changed.
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
        entry.apply_report(report);
        let leaves = entry.is_leaving() && !was_leaving;
        leaves.then_some(Decision::VmLeaving { vm: name })
    }

    /// Takes in the whole list, in which a VM that is missing is gone; says what that changed.
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

    /// Takes in that the store no longer lists a VM; says so if it is news.
    pub(super) fn remove(&mut self, now: Moment, vm: VmId) -> Option<Decision> {
        let relist_deadline = now.max(self.relist_until);
        let entry = self.list.get_mut(&vm)?;
        if entry.removed.is_some() {
            return None;
        }
        entry.removed = Some(Removal {
            since: now,
            relist_deadline,
            confirmed: relist_deadline <= now,
        });
        let vm = entry.report.vm.name.clone();
        Some(Decision::VmGone { vm })
    }

    /// Expects VMs to vanish that only the store's outage made vanish.
    pub(super) fn start_relist_grace(&mut self, now: Moment, settings: &GroupsSettings) {
        self.relist_until = now + settings.relist_grace;
    }

    /// Drops VMs that have been gone for so long that nothing depends on them.
    pub(super) fn drop_removed(&mut self, now: Moment) {
        for removal in self
            .list
            .values_mut()
            .filter_map(|entry| entry.removed.as_mut())
        {
            removal.confirmed |= removal.relist_deadline <= now;
        }
        self.list.retain(|_, entry| {
            entry
                .removed
                .is_none_or(|removal| now.since(removal.since) < REMOVED_RETENTION)
        });
    }

    /// Takes in a probe's answer; says whether the VM was believed lost before or is now.
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
        // Another start answers where this one did; the store will tell of it under its own name.
        let result = result.and_then(|report| {
            let same = report.started == entry.report.started;
            same.then_some(report).ok_or(ProbeFailure::Misdirected)
        });
        match result {
            Ok(report) => {
                entry.failures = 0;
                entry.busy_period = None;
                entry.apply_probe(sent, report);
                was_unreachable.then_some(ReachabilityChange::Reachable)
            }
            Err(ProbeFailure::Malformed) => None,
            Err(ProbeFailure::TurnedAway) if entry.record_turned_away(now, settings) => None,
            Err(cause) => {
                entry.record_failure(now, settings);
                (entry.is_unreachable(settings) && !was_unreachable)
                    .then_some(ReachabilityChange::Unreachable(cause))
            }
        }
    }
}

/// What a probe changed in the belief about a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReachabilityChange {
    Unreachable(ProbeFailure),
    Reachable,
}
