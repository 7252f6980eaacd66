//! Errors in rows and documents that membership reads.

use tanagerhub_table::RowKey;

use crate::ContentHash;

/// The reason why a row or document can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// A row's content is malformed.
    #[error("row \"{key}\" is malformed: {reason}")]
    Row {
        /// The key of the row.
        key: RowKey,
        /// What is wrong with the content.
        reason: String,
    },
    /// A catalogue document is malformed.
    #[error("catalogue document {hash} is malformed: {reason}")]
    Document {
        /// The hash of the document.
        hash: ContentHash,
        /// What is wrong with the content.
        reason: String,
    },
}
