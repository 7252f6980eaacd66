//! Watching: probes, attestations and the signals of traffic.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::decision::Reason;
use crate::{FleetAction, FleetSettings, Health, Temperature};

use super::Fleet;
use super::group::{Group, Member};

/// A member that failed for longer than this is probed less often.
const LONG_FAILURE: Duration = Duration::from_mins(1);
/// The time between two probes of a member that failed for long.
const SLOW_RETRY: Duration = Duration::from_secs(5);
/// The time between two probes of a broken group by a node that is not its first watcher.
const STANDBY_RETRY: Duration = Duration::from_secs(3);

impl Fleet {
    /// Probes what is due, sends orders and notes what became of each group.
    pub(super) fn watch(&mut self, now: Moment) {
        let planning = self.is_planning();
        let mut due: Vec<VmId> = Vec::new();
        for group in self.groups.values_mut() {
            let rank = group.rank.or_else(|| planner_rank(group, planning, now));
            if let Some(rank) = rank {
                ask_members(group, rank, now, &self.settings, &mut due);
            }
        }
        for vm in due {
            self.probe(vm);
        }
        self.send_orders(now);
        self.note_changes(now);
    }

    /// Asks a VM for its report; one that the platform no longer lists has no address to ask at.
    pub(super) fn probe(&mut self, vm: VmId) {
        if let Some(address) = self.vms.address(vm) {
            self.counters.probes += 1;
            self.out.push(FleetAction::Probe { vm, address });
        }
    }

    /// After a pause, answers that wait since before it say nothing of the present.
    pub(super) fn forget_probes(&mut self) {
        let now = self.last_event;
        self.store.valid_from = now;
        for group in self.groups.values_mut() {
            for member in &mut group.members {
                member.asked = None;
                member.present = None;
                member.failing = None;
            }
        }
    }

    fn note_changes(&mut self, now: Moment) {
        let limit = self.settings.age_limit;
        let mut changed: Vec<(GroupId, bool)> = Vec::new();
        for group in self.groups.values_mut() {
            let whole = group.is_whole(now, limit);
            if std::mem::replace(&mut group.whole, whole) != whole {
                changed.push((group.id, whole));
            }
        }
        for (id, whole) in changed {
            if !whole {
                self.counters.broken += 1;
                self.expect_promotion(now, id);
            }
            let reason = if whole {
                Reason::Whole
            } else {
                Reason::Unattested
            };
            self.note_group(now, id, reason);
        }
    }

    /// Attests the group when every member was found in its place lately.
    pub(super) fn try_attest(&mut self, now: Moment, id: GroupId) {
        let confirmed = self.store.confirmed.is_some();
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        if group.has_row() && !confirmed {
            return;
        }
        let Some(oldest) = oldest_report(group) else {
            return;
        };
        if now.since(oldest) >= self.settings.age_limit {
            return;
        }
        group.attest(oldest);
        let seen = group.health_seen(self.settings.warm_answers);
        let changed = group.set_health(oldest, seen);
        let fresh = group.shared.is_none_or(|shared| {
            oldest.since(shared) >= self.settings.probe_every.mul_f64(SHARE_STEP)
        });
        if changed {
            self.note_health(now, id, seen);
        }
        if fresh || changed {
            self.share(now, id, oldest);
        }
    }

