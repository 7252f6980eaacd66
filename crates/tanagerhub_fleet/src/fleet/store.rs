//! Reads of the table, and the group rows that they return.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::RngExt;
use tanagerhub_catalogue::{Epoch, GroupId, Vm, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{Row, RowKey};

use crate::rows::{GROUP_PREFIX, GroupRow, decode, encode, group_key, group_of};
use crate::{FleetAction, ReadId, RowQuery, StoreFailure};

use super::Fleet;
use super::group::{Group, RowStamp, service_id};
use super::job::JobId;

/// The delay before the next call after the first failed call of the table.
const RETRY_DELAY_MIN: Duration = Duration::from_secs(1);
/// The longest delay between calls while the table is down, before jitter.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(30);
/// The timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// The shortest interval between two reads of requested group rows.
const REQUESTED_READ_INTERVAL: Duration = Duration::from_secs(1);
/// How long the id of a removed group is kept, so that a late copy of its row is ignored.
const TOMBSTONE_RETENTION: Duration = Duration::from_mins(10);

/// The use of a read's result.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Purpose {
    AllGroups,
    Requested(Vec<GroupId>),
    Job(JobId),
}

#[derive(Debug)]
struct PendingRead {
    sent: Moment,
    purpose: Purpose,
}

/// The state of reads of the table, and the index of groups by VM.
#[derive(Debug, Default)]
pub(super) struct Store {
    /// When the last successful read of all group rows was sent; `None` since a pause or the start.
    pub(super) rows_confirmed_at: Option<Moment>,
    /// When all group rows are to be read next.
    pub(super) next_read_at: Moment,
    /// Reads, attestations and tokens from before this moment don't confirm anything: it is the end
    /// of the last pause.
    pub(super) valid_from: Moment,
    /// Groups whose rows must be read again because of data from peers, engines or standby
    /// promotions.
    pub(super) requested_groups: BTreeSet<GroupId>,
    requested_read_at: Moment,
    /// Groups that were removed, with the moment of removal.
    pub(super) tombstones: BTreeMap<GroupId, Moment>,
    /// The number of groups that have a row.
    pub(super) row_count: u32,
    /// The groups that each VM is a member of.
    pub(super) groups_by_vm: BTreeMap<VmId, Vec<GroupId>>,
    pending_reads: BTreeMap<ReadId, PendingRead>,
    reads: u64,
    failures: u32,
    retry_at: Moment,
}

impl Store {
    /// Returns whether the last call failed.
    pub(super) const fn is_down(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether the retry delay after a failed call has passed.
    pub(super) fn may_call(&self, now: Moment) -> bool {
        now >= self.retry_at
    }

    fn is_reading(&self, now: Moment, is_wanted: impl Fn(&Purpose) -> bool) -> bool {
        self.pending_reads
            .values()
            .any(|one| is_wanted(&one.purpose) && now.since(one.sent) < READ_TIMEOUT)
    }
}

impl Fleet {
    /// Reads all group rows when due, and requested ones as soon as allowed.
    pub(super) fn read_groups(&mut self, now: Moment) {
        if !self.store.may_call(now) {
            return;
        }
        let store = &mut self.store;
        store
            .tombstones
            .retain(|_, since| now.since(*since) < TOMBSTONE_RETENTION);
        store
            .pending_reads
            .retain(|_, one| now.since(one.sent) < READ_TIMEOUT);
        if now >= store.next_read_at && !store.is_reading(now, |one| *one == Purpose::AllGroups) {
            let interval = self.read_interval();
            let jitter = interval.mul_f64(self.rng.random_range(0.0..0.125));
            self.store.next_read_at = now + interval + jitter;
            self.store.requested_groups.clear();
            self.read(now, Purpose::AllGroups, RowQuery::Prefix(GROUP_PREFIX));
        }
        let store = &mut self.store;
        if store.requested_groups.is_empty()
            || now.since(store.requested_read_at) < REQUESTED_READ_INTERVAL
        {
            return;
        }
        store.requested_read_at = now;
        let groups: Vec<GroupId> = std::mem::take(&mut store.requested_groups)
            .into_iter()
            .collect();
        let keys = groups.iter().map(|id| group_key(*id)).collect();
        self.read(now, Purpose::Requested(groups), RowQuery::Keys(keys));
    }

