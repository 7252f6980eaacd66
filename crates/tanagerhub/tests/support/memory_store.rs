//! An in-memory store.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tanagerhub::gateway::{BoxFuture, Store};
use tanagerhub_table::{
    CommitResult, FeedError, FeedPage, RowKey, RowVersion, StoreAnswer, StoreEra, StoreTime,
    Transaction, VersionedRow, Write,
};

/// An in-memory store.
#[derive(Debug, Default)]
pub struct MemoryStore {
    rows: Mutex<Rows>,
    /// Whether all reads fail.
    pub down: AtomicBool,
    /// Whether all transactions are refused.
    pub refuses_commits: AtomicBool,
    /// The waits of all calls for changes, in order; the store doesn't wait for them.
    pub waits: Mutex<Vec<Duration>>,
}

/// The state of the store, from a copy of which it can return.
#[derive(Debug, Default, Clone)]
pub struct Rows {
    /// All changes, in order.
    changes: Vec<VersionedRow>,
    version: u64,
    era: Option<StoreEra>,
}

impl MemoryStore {
    pub fn put(&self, table: &str, name: &str, value: &str) {
        let mut rows = self.rows();
        rows.put(
            RowKey::in_table(table, name),
            Some(value.as_bytes().to_vec()),
        );
    }

    pub fn remove(&self, table: &str, name: &str) {
        self.rows().put(RowKey::in_table(table, name), None);
    }

    /// Writes a row and removes it, so that one page of the feed contains both changes.
    pub fn put_and_remove(&self, table: &str, name: &str, value: &str) {
        let mut rows = self.rows();
        let key = RowKey::in_table(table, name);
        rows.put(key.clone(), Some(value.as_bytes().to_vec()));
        rows.put(key, None);
    }

    /// Names this era in all responses from now on.
    pub fn set_era(&self, era: u64) {
        self.rows().era = Some(StoreEra(era));
    }

    pub fn copy(&self) -> Rows {
        self.rows().clone()
    }

    /// Returns from a copy with a new era: what was written after the copy is lost.
    pub fn return_from(&self, copy: Rows) {
        let mut rows = self.rows();
        let era = rows.era.map(|era| StoreEra(era.0 + 1));
        *rows = Rows { era, ..copy };
    }

    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap()
    }

    fn page(
        &self,
        table: &str,
        after: Option<RowVersion>,
    ) -> StoreAnswer<Result<FeedPage, FeedError>> {
        if self.down.load(Ordering::SeqCst) {
            let reason = "down".to_owned();
            return Err(FeedError::Unavailable { reason }).into();
        }
        let rows = self.rows();
        if after.is_some_and(|after| after.0 > rows.version) {
            return StoreAnswer::new(Err(FeedError::Compacted), rows.era);
        }
        let mut list = match after {
            Some(after) => rows.since(after),
            None => rows.newest(),
        };
        list.retain(|row| row.key.table() == table);
        let page = FeedPage {
            rows: list,
            version: RowVersion(rows.version),
            at: StoreTime(0),
            era: rows.era,
        };
        StoreAnswer::new(Ok(page), rows.era)
    }
}

impl Rows {
    fn put(&mut self, key: RowKey, value: Option<Vec<u8>>) {
        self.version += 1;
        let version = RowVersion(self.version);
        self.changes.push(VersionedRow {
            key,
            version,
            value,
        });
    }

    fn since(&self, after: RowVersion) -> Vec<VersionedRow> {
        let changes = self.changes.iter();
        changes.filter(|row| row.version > after).cloned().collect()
    }

    fn newest(&self) -> Vec<VersionedRow> {
        let changes = self.changes.iter();
        let newest: BTreeMap<&RowKey, &VersionedRow> = changes.map(|row| (&row.key, row)).collect();
        let present = newest.into_values().filter(|row| row.value.is_some());
        present.cloned().collect()
    }
}

impl Store for MemoryStore {
    fn commit(&self, transaction: Transaction) -> BoxFuture<'_, StoreAnswer<CommitResult>> {
        let mut rows = self.rows();
        if self.refuses_commits.load(Ordering::SeqCst) {
            let answer = StoreAnswer::new(CommitResult::NotApplied, rows.era);
            return Box::pin(async move { answer });
        }
        for write in transaction.writes {
            match write {
                Write::Put { key, value } => rows.put(key, Some(value)),
                Write::Delete { key } => rows.put(key, None),
            }
        }
        let answer = StoreAnswer::new(CommitResult::Applied(RowVersion(rows.version)), rows.era);
        Box::pin(async move { answer })
    }

    fn read(&self, table: &'static str) -> BoxFuture<'_, StoreAnswer<Result<FeedPage, FeedError>>> {
        Box::pin(async move { self.page(table, None) })
    }

    fn follow(
        &self,
        table: &'static str,
        after: RowVersion,
        wait: Duration,
    ) -> BoxFuture<'_, StoreAnswer<Result<FeedPage, FeedError>>> {
        self.waits.lock().unwrap().push(wait);
        Box::pin(async move { self.page(table, Some(after)) })
    }
}
