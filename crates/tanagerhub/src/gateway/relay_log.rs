//! What a node has heard of a table of the store, kept for its peers.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use tanagerhub_table::{FeedPage, RowVersion, StoreTime, VersionedRow};

/// The most rows that are kept.
const MAX_ROWS: usize = 2_000;
/// The most bytes of values that are kept.
const MAX_BYTES: usize = 1 << 20;

/// What a node tells a peer of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RelayResponse {
    /// What changed, and up to when that is all.
    Page(FeedPage),
    /// The changes are not kept as far back; the peer must read the table at the store.
    Compacted,
    /// Nothing is newer.
    NoChange,
    /// The node hears nothing new itself; the peer must ask elsewhere.
    Stale,
}

/// The newest changes of a table.
#[derive(Debug, Default)]
pub(crate) struct RelayLog {
    rows: VecDeque<VersionedRow>,
    bytes: usize,
    /// A peer that knows this version can be told of all changes since.
    floor: RowVersion,
    newest: Option<LogPosition>,
    /// Whether the last call of this node brought nothing.
    stale: bool,
}

/// Up to where the rows are complete.
#[derive(Debug, Clone, Copy)]
struct LogPosition {
    version: RowVersion,
    at: StoreTime,
}

impl RelayLog {
    /// Takes in a page; `all` says that it holds all rows, not only those that changed.
    pub(crate) fn apply_page(&mut self, page: &FeedPage, all: bool) {
        self.stale = false;
        let Some(newest) = self.newest.filter(|_| !all) else {
            self.rows.clear();
            self.bytes = 0;
            self.floor = page.version;
            self.newest = Some(LogPosition {
                version: page.version,
                at: page.at,
            });
            return;
        };
        for row in &page.rows {
            if row.version > newest.version {
                self.push(row.clone());
            }
        }
        self.newest = Some(LogPosition {
            version: newest.version.max(page.version),
            at: newest.at.max(page.at),
        });
    }

    /// Notes that this node hears nothing new.
    pub(crate) const fn mark_stale(&mut self) {
        self.stale = true;
    }

    /// What to tell a peer that knows all up to `after`, as of `at`; `None` if nothing is newer.
    pub(crate) fn changes_since(&self, after: RowVersion, at: StoreTime) -> Option<RelayResponse> {
        let Some(newest) = self.newest else {
            return Some(RelayResponse::Stale);
        };
        if newest.at <= at {
            return self.stale.then_some(RelayResponse::Stale);
        }
        if after < self.floor {
            return Some(RelayResponse::Compacted);
        }
        let rows = self.rows.iter().filter(|row| row.version > after);
        Some(RelayResponse::Page(FeedPage {
            rows: rows.cloned().collect(),
            version: newest.version,
            at: newest.at,
        }))
    }

    fn push(&mut self, row: VersionedRow) {
        self.bytes += value_bytes(&row);
        self.rows.push_back(row);
        while self.rows.len() > MAX_ROWS || self.bytes > MAX_BYTES {
            let Some(oldest) = self.rows.pop_front() else {
                return;
            };
            self.bytes -= value_bytes(&oldest);
            self.floor = self.floor.max(oldest.version);
        }
    }
}

fn value_bytes(row: &VersionedRow) -> usize {
    row.value.as_ref().map_or(0, Vec::len)
}

#[cfg(test)]
mod tests;