    /// Reads rows for a job.
    pub(super) fn read_for_job(&mut self, now: Moment, job: JobId, keys: Vec<RowKey>) {
        self.read(now, Purpose::Job(job), RowQuery::Keys(keys));
    }

    fn read(&mut self, now: Moment, purpose: Purpose, query: RowQuery) {
        self.store.reads += 1;
        let read = ReadId(self.store.reads);
        self.store
            .pending_reads
            .insert(read, PendingRead { sent: now, purpose });
        self.counters.reads += 1;
        self.actions.push(FleetAction::Read { read, query });
    }

    /// Handles the result of a read.
    pub(super) fn on_rows(
        &mut self,
        now: Moment,
        read: ReadId,
        result: Result<Vec<Row>, StoreFailure>,
    ) {
        let Some(pending_read) = self.store.pending_reads.remove(&read) else {
            return;
        };
        if result.is_ok() {
            self.store_responded();
        } else {
            self.counters.failed_reads += 1;
            self.store_failed(now);
        }
        match (pending_read.purpose, result) {
            (Purpose::Job(job), result) => self.on_job_rows(now, job, result),
            (Purpose::AllGroups, Ok(rows)) => self.apply_all_rows(now, pending_read.sent, &rows),
            (Purpose::Requested(groups), Ok(rows)) => {
                self.apply_rows(now, &rows);
                self.remove_missing(pending_read.sent, groups, &rows);
            }
            (Purpose::AllGroups, Err(_)) => self.store.next_read_at = self.store.retry_at,
            (Purpose::Requested(_), Err(_)) => {}
        }
    }

    /// Applies rows that a peer holds.
    pub(super) fn on_peer_rows(&mut self, now: Moment, rows: &[Row]) {
        self.apply_rows(now, rows);
    }

