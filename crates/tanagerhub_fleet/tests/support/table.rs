//! A simulated table.

use std::collections::BTreeMap;

use tanagerhub_catalogue::{EntryId, GroupId, VmId};
use tanagerhub_fleet::rows::{EntryRow, GroupRow, VmRow, decode, group_of};
use tanagerhub_fleet::{RowQuery, StoreFailure};
use tanagerhub_table::{CommitOutcome, Row, RowKey, RowVersion, Transaction, TransactionId, Write};

/// A table with injectable faults.
#[derive(Debug, Default)]
pub struct Table {
    pub rows: BTreeMap<RowKey, Row>,
    pub down: bool,
    /// The number of next commits whose responses are lost after the write.
    pub lost_responses: u32,
    pub commits: u64,
    pub reads: u64,
    version: u64,
}

impl Table {
    pub(super) fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        if self.down {
            return CommitOutcome::NotApplied;
        }
        self.commits += 1;
        for condition in &transaction.conditions {
            let found = self.rows.get(condition.key()).map(|row| row.version);
            if !condition.holds(found) {
                return CommitOutcome::Conflict {
                    key: condition.key().clone(),
                };
            }
        }
        let mut written = Vec::new();
        for write in &transaction.writes {
            self.version += 1;
            match write {
                Write::Put { key, value } => {
                    let row = Row {
                        key: key.clone(),
                        version: RowVersion(self.version),
                        transaction: transaction.id,
                        value: value.clone(),
                    };
                    self.rows.insert(key.clone(), row.clone());
                    written.push(row);
                }
                Write::Delete { key } => {
                    self.rows.remove(key);
                }
            }
        }
        if self.lost_responses > 0 {
            self.lost_responses -= 1;
            return CommitOutcome::Unknown;
        }
        CommitOutcome::Committed { rows: written }
    }

    pub(super) fn read(&mut self, query: &RowQuery) -> Result<Vec<Row>, StoreFailure> {
        if self.down {
            return Err(StoreFailure::Unavailable);
        }
        self.reads += 1;
        Ok(match query {
            RowQuery::Keys(keys) => keys
                .iter()
                .filter_map(|key| self.rows.get(key).cloned())
                .collect(),
            RowQuery::Prefix(prefix) => self
                .rows
                .values()
                .filter(|row| row.key.as_str().starts_with(prefix))
                .cloned()
                .collect(),
        })
    }

    /// Writes a row without any condition.
    pub fn put<T: serde::Serialize>(&mut self, key: RowKey, content: &T) {
        self.version += 1;
        let row = Row {
            key: key.clone(),
            version: RowVersion(self.version),
            transaction: TransactionId(0),
            value: tanagerhub_fleet::rows::encode(content),
        };
        self.rows.insert(key, row);
    }

    /// Returns the rows of all groups but standby groups.
    pub fn groups(&self) -> BTreeMap<GroupId, GroupRow> {
        let mut groups = self.all_groups();
        groups.retain(|_, row| !row.standby);
        groups
    }

    /// Returns the rows of all groups, including standby groups.
    pub fn all_groups(&self) -> BTreeMap<GroupId, GroupRow> {
        self.rows
            .values()
            .filter_map(|row| Some((group_of(&row.key)?, decode(row).ok()?)))
            .collect()
    }

    pub fn vm(&self, vm: VmId) -> VmRow {
        let row = self.rows.get(&tanagerhub_fleet::rows::vm_key(vm));
        row.and_then(|row| decode(row).ok()).unwrap_or_default()
    }

    pub fn entry(&self, entry: EntryId) -> EntryRow {
        let row = self.rows.get(&tanagerhub_fleet::rows::entry_key(entry));
        row.and_then(|row| decode(row).ok()).unwrap_or_default()
    }
}
