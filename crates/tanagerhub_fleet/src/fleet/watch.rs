//! Watching of groups: probes, attestations and signals from request traffic.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::decision::Reason;
use crate::{FleetAction, FleetSettings, Health, Temperature};

use super::Fleet;
use super::group::{Group, Member};

/// A member whose probes have failed for this long is probed less often.
const LONG_FAILURE: Duration = Duration::from_mins(1);
/// The interval between two probes of a member that has failed for [`LONG_FAILURE`].
const SLOW_PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// The interval between two probes of a missing member by a node that is not the group's first
/// watcher. Also how long a group must be broken before a planner watches it too.
const BACKUP_PROBE_INTERVAL: Duration = Duration::from_secs(3);

impl Fleet {
    /// Sends due probes and orders, and records which groups became complete or incomplete.
    pub(super) fn watch(&mut self, now: Moment) {
        let leading_planner = self.is_leading_planner();
        let mut due: Vec<VmId> = Vec::new();
        for group in self.groups.values_mut() {
            let rank = group
                .watch_rank
                .or_else(|| planner_watch_rank(group, leading_planner, now));
            if let Some(rank) = rank {
                collect_due_probes(group, rank, now, &self.settings, &mut due);
            }
        }
        for vm in due {
            self.probe(vm);
        }
        self.send_orders(now);
        self.record_changes(now);
    }

    /// Requests a probe of a VM; without effect when the platform no longer lists it, as it then
    /// has no address.
    pub(super) fn probe(&mut self, vm: VmId) {
        if let Some(address) = self.vms.address(vm) {
            self.counters.probes += 1;
            self.actions.push(FleetAction::Probe { vm, address });
        }
    }

    /// Discards probe state after a pause, because responses buffered since before it say nothing
    /// about the present.
    pub(super) fn discard_probes(&mut self) {
        let now = self.last_event;
        self.store.valid_from = now;
        for group in self.groups.values_mut() {
            for member in &mut group.members {
                member.probe_sent_at = None;
                member.present_at = None;
                member.failing = None;
            }
        }
    }

    fn record_changes(&mut self, now: Moment) {
        let limit = self.settings.age_limit;
        let mut changed: Vec<(GroupId, bool)> = Vec::new();
        for group in self.groups.values_mut() {
            let complete = group.is_complete(now, limit);
            if std::mem::replace(&mut group.complete, complete) != complete {
                changed.push((group.id, complete));
            }
        }
        for (id, complete) in changed {
            if !complete {
                self.counters.broken += 1;
                self.expect_promotion(now, id);
            }
            let reason = if complete {
                Reason::Whole
            } else {
                Reason::Unattested
            };
            self.record_group_decision(now, id, reason);
        }
    }

    /// Attests the group if every member was found present recently, and publishes the attestation
    /// if it is sufficiently newer than the last one.
    pub(super) fn try_attest(&mut self, now: Moment, id: GroupId) {
        let confirmed = self.store.rows_confirmed_at.is_some();
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
        group.record_attestation(oldest);
        let seen = group.reported_health(self.settings.warm_answers);
        let changed = group.set_health(oldest, seen);
        let fresh = group.published_at.is_none_or(|published_at| {
            oldest.since(published_at) >= self.settings.probe_every.mul_f64(PUBLISH_AGE_FACTOR)
        });
        if changed {
            self.record_health(now, id, seen);
        }
        if fresh || changed {
            self.publish_attestation(now, id, oldest);
        }
    }

