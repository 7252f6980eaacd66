//! Rows of the platform's table and their keys.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

use crate::TransactionId;

/// The key of a row, such as `group/00c4`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowKey(String);

impl RowKey {
    /// Creates a key from its full text.
    #[must_use]
    pub fn new(key: impl Into<String>) -> Self {
        Self(key.into())
    }

    /// Returns the full key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl RowKey {
    /// Creates the key of a row in one table of a store that has several tables.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_table::RowKey;
    ///
    /// let key = RowKey::in_table("groups", "g/7");
    /// assert_eq!(key.table(), "groups");
    /// assert_eq!(key.name(), "g/7");
    /// ```
    #[must_use]
    pub fn in_table(table: &str, name: &str) -> Self {
        Self(format!("{table}/{name}"))
    }

    /// Returns the table: the text before the first slash, empty if there is no slash.
    #[must_use]
    pub fn table(&self) -> &str {
        self.0.split_once('/').map_or("", |(table, _)| table)
    }

    /// Returns the name within the table: the text after the first slash, or the full key.
    #[must_use]
    pub fn name(&self) -> &str {
        self.0.split_once('/').map_or(&self.0, |(_, name)| name)
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The version of a row; each write of the row increases it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

/// A row as stored in the table.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: RowKey,
    /// The version that the last write gave the row.
    pub version: RowVersion,
    /// The id of the transaction that wrote this version.
    pub transaction: TransactionId,
    /// The row's content, in the encoding of the component that writes it.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
}
