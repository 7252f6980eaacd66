//! Asks VMs for their reports, and takes in what they say.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{Decision, GroupsAction, GroupsSettings, ProbeFailure, VmReport};

use super::Groups;
use super::vms::{Verdict, VmEntry};

/// A round of probes of all VMs that is short enough to treat them alike.
const SHORT_ROUND: Duration = Duration::from_secs(1);
/// The part of the probes that goes to heads, where a round is long.
const HEADS_PART: f64 = 0.75;
/// The longest time for which probes that were not sent are made up for.
const LONGEST_CREDIT: Duration = Duration::from_millis(250);

/// The probes that a node may still send while the store does not answer.
#[derive(Debug, Default)]
pub(super) struct BlindProbes {
    /// Probes that may be sent now.
    credit: f64,
    /// When credit was last given.
    counted: Moment,
}

/// Time between two probes of a VM while the store does not answer.
#[derive(Debug, Clone, Copy)]
struct BlindPeriods {
    heads: Duration,
    others: Duration,
}

impl BlindProbes {
    /// Gives credit for the time since the last call.
    fn earn(&mut self, now: Moment, rate: f64) {
        let span = now.since(self.counted).min(LONGEST_CREDIT);
        self.counted = now;
        let most = rate * LONGEST_CREDIT.as_secs_f64();
        self.credit = (self.credit + rate * span.as_secs_f64()).min(most);
    }

    /// Whether one more probe may be sent.
    fn spend(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}

impl BlindPeriods {
    const fn of(self, entry: &VmEntry) -> Duration {
        if entry.takes_requests() {
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
        if self.ledger.is_held() {
            let members = self.known.values().flat_map(|group| &group.members);
            due.extend(members);
            due.extend(self.vms.unclear());
        }
        for vm in due {
            let Some(entry) = self.vms.get(vm) else {
                continue;
            };
            if now.since(entry.probed) >= probe_period(entry, &self.settings) {
                self.probe(now, vm);
            }
        }
        if self.blind {
            self.probe_blind(now);
        }
    }

    /// Probes all VMs in turn while the store does not answer, those first that wait longest.
    fn probe_blind(&mut self, now: Moment) {
        let (rate, periods) = (self.blind_rate(), self.blind_periods());
        let lateness = |entry: &VmEntry| {
            let waited = now.since(entry.probed).as_secs_f64();
            waited / periods.of(entry).as_secs_f64()
        };
        let mut due: Vec<(f64, VmId)> = self
            .vms
            .list
            .iter()
            .filter(|(_, entry)| entry.failures == 0 && !entry.waiting)
            .map(|(vm, entry)| (lateness(entry), *vm))
            .filter(|(lateness, _)| *lateness >= 1.0)
            .collect();
        due.sort_unstable_by(|(one, a), (other, b)| other.total_cmp(one).then(a.cmp(b)));
        self.probes.earn(now, rate);
        for (_, vm) in due {
            if !self.probes.spend() {
                return;
            }
            self.probe(now, vm);
        }
    }

    /// Time between two probes of a VM while the store does not answer.
    ///
    /// The nodes of a large fleet can't look at all VMs often without a burden on them; there heads
    /// go first, on which the routes depend. The node that plans looks at all of them.
    fn blind_periods(&self) -> BlindPeriods {
        let vms = count(self.vms.list.len());
        let heads = self
            .vms
            .list
            .values()
            .filter(|entry| entry.takes_requests());
        let heads = count(heads.count());
        let rate = self.blind_rate();
        let period = |vms: f64, rate: f64| {
            let spread = Duration::from_secs_f64(vms / rate);
            self.settings.blind_every.max(spread)
        };
        let all = period(vms, rate);
        if all <= SHORT_ROUND {
            return BlindPeriods {
                heads: all,
                others: all,
            };
        }
        BlindPeriods {
            heads: period(heads, rate * HEADS_PART),
            others: period(vms - heads, rate * (1.0 - HEADS_PART)),
        }
    }

    /// The probes that this node may send in a second while the store does not answer.
    fn blind_rate(&self) -> f64 {
        let settings = &self.settings;
        if self.ledger.is_held() {
            return settings.blind_rate;
        }
        let share = settings.blind_total / count(self.nodes.max(1));
        share.max(settings.blind_least).min(settings.blind_rate)
    }

    fn probe(&mut self, now: Moment, vm: VmId) {
        let Some(entry) = self.vms.list.get_mut(&vm) else {
            return;
        };
        if entry.waiting {
            return;
        }
        entry.waiting = true;
        entry.probed = now;
        self.out.push(GroupsAction::Probe { vm });
    }

    pub(super) fn probed(
        &mut self,
        now: Moment,
        vm: VmId,
        sent: Moment,
        result: Result<VmReport, ProbeFailure>,
    ) {
        let verdict = self.vms.probed(now, vm, sent, result, &self.settings);
        let Some(entry) = self.vms.get(vm) else {
            return;
        };
        let (name, probes) = (entry.report.vm.name.clone(), entry.failures);
        match verdict {
            Some(Verdict::Lost(cause)) => {
                let place = entry.report.group;
                self.lost
                    .extend(place.map(|place| (place.group, place.epoch)));
                self.note(Decision::VmLost {
                    vm: name,
                    probes,
                    cause,
                });
            }
            Some(Verdict::Back) => self.note(Decision::VmBack { vm: name }),
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
            entry.suspected = now;
        }
        self.probe(now, vm);
    }

    pub(super) fn vm_gone(&mut self, now: Moment, vm: VmId) {
        let gone = self.vms.gone(now, vm);
        self.decisions.extend(gone);
        // It may be dead, or leave without notice and serve on for a while.
        self.suspect(now, vm);
    }
}

/// Time between two probes of a VM for its own sake.
fn probe_period(entry: &VmEntry, settings: &GroupsSettings) -> Duration {
    match entry.failures {
        0 => settings.probe_every,
        failures if failures < settings.probe_failures => settings.probe_again,
        _ => settings.probe_every / 2,
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
