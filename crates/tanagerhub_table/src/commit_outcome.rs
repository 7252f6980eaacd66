//! What became of a transaction.

use serde::{Deserialize, Serialize};

use crate::{Row, RowKey};

/// What the sender knows of a transaction after it was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// It was applied; the rows are as written.
    Committed {
        /// The written rows with their new versions; deleted rows are left out.
        rows: Vec<Row>,
    },
    /// It was not applied, because a condition did not hold.
    Conflict {
        /// The first row whose condition did not hold.
        key: RowKey,
    },
    /// It was not applied, because the table refused it (rate limit) or could not be reached.
    NotApplied,
    /// It may or may not have been applied: the answer was lost.
    Unknown,
}
