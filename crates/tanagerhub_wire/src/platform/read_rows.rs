//! Selects the rows of a read of the platform's table.

use serde::{Deserialize, Serialize};
use tanagerhub_table::RowKey;

/// The rows to read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadRows {
    /// The rows with these keys; missing ones are omitted.
    Keys(Vec<RowKey>),
    /// One page of the rows whose names start with a prefix.
    Prefix {
        /// The prefix of the names.
        prefix: String,
        /// The last row of the page before; only rows after it are returned.
        after: Option<RowKey>,
        /// The maximum number of rows to return.
        limit: u32,
    },
}
