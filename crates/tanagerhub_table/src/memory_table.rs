//! A table in memory, for stand-ins and tests.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::{CommitOutcome, Condition, Row, RowKey, RowVersion, Transaction, Write};

/// Rows in memory that are changed by conditional transactions, as the platform's table does it.
///
/// # Examples
///
/// ```
/// use tanagerhub_table::{CommitOutcome, MemoryTable, RowKey, Transaction, TransactionId};
///
/// let mut table = MemoryTable::default();
/// let key = RowKey::new("claim/7");
/// let claim = Transaction::new(TransactionId(7))
///     .require_absent(key.clone())
///     .put(key.clone(), b"taken".to_vec());
/// assert!(matches!(table.commit(&claim), CommitOutcome::Committed { .. }));
/// assert_eq!(table.commit(&claim), CommitOutcome::Conflict { key: key.clone() });
/// assert_eq!(table.get(&key).map(|row| &row.value[..]), Some(&b"taken"[..]));
/// ```
#[derive(Debug, Default)]
pub struct MemoryTable {
    rows: BTreeMap<RowKey, Row>,
    last_version: u64,
}

impl MemoryTable {
    /// Applies a transaction if all of its conditions hold.
    pub fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        let mut conditions = transaction.conditions.iter();
        if let Some(condition) = conditions.find(|condition| !self.holds(condition)) {
            return CommitOutcome::Conflict {
                key: condition.key().clone(),
            };
        }
        let mut written = Vec::new();
        for write in &transaction.writes {
            match write {
                Write::Put { key, value } => {
                    let row = Row {
                        key: key.clone(),
                        version: self.next_version(),
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
        CommitOutcome::Committed { rows: written }
    }

    /// Returns the row under a key.
    #[must_use]
    pub fn get(&self, key: &RowKey) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns the rows that exist under `keys`, in the order of `keys`.
    #[must_use]
    pub fn get_all(&self, keys: &[RowKey]) -> Vec<Row> {
        let found = keys.iter().filter_map(|key| self.rows.get(key));
        found.cloned().collect()
    }

    /// Returns all rows in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Returns the rows whose keys start with `prefix` and come after the key `after`, in the order
    /// of their keys.
    pub fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a RowKey>,
    ) -> impl Iterator<Item = &'a Row> {
        let start = match after {
            Some(after) if after.as_str() > prefix => Bound::Excluded(after.clone()),
            Some(_) | None => Bound::Included(RowKey::new(prefix)),
        };
        let rows = self.rows.range((start, Bound::Unbounded));
        rows.map(|(_, row)| row)
            .take_while(move |row| row.key.as_str().starts_with(prefix))
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
