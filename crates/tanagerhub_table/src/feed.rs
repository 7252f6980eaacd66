//! Responses of a store: snapshots and changes of its rows, and results of commits.

use serde::{Deserialize, Serialize};

use crate::{RowKey, RowVersion, StoreEra, StoreVersion};

/// A time on the store's monotonic clock, in milliseconds since an origin that the store chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreTime(pub u64);

/// A row of a store, or the removal of one, at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedRow {
    /// The row's key.
    pub key: RowKey,
    /// The version of the row's last change.
    pub version: RowVersion,
    /// The row's content; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// Rows of one table, either all of them or those that changed since a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPage {
    /// The rows, in the order of their changes.
    pub rows: Vec<VersionedRow>,
    /// The version up to which all changes are included.
    pub version: RowVersion,
    /// When the store sent the response, on its own clock.
    pub at: StoreTime,
    /// The era of all versions in the page. It isn't encoded, as builds without it read pages too;
    /// it travels beside them.
    #[serde(skip)]
    pub era: Option<StoreEra>,
}

impl FeedPage {
    /// Returns the version up to which all changes are included, with its era.
    #[must_use]
    pub const fn store_version(&self) -> StoreVersion {
        StoreVersion::new(self.era, self.version)
    }
}

/// What the rows of a page are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PageKind {
    /// The rows that changed since the page before.
    Changes,
    /// All rows of the table.
    All,
    /// All rows of a table whose store returned from an older copy a short time ago. Rows that its
    /// writers have not written again yet are missing, or older than what was known before.
    Restored,
}

/// The result of committing a transaction at the store.
///
/// Unlike [`CommitOutcome`](crate::CommitOutcome), it has one version for all rows that were
/// written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitResult {
    /// The transaction was applied, and its rows have this version.
    Applied(RowVersion),
    /// A condition did not hold, so nothing was written.
    Conflict,
    /// Nothing was written; the transaction may be retried.
    NotApplied,
    /// The transaction may have been applied, or may be applied later while its conditions hold.
    Unknown,
}

/// Why the store returned no rows.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FeedError {
    /// The store no longer keeps the changes since the requested version, so all rows must be read
    /// again.
    #[error("the store no longer keeps the changes since the version asked for")]
    Compacted,
    /// The store refused the call by its rate limit.
    #[error("the store's rate limit was hit")]
    RateLimited,
    /// The store could not be reached, refused the call or responded too late.
    #[error("the store is unavailable: {reason}")]
    Unavailable {
        /// Why the call failed.
        reason: String,
    },
    /// The response could not be decoded.
    #[error("the store's answer can't be read: {reason}")]
    Malformed {
        /// Why decoding failed.
        reason: String,
    },
}
