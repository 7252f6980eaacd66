//! The jobs that carry out changes to the table.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tanagerhub_catalogue::{GroupId, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{CommitOutcome, ReadBack, Row, RowKey, RowVersion, TransactionId};

use crate::decision::Reason;
use crate::rows::{entry_key, group_key, vm_key};
use crate::{FleetAction, MemberReport, ProbeFailure, StoreFailure};

use super::Fleet;
use super::group::RowStamp;
use super::job::{Change, Job, JobId, JobKind, JobState, Prepared};

/// The timeout of the preparation of a change.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(5);

/// All unfinished jobs.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    list: BTreeMap<JobId, Job>,
    count: u64,
}

impl Jobs {
    pub(super) fn len(&self) -> usize {
        self.list.len()
    }

    pub(super) fn kinds(&self) -> impl Iterator<Item = &JobKind> {
        self.list.values().map(|job| &job.kind)
    }

    /// Returns the VMs that unfinished jobs are about to add to groups.
    pub(super) fn claimed(&self) -> BTreeSet<VmId> {
        self.kinds()
            .flat_map(|kind| kind.claimed_vms().iter().copied())
            .collect()
    }

    pub(super) fn has_job_for(&self, group: GroupId) -> bool {
        self.kinds().any(|kind| kind.group() == Some(group))
    }

    fn by_transaction(&self, id: TransactionId) -> Option<JobId> {
        let sent = |job: &Job| match &job.state {
            JobState::Committing(change) => change.attempt.transaction().id == id,
            JobState::Preparing { .. } | JobState::ReadingBack { .. } => false,
        };
        self.list
            .iter()
            .find_map(|(key, job)| sent(job).then_some(*key))
    }
}

impl Fleet {
    /// Starts a job: reads the rows that the change depends on, and probes the VMs that it adds to
    /// a group.
    pub(super) fn start_job(&mut self, now: Moment, kind: JobKind) {
        let keys = self.required_keys(&kind);
        let claimed = kind.claimed_vms().to_vec();
        self.jobs.count += 1;
        let id = JobId(self.jobs.count);
        let job = Job {
            kind,
            since: now,
            state: JobState::Preparing {
                rows: None,
                reports: claimed.iter().map(|vm| (*vm, None)).collect(),
            },
        };
        self.jobs.list.insert(id, job);
        self.read_for_job(now, id, keys);
        for vm in claimed {
            self.probe(vm);
        }
    }

    fn required_keys(&self, kind: &JobKind) -> Vec<RowKey> {
        let group = kind.group().and_then(|id| self.groups.get(&id));
        let mut keys = Vec::new();
        let mut vms: Vec<VmId> = kind.claimed_vms().to_vec();
        if let Some(group) = group {
            keys.push(group_key(group.id));
            vms.extend(&group.row.members);
        }
        let entry = match kind {
            JobKind::Form { entry, .. } => Some(*entry),
            _ => group.map(|group| group.row.entry),
        };
        keys.extend(entry.map(entry_key));
        if !matches!(
            kind,
            JobKind::Drain { .. } | JobKind::MoveSlots { .. } | JobKind::Promote { .. }
        ) {
            keys.extend(vms.into_iter().map(vm_key));
        }
        keys
    }

    /// Drops jobs whose preparation timed out, and reads rows back where the response to a
    /// transaction was lost.
    pub(super) fn advance_jobs(&mut self, now: Moment) {
        let late = |job: &Job| {
            matches!(job.state, JobState::Preparing { .. })
                && now.since(job.since) >= PREPARE_TIMEOUT
        };
        let timed_out: Vec<JobId> = self
            .jobs
            .list
            .iter()
            .filter(|(_, job)| late(job))
            .map(|(id, _)| *id)
            .collect();
        for id in timed_out {
            self.jobs.list.remove(&id);
        }
        if self.store.may_call(now) {
            self.read_back_unknown(now);
        }
    }

