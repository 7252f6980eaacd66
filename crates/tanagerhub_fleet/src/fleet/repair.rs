//! Repair of incomplete groups: waiting, replacing members, or dissolving the group.

use std::time::Duration;

use tanagerhub_catalogue::{GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::decision::Reason;
use crate::placement::{self, FreeVms};
use crate::{EngineState, FleetSettings, ProbeFailure};

use super::Fleet;
use super::group::{Group, Member};
use super::job::JobKind;
use super::plan::Task;

/// Since when a member is missing, and how long it may be before it counts as failed.
#[derive(Debug, Clone, Copy)]
struct Absence {
    since: Moment,
    patience: Duration,
}

impl Fleet {
    /// Repairs an incomplete group in the way with the shortest expected downtime.
    ///
    /// A pause usually ends soon, so nothing is changed at first; a restarted engine loads again at
    /// its rank. A failed member is replaced by a spare VM of its domain, where only that VM has to
    /// load. When at least half of the members failed, which indicates a failure of the domain, or
    /// when the domain has no spare, the group is dissolved as soon as there is room elsewhere.
    pub(super) fn repair(&mut self, now: Moment, id: GroupId, spares: &mut FreeVms) {
        let Some(group) = self.groups.get(&id) else {
            return;
        };
        if group.is_complete(now, self.settings.age_limit) {
            return;
        }
        let broken = now.since(group.broken_since()) >= self.settings.blip;
        let entry = group.row.entry;
        if broken
            && group.is_held()
            && group.attested_at.is_some()
            && self.complete_standby(entry).is_some()
        {
            self.dissolve_for_standby(now, id);
            return;
        }
        let Some(group) = self.groups.get(&id) else {
            return;
        };
        let failed = self.failed_members(now, group);
        if failed.is_empty() {
            let failure = group.members.iter().find_map(|member| member.failing);
            let failure = failure.map(|(_, failure)| failure);
            if group.attested_at.is_some() {
                self.record_group_decision(now, id, Reason::Wait { failure });
            }
            return;
        }
        let after = now.since(group.broken_since());
        let span = group.members.len();
        let domain_down = span > 1 && failed.len() * 2 >= span;
        let domain = group.row.domain;
        if !self.is_turn(now, Task::Repair(id)) {
            return;
        }
        let free_domain = spares.get_mut(&domain).filter(|_| !domain_down);
        if let Some(free_domain) =
            free_domain.filter(|free_domain| free_domain.vms.len() >= failed.len())
        {
            let spares = free_domain.vms.drain(..failed.len()).collect();
            self.record_group_decision(now, id, Reason::Swap { after });
            self.start_job(
                now,
                JobKind::Swap {
                    group: id,
                    failed,
                    spares,
                },
            );
            return;
        }
        let stuck = after >= self.settings.load_limit;
        if stuck || placement::has_room(spares, span) {
            self.record_group_decision(now, id, Reason::Reform { after });
            for vm in failed {
                self.record_failure(now, vm);
            }
            self.start_job(now, JobKind::Dissolve { group: id });
        }
    }

    /// Dissolves a broken group so that a standby group of its entry replaces it.
    fn dissolve_for_standby(&mut self, now: Moment, id: GroupId) {
        if !self.is_turn(now, Task::Repair(id)) {
            return;
        }
        let Some(group) = self.groups.get(&id) else {
            return;
        };
        let after = now.since(group.broken_since());
        let failing = |member: &&Member| member.failing.is_some();
        let failed: Vec<VmId> = group
            .members
            .iter()
            .filter(failing)
            .map(|member| member.vm)
            .collect();
        self.record_group_decision(now, id, Reason::Reform { after });
        for vm in failed {
            self.record_failure(now, vm);
        }
        self.start_job(now, JobKind::Dissolve { group: id });
    }

    /// Returns the members that the platform removed or that have been missing for too long.
    fn failed_members(&self, now: Moment, group: &Group) -> Vec<VmId> {
        let failed = |member: &&Member| {
            let removed = self.vms.is_removed(member.vm);
            let absence = absence(group, member, &self.settings);
            removed || absence.is_some_and(|one| now.since(one.since) >= one.patience)
        };
        group
            .members
            .iter()
            .filter(failed)
            .map(|member| member.vm)
            .collect()
    }
}

/// Returns since when a member is missing; `None` when it is present or was never probed.
fn absence(group: &Group, member: &Member, settings: &FleetSettings) -> Option<Absence> {
    if let Some((since, failure)) = member.failing {
        let patience = match failure {
            ProbeFailure::Timeout | ProbeFailure::Malformed => settings.patience,
            ProbeFailure::Refused => settings.load_time,
        };
        return Some(Absence { since, patience });
    }
    let report = member.report?;
    if member.present_at.is_some() && report.state == EngineState::Ready {
        return None;
    }
    Some(Absence {
        since: group.broken_since(),
        patience: settings.load_limit,
    })
}
