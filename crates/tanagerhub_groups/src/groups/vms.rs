//! The VMs, as they report themselves.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, VmId, VmState};
use tanagerhub_clock::Moment;

use crate::{Decision, GroupState, GroupsSettings, ProbeFailure, VmReport};

use super::group::Group;

/// How old the answer to a probe may be.
const REPORT_LAG: Duration = Duration::from_millis(400);
/// The longest time between two probes that were turned away for one reason: no shorter than
/// between two probes of a member by the node that plans.
const BUSY_GAP: Duration = Duration::from_millis(2_500);
/// Time without a new VM after which all that were started together are listed.
const ARRIVAL_GAP: Duration = Duration::from_millis(700);
/// The longest that all VMs together take to be listed.
const ARRIVALS: Duration = Duration::from_secs(3);
/// For how long a suspicion counts.
const SUSPICION: Duration = Duration::from_millis(500);
/// How long a VM is remembered after the store stopped listing it.
const GONE_MEMORY: Duration = Duration::from_secs(10);

/// All VMs that are listed, or were a moment ago.
#[derive(Debug, Default)]
pub(super) struct Vms {
    pub(super) list: BTreeMap<VmId, VmEntry>,
    /// When the first and the newest VM were first listed.
    arrivals: Option<(Moment, Moment)>,
    /// Until when a VM that vanishes is taken for one that the store merely lost sight of.
    lapses_until: Moment,
}

/// One VM.
#[derive(Debug)]
pub(super) struct VmEntry {
    pub(super) report: VmReport,
    /// When the store stopped listing it, and until when it may be listed again.
    gone: Option<Gone>,
    /// Unanswered probes in a row.
    pub(super) failures: u32,
    /// When it was last found silent.
    silent: Moment,
    /// When it turned probes away, if none was answered since.
    turned_away: Option<TurnedAway>,
    /// When the store last told of a change.
    pub(super) changed: Moment,
    pub(super) probed: Moment,
    pub(super) waiting: bool,
    /// When requests at its group last gave a reason to probe it.
    pub(super) suspected: Moment,
    /// The model that it was told to load, and when.
    pub(super) staging: Option<(String, Moment)>,
}

/// A time in which a VM turned probes away.
#[derive(Debug, Clone, Copy)]
struct TurnedAway {
    first: Moment,
    last: Moment,
}

#[derive(Debug, Clone, Copy)]
struct Gone {
    since: Moment,
    until: Moment,
    /// Whether the time in which it could have been listed again is over.
    certain: bool,
}

impl VmEntry {
    fn new(report: VmReport) -> Self {
        Self {
            report,
            gone: None,
            failures: 0,
            silent: Moment::ZERO,
            turned_away: None,
            changed: Moment::ZERO,
            probed: Moment::ZERO,
            waiting: false,
            suspected: Moment::ZERO,
            staging: None,
        }
    }

    /// Whether it is lost, as far as the store and the probes show.
    pub(super) fn is_lost(&self, settings: &GroupsSettings) -> bool {
        self.gone.is_some_and(|gone| gone.certain) || self.is_silent(settings)
    }

    /// Whether it does not answer.
    pub(super) const fn is_silent(&self, settings: &GroupsSettings) -> bool {
        self.failures >= settings.probe_failures
    }

    /// The group that it may serve as the head: it said so last, and if it is out of reach, it has
    /// not been so for longer than a head serves by itself.
    pub(super) fn may_serve(
        &self,
        now: Moment,
        settings: &GroupsSettings,
    ) -> Option<(GroupId, Epoch)> {
        let place = self.report.group.filter(|_| self.takes_requests())?;
        let stalled = self.is_silent(settings) && now.since(self.silent) >= settings.stall;
        (!stalled).then_some((place.group, place.epoch))
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.report.vm.state == VmState::Leaving
    }

    /// Whether the store lists it, or may list it again in a moment.
    pub(super) fn is_listed(&self) -> bool {
        self.gone.is_none_or(|gone| !gone.certain)
    }

    /// Takes in the answer to a probe, which tells of a moment somewhat before it was sent.
    fn take_probed(&mut self, sent: Moment, report: VmReport) {
        if sent >= self.changed + REPORT_LAG {
            self.take(report);
        } else {
            self.report.busy = report.busy;
        }
    }

