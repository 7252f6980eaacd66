//! The conditional transactions that change groups.

use rand::Rng;
use serde::de::DeserializeOwned;
use tanagerhub_catalogue::{EntryId, Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{Attempt, Row, RowKey, Transaction, TransactionId};

use crate::decision::Reason;
use crate::placement::Placement;
use crate::rows::{EntryRow, GroupRow, VmRow, decode, encode, entry_key, group_key, vm_key};

use super::Fleet;
use super::job::{Change, JobKind, Prepared};

impl Prepared {
    /// Returns a row's content: the default when there is no row, `None` when it can't be decoded.
    fn get<T: DeserializeOwned + Default>(&self, key: &RowKey) -> Option<T> {
        match self.rows.get(key) {
            Some(row) => decode(row).ok(),
            None => Some(T::default()),
        }
    }

    /// Returns the row of a group as it was read for this change.
    fn group(&self, id: GroupId) -> Option<GroupRow> {
        self.rows
            .get(&group_key(id))
            .and_then(|row| decode(row).ok())
    }

    fn vm(&self, vm: VmId) -> Option<VmRow> {
        self.get(&vm_key(vm))
    }

    /// Adds the condition that a row is unchanged since it was read.
    fn require_unchanged(&self, transaction: Transaction, key: RowKey) -> Transaction {
        match self.rows.get(&key).map(|row: &Row| row.version) {
            Some(version) => transaction.require_version(key, version),
            None => transaction.require_absent(key),
        }
    }

    /// Replaces a row on the condition that it is unchanged since it was read.
    fn replace(&self, transaction: Transaction, key: RowKey, value: Vec<u8>) -> Transaction {
        self.require_unchanged(transaction, key.clone())
            .put(key, value)
    }

    fn put_vm(&self, transaction: Transaction, vm: VmId, row: VmRow) -> Transaction {
        self.replace(transaction, vm_key(vm), encode(&row))
    }

    /// Returns an epoch above all those in the rows and reports of the VMs.
    fn next_epoch(&self, vms: &[VmId]) -> Option<Epoch> {
        let mut highest = Epoch::default();
        for vm in vms {
            highest = highest.max(self.vm(*vm)?.epoch);
            let reported = self.reports.get(vm).map(|report| report.epoch);
            highest = highest.max(reported.unwrap_or_default());
        }
        Some(highest.next())
    }

    /// Writes the number of groups that an entry holds.
    fn put_held(&self, transaction: Transaction, entry: EntryId, held: u32) -> Transaction {
        self.replace(transaction, entry_key(entry), encode(&EntryRow { held }))
    }

    fn held(&self, entry: EntryId) -> Option<u32> {
        let row: EntryRow = self.get(&entry_key(entry))?;
        Some(row.held)
    }
}

impl Fleet {
    /// Builds the transaction of a job; `None` when the rows no longer allow it.
    pub(super) fn build_change(
        &mut self,
        now: Moment,
        kind: &JobKind,
        prepared: &Prepared,
    ) -> Option<Change> {
        match kind {
            JobKind::Form {
                entry,
                placement,
                standby,
            } => self.form(now, *entry, placement, *standby, prepared),
            JobKind::Promote { group } => self.promote(*group, prepared),
            JobKind::Swap {
                group,
                failed,
                spares,
            } => self.swap(now, *group, failed, spares, prepared),
            JobKind::Dissolve { group } => self.dissolve(*group, prepared),
            JobKind::Drain { group } => self.drain(*group, prepared),
            JobKind::MoveSlots { group } => self.move_slots(*group, prepared),
        }
    }

    fn form(
        &mut self,
        now: Moment,
        entry: EntryId,
        placement: &Placement,
        standby: bool,
        prepared: &Prepared,
    ) -> Option<Change> {
        let limits = &self.catalogue.entry(entry)?.limits;
        let held = prepared.held(entry)?;
        let free = |vm: &VmId| prepared.vm(*vm).is_some_and(|row| row.group.is_none());
        let full = !standby && held >= limits.replicas_max;
        if full || !self.may_claim(now, &placement.vms) {
            return None;
        }
        if !placement.vms.iter().all(free) {
            return None;
        }
        let epoch = prepared.next_epoch(&placement.vms)?;
        let limit = limits.cold.concurrency;
        let id = GroupId(self.rng.next_u64());
        let row = GroupRow {
            entry,
            epoch,
            data_centre: placement.data_centre,
            domain: placement.domain,
            members: placement.vms.clone(),
            standby,
            draining: false,
            slots: self.divide_slots(id, placement.data_centre, limit),
            moves: 0,
        };
        let key = group_key(id);
        let mut transaction = self
            .transaction()
            .require_absent(key.clone())
            .put(key, encode(&row));
        if !standby {
            transaction = prepared.put_held(transaction, entry, held + 1);
        }
        transaction = put_member_rows(transaction, prepared, &row.members, id, epoch);
        Some(Change {
            attempt: Attempt::new(transaction),
            group: id,
            row: Some(row),
            freed: Vec::new(),
            fencing_epoch: epoch,
            reason: Reason::Formed { epoch },
        })
    }

    fn swap(
        &mut self,
        now: Moment,
        id: GroupId,
        failed: &[VmId],
        spares: &[VmId],
        prepared: &Prepared,
    ) -> Option<Change> {
        let mut row = prepared.group(id)?;
        let free = |vm: &VmId| prepared.vm(*vm).is_some_and(|row| row.group.is_none());
        if row.draining || !self.may_claim(now, spares) || !spares.iter().all(free) {
            return None;
        }
        let current = self.groups.get(&id)?;
        if row.epoch != current.row.epoch {
            return None;
        }
        let all: Vec<VmId> = row.members.iter().chain(spares).copied().collect();
        let epoch = prepared.next_epoch(&all)?;
        for (old, new) in failed.iter().zip(spares) {
            let rank = row.members.iter().position(|vm| vm == old)?;
            row.members[rank] = *new;
        }
        row.epoch = epoch;
        let mut transaction = prepared.replace(self.transaction(), group_key(id), encode(&row));
        transaction = put_member_rows(transaction, prepared, &row.members, id, epoch);
        transaction = put_freed_rows(transaction, prepared, failed, epoch);
        for vm in failed {
            self.record_failure(now, *vm);
        }
        Some(Change {
            attempt: Attempt::new(transaction),
            group: id,
            row: Some(row),
            freed: failed.to_vec(),
            fencing_epoch: epoch,
            reason: Reason::Swapped { epoch },
        })
    }

    /// Deletes the group's row and frees its members. The epoch in their rows rises, so that late
    /// orders to join are refused.
    fn dissolve(&mut self, id: GroupId, prepared: &Prepared) -> Option<Change> {
        let row = prepared.group(id)?;
        let epoch = prepared.next_epoch(&row.members)?;
        let mut transaction = self.transaction();
        transaction = put_freed_rows(transaction, prepared, &row.members, epoch);
        if !row.draining && !row.standby {
            let held = prepared.held(row.entry)?;
            transaction = prepared.put_held(transaction, row.entry, held.saturating_sub(1));
        }
        let key = group_key(id);
        transaction = prepared
            .require_unchanged(transaction, key.clone())
            .delete(key);
        Some(Change {
            attempt: Attempt::new(transaction),
            group: id,
            row: None,
            freed: row.members,
            fencing_epoch: epoch,
            reason: Reason::Dissolved,
        })
    }

    fn drain(&mut self, id: GroupId, prepared: &Prepared) -> Option<Change> {
        let mut row = prepared.group(id)?;
        if std::mem::replace(&mut row.draining, true) {
            return None;
        }
        let held = prepared.held(row.entry)?;
        let mut transaction = prepared.replace(self.transaction(), group_key(id), encode(&row));
        if !row.standby {
            transaction = prepared.put_held(transaction, row.entry, held.saturating_sub(1));
        }
        Some(Change::of_row(id, row, transaction, Reason::Draining))
    }

    /// Puts a standby group into service.
    fn promote(&mut self, id: GroupId, prepared: &Prepared) -> Option<Change> {
        let mut row = prepared.group(id)?;
        let held = prepared.held(row.entry)?;
        let limits = &self.catalogue.entry(row.entry)?.limits;
        if row.draining || !row.standby || held >= limits.replicas_max {
            return None;
        }
        row.standby = false;
        let mut transaction = prepared.replace(self.transaction(), group_key(id), encode(&row));
        transaction = prepared.put_held(transaction, row.entry, held + 1);
        Some(Change::of_row(id, row, transaction, Reason::Promoted))
    }

    fn move_slots(&mut self, id: GroupId, prepared: &Prepared) -> Option<Change> {
        let mut row = prepared.group(id)?;
        if row != self.groups.get(&id)?.row {
            return None;
        }
        row.slots = self.reassigned_slots(id)?;
        row.moves += 1;
        let transaction = prepared.replace(self.transaction(), group_key(id), encode(&row));
        Some(Change::of_row(id, row, transaction, Reason::SlotsMoved))
    }

    /// Returns whether all of these VMs are still listed and neither leaving, marked out nor left
    /// out for failures.
    fn may_claim(&self, now: Moment, vms: &[VmId]) -> bool {
        vms.iter().all(|vm| {
            self.vms.list.get(vm).is_some_and(|info| {
                !info.leaving
                    && !self.vms.is_marked_out(*vm, info.data_centre)
                    && !self.vms.is_left_out(now, *vm)
            })
        })
    }

    fn transaction(&mut self) -> Transaction {
        let high = u128::from(self.rng.next_u64());
        let low = u128::from(self.rng.next_u64());
        Transaction::new(TransactionId(high << 64 | low))
    }
}

/// Assigns VMs to a group in their rows.
fn put_member_rows(
    mut transaction: Transaction,
    prepared: &Prepared,
    members: &[VmId],
    id: GroupId,
    epoch: Epoch,
) -> Transaction {
    for vm in members {
        let row = VmRow {
            epoch,
            group: Some(id),
        };
        transaction = prepared.put_vm(transaction, *vm, row);
    }
    transaction
}

/// Frees VMs in their rows, at the given epoch.
fn put_freed_rows(
    mut transaction: Transaction,
    prepared: &Prepared,
    members: &[VmId],
    epoch: Epoch,
) -> Transaction {
    for vm in members {
        transaction = prepared.put_vm(transaction, *vm, VmRow { epoch, group: None });
    }
    transaction
}