    /// Returns the group rows that this node holds, for a peer that can't reach the table.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        let row = |group: &Group| {
            group.stamp.map(|stamp| Row {
                key: group_key(group.id),
                version: stamp.version,
                transaction: stamp.transaction,
                value: encode(&group.row),
            })
        };
        self.groups.values().filter_map(row).collect()
    }

    /// Records a failed call of the table, and doubles the delay before the next one.
    pub(super) fn store_failed(&mut self, now: Moment) {
        let store = &mut self.store;
        let factor = 1_u32 << store.failures.min(8);
        let pause = RETRY_DELAY_MIN.saturating_mul(factor).min(RETRY_DELAY_MAX);
        let jitter = pause.mul_f64(self.rng.random_range(0.0..0.5));
        store.failures += 1;
        store.retry_at = now + pause + jitter;
    }

    pub(super) const fn store_responded(&mut self) {
        self.store.failures = 0;
        self.store.retry_at = Moment::ZERO;
    }

    fn apply_all_rows(&mut self, now: Moment, sent: Moment, rows: &[Row]) {
        self.apply_rows(now, rows);
        let held: Vec<GroupId> = self
            .groups
            .values()
            .filter(|group| group.has_row())
            .map(|group| group.id)
            .collect();
        self.remove_missing(sent, held, rows);
        if sent >= self.store.valid_from {
            self.store.rows_confirmed_at = self.store.rows_confirmed_at.max(Some(sent));
        }
    }

    fn apply_rows(&mut self, now: Moment, rows: &[Row]) {
        for row in rows {
            let Some(id) = group_of(&row.key) else {
                continue;
            };
            let stamp = RowStamp {
                version: row.version,
                transaction: row.transaction,
            };
            match decode(row) {
                Ok(content) => self.apply_group_row(now, id, content, stamp),
                Err(error) => {
                    self.counters.bad_rows += 1;
                    log::warn!("{error}");
                }
            }
        }
    }

    /// Removes groups whose rows a read did not find, unless they were updated after the read was
    /// sent.
    fn remove_missing(&mut self, sent: Moment, groups: Vec<GroupId>, rows: &[Row]) {
        let found: BTreeSet<GroupId> = rows.iter().filter_map(|row| group_of(&row.key)).collect();
        for id in groups {
            let updated_before = self
                .groups
                .get(&id)
                .is_some_and(|group| group.row_updated_at < sent);
            if updated_before && !found.contains(&id) {
                self.remove_group(sent, id);
            }
        }
    }

    /// Applies a version of a group's row, unless this node has that version or a newer one, or
    /// removed the group.
    pub(super) fn apply_group_row(
        &mut self,
        now: Moment,
        id: GroupId,
        row: GroupRow,
        stamp: RowStamp,
    ) {
        if self.store.tombstones.contains_key(&id) {
            return;
        }
        match self.groups.get(&id).map(|group| group.stamp) {
            Some(Some(old)) if old.version >= stamp.version => return,
            Some(None) => return,
            _ => {}
        }
        self.unindex_group(id);
        for vm in &row.members {
            self.store.groups_by_vm.entry(*vm).or_default().push(id);
        }
        if let Some(group) = self.groups.get_mut(&id) {
            group.update_row(now, row, stamp, &self.settings, &self.peers);
            return;
        }
        let group = Group::new(now, id, row, Some(stamp), &self.settings, &self.peers);
        self.groups.insert(id, group);
        self.store.row_count += 1;
    }

    /// Removes a group; later copies of its row are ignored.
    pub(super) fn remove_group(&mut self, now: Moment, id: GroupId) {
        self.unindex_group(id);
        if self.groups.remove(&id).is_some_and(|group| group.has_row()) {
            self.store.tombstones.insert(id, now);
            self.store.row_count -= 1;
        }
    }

    fn unindex_group(&mut self, id: GroupId) {
        let Some(group) = self.groups.get(&id) else {
            return;
        };
        for vm in &group.row.members {
            let Some(group_ids) = self.store.groups_by_vm.get_mut(vm) else {
                continue;
            };
            group_ids.retain(|group_id| *group_id != id);
            if group_ids.is_empty() {
                self.store.groups_by_vm.remove(vm);
            }
        }
    }

    /// Replaces the platform's list, and keeps one group for each VM of a plain service.
    pub(super) fn set_vms(&mut self, now: Moment, list: &[Vm]) {
        if !self.vms.set_list(list) {
            return;
        }
        let removed: Vec<GroupId> = self
            .groups
            .values()
            .filter(|group| !group.has_row() && !self.is_service_current(group))
            .map(|group| group.id)
            .collect();
        for id in removed {
            self.remove_group(now, id);
        }
        for (vm, info) in &self.vms.list {
            let Some(entry) = info.service else {
                continue;
            };
            let id = service_id(*vm);
            if self.groups.contains_key(&id) {
                continue;
            }
            let group = Group::service(now, *vm, info, entry, &self.settings, &self.peers);
            self.groups.insert(id, group);
            self.store.groups_by_vm.entry(*vm).or_default().push(id);
        }
    }

    /// Returns whether the platform still lists a plain service with the same entry and domain.
    fn is_service_current(&self, group: &Group) -> bool {
        group.row.members.iter().all(|vm| {
            self.vms.list.get(vm).is_some_and(|info| {
                info.service == Some(group.row.entry) && info.domain == group.row.domain
            })
        })
    }

    /// Requests a read of a group's row, because there may be a newer version.
    pub(super) fn request_row_read(&mut self, id: GroupId) {
        if !self.store.tombstones.contains_key(&id) {
            self.store.requested_groups.insert(id);
        }
    }

    /// Returns whether this node has the group at this epoch. A higher epoch, or an unknown group,
    /// makes it read the row.
    pub(super) fn is_current_epoch(&mut self, id: GroupId, epoch: Epoch) -> bool {
        match self.groups.get(&id).map(|group| group.row.epoch) {
            Some(current) if current == epoch => true,
            Some(current) if current > epoch => false,
            _ => {
                self.request_row_read(id);
                false
            }
        }
    }
}
