//! What a store tells of its rows: snapshots, changes and the fate of transactions.

use serde::{Deserialize, Serialize};

use crate::{RowKey, RowVersion};

/// The store's steady clock, in milliseconds from a start of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreTime(pub u64);

/// A row at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedRow {
    /// Its key.
    pub key: RowKey,
    /// The version of its last change.
    pub version: RowVersion,
    /// Its content; `None` when it was removed.
    pub value: Option<Vec<u8>>,
}

/// Rows of one table, either all of them or those that changed since a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPage {
    /// The rows, in the order of their changes.
    pub rows: Vec<VersionedRow>,
    /// The version up to which the rows are complete.
    pub version: RowVersion,
    /// When the store answered.
    pub at: StoreTime,
}

/// What became of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitResult {
    /// It was applied, and its rows have this version.
    Applied(RowVersion),
    /// A condition did not hold; nothing was done.
    Conflict,
    /// Nothing was done; it may be tried again.
    NotApplied,
    /// It may have been applied, or may be applied later while its conditions hold.
    Unknown,
}

/// Why the store gave no rows.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FeedError {
    /// The changes since the version are no longer kept; all rows must be read anew.
    #[error("the store no longer keeps the changes since the version asked for")]
    Compacted,
    /// The rate limit refused the call.
    #[error("the store's rate limit was hit")]
    RateLimited,
    /// The store could not be reached, refused or answered too late.
    #[error("the store is unavailable: {reason}")]
    Unavailable {
        /// What happened to the call.
        reason: String,
    },
    /// The answer can't be read.
    #[error("the store's answer can't be read: {reason}")]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
}
