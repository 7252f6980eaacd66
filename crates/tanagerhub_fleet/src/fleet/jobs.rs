//! Changes on their way into the table.

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

/// How long the preparation of a change may take.
const PREPARE_LIMIT: Duration = Duration::from_secs(5);

/// All changes on their way.
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

    /// VMs that a job is about to enlist.
    pub(super) fn enlisted(&self) -> BTreeSet<VmId> {
        self.kinds()
            .flat_map(|kind| kind.enlists().iter().copied())
            .collect()
    }

    pub(super) fn concerns(&self, group: GroupId) -> bool {
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
    /// Starts a change: reads the rows that it depends on, and probes the VMs to be enlisted.
    pub(super) fn start_job(&mut self, now: Moment, kind: JobKind) {
        let keys = self.keys_of(&kind);
        let enlisted = kind.enlists().to_vec();
        self.jobs.count += 1;
        let id = JobId(self.jobs.count);
        let job = Job {
            kind,
            since: now,
            state: JobState::Preparing {
                rows: None,
                reports: enlisted.iter().map(|vm| (*vm, None)).collect(),
            },
        };
        self.jobs.list.insert(id, job);
        self.read_for(now, id, keys);
        for vm in enlisted {
            self.probe(vm);
        }
    }

    fn keys_of(&self, kind: &JobKind) -> Vec<RowKey> {
        let group = kind.group().and_then(|id| self.groups.get(&id));
        let mut keys = Vec::new();
        let mut vms: Vec<VmId> = kind.enlists().to_vec();
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
            JobKind::Drain { .. } | JobKind::Slots { .. } | JobKind::Promote { .. }
        ) {
            keys.extend(vms.into_iter().map(vm_key));
        }
        keys
    }

    /// Gives up preparations that take too long, and reads lost answers back.
    pub(super) fn advance_jobs(&mut self, now: Moment) {
        let late = |job: &Job| {
            matches!(job.state, JobState::Preparing { .. }) && now.since(job.since) >= PREPARE_LIMIT
        };
        let given_up: Vec<JobId> = self
            .jobs
            .list
            .iter()
            .filter(|(_, job)| late(job))
            .map(|(id, _)| *id)
            .collect();
        for id in given_up {
            self.jobs.list.remove(&id);
        }
        if self.store.may_call(now) {
            self.read_back_lost(now);
        }
    }

    fn read_back_lost(&mut self, now: Moment) {
        let mut reads = Vec::new();
        for (id, job) in &mut self.jobs.list {
            if let JobState::ReadingBack { change, asked } = &mut job.state
                && !*asked
                && let Some(witness) = change.attempt.witness()
            {
                *asked = true;
                reads.push((*id, witness.clone()));
            }
        }
        for (id, witness) in reads {
            self.read_for(now, id, vec![witness]);
        }
    }

    /// Takes in rows that were read for a job.
    pub(super) fn job_rows(
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
            (JobState::ReadingBack { asked, .. }, Err(_)) => *asked = false,
            (JobState::ReadingBack { .. }, Ok(rows)) => self.judge_lost(now, id, rows.first()),
            (JobState::Committing(_), _) => {}
        }
    }

    /// Takes in the report of a VM that is about to be enlisted.
    pub(super) fn job_probed(
        &mut self,
        now: Moment,
        vm: VmId,
        result: Result<MemberReport, ProbeFailure>,
    ) {
        let asks = |job: &Job| match &job.state {
            JobState::Preparing { reports, .. } => reports.get(&vm) == Some(&None),
            JobState::Committing(_) | JobState::ReadingBack { .. } => false,
        };
        let found = self.jobs.list.iter().find(|(_, job)| asks(job));
        let Some(id) = found.map(|(id, _)| *id) else {
            return;
        };
        let Ok(report) = result else {
            self.jobs.list.remove(&id);
            self.strike(now, vm);
            self.planner.hurry();
            return;
        };
        if let Some(job) = self.jobs.list.get_mut(&id)
            && let JobState::Preparing { reports, .. } = &mut job.state
        {
            reports.insert(vm, Some(report));
        }
        self.try_commit(now, id);
    }

    /// Leaves a failing VM out of formations for a time.
    pub(super) fn strike(&mut self, now: Moment, vm: VmId) {
        let (strikes, pause) = self.vms.strike(now, vm, &self.settings);
        self.note(
            now,
            None,
            None,
            Some(vm),
            Reason::LeftOut { strikes, pause },
        );
    }

    /// Commits the change once all that it depends on is known.
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
        let Some(change) = self.make_change(now, &kind, &prepared) else {
            self.jobs.list.remove(&id);
            self.store.read_at = now;
            self.note_job(now, &kind, Reason::Conflict);
            return;
        };
        self.counters.commits += 1;
        self.out
            .push(FleetAction::Commit(change.attempt.transaction().clone()));
        if let Some(job) = self.jobs.list.get_mut(&id) {
            job.state = JobState::Committing(Box::new(change));
        }
    }

    /// Takes in what became of a transaction.
    pub(super) fn committed(
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
        change.attempt.answered(outcome);
        match outcome {
            CommitOutcome::Committed { rows } => {
                self.store_answered();
                let key = group_key(change.group);
                let version = rows.iter().find(|row| row.key == key);
                self.apply(now, &job.kind, *change, version.map(|row| row.version));
            }
            CommitOutcome::Conflict { .. } => {
                self.store_answered();
                self.counters.conflicts += 1;
                self.conflict(now, &job.kind);
            }
            CommitOutcome::NotApplied => {
                self.counters.refused += 1;
                self.store_failed(now);
                self.note_job(now, &job.kind, Reason::StoreRefused);
            }
            CommitOutcome::Unknown => {
                self.counters.lost += 1;
                self.note_job(now, &job.kind, Reason::AnswerLost);
                job.state = JobState::ReadingBack {
                    change,
                    asked: false,
                };
                self.jobs.list.insert(id, job);
                self.read_back_lost(now);
            }
        }
    }

    /// Judges a transaction whose answer was lost.
    ///
    /// One that is judged not applied may still arrive. That is safe: its conditions cover every
    /// row that it writes, so it is either refused or a change that was right at these versions.
    fn judge_lost(&mut self, now: Moment, id: JobId, row: Option<&Row>) {
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
            ReadBack::Overwritten | ReadBack::NotApplied => self.conflict(now, &job.kind),
        }
    }

    fn conflict(&mut self, now: Moment, kind: &JobKind) {
        self.store.read_at = now;
        self.note_job(now, kind, Reason::Conflict);
    }

    /// Takes an applied change into this node's view.
    fn apply(&mut self, now: Moment, kind: &JobKind, change: Change, version: Option<RowVersion>) {
        self.note_job(now, kind, change.done);
        let id = change.group;
        self.release(now, id, &change.freed, change.fence);
        match (change.row, version) {
            (Some(row), Some(version)) => {
                let stamp = RowStamp {
                    version,
                    transaction: change.attempt.transaction().id,
                };
                self.put_group(now, id, row, stamp);
            }
            (Some(_), None) => self.hint(id),
            (None, _) => self.drop_group(now, id),
        }
        match kind {
            JobKind::Form { .. } => self.counters.formed += 1,
            JobKind::Swap { .. } => self.counters.swapped += 1,
            JobKind::Dissolve { .. } => self.counters.dissolved += 1,
            JobKind::Promote { .. } => self.counters.promoted += 1,
            JobKind::Drain { .. } | JobKind::Slots { .. } => {}
        }
        self.planner.hurry();
    }

    fn note_job(&mut self, now: Moment, kind: &JobKind, reason: Reason) {
        match kind {
            JobKind::Form { entry, .. } => self.note(now, Some(*entry), None, None, reason),
            _ => {
                if let Some(id) = kind.group() {
                    self.note_group(now, id, reason);
                }
            }
        }
    }
}
