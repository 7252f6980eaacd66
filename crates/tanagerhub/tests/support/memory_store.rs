//! An in-memory store.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tanagerhub::gateway::{BoxFuture, Store};
use tanagerhub_table::{
    CommitResult, FeedError, FeedPage, RowKey, RowVersion, StoreTime, Transaction, VersionedRow,
    Write,
};

/// An in-memory store.
#[derive(Debug, Default)]
pub struct MemoryStore {
    rows: Mutex<Rows>,
    /// Whether all reads fail.
    pub down: AtomicBool,
    /// The waits of all calls for changes, in order; the store doesn't wait for them.
    pub waits: Mutex<Vec<Duration>>,
}

#[derive(Debug, Default)]
struct Rows {
    /// All changes, in order.
    changes: Vec<VersionedRow>,
    version: u64,
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

    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap()
    }

    fn page(&self, table: &str, after: Option<RowVersion>) -> Result<FeedPage, FeedError> {
        if self.down.load(Ordering::SeqCst) {
            let reason = "down".to_owned();
            return Err(FeedError::Unavailable { reason });
        }
        let rows = self.rows();
        let mut list = match after {
            Some(after) => rows.since(after),
            None => rows.newest(),
        };
        list.retain(|row| row.key.table() == table);
        Ok(FeedPage {
            rows: list,
            version: RowVersion(rows.version),
            at: StoreTime(0),
        })
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
    fn commit(&self, transaction: Transaction) -> BoxFuture<'_, CommitResult> {
        let mut rows = self.rows();
        for write in transaction.writes {
            match write {
                Write::Put { key, value } => rows.put(key, Some(value)),
                Write::Delete { key } => rows.put(key, None),
            }
        }
        let version = RowVersion(rows.version);
        Box::pin(async move { CommitResult::Applied(version) })
    }

    fn read(&self, table: &'static str) -> BoxFuture<'_, Result<FeedPage, FeedError>> {
        Box::pin(async move { self.page(table, None) })
    }

    fn follow(
        &self,
        table: &'static str,
        after: RowVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<FeedPage, FeedError>> {
        self.waits.lock().unwrap().push(wait);
        Box::pin(async move { self.page(table, Some(after)) })
    }
}
