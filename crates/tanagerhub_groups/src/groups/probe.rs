//! Asks VMs for their reports, and takes in what they say.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{Decision, GroupsAction, GroupsSettings, ProbeFailure, VmReport};

use super::Groups;
use super::vms::{ReachabilityChange, VmEntry};

/// A round of probes of all VMs that is short enough to treat them alike.
const SHORT_ROUND_LIMIT: Duration = Duration::from_secs(1);
/// The part of the probes that goes to heads, where a round is long.
const HEADS_SHARE: f64 = 0.75;
/// The longest time for which probes that were not sent are made up for.
const MAX_CREDIT_SPAN: Duration = Duration::from_millis(250);

/// The probes that a node may still send while the store does not answer.
#[derive(Debug, Default)]
pub(super) struct OutageProbeBudget {
    /// Probes that may be sent now.
    credit: f64,
    /// When credit was last given.
    credited_at: Moment,
}

/// Time between two probes of a VM while the store does not answer.
#[derive(Debug, Clone, Copy)]
struct OutageProbeIntervals {
    heads: Duration,
    others: Duration,
}

impl OutageProbeBudget {
    /// Gives credit for the time since the last call.
    fn refill(&mut self, now: Moment, rate: f64) {
        let span = now.since(self.credited_at).min(MAX_CREDIT_SPAN);
        self.credited_at = now;
        let most = rate * MAX_CREDIT_SPAN.as_secs_f64();
        self.credit = (self.credit + rate * span.as_secs_f64()).min(most);
    }

    /// Whether one more probe may be sent.
    fn try_take(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}

impl OutageProbeIntervals {
    const fn of(self, entry: &VmEntry) -> Duration {
        if entry.is_serving_head() {
            self.heads
        } else {
            self.others
        }
    }
}

impl Groups {
    /// Probes VMs that did not answer; on the node that plans, also the members of all groups.
    pub(super) fn probe_members(&mut self, now: Moment) {
        let mut due: Vec<VmId> = self.vms.failing(&self.settings).collect();
        if self.planner.is_held() {
            let members = self.by_id.values().flat_map(|group| &group.members);
            due.extend(members);
            due.extend(self.vms.with_unknown_load());
        }
        for vm in due {
            let Some(entry) = self.vms.get(vm) else {
                continue;
            };
            if now.since(entry.probed_at) >= next_probe_interval(entry, &self.settings) {
                self.probe(now, vm);
            }
        }
        if self.store_unreachable {
            self.probe_during_outage(now);
        }
    }

    /// Probes all VMs in turn while the store does not answer, those first that wait longest.
    fn probe_during_outage(&mut self, now: Moment) {
        let (rate, intervals) = (self.outage_probe_rate(), self.outage_probe_intervals());
        let lateness = |entry: &VmEntry| {
            let waited = now.since(entry.probed_at).as_secs_f64();
            waited / intervals.of(entry).as_secs_f64()
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

    /// Time between two probes of a VM while the store does not answer.
    ///
    /// The nodes of a large fleet can't look at all VMs often without a burden on them; there heads
    /// go first, on which the routes depend. The node that plans looks at all of them.
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
            return OutageProbeIntervals {
                heads: all,
                others: all,
            };
        }
        OutageProbeIntervals {
            heads: interval(heads, rate * HEADS_SHARE),
            others: interval(vms - heads, rate * (1.0 - HEADS_SHARE)),
        }
    }

    /// The probes that this node may send in a second while the store does not answer.
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

    fn probe(&mut self, now: Moment, vm: VmId) {
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

    pub(super) fn probe_done(
        &mut self,
        now: Moment,
        vm: VmId,
        sent: Moment,
        result: Result<VmReport, ProbeFailure>,
    ) {
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
            Some(ReachabilityChange::Reachable) => self.record(Decision::VmBack { vm: name }),
            None => {}
        }
    }

    /// Probes all members of a group at once, since its requests failed.
    pub(super) fn suspected(&mut self, now: Moment, id: GroupId, epoch: Epoch) {
        let members: Vec<VmId> = self
            .vms
            .list
            .iter()
            .filter(|(_, entry)| entry.report.state_in(id, epoch).is_some())
            .map(|(vm, _)| *vm)
            .collect();
        for vm in members {
            self.suspect(now, vm);
        }
    }

    /// Probes a VM at once, since something speaks against it.
    fn suspect(&mut self, now: Moment, vm: VmId) {
        if let Some(entry) = self.vms.list.get_mut(&vm) {
            entry.suspected_at = now;
        }
        self.probe(now, vm);
    }

    pub(super) fn vm_removed(&mut self, now: Moment, vm: VmId) {
        let removed = self.vms.remove(now, vm);
        self.decisions.extend(removed);
        // It may be dead, or leave without notice and serve on for a while.
        self.suspect(now, vm);
    }
}

/// Time between two probes of a VM for its own sake.
fn next_probe_interval(entry: &VmEntry, settings: &GroupsSettings) -> Duration {
    match entry.failures {
        0 => settings.probe_interval,
        failures if failures < settings.probe_failure_limit => settings.probe_retry_interval,
        _ => settings.probe_interval / 2,
    }
}

fn as_float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
