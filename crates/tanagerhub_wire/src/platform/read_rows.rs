//! A read of the platform's table.

use serde::{Deserialize, Serialize};
use tanagerhub_table::RowKey;

/// Which rows to read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadRows {
    /// These rows; missing ones are left out.
    Keys(Vec<RowKey>),
    /// Rows whose names start with a prefix, at most `limit`, after `after`.
    Prefix {
        /// The start of the names.
        prefix: String,
        /// Only rows that come after this one.
        after: Option<RowKey>,
        /// The most rows to return.
        limit: u32,
    },
}