    fn take(&mut self, report: VmReport) {
        let restarted = report.started != self.report.started;
        if restarted {
            self.failures = 0;
            self.turned_away = None;
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
    fn note_turned_away(&mut self, now: Moment, settings: &GroupsSettings) -> bool {
        let recent = self
            .turned_away
            .filter(|before| now.since(before.last) < BUSY_GAP);
        let first = recent.map_or(now, |before| before.first);
        self.turned_away = Some(TurnedAway { first, last: now });
        self.takes_requests() && now.since(first) < settings.busy_limit
    }

    /// Whether it is the head of a group that is open.
    pub(super) const fn takes_requests(&self) -> bool {
        match &self.report.group {
            Some(place) => matches!(place.state, GroupState::Open | GroupState::Closing),
            None => false,
        }
    }

    /// Counts a failed probe.
    fn fail(&mut self, now: Moment, settings: &GroupsSettings) {
        // Two signs that don't depend on each other count like two unanswered probes.
        let suspected = now.since(self.suspected) < SUSPICION && now > Moment::ZERO;
        let weight = if suspected {
            settings.probe_failures
        } else {
            1
        };
        self.set_failures(now, self.failures.saturating_add(weight), settings);
    }

    /// Takes in that something else answers at its address.
    pub(super) fn displace(&mut self, now: Moment, settings: &GroupsSettings) {
        self.set_failures(now, settings.probe_failures, settings);
    }

    fn set_failures(&mut self, now: Moment, failures: u32, settings: &GroupsSettings) {
        if !self.is_silent(settings) {
            self.silent = now;
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
            now.since(newest) < ARRIVAL_GAP && now.since(first) < ARRIVALS
        })
    }

    /// What a VM reports of its part in a group, if it takes part at the group's epoch.
    pub(super) fn state_in(&self, vm: VmId, group: &Group) -> Option<GroupState> {
        self.get(vm)?.report.state_in(group.id, group.epoch)
    }

    /// VMs that did not answer their last probe, but for those that are known gone.
    pub(super) fn failing(&self, settings: &GroupsSettings) -> impl Iterator<Item = VmId> {
        let gone = |entry: &VmEntry| !entry.is_listed() && entry.is_silent(settings);
        let failing = self
            .list
            .iter()
            .filter(move |(_, entry)| entry.failures > 0 && !gone(entry));
        failing.map(|(vm, _)| *vm)
    }

    /// VMs without a model of which it is not known whether they load one.
    pub(super) fn unclear(&self) -> impl Iterator<Item = VmId> {
        let unclear = |entry: &VmEntry| {
            entry.report.staged.is_empty()
                && entry.staging.is_none()
                && entry.report.busy != Some(false)
        };
        let list = self.list.iter();
        list.filter(move |(_, entry)| unclear(entry))
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
        let was_leaving = entry.changed > Moment::ZERO && entry.is_leaving();
        entry.gone = None;
        entry.changed = now;
        entry.take(report);
        let leaves = entry.is_leaving() && !was_leaving;
        leaves.then_some(Decision::VmLeaving { vm: name })
    }

    /// Takes in the whole list, in which a VM that is missing is gone; says what that changed.
    pub(super) fn replace(&mut self, now: Moment, reports: Vec<VmReport>) -> Vec<Decision> {
        let listed: BTreeSet<VmId> = reports.iter().map(|report| report.vm.id()).collect();
        let missing: Vec<VmId> = self
            .list
            .keys()
            .filter(|vm| !listed.contains(vm))
            .copied()
            .collect();
        let gone: Vec<Decision> = missing
            .into_iter()
            .filter_map(|vm| self.gone(now, vm))
            .collect();
        let changed = reports
            .into_iter()
            .filter_map(|report| self.upsert(now, report));
        gone.into_iter().chain(changed).collect()
    }

    /// Takes in that the store no longer lists a VM; says so if it is news.
    pub(super) fn gone(&mut self, now: Moment, vm: VmId) -> Option<Decision> {
        let until = now.max(self.lapses_until);
        let entry = self.list.get_mut(&vm)?;
        if entry.gone.is_some() {
            return None;
        }
        entry.gone = Some(Gone {
            since: now,
            until,
            certain: until <= now,
        });
        let vm = entry.report.vm.name.clone();
        Some(Decision::VmGone { vm })
    }

    /// Expects VMs to vanish that only the store's outage made vanish.
    pub(super) fn expect_lapses(&mut self, now: Moment, settings: &GroupsSettings) {
        self.lapses_until = now + settings.relist;
    }

    /// Drops VMs that have been gone for so long that nothing depends on them.
    pub(super) fn forget_gone(&mut self, now: Moment) {
        for gone in self
            .list
            .values_mut()
            .filter_map(|entry| entry.gone.as_mut())
        {
            gone.certain |= gone.until <= now;
        }
        self.list.retain(|_, entry| {
            entry
                .gone
                .is_none_or(|gone| now.since(gone.since) < GONE_MEMORY)
        });
    }

    /// Takes in a probe's answer; says whether the VM was believed lost before or is now.
    pub(super) fn probed(
        &mut self,
        now: Moment,
        vm: VmId,
        sent: Moment,
        result: Result<VmReport, ProbeFailure>,
        settings: &GroupsSettings,
    ) -> Option<Verdict> {
        let entry = self.list.get_mut(&vm)?;
        entry.waiting = false;
        entry.probed = now;
        let was_lost = entry.is_silent(settings);
        // Another start answers where this one did; the store will tell of it under its own name.
        let result = result.and_then(|report| {
            let same = report.started == entry.report.started;
            same.then_some(report).ok_or(ProbeFailure::Misdirected)
        });
        match result {
            Ok(report) => {
                entry.failures = 0;
                entry.turned_away = None;
                entry.take_probed(sent, report);
                was_lost.then_some(Verdict::Back)
            }
            Err(ProbeFailure::Malformed) => None,
            Err(ProbeFailure::TurnedAway) if entry.note_turned_away(now, settings) => None,
            Err(cause) => {
                entry.fail(now, settings);
                (entry.is_silent(settings) && !was_lost).then_some(Verdict::Lost(cause))
            }
        }
    }
}

/// What a probe changed in the belief about a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    Lost(ProbeFailure),
    Back,
}
