//! Repair: wait, replace members or form again elsewhere.

use std::time::Duration;

use tanagerhub_catalogue::{GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::decision::Reason;
use crate::place::{self, FreeVms};
use crate::{EngineState, FleetSettings, ProbeFailure};

use super::Fleet;
use super::group::{Group, Member};
use super::job::JobKind;
use super::plan::Need;

/// Since when, and for how long, a member may be missing.
#[derive(Debug, Clone, Copy)]
struct Absence {
    since: Moment,
    patience: Duration,
}

impl Fleet {
    /// Repairs a group that is not whole, by the way with the shortest expected downtime.
    ///
    /// A pause ends soon, so it is waited for; a restarted engine loads again in its place. A lost
    /// member is replaced by a spare of its domain, which loads alone. When the domain is dark or
    /// has no spare, the group is given up as soon as there is room elsewhere.
    pub(super) fn repair(&mut self, now: Moment, id: GroupId, spares: &mut FreeVms) {
        let Some(group) = self.groups.get(&id) else {
            return;
        };
        if group.is_whole(now, self.settings.age_limit) {
            return;
        }
        let broken = now.since(group.broken_since()) >= self.settings.blip;
        let entry = group.row.entry;
        if broken && group.is_held() && group.attested.is_some() && self.standby(entry).is_some() {
            self.give_way(now, id);
            return;
        }
        let Some(group) = self.groups.get(&id) else {
            return;
        };
        let lost = self.lost_members(now, group);
        if lost.is_empty() {
            let failure = group.members.iter().find_map(|member| member.failing);
            let failure = failure.map(|(_, failure)| failure);
            if group.attested.is_some() {
                self.note_group(now, id, Reason::Wait { failure });
            }
            return;
        }
        let after = now.since(group.broken_since());
        let span = group.members.len();
        let dark = span > 1 && lost.len() * 2 >= span;
        let domain = group.row.domain;
        if !self.is_turn(now, Need::Repair(id)) {
            return;
        }
        let room = spares.get_mut(&domain).filter(|_| !dark);
        if let Some(room) = room.filter(|room| room.vms.len() >= lost.len()) {
            let spares = room.vms.drain(..lost.len()).collect();
            self.note_group(now, id, Reason::Swap { after });
            self.start_job(
                now,
                JobKind::Swap {
                    group: id,
                    lost,
                    spares,
                },
            );
            return;
        }
        let stuck = after >= self.settings.load_limit;
        if stuck || place::fits(spares, span) {
            self.note_group(now, id, Reason::Reform { after });
            for vm in lost {
                self.strike(now, vm);
            }
            self.start_job(now, JobKind::Dissolve { group: id });
        }
    }

    /// Gives a broken group up for a standby group of its entry.
    fn give_way(&mut self, now: Moment, id: GroupId) {
        if !self.is_turn(now, Need::Repair(id)) {
            return;
        }
        let Some(group) = self.groups.get(&id) else {
            return;
        };
        let after = now.since(group.broken_since());
        let failing = |member: &&Member| member.failing.is_some();
        let lost: Vec<VmId> = group
            .members
            .iter()
            .filter(failing)
            .map(|member| member.vm)
            .collect();
        self.note_group(now, id, Reason::Reform { after });
        for vm in lost {
            self.strike(now, vm);
        }
        self.start_job(now, JobKind::Dissolve { group: id });
    }

    /// Members that are not worth waiting for any longer.
    fn lost_members(&self, now: Moment, group: &Group) -> Vec<VmId> {
        let lost = |member: &&Member| {
            let gone = self.vms.is_gone(member.vm);
            let absence = absence(group, member, &self.settings);
            gone || absence.is_some_and(|one| now.since(one.since) >= one.patience)
        };
        group
            .members
            .iter()
            .filter(lost)
            .map(|member| member.vm)
            .collect()
    }
}

/// How long a member is missing; `None` when it is in its place or was never probed.
fn absence(group: &Group, member: &Member, settings: &FleetSettings) -> Option<Absence> {
    if let Some((since, failure)) = member.failing {
        let patience = match failure {
            ProbeFailure::Timeout | ProbeFailure::Malformed => settings.patience,
            ProbeFailure::Refused => settings.load_time,
        };
        return Some(Absence { since, patience });
    }
    let report = member.report?;
    if member.present.is_some() && report.state == EngineState::Ready {
        return None;
    }
    Some(Absence {
        since: group.broken_since(),
        patience: settings.load_limit,
    })
}
