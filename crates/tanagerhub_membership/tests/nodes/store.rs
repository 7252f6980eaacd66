//! An in-memory implementation of the platform's table and object store.

use std::collections::BTreeMap;
use std::sync::Arc;

use tanagerhub_membership::{ContentHash, TableRead};
use tanagerhub_table::{CommitOutcome, Condition, Row, RowKey, RowVersion, Transaction, Write};

/// The behaviour of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It responds to every call.
    Up,
    /// It refuses every call.
    Down,
    /// It applies transactions, but their responses are lost.
    LosesResponses,
}

/// Rows and objects, with counters of calls.
#[derive(Debug)]
pub struct Store {
    pub mode: Mode,
    pub rows: BTreeMap<RowKey, Row>,
    pub objects: BTreeMap<[u8; 32], Arc<[u8]>>,
    pub reads: u64,
    pub rows_read: u64,
    pub commits: u64,
    version: u64,
}

impl Store {
    pub fn new() -> Self {
        Self {
            mode: Mode::Up,
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            reads: 0,
            rows_read: 0,
            commits: 0,
            version: 0,
        }
    }

    pub fn read(&mut self, read: &TableRead) -> Option<Vec<Row>> {
        self.reads += 1;
        if self.mode == Mode::Down {
            return None;
        }
        let rows: Vec<Row> = match read {
            TableRead::Keys(keys) => {
                let found = keys.iter().filter_map(|key| self.rows.get(key));
                found.cloned().collect()
            }
            TableRead::Prefix(prefix) => {
                let all = self.rows.values();
                let found = all.filter(|row| row.key.as_str().starts_with(prefix));
                found.cloned().collect()
            }
        };
        self.rows_read += rows.len() as u64;
        Some(rows)
    }

    pub fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        self.commits += 1;
        if self.mode == Mode::Down {
            return CommitOutcome::NotApplied;
        }
        let broken = transaction.conditions.iter().find(|it| !self.holds(it));
        if let Some(condition) = broken {
            let key = condition.key().clone();
            return CommitOutcome::Conflict { key };
        }
        self.version += 1;
        let mut rows = Vec::new();
        for write in &transaction.writes {
            match write {
                Write::Put { key, value } => {
                    let row = Row {
                        key: key.clone(),
                        version: RowVersion(self.version),
                        transaction: transaction.id,
                        value: value.clone(),
                    };
                    self.rows.insert(key.clone(), row.clone());
                    rows.push(row);
                }
                Write::Delete { key } => drop(self.rows.remove(key)),
            }
        }
        if self.mode == Mode::LosesResponses {
            return CommitOutcome::Unknown;
        }
        CommitOutcome::Committed { rows }
    }

    fn holds(&self, condition: &Condition) -> bool {
        let found = self.rows.get(condition.key());
        condition.holds(found.map(|row| row.version))
    }

    pub fn put(&mut self, hash: ContentHash, body: Arc<[u8]>) -> bool {
        if self.mode == Mode::Down {
            return false;
        }
        self.objects.insert(hash.0, body);
        true
    }

    pub fn get(&self, hash: ContentHash) -> Option<Arc<[u8]>> {
        let body = self.objects.get(&hash.0).cloned();
        body.filter(|_| self.mode != Mode::Down)
    }
}