    fn read_back_unknown(&mut self, now: Moment) {
        let mut reads = Vec::new();
        for (id, job) in &mut self.jobs.list {
            if let JobState::ReadingBack {
                change,
                read_requested,
            } = &mut job.state
                && !*read_requested
                && let Some(witness) = change.attempt.read_back_key()
            {
                *read_requested = true;
                reads.push((*id, witness.clone()));
            }
        }
        for (id, witness) in reads {
            self.read_for_job(now, id, vec![witness]);
        }
    }

    /// Handles the result of a read for a job.
    pub(super) fn on_job_rows(
        &mut self,
        now: Moment,
        id: JobId,
        result: Result<Vec<Row>, StoreFailure>,
    ) {
        let Some(job) = self.jobs.list.get_mut(&id) else {
            return;
        };
        match (&mut job.state, result) {
            (JobState::Preparing { rows, .. }, Ok(read)) => {
                *rows = Some(read);
                self.try_commit(now, id);
            }
            (JobState::Preparing { .. }, Err(_)) => {
                self.jobs.list.remove(&id);
            }
            (JobState::ReadingBack { read_requested, .. }, Err(_)) => *read_requested = false,
            (JobState::ReadingBack { .. }, Ok(rows)) => self.resolve_unknown(now, id, rows.first()),
            (JobState::Committing(_), _) => {}
        }
    }

    /// Handles the result of probing a VM that a job is about to add to a group.
    pub(super) fn on_job_probed(
        &mut self,
        now: Moment,
        vm: VmId,
        result: Result<MemberReport, ProbeFailure>,
    ) {
        let awaits_report = |job: &Job| match &job.state {
            JobState::Preparing { reports, .. } => reports.get(&vm) == Some(&None),
            JobState::Committing(_) | JobState::ReadingBack { .. } => false,
        };
        let found = self.jobs.list.iter().find(|(_, job)| awaits_report(job));
        let Some(id) = found.map(|(id, _)| *id) else {
            return;
        };
        let Ok(report) = result else {
            self.jobs.list.remove(&id);
            self.record_failure(now, vm);
            self.planner.plan_at_next_tick();
            return;
        };
        if let Some(job) = self.jobs.list.get_mut(&id)
            && let JobState::Preparing { reports, .. } = &mut job.state
        {
            reports.insert(vm, Some(report));
        }
        self.try_commit(now, id);
    }

    /// Records a failure of a VM, which leaves it out of formations for a time.
    pub(super) fn record_failure(&mut self, now: Moment, vm: VmId) {
        let (strikes, pause) = self.vms.record_failure(now, vm, &self.settings);
        self.record(
            now,
            None,
            None,
            Some(vm),
            Reason::LeftOut { strikes, pause },
        );
    }

    /// Commits the change once all rows and reports that it depends on have arrived.
    fn try_commit(&mut self, now: Moment, id: JobId) {
        let Some(job) = self.jobs.list.get_mut(&id) else {
            return;
        };
        let JobState::Preparing { rows, reports } = &mut job.state else {
            return;
        };
        if rows.is_none() || reports.values().any(Option::is_none) {
            return;
        }
        let prepared = Prepared {
            rows: rows
                .take()
                .unwrap_or_default()
                .into_iter()
                .map(|row| (row.key.clone(), row))
                .collect(),
            reports: std::mem::take(reports)
                .into_iter()
                .filter_map(|(vm, report)| report.map(|report| (vm, report)))
                .collect(),
        };
        let kind = job.kind.clone();
        let Some(change) = self.build_change(now, &kind, &prepared) else {
            self.jobs.list.remove(&id);
            self.store.next_read_at = now;
            self.record_job_decision(now, &kind, Reason::Conflict);
            return;
        };
        self.counters.commits += 1;
        self.actions
            .push(FleetAction::Commit(change.attempt.transaction().clone()));
        if let Some(job) = self.jobs.list.get_mut(&id) {
            job.state = JobState::Committing(Box::new(change));
        }
    }

