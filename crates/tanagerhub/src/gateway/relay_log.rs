//! Keeps the newest changes of a store's table for the peers of a node.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use tanagerhub_table::{
    FeedPage, PageKind, RowVersion, StoreEra, StoreTime, StoreVersion, VersionedRow,
};

/// The maximum number of rows that are kept.
const MAX_ROWS: usize = 2_000;
/// The maximum total size of the values that are kept.
const MAX_BYTES: usize = 1 << 20;

/// The response to a peer's query for the changes of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RelayResponse {
    /// The changed rows, with the version and the time up to which they are complete.
    Page(FeedPage),
    /// The log doesn't keep the changes since the version that the peer has; the peer must read the
    /// table from the store.
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
    /// The store's time from which on the log is kept.
    since: StoreTime,
    newest: Option<LogPosition>,
    /// Whether all sources of this node have failed since the last page.
    stale: bool,
}

/// The version and the store's time up to which the rows are complete.
#[derive(Debug, Clone, Copy)]
struct LogPosition {
    version: StoreVersion,
    at: StoreTime,
}

impl RelayLog {
    /// Adds a page. One with all rows starts the log anew, and so does one of another era.
    pub(crate) fn apply_page(&mut self, page: &FeedPage, kind: PageKind) {
        self.stale = false;
        let continues =
            |newest: &LogPosition| kind == PageKind::Changes && newest.version.era == page.era;
        let Some(newest) = self.newest.filter(continues) else {
            self.rows.clear();
            self.bytes = 0;
            self.floor = page.version;
            self.since = page.at;
            self.newest = Some(LogPosition {
                version: page.store_version(),
                at: page.at,
            });
            return;
        };
        for row in &page.rows {
            if row.version > newest.version.version {
                self.push(row.clone());
            }
        }
        self.newest = Some(LogPosition {
            version: newest.version.max(page.store_version()),
            at: newest.at.max(page.at),
        });
    }

    /// Records that all sources of this node have failed.
    pub(crate) const fn mark_stale(&mut self) {
        self.stale = true;
    }

    /// Returns the era of the rows that are kept.
    pub(crate) fn era(&self) -> Option<StoreEra> {
        self.newest.and_then(|newest| newest.version.era)
    }

    /// Returns the response for a peer that has all changes up to version `after` as of the store's
    /// time `at`; `None` if there is no newer data.
    ///
    /// Only a peer with the same history can continue with the changes that are kept. A peer of a
    /// build that names no era has it if it got its data after the log was started.
    pub(crate) fn changes_since(
        &self,
        after: StoreVersion,
        at: StoreTime,
    ) -> Option<RelayResponse> {
        let Some(newest) = self.newest else {
            return Some(RelayResponse::Stale);
        };
        let era = newest.version.era;
        if after.era > era {
            return Some(RelayResponse::Stale);
        }
        let is_foreign = match after.era {
            None => era.is_some() && at < self.since,
            known => known != era,
        };
        if is_foreign {
            return Some(RelayResponse::Compacted);
        }
        if newest.at <= at {
            return self.stale.then_some(RelayResponse::Stale);
        }
        if after.version < self.floor || after.version > newest.version.version {
            return Some(RelayResponse::Compacted);
        }
        let rows = self.rows.iter().filter(|row| row.version > after.version);
        Some(RelayResponse::Page(FeedPage {
            rows: rows.cloned().collect(),
            version: newest.version.version,
            at: newest.at,
            era,
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
