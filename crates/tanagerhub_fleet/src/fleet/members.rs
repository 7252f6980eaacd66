//! Updates of members from probe results.

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::decision::Reason;
use crate::{EngineState, Health, MemberReport, ProbeFailure};

use super::Fleet;
use super::group::{Group, Member};

/// The status of a member according to one report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportStatus {
    /// The member takes part in its group.
    Present,
    /// The member is in its group and still loads.
    Loading,
    /// The member must be ordered into the group.
    Misplaced,
    /// The engine restarted since the member was last accepted.
    Restarted,
    /// The engine has seen a higher epoch than that of the row at this node.
    Overtaken(Epoch),
}

impl Fleet {
    /// Handles the result of a probe.
    pub(super) fn on_probed(
        &mut self,
        now: Moment,
        vm: VmId,
        sent: Moment,
        result: Result<MemberReport, ProbeFailure>,
    ) {
        let result = self.validate_report(now, vm, sent, result);
        if result.is_err() {
            self.counters.failed_probes += 1;
        }
        self.on_job_probed(now, vm, result);
        let group_ids = self
            .store
            .groups_by_vm
            .get(&vm)
            .cloned()
            .unwrap_or_default();
        for id in group_ids {
            self.update_member(now, id, vm, sent, result);
            self.try_attest(now, id);
        }
    }

    /// Turns a report that arrived after the timeout or from another VM into a probe failure.
    fn validate_report(
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

    fn update_member(
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
        if member
            .probe_sent_at
            .is_some_and(|probe_sent_at| sent >= probe_sent_at)
        {
            member.probe_sent_at = None;
        }
        member.probe_ended_at = Some(now);
        if member
            .reported_at
            .is_some_and(|reported_at| sent <= reported_at)
        {
            return;
        }
        let report = match result {
            Ok(report) => report,
            Err(failure) => return record_probe_failure(group, rank, sent, failure),
        };
        let status = classify_report(group, rank, &report);
        apply_report(group, rank, now, sent, report, status);
        match status {
            ReportStatus::Overtaken(epoch) => {
                self.request_row_read(id);
                self.record_member_decision(now, id, vm, Reason::Overtaken { epoch });
            }
            ReportStatus::Restarted => self.record_member_decision(now, id, vm, Reason::Restarted),
            ReportStatus::Present | ReportStatus::Loading | ReportStatus::Misplaced => {}
        }
    }

    /// Records a decision on one member of a group.
    pub(super) fn record_member_decision(
        &mut self,
        now: Moment,
        id: GroupId,
        vm: VmId,
        reason: Reason,
    ) {
        let entry = self.groups.get(&id).map(|group| group.row.entry);
        self.record(now, entry, Some(id), Some(vm), reason);
    }
}

fn classify_report(group: &Group, rank: usize, report: &MemberReport) -> ReportStatus {
    let member = &group.members[rank];
    let ready = report.state == EngineState::Ready;
    if !group.has_row() {
        return if ready {
            classify_boot(member, report)
        } else {
            ReportStatus::Loading
        };
    }
    if report.epoch > group.row.epoch {
        return ReportStatus::Overtaken(report.epoch);
    }
    let placed = report.group == Some(group.id)
        && report.epoch == group.row.epoch
        && usize::from(report.rank.0) == rank;
    if !placed || report.state == EngineState::Empty {
        return ReportStatus::Misplaced;
    }
    if ready {
        classify_boot(member, report)
    } else {
        ReportStatus::Loading
    }
}

fn classify_boot(member: &Member, report: &MemberReport) -> ReportStatus {
    match member.boot {
        Some(boot) if boot != report.boot => ReportStatus::Restarted,
        _ if member.must_join => ReportStatus::Misplaced,
        _ => ReportStatus::Present,
    }
}

/// Updates the member from a report, and invalidates the group's attestations when the member is
/// not present.
fn apply_report(
    group: &mut Group,
    rank: usize,
    now: Moment,
    sent: Moment,
    report: MemberReport,
    status: ReportStatus,
) {
    let takes_orders = group.has_row();
    let member = &mut group.members[rank];
    member.failing = None;
    member.reported_at = Some(sent);
    member.report = Some(report);
    member.needs_order_since = match status {
        ReportStatus::Misplaced => member.needs_order_since.or(Some(now)),
        ReportStatus::Restarted if takes_orders => member.needs_order_since.or(Some(now)),
        _ => None,
    };
    match status {
        ReportStatus::Present => {
            member.boot = Some(report.boot);
            member.present_at = Some(sent);
            return;
        }
        ReportStatus::Restarted => {
            member.boot = Some(report.boot);
            member.must_join = takes_orders;
        }
        ReportStatus::Loading | ReportStatus::Misplaced | ReportStatus::Overtaken(_) => {}
    }
    member.present_at = None;
    if status == ReportStatus::Restarted && !takes_orders {
        group.responses = 0;
        group.set_health(sent, Health::Cold);
    }
    group.invalidate_attestations(sent);
}

fn record_probe_failure(group: &mut Group, rank: usize, sent: Moment, failure: ProbeFailure) {
    let member = &mut group.members[rank];
    let since = member.failing.map_or(sent, |(since, _)| since);
    member.failing = Some((since, failure));
    if failure == ProbeFailure::Refused {
        member.present_at = None;
        group.invalidate_attestations(sent);
    }
}
