//! An in-memory implementation of the platform's table and object store.

use std::collections::BTreeMap;
use std::sync::Arc;

use tanagerhub_membership::{ContentHash, TableRead};
use tanagerhub_table::{CommitOutcome, MemoryTable, Row, Transaction};

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
    table: MemoryTable,
    pub objects: BTreeMap<[u8; 32], Arc<[u8]>>,
    pub reads: u64,
    pub rows_read: u64,
    pub commits: u64,
}

impl Store {
    pub fn new() -> Self {
        Self {
            mode: Mode::Up,
            table: MemoryTable::default(),
            objects: BTreeMap::new(),
            reads: 0,
            rows_read: 0,
            commits: 0,
        }
    }

    pub fn read(&mut self, read: &TableRead) -> Option<Vec<Row>> {
        self.reads += 1;
        if self.mode == Mode::Down {
            return None;
        }
        let rows: Vec<Row> = match read {
            TableRead::Keys(keys) => self.table.get_all(keys),
            TableRead::Prefix(prefix) => self.table.scan(prefix, None).cloned().collect(),
        };
        self.rows_read += rows.len() as u64;
        Some(rows)
    }

    pub fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        self.commits += 1;
        if self.mode == Mode::Down {
            return CommitOutcome::NotApplied;
        }
        let outcome = self.table.commit(transaction);
        let lost = self.mode == Mode::LosesResponses;
        if lost && matches!(outcome, CommitOutcome::Committed { .. }) {
            return CommitOutcome::Unknown;
        }
        outcome
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
