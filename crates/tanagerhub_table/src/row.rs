//! A row of the platform's table.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

use crate::TransactionId;

/// The name of a row, such as `group/00c4`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowKey(String);

impl RowKey {
    /// Names a row.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self(name.into())
    }

    /// The name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl RowKey {
    /// The key of a row in a table of a store that has tables.
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

    /// The table: what comes before the first slash.
    #[must_use]
    pub fn table(&self) -> &str {
        self.0.split_once('/').map_or("", |(table, _)| table)
    }

    /// The name within its table: what follows the first slash.
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

/// The version of a row; each write of the row raises it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

/// A row as the table holds it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's name.
    pub key: RowKey,
    /// The row's version.
    pub version: RowVersion,
    /// The transaction that wrote this version.
    pub transaction: TransactionId,
    /// The row's content, encoded by its owner.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
}
