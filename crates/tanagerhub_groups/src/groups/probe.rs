//! Probes VMs for their reports, and handles the results.

use std::collections::BTreeSet;
use std::time::Duration;

use tanagerhub_catalogue::{DomainId, Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{Decision, GroupsAction, GroupsSettings, ProbeFailure, VmReport};

use super::Groups;
use super::compose::as_float;
use super::vm_entry::{MAX_REPORT_LAG, VmEntry};
use super::vms::ReachabilityChange;

/// The longest round of probes in which heads and other VMs are probed at the same interval.
const SHORT_ROUND_LIMIT: Duration = Duration::from_secs(1);
/// The interval at which a node that does not plan probes VMs that no request goes to, in domains
/// without a sign of a change.
const CALM_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// How long after a VM has failed its group is likely to be renewed.
const RENEWAL_PERIOD: Duration = Duration::from_secs(5);
/// The share of the probes that goes to heads when a round takes longer.
const HEADS_SHARE: f64 = 0.75;
/// The longest interval at which the planner probes a VM that may go on, so that two short silences
/// don't count as one.
const SILENT_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// The longest period for which unused probe credit accumulates.
const MAX_CREDIT_PERIOD: Duration = Duration::from_millis(250);

/// The budget of probes while the store is unreachable (token bucket).
#[derive(Debug, Default)]
pub(super) struct OutageProbeBudget {
    /// The number of probes that may be sent now.
    credit: f64,
    /// When credit was last added.
    credited_at: Moment,
}

/// The probe intervals of heads and other VMs while the store is unreachable.
#[derive(Debug, Clone, Copy)]
struct OutageProbeIntervals {
    heads: Duration,
    /// The interval of other VMs in domains where a group may be renewed.
    others: Duration,
    /// The interval of other VMs in other domains.
    calm: Duration,
}

impl OutageProbeBudget {
    /// Adds credit for the time since the last call, at `rate` probes a second.
    fn refill(&mut self, now: Moment, rate: f64) {
        let elapsed = now.since(self.credited_at).min(MAX_CREDIT_PERIOD);
        self.credited_at = now;
        let max_credit = rate * MAX_CREDIT_PERIOD.as_secs_f64();
        self.credit = (self.credit + rate * elapsed.as_secs_f64()).min(max_credit);
    }

    /// Takes the credit of one probe; returns `false` if there is none.
    fn try_take(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}

impl OutageProbeIntervals {
    fn of(self, entry: &VmEntry, changing: &BTreeSet<DomainId>) -> Duration {
        if entry.is_serving_head() {
            self.heads
        } else if changing.contains(&entry.domain) {
            self.others
        } else {
            self.calm
        }
    }
}

impl Groups {
    /// Probes VMs that failed their last probe. The planner also probes the members of all groups.
    ///
    /// Only so many probes are in flight that this node can process the responses before they time
    /// out. VMs that failed come first, then those that were not probed for longest.
    pub(super) fn probe_members(&mut self, now: Moment) {
        let mut due: Vec<VmId> = self.vms.failing(&self.settings).collect();
        if self.planner.is_held() {
            let members = self.by_id.values().flat_map(|group| &group.members);
            due.extend(members);
            due.extend(self.vms.possibly_loading());
        }
        let rank = |vm: &VmId| {
            let entry = self.vms.get(*vm);
            entry.map(|entry| (entry.failures == 0, entry.probed_at))
        };
        due.sort_by_cached_key(rank);
        let pending = self.vms.pending_probes();
        let mut room = self.settings.pending_probes.saturating_sub(pending);
        for vm in due {
            if room == 0 {
                break;
            }
            let Some(entry) = self.vms.get(vm).filter(|entry| !entry.probe_pending) else {
                continue;
            };
            let mut interval = next_probe_interval(entry, &self.settings);
            if self.planner.is_held() && entry.is_silent() {
                interval = interval.min(SILENT_PROBE_INTERVAL);
            }
            // A join needs what the VM says after the order, so it is asked while it loads.
            if entry.staging.is_some() && entry.is_report_outdated() {
                interval = interval.min(MAX_REPORT_LAG);
            }
            let has_waited = now.since(entry.probed_at) >= interval;
            if has_waited || entry.is_silence_due(now, &self.settings) {
                self.probe(now, vm);
                room -= 1;
            }
        }
        if self.store_unreachable {
            self.probe_during_outage(now);
        }
    }

    /// Probes the VMs whose interval has passed while the store is unreachable, the most overdue
    /// first.
    fn probe_during_outage(&mut self, now: Moment) {
        let (rate, intervals) = (self.outage_probe_rate(), self.outage_probe_intervals());
        let changing = self.changing_domains(now);
        let lateness = |entry: &VmEntry| {
            let waited = now.since(entry.probed_at).as_secs_f64();
            waited / intervals.of(entry, &changing).as_secs_f64()
        };
        let mut due: Vec<(f64, VmId)> = self
            .vms
            .list
            .iter()
            .filter(|(_, entry)| entry.failures == 0 && !entry.probe_pending)
            .map(|(vm, entry)| (lateness(entry), *vm))
            .filter(|(lateness, _)| *lateness >= 1.0)
            .collect();
        due.sort_unstable_by(|(one, a), (other, b)| other.total_cmp(one).then(a.cmp(b)));
        self.outage_probes.refill(now, rate);
        for (_, vm) in due {
            if !self.outage_probes.try_take() {
                return;
            }
            self.probe(now, vm);
        }
    }

    /// Returns the probe intervals while the store is unreachable.
    ///
    /// The nodes of a large fleet can't probe every VM often without overloading the VMs. Heads
    /// then get most of the probes, because routes depend on them. The planner probes all VMs at
    /// its full rate.
    fn outage_probe_intervals(&self) -> OutageProbeIntervals {
        let vms = as_float(self.vms.list.len());
        let heads = self
            .vms
            .list
            .values()
            .filter(|entry| entry.is_serving_head());
        let heads = as_float(heads.count());
        let rate = self.outage_probe_rate();
        let interval = |vms: f64, rate: f64| {
            let spread = Duration::from_secs_f64(vms / rate);
            self.settings.outage_probe_interval.max(spread)
        };
        let all = interval(vms, rate);
        if all <= SHORT_ROUND_LIMIT {
            let calm = if self.planner.is_held() {
                all
            } else {
                all.max(CALM_PROBE_INTERVAL)
            };
            return OutageProbeIntervals {
                heads: all,
                others: all,
                calm,
            };
        }
        let others = interval(vms - heads, rate * (1.0 - HEADS_SHARE));
        OutageProbeIntervals {
            heads: interval(heads, rate * HEADS_SHARE),
            others,
            calm: others,
        }
    }

    /// Returns the domains with signs that a group has been or will be renewed: a VM that failed
    /// recently, or a serving head whose members have not all reported its epoch.
    fn changing_domains(&self, now: Moment) -> BTreeSet<DomainId> {
        let reported = self.reported_members();
        let entries = self.vms.list.values();
        let changing = entries.filter(|entry| {
            let is_head = entry.is_serving_head();
            entry.failed_within(now, RENEWAL_PERIOD, &self.settings)
                || is_head && self.head(entry, &reported).is_none()
        });
        changing.map(|entry| entry.domain).collect()
    }

    /// Returns the number of probes a second that this node may send while the store is
    /// unreachable.
    fn outage_probe_rate(&self) -> f64 {
        let settings = &self.settings;
        if self.planner.is_held() {
            return settings.outage_probe_rate;
        }
        let share = settings.outage_probe_rate_total / as_float(self.node_count.max(1));
        share
            .max(settings.outage_probe_rate_min)
            .min(settings.outage_probe_rate)
    }

    pub(super) fn probe(&mut self, now: Moment, vm: VmId) {
        let Some(entry) = self.vms.list.get_mut(&vm) else {
            return;
        };
        if entry.probe_pending {
            return;
        }
        entry.probe_pending = true;
        entry.probed_at = now;
        self.actions.push(GroupsAction::Probe { vm });
    }

    /// Handles the result of a probe.
    pub(super) fn probe_done(
        &mut self,
        now: Moment,
        vm: VmId,
        sent: Moment,
        result: Result<VmReport, ProbeFailure>,
    ) {
        self.apply_probed(now, vm, sent, result);
        if self.active_term(now).is_some() {
            self.ask_peers_about(now, vm);
        }
        self.report_arrived(now, vm);
    }

    fn apply_probed(
        &mut self,
        now: Moment,
        vm: VmId,
        sent: Moment,
        result: Result<VmReport, ProbeFailure>,
    ) {
        if result != Err(ProbeFailure::Paused) {
            self.links.record(now, vm, result.is_ok());
        }
        let change = self
            .vms
            .apply_probe_result(now, vm, sent, result, &self.settings);
        let Some(entry) = self.vms.get(vm) else {
            return;
        };
        let (name, probes) = (entry.report.vm.name.clone(), entry.failures);
        match change {
            Some(ReachabilityChange::Unreachable(cause)) => {
                let membership = entry.report.group;
                self.degraded
                    .extend(membership.map(|membership| (membership.group, membership.epoch)));
                self.record(Decision::VmLost {
                    vm: name,
                    probes,
                    cause,
                });
            }
            Some(ReachabilityChange::Ended(cause)) => {
                self.record(Decision::VmEnded { vm: name, cause });
            }
            Some(ReachabilityChange::Reachable) => self.record(Decision::VmBack { vm: name }),
            None => {}
        }
    }

    /// Probes all members of a group at once, because its requests failed.
    pub(super) fn suspected(&mut self, now: Moment, id: GroupId, epoch: Epoch) {
        let members: Vec<(VmId, bool)> = self
            .vms
            .list
            .iter()
            .filter(|(_, entry)| entry.report.state_in(id, epoch).is_some())
            .map(|(vm, entry)| (*vm, entry.is_unreachable(&self.settings)))
            .collect();
        // Requests that went on since the member became unreachable wait for another alarm.
        if members.iter().any(|(_, is_unreachable)| *is_unreachable) {
            self.degraded.push((id, epoch));
        }
        for (vm, _) in members {
            self.suspect(now, vm);
        }
    }

    /// Probes a VM at once, because there is evidence that it failed.
    fn suspect(&mut self, now: Moment, vm: VmId) {
        if let Some(entry) = self.vms.list.get_mut(&vm) {
            entry.suspected_at = now;
        }
        self.probe(now, vm);
    }

    /// Handles a VM that the store no longer lists.
    pub(super) fn vm_removed(&mut self, now: Moment, vm: VmId) {
        let removed = self.vms.remove(now, vm);
        self.decisions.extend(removed);
        // The VM may have failed, or may have left without notice and still serve for a while. That
        // decides when its group is renewed. Other nodes send it nothing new anyway, and suspect it
        // themselves once their requests there fall silent.
        if self.planner.is_held() {
            self.suspect(now, vm);
        }
    }
}

/// Returns the interval between probes of a VM, which depends on its failed probes.
fn next_probe_interval(entry: &VmEntry, settings: &GroupsSettings) -> Duration {
    match entry.failures {
        0 => settings.probe_interval,
        failures if failures < settings.probe_failure_limit => settings.probe_retry_interval,
        _ => settings.probe_interval / 2,
    }
}