    fn publish_attestation(&mut self, now: Moment, id: GroupId, at: Moment) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.published_at = group.published_at.max(Some(at));
        self.counters.attests += 1;
        self.actions.push(FleetAction::Attest {
            group: id,
            epoch: group.row.epoch,
            age: now.since(at),
            health: group.health,
        });
    }

    fn record_health(&mut self, now: Moment, id: GroupId, health: Health) {
        let reason = match health {
            Health::Warm => Reason::Warmed,
            Health::Cold => Reason::TurnedCold,
            Health::Leaving => Reason::Drain {
                cause: crate::DrainCause::Leaving,
            },
        };
        self.record_group_decision(now, id, reason);
    }

    /// Handles a peer's attestation.
    ///
    /// Right after a pause of this process, attestations are ignored: the age in one that was
    /// buffered since before the pause is too low.
    pub(super) fn on_attested(
        &mut self,
        now: Moment,
        id: GroupId,
        epoch: Epoch,
        age: Duration,
        health: Health,
    ) {
        // A moment before this clock's start can't be represented, and the attestation would look
        // recent.
        let representable = age <= now.since(Moment::ZERO);
        let settled = now >= self.store.valid_from + self.settings.age_limit / 2;
        if !representable || !settled || !self.is_current_epoch(id, epoch) {
            return;
        }
        let at = now.before(age);
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.record_attestation(at);
        group.published_at = group.published_at.max(Some(at));
        if group.set_health(at, health) {
            if health == Health::Cold {
                group.responses = 0;
            }
            self.record_health(now, id, health);
        }
    }

    /// Handles a streamed token, which proves that every member was present.
    pub(super) fn on_token_streamed(&mut self, now: Moment, id: GroupId, epoch: Epoch, at: Moment) {
        if at > now || at < self.store.valid_from || !self.is_current_epoch(id, epoch) {
            return;
        }
        let confirmed = self.store.rows_confirmed_at.is_some();
        let warm_answers = self.settings.warm_answers;
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        if group.has_row() && !confirmed {
            return;
        }
        group.suspicion.clear();
        group.record_attestation(at);
        let step = self.settings.probe_every.mul_f64(PUBLISH_AGE_FACTOR);
        let fresh = group
            .published_at
            .is_none_or(|published_at| at.since(published_at) >= step);
        let mut warmed = false;
        if !group.has_row() {
            group.responses = group.responses.saturating_add(1);
            warmed = group.responses == warm_answers && group.set_health(at, Health::Warm);
        }
        if warmed {
            self.record_health(now, id, Health::Warm);
        }
        if fresh || warmed {
            self.publish_attestation(now, id, at);
        }
    }

    /// Handles a failed request to a backend server.
    pub(super) fn on_backend_failed(&mut self, now: Moment, id: GroupId, epoch: Epoch) {
        if !self.is_current_epoch(id, epoch) {
            return;
        }
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.invalidate_attestations(now);
        group.suspicion.raise(now);
        group.published_at = None;
        for member in &mut group.members {
            member.probe_ended_at = None;
        }
        self.record_group_decision(now, id, Reason::Suspected);
    }

    /// Handles a response that showed that the group is cold.
    pub(super) fn on_turned_cold(&mut self, now: Moment, id: GroupId, epoch: Epoch) {
        if !self.is_current_epoch(id, epoch) {
            return;
        }
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.responses = 0;
        if group.set_health(now, Health::Cold) {
            self.record_health(now, id, Health::Cold);
        }
    }
}

/// The fraction of the probe interval by which an attestation must be newer than the last published
/// one to be published.
const PUBLISH_AGE_FACTOR: f64 = 0.6;

impl Group {
    /// Invalidates attestations of moments up to `at`.
    pub(super) fn invalidate_attestations(&mut self, at: Moment) {
        self.invalid_until = self.invalid_until.max(Some(at));
    }

    /// Returns the group's health according to its members' last reports, or to responses for a
    /// plain service, which other nodes may have found to be warm.
    fn reported_health(&self, warm_answers: u32) -> Health {
        if !self.has_row() {
            return if self.responses >= warm_answers {
                Health::Warm
            } else {
                self.health
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

/// Returns the oldest moment at which a member was found present; `None` when one is missing.
fn oldest_report(group: &Group) -> Option<Moment> {
    group
        .members
        .iter()
        .map(|member| member.present_at)
        .try_fold(None, |oldest: Option<Moment>, present_at| {
            let present_at = present_at?;
            Some(Some(oldest.map_or(present_at, |old| old.min(present_at))))
        })
        .flatten()
}

/// Returns the watch rank of a planner for a group that no watcher attests; `None` when it need not
/// watch it.
fn planner_watch_rank(group: &Group, leading_planner: bool, now: Moment) -> Option<usize> {
    let broken = now.since(group.broken_since()) >= BACKUP_PROBE_INTERVAL;
    (leading_planner && group.has_row() && broken).then_some(PLANNER_WATCH_RANK)
}

/// The rank of a planner among the watchers of a broken group, after the regular ones.
const PLANNER_WATCH_RANK: usize = 3;

fn collect_due_probes(
    group: &mut Group,
    rank: usize,
    now: Moment,
    settings: &FleetSettings,
    due: &mut Vec<VmId>,
) {
    let step = u32::try_from(rank).unwrap_or(u32::MAX);
    let turn = settings.probe_every + settings.standby_step.saturating_mul(step);
    let needs_renewal = group
        .published_at
        .is_none_or(|published_at| now.since(published_at) >= turn);
    for member in &mut group.members {
        if is_due(member, rank, needs_renewal, now, settings) {
            member.probe_sent_at = Some(now);
            due.push(member.vm);
        }
    }
}

fn is_due(
    member: &Member,
    rank: usize,
    needs_renewal: bool,
    now: Moment,
    settings: &FleetSettings,
) -> bool {
    if member
        .probe_sent_at
        .is_some_and(|probe_sent_at| now.since(probe_sent_at) < settings.probe_timeout * 2)
    {
        return false;
    }
    let idle = member
        .probe_ended_at
        .map(|probe_ended_at| now.since(probe_ended_at));
    if member.present_at.is_some() && member.failing.is_none() {
        let pause = settings.probe_every.mul_f64(PUBLISH_AGE_FACTOR);
        let turn = needs_renewal && idle.is_none_or(|idle| idle >= pause);
        let silent = member
            .reported_at
            .is_none_or(|reported_at| now.since(reported_at) >= settings.report_every);
        return turn || (rank == 0 && silent);
    }
    let long = member
        .failing
        .is_some_and(|(since, _)| now.since(since) >= LONG_FAILURE);
    let pause = match rank {
        _ if long => SLOW_PROBE_INTERVAL,
        0 => settings.probe_every,
        _ => BACKUP_PROBE_INTERVAL,
    };
    idle.is_none_or(|idle| idle >= pause)
}