    fn share(&mut self, now: Moment, id: GroupId, at: Moment) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.shared = group.shared.max(Some(at));
        self.counters.attests += 1;
        self.out.push(FleetAction::Attest {
            group: id,
            epoch: group.row.epoch,
            age: now.since(at),
            health: group.health,
        });
    }

    fn note_health(&mut self, now: Moment, id: GroupId, health: Health) {
        let reason = match health {
            Health::Warm => Reason::Warmed,
            Health::Cold => Reason::TurnedCold,
            Health::Leaving => Reason::Drain {
                cause: crate::DrainCause::Leaving,
            },
        };
        self.note_group(now, id, reason);
    }

    /// Takes in a peer's attestation.
    ///
    /// Right after a pause of this process none counts: one that waited in a buffer since before
    /// the pause states an age that is too low.
    pub(super) fn attested(
        &mut self,
        now: Moment,
        id: GroupId,
        epoch: Epoch,
        age: Duration,
        health: Health,
    ) {
        // An age from before this clock's start can't be expressed, and would look young.
        let expressible = age <= now.since(Moment::ZERO);
        let settled = now >= self.store.valid_from + self.settings.age_limit / 2;
        if !expressible || !settled || !self.knows(id, epoch) {
            return;
        }
        let at = now.before(age);
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.attest(at);
        group.shared = group.shared.max(Some(at));
        if group.set_health(at, health) {
            self.note_health(now, id, health);
        }
    }

    /// Takes in that a token proves every member present.
    pub(super) fn token_streamed(&mut self, now: Moment, id: GroupId, epoch: Epoch, at: Moment) {
        if at > now || at < self.store.valid_from || !self.knows(id, epoch) {
            return;
        }
        let confirmed = self.store.confirmed.is_some();
        let warm_answers = self.settings.warm_answers;
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        if group.has_row() && !confirmed {
            return;
        }
        group.suspected.clear();
        group.attest(at);
        let step = self.settings.probe_every.mul_f64(SHARE_STEP);
        let fresh = group.shared.is_none_or(|shared| at.since(shared) >= step);
        if !group.has_row() {
            group.answers = group.answers.saturating_add(1);
            if group.answers == warm_answers && group.set_health(at, Health::Warm) {
                self.note_health(now, id, Health::Warm);
            }
        }
        if fresh {
            self.share(now, id, at);
        }
    }

    /// Takes in that traffic saw a back end fail.
    pub(super) fn backend_failed(&mut self, now: Moment, id: GroupId, epoch: Epoch) {
        if !self.knows(id, epoch) {
            return;
        }
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.withdraw(now);
        group.suspected.raise(now);
        group.shared = None;
        for member in &mut group.members {
            member.ended = None;
        }
        self.note_group(now, id, Reason::Suspected);
    }

    /// Takes in that traffic saw a group cold.
    pub(super) fn turned_cold(&mut self, now: Moment, id: GroupId, epoch: Epoch) {
        if !self.knows(id, epoch) {
            return;
        }
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.answers = 0;
        if group.set_health(now, Health::Cold) {
            self.note_health(now, id, Health::Cold);
        }
    }
}

/// The part of a probe interval by which an attestation must be younger to be shared again.
const SHARE_STEP: f64 = 0.6;

impl Group {
    /// Stops counting attestations of reports up to `at`.
    pub(super) fn withdraw(&mut self, at: Moment) {
        self.failed = self.failed.max(Some(at));
    }

    /// What the members' last reports say that the group can bear.
    fn health_seen(&self, warm_answers: u32) -> Health {
        if !self.has_row() {
            return if self.answers >= warm_answers {
                Health::Warm
            } else {
                Health::Cold
            };
        }
        self.members
            .iter()
            .filter_map(|member| member.report)
            .map(|report| match report.temperature {
                _ if report.leaving => Health::Leaving,
                Temperature::Cold => Health::Cold,
                Temperature::Warm => Health::Warm,
            })
            .max()
            .unwrap_or(Health::Cold)
    }
}

/// The oldest of the reports that found each member in its place; `None` when one is missing.
fn oldest_report(group: &Group) -> Option<Moment> {
    group
        .members
        .iter()
        .map(|member| member.present)
        .try_fold(None, |oldest: Option<Moment>, present| {
            let present = present?;
            Some(Some(oldest.map_or(present, |old| old.min(present))))
        })
        .flatten()
}

/// A planner looks at groups that nobody attests, as a watcher of last resort.
fn planner_rank(group: &Group, planning: bool, now: Moment) -> Option<usize> {
    let broken = now.since(group.broken_since()) >= STANDBY_RETRY;
    (planning && group.has_row() && broken).then_some(LAST_RESORT)
}

/// The place of a planner among the watchers of a broken group.
const LAST_RESORT: usize = 3;

fn ask_members(
    group: &mut Group,
    rank: usize,
    now: Moment,
    settings: &FleetSettings,
    due: &mut Vec<VmId>,
) {
    let step = u32::try_from(rank).unwrap_or(u32::MAX);
    let turn = settings.probe_every + settings.standby_step.saturating_mul(step);
    let renew = group.shared.is_none_or(|shared| now.since(shared) >= turn);
    for member in &mut group.members {
        if is_due(member, rank, renew, now, settings) {
            member.asked = Some(now);
            due.push(member.vm);
        }
    }
}

fn is_due(
    member: &Member,
    rank: usize,
    renew: bool,
    now: Moment,
    settings: &FleetSettings,
) -> bool {
    if member
        .asked
        .is_some_and(|asked| now.since(asked) < settings.probe_timeout * 2)
    {
        return false;
    }
    let idle = member.ended.map(|ended| now.since(ended));
    if member.present.is_some() && member.failing.is_none() {
        let pause = settings.probe_every.mul_f64(SHARE_STEP);
        let turn = renew && idle.is_none_or(|idle| idle >= pause);
        let silent = member
            .heard
            .is_none_or(|heard| now.since(heard) >= settings.report_every);
        return turn || (rank == 0 && silent);
    }
    let long = member
        .failing
        .is_some_and(|(since, _)| now.since(since) >= LONG_FAILURE);
    let pause = match rank {
        _ if long => SLOW_RETRY,
        0 => settings.probe_every,
        _ => STANDBY_RETRY,
    };
    idle.is_none_or(|idle| idle >= pause)
}
