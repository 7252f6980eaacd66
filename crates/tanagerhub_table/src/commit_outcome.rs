//! The outcome of a transaction on the table.

use serde::{Deserialize, Serialize};

use crate::{Row, RowKey};

/// The outcome of a transaction that was sent, as far as the sender can determine it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// All writes of the transaction were applied.
    Committed {
        /// The written rows with their new versions; deleted rows are omitted.
        rows: Vec<Row>,
    },
    /// The transaction was not applied, because a condition did not hold.
    Conflict {
        /// The first row whose condition did not hold.
        key: RowKey,
    },
    /// The transaction was not applied, because the table refused it (rate limit) or could not be
    /// reached.
    NotApplied,
    /// The response was lost, so the transaction may or may not have been applied.
    Unknown,
}