    /// Handles the outcome of a transaction.
    pub(super) fn on_committed(
        &mut self,
        now: Moment,
        transaction: TransactionId,
        outcome: &CommitOutcome,
    ) {
        let Some(id) = self.jobs.by_transaction(transaction) else {
            return;
        };
        let Some(mut job) = self.jobs.list.remove(&id) else {
            return;
        };
        let JobState::Committing(mut change) = job.state else {
            return;
        };
        change.attempt.record_outcome(outcome);
        match outcome {
            CommitOutcome::Committed { rows } => {
                self.store_responded();
                let key = group_key(change.group);
                let version = rows.iter().find(|row| row.key == key);
                self.apply(now, &job.kind, *change, version.map(|row| row.version));
            }
            CommitOutcome::Conflict { .. } => {
                self.store_responded();
                self.counters.conflicts += 1;
                self.on_conflict(now, &job.kind);
            }
            CommitOutcome::NotApplied => {
                self.counters.refused += 1;
                self.store_failed(now);
                self.record_job_decision(now, &job.kind, Reason::StoreRefused);
            }
            CommitOutcome::Unknown => {
                self.counters.lost += 1;
                self.record_job_decision(now, &job.kind, Reason::AnswerLost);
                job.state = JobState::ReadingBack {
                    change,
                    read_requested: false,
                };
                self.jobs.list.insert(id, job);
                self.read_back_unknown(now);
            }
        }
    }

    /// Resolves a transaction whose response was lost, from the row read back.
    ///
    /// A transaction that was found not applied may still reach the table later. That is safe: its
    /// conditions cover every row that it writes, so it is either refused or a change that was
    /// right at these versions.
    fn resolve_unknown(&mut self, now: Moment, id: JobId, row: Option<&Row>) {
        let Some(job) = self.jobs.list.remove(&id) else {
            return;
        };
        let JobState::ReadingBack { mut change, .. } = job.state else {
            return;
        };
        match change.attempt.read_back(row) {
            ReadBack::Applied => {
                let version = row.map(|row| row.version);
                self.apply(now, &job.kind, *change, version);
            }
            ReadBack::Overwritten | ReadBack::NotApplied => self.on_conflict(now, &job.kind),
        }
    }

    fn on_conflict(&mut self, now: Moment, kind: &JobKind) {
        self.store.next_read_at = now;
        self.record_job_decision(now, kind, Reason::Conflict);
    }

    /// Applies a committed change to the state of this node.
    fn apply(&mut self, now: Moment, kind: &JobKind, change: Change, version: Option<RowVersion>) {
        self.record_job_decision(now, kind, change.reason);
        let id = change.group;
        self.send_release_orders(now, id, &change.freed, change.fencing_epoch);
        match (change.row, version) {
            (Some(row), Some(version)) => {
                let stamp = RowStamp {
                    version,
                    transaction: change.attempt.transaction().id,
                };
                self.apply_group_row(now, id, row, stamp);
            }
            (Some(_), None) => self.request_row_read(id),
            (None, _) => self.remove_group(now, id),
        }
        match kind {
            JobKind::Form { .. } => self.counters.formed += 1,
            JobKind::Swap { .. } => self.counters.swapped += 1,
            JobKind::Dissolve { .. } => self.counters.dissolved += 1,
            JobKind::Promote { .. } => self.counters.promoted += 1,
            JobKind::Drain { .. } | JobKind::MoveSlots { .. } => {}
        }
        self.planner.plan_at_next_tick();
    }

    fn record_job_decision(&mut self, now: Moment, kind: &JobKind, reason: Reason) {
        match kind {
            JobKind::Form { entry, .. } => self.record(now, Some(*entry), None, None, reason),
            _ => {
                if let Some(id) = kind.group() {
                    self.record_group_decision(now, id, reason);
                }
            }
        }
    }
}
