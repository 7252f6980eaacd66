//! Judging members by their reports.

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::decision::Reason;
use crate::{EngineState, MemberReport, ProbeFailure};

use super::Fleet;
use super::group::{Group, Member};

/// What one report says of a member's place in a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// It takes part.
    Present,
    /// It obeys, and still loads.
    Loading,
    /// It has to be ordered into the group.
    Misplaced,
    /// It runs since another start than the one that counted.
    Restarted,
    /// It has seen a higher epoch than the row that this node knows.
    Overtaken(Epoch),
}

impl Fleet {
    /// Takes in the end of a probe.
    pub(super) fn probed(
        &mut self,
        now: Moment,
        vm: VmId,
        sent: Moment,
        result: Result<MemberReport, ProbeFailure>,
    ) {
        let result = self.check(now, vm, sent, result);
        if result.is_err() {
            self.counters.failed_probes += 1;
        }
        self.job_probed(now, vm, result);
        let homes = self.store.homes.get(&vm).cloned().unwrap_or_default();
        for id in homes {
            self.member_probed(now, id, vm, sent, result);
            self.try_attest(now, id);
        }
    }

    /// A report that comes too late or from another VM counts as none.
    fn check(
        &self,
        now: Moment,
        vm: VmId,
        sent: Moment,
        result: Result<MemberReport, ProbeFailure>,
    ) -> Result<MemberReport, ProbeFailure> {
        let report = result?;
        if now.since(sent) > self.settings.probe_timeout {
            return Err(ProbeFailure::Timeout);
        }
        if report.vm != vm {
            return Err(ProbeFailure::Malformed);
        }
        Ok(report)
    }

    fn member_probed(
        &mut self,
        now: Moment,
        id: GroupId,
        vm: VmId,
        sent: Moment,
        result: Result<MemberReport, ProbeFailure>,
    ) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let Some(rank) = group.members.iter().position(|member| member.vm == vm) else {
            return;
        };
        let member = &mut group.members[rank];
        if member.asked.is_some_and(|asked| sent >= asked) {
            member.asked = None;
        }
        member.ended = Some(now);
        if member.heard.is_some_and(|heard| sent <= heard) {
            return;
        }
        let report = match result {
            Ok(report) => report,
            Err(failure) => return fail(group, rank, sent, failure),
        };
        let verdict = judge(group, rank, &report);
        accept(group, rank, now, sent, report, verdict);
        match verdict {
            Verdict::Overtaken(epoch) => {
                self.hint(id);
                self.note_member(now, id, vm, Reason::Overtaken { epoch });
            }
            Verdict::Restarted => self.note_member(now, id, vm, Reason::Restarted),
            Verdict::Present | Verdict::Loading | Verdict::Misplaced => {}
        }
    }

    /// Notes a reason that concerns one member of a group.
    pub(super) fn note_member(&mut self, now: Moment, id: GroupId, vm: VmId, reason: Reason) {
        let entry = self.groups.get(&id).map(|group| group.row.entry);
        self.note(now, entry, Some(id), Some(vm), reason);
    }
}

fn judge(group: &Group, rank: usize, report: &MemberReport) -> Verdict {
    let member = &group.members[rank];
    let ready = report.state == EngineState::Ready;
    if !group.has_row() {
        return if ready {
            judge_boot(member, report)
        } else {
            Verdict::Loading
        };
    }
    if report.epoch > group.row.epoch {
        return Verdict::Overtaken(report.epoch);
    }
    let placed = report.group == Some(group.id)
        && report.epoch == group.row.epoch
        && usize::from(report.rank.0) == rank;
    if !placed || report.state == EngineState::Empty {
        return Verdict::Misplaced;
    }
    if ready {
        judge_boot(member, report)
    } else {
        Verdict::Loading
    }
}

fn judge_boot(member: &Member, report: &MemberReport) -> Verdict {
    match member.boot {
        Some(boot) if boot != report.boot => Verdict::Restarted,
        _ if member.must_join => Verdict::Misplaced,
        _ => Verdict::Present,
    }
}

/// Takes a report into the member, and withdraws the group when the member lost its place.
fn accept(
    group: &mut Group,
    rank: usize,
    now: Moment,
    sent: Moment,
    report: MemberReport,
    verdict: Verdict,
) {
    let checks_orders = group.has_row();
    let member = &mut group.members[rank];
    member.failing = None;
    member.heard = Some(sent);
    member.report = Some(report);
    member.needs = match verdict {
        Verdict::Misplaced => member.needs.or(Some(now)),
        Verdict::Restarted if checks_orders => member.needs.or(Some(now)),
        _ => None,
    };
    match verdict {
        Verdict::Present => {
            member.boot = Some(report.boot);
            member.present = Some(sent);
            return;
        }
        Verdict::Restarted => {
            member.boot = Some(report.boot);
            member.must_join = checks_orders;
        }
        Verdict::Loading | Verdict::Misplaced | Verdict::Overtaken(_) => {}
    }
    member.present = None;
    group.withdraw(sent);
}

fn fail(group: &mut Group, rank: usize, sent: Moment, failure: ProbeFailure) {
    let member = &mut group.members[rank];
    let since = member.failing.map_or(sent, |(since, _)| since);
    member.failing = Some((since, failure));
    if failure == ProbeFailure::Refused {
        member.present = None;
        group.withdraw(sent);
    }
}
