//! A simulated table.

use std::collections::BTreeMap;

use tanagerhub_catalogue::{EntryId, GroupId, VmId};
use tanagerhub_fleet::rows::{EntryRow, GroupRow, VmRow, decode, group_of};
use tanagerhub_fleet::{RowQuery, StoreFailure};
use tanagerhub_table::{CommitOutcome, MemoryTable, Row, RowKey, Transaction, TransactionId};

/// A table with injectable faults.
#[derive(Debug, Default)]
pub struct Table {
    stored: MemoryTable,
    pub down: bool,
    /// The number of next commits whose responses are lost after the write.
    pub lost_responses: u32,
    pub commits: u64,
    pub reads: u64,
}

impl Table {
    pub(super) fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        if self.down {
            return CommitOutcome::NotApplied;
        }
        self.commits += 1;
        let outcome = self.stored.commit(transaction);
        if self.lost_responses > 0 && matches!(outcome, CommitOutcome::Committed { .. }) {
            self.lost_responses -= 1;
            return CommitOutcome::Unknown;
        }
        outcome
    }

    pub(super) fn read(&mut self, query: &RowQuery) -> Result<Vec<Row>, StoreFailure> {
        if self.down {
            return Err(StoreFailure::Unavailable);
        }
        self.reads += 1;
        Ok(match query {
            RowQuery::Keys(keys) => self.stored.get_all(keys),
            RowQuery::Prefix(prefix) => self.stored.scan(prefix, None).cloned().collect(),
        })
    }

    /// Writes a row without any condition.
    pub fn put<T: serde::Serialize>(&mut self, key: RowKey, content: &T) {
        let value = tanagerhub_fleet::rows::encode(content);
        let put = Transaction::new(TransactionId(0)).put(key, value);
        self.stored.commit(&put);
    }

    /// Returns the rows of all groups but standby groups.
    pub fn groups(&self) -> BTreeMap<GroupId, GroupRow> {
        let mut groups = self.all_groups();
        groups.retain(|_, row| !row.standby);
        groups
    }

    /// Returns the rows of all groups, including standby groups.
    pub fn all_groups(&self) -> BTreeMap<GroupId, GroupRow> {
        self.stored
            .rows()
            .filter_map(|row| Some((group_of(&row.key)?, decode(row).ok()?)))
            .collect()
    }

    pub fn vm(&self, vm: VmId) -> VmRow {
        let row = self.stored.get(&tanagerhub_fleet::rows::vm_key(vm));
        row.and_then(|row| decode(row).ok()).unwrap_or_default()
    }

    pub fn entry(&self, entry: EntryId) -> EntryRow {
        let row = self.stored.get(&tanagerhub_fleet::rows::entry_key(entry));
        row.and_then(|row| decode(row).ok()).unwrap_or_default()
    }
}
