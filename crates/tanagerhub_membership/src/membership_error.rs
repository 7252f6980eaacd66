//! Failures of membership's inputs.

use tanagerhub_table::RowKey;

use crate::ContentHash;

/// Why a row or document can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// A row's content is malformed.
    #[error("row \"{key}\" is malformed: {reason}")]
    Row {
        /// The row.
        key: RowKey,
        /// What is wrong with it.
        reason: String,
    },
    /// A catalogue document is malformed.
    #[error("catalogue document {hash} is malformed: {reason}")]
    Document {
        /// The document.
        hash: ContentHash,
        /// What is wrong with it.
        reason: String,
    },
}
