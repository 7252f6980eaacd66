//! Keeps the newest changes of a store's table for the peers of a node.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use tanagerhub_table::{FeedPage, RowVersion, StoreTime, VersionedRow};

/// The maximum number of rows that are kept.
const MAX_ROWS: usize = 2_000;
/// The maximum total size of the values that are kept.
const MAX_BYTES: usize = 1 << 20;

/// The response to a peer's query for the changes of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RelayResponse {
    /// The changed rows, with the version and the time up to which they are complete.
    Page(FeedPage),
    /// The log no longer keeps changes that old; the peer must read the table from the store.
    Compacted,
    /// There is no newer data.
    NoChange,
    /// The node has no current data itself; the peer must use another source.
    Stale,
}

/// The newest changes of a table.
#[derive(Debug, Default)]
pub(crate) struct RelayLog {
    rows: VecDeque<VersionedRow>,
    bytes: usize,
    /// The oldest version from which on all changes are kept.
    floor: RowVersion,
    newest: Option<LogPosition>,
    /// Whether all sources of this node have failed since the last page.
    stale: bool,
}

/// The version and the store's time up to which the rows are complete.
#[derive(Debug, Clone, Copy)]
struct LogPosition {
    version: RowVersion,
    at: StoreTime,
}

impl RelayLog {
    /// Adds a page; `all` means that it contains all rows, which starts the log anew.
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

    /// Records that all sources of this node have failed.
    pub(crate) const fn mark_stale(&mut self) {
        self.stale = true;
    }

    /// Returns the response for a peer that has all changes up to version `after` as of the store's
    /// time `at`; `None` if there is no newer data.
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
