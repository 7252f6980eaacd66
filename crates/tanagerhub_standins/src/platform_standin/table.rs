//! The table of rows of the stand-in platform.

use std::collections::BTreeMap;

use tanagerhub_table::{CommitOutcome, Condition, Row, RowKey, RowVersion, Transaction, Write};
use tanagerhub_wire::platform::ReadRows;

/// Versioned rows that are changed by conditional transactions.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: BTreeMap<RowKey, Row>,
    last_version: u64,
}

impl Table {
    /// Applies a transaction if all of its conditions hold.
    pub(crate) fn commit(&mut self, transaction: Transaction) -> CommitOutcome {
        let broken = transaction
            .conditions
            .iter()
            .find(|condition| !self.holds(condition));
        if let Some(condition) = broken {
            return CommitOutcome::Conflict {
                key: condition.key().clone(),
            };
        }
        let id = transaction.id;
        let mut written = Vec::new();
        for write in transaction.writes {
            match write {
                Write::Put { key, value } => {
                    let row = Row {
                        key: key.clone(),
                        version: self.next_version(),
                        transaction: id,
                        value,
                    };
                    self.rows.insert(key, row.clone());
                    written.push(row);
                }
                Write::Delete { key } => {
                    self.rows.remove(&key);
                }
            }
        }
        CommitOutcome::Committed { rows: written }
    }

    /// Returns rows in key order.
    pub(crate) fn read(&self, rows: &ReadRows) -> Vec<Row> {
        match rows {
            ReadRows::Keys(keys) => {
                let mut keys = keys.clone();
                keys.sort();
                keys.iter()
                    .filter_map(|key| self.rows.get(key).cloned())
                    .collect()
            }
            ReadRows::Prefix {
                prefix,
                after,
                limit,
            } => self.scan(prefix, after.as_ref(), *limit),
        }
    }

    fn scan(&self, prefix: &str, after: Option<&RowKey>, limit: u32) -> Vec<Row> {
        self.rows
            .range(RowKey::new(prefix)..)
            .take_while(|(key, _)| key.as_str().starts_with(prefix))
            .filter(|(key, _)| after.is_none_or(|after| *key > after))
            .take(limit as usize)
            .map(|(_, row)| row.clone())
            .collect()
    }

    fn holds(&self, condition: &Condition) -> bool {
        let found = self.rows.get(condition.key());
        condition.holds(found.map(|row| row.version))
    }

    /// Returns a new version; versions never repeat, even for a row that is deleted and created
    /// again.
    const fn next_version(&mut self) -> RowVersion {
        self.last_version += 1;
        RowVersion(self.last_version)
    }
}
