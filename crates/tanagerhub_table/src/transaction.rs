//! Conditional transactions on several rows.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::{DisplayFromStr, serde_as};

use crate::{RowKey, RowVersion};

/// The id of one transaction; stored in every row that the transaction writes.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TransactionId(#[serde_as(as = "DisplayFromStr")] pub u128);

impl fmt::Display for TransactionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A condition on one row that must hold for a transaction to be applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The row does not exist.
    Absent {
        /// The row's key.
        key: RowKey,
    },
    /// The row exists at exactly this version.
    Version {
        /// The row's key.
        key: RowKey,
        /// The version that the row must have.
        version: RowVersion,
    },
}

impl Condition {
    /// Returns the key of the row that the condition checks.
    #[must_use]
    pub const fn key(&self) -> &RowKey {
        match self {
            Self::Absent { key } | Self::Version { key, .. } => key,
        }
    }

    /// Returns whether the condition holds if its row has this version (`None`: does not exist).
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_table::{Condition, RowKey, RowVersion};
    ///
    /// let absent = Condition::Absent { key: RowKey::new("claim/7") };
    /// assert!(absent.holds(None));
    /// assert!(!absent.holds(Some(RowVersion(1))));
    /// ```
    #[must_use]
    pub fn holds(&self, found: Option<RowVersion>) -> bool {
        match self {
            Self::Absent { .. } => found.is_none(),
            Self::Version { version, .. } => found == Some(*version),
        }
    }
}

/// One write of a transaction, to one row.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// Creates or replaces the row.
    Put {
        /// The row's key.
        key: RowKey,
        /// The new content.
        #[serde_as(as = "Base64")]
        value: Vec<u8>,
    },
    /// Removes the row.
    Delete {
        /// The row's key.
        key: RowKey,
    },
}

impl Write {
    /// Returns the key of the row that is written or deleted.
    #[must_use]
    pub const fn key(&self) -> &RowKey {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }
}

/// Writes that are applied atomically if every condition holds, and otherwise not at all.
///
/// # Examples
///
/// ```
/// use tanagerhub_table::{RowKey, Transaction, TransactionId};
///
/// let key = RowKey::new("claim/7");
/// let claim = Transaction::new(TransactionId(7))
///     .require_absent(key.clone())
///     .put(key, b"taken".to_vec());
/// assert_eq!(claim.writes.len(), 1);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The transaction's id, stored in the rows that it writes.
    pub id: TransactionId,
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Writes to apply if the conditions hold.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Maximum number of conditions and writes, together, that the store accepts.
    pub const MAX_ENTRIES: usize = 100;
    /// Maximum size, in bytes, that the store accepts.
    pub const MAX_BYTES: usize = 1_000_000;

    /// Creates a transaction without conditions and writes.
    #[must_use]
    pub const fn new(id: TransactionId) -> Self {
        Self {
            id,
            conditions: Vec::new(),
            writes: Vec::new(),
        }
    }

    /// Adds the condition that the row does not exist.
    #[must_use]
    pub fn require_absent(mut self, key: RowKey) -> Self {
        self.conditions.push(Condition::Absent { key });
        self
    }

    /// Adds the condition that the row exists at exactly this version.
    #[must_use]
    pub fn require_version(mut self, key: RowKey, version: RowVersion) -> Self {
        self.conditions.push(Condition::Version { key, version });
        self
    }

    /// Adds a write that creates or replaces a row.
    #[must_use]
    pub fn put(mut self, key: RowKey, value: Vec<u8>) -> Self {
        self.writes.push(Write::Put { key, value });
        self
    }

    /// Adds a write that removes a row.
    #[must_use]
    pub fn delete(mut self, key: RowKey) -> Self {
        self.writes.push(Write::Delete { key });
        self
    }

    /// Returns whether the store accepts the transaction with one more write: a row with this key
    /// and a value of `value_bytes` bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_table::{RowKey, Transaction, TransactionId};
    ///
    /// let key = RowKey::new("claim/7");
    /// let mut transaction = Transaction::new(TransactionId(7)).require_absent(key.clone());
    /// let mut writes = 0;
    /// while transaction.has_room(&key, 5) {
    ///     transaction = transaction.put(key.clone(), b"taken".to_vec());
    ///     writes += 1;
    /// }
    /// assert_eq!(writes, Transaction::MAX_ENTRIES - 1);
    /// ```
    #[must_use]
    pub fn has_room(&self, key: &RowKey, value_bytes: usize) -> bool {
        let entries = self.conditions.len() + self.writes.len();
        entries < Self::MAX_ENTRIES
            && self.bytes() + entry_bytes(key, value_bytes) <= Self::MAX_BYTES
    }

    /// Returns an upper bound of the encoded size, in bytes.
    fn bytes(&self) -> usize {
        let conditions = self.conditions.iter().map(|it| entry_bytes(it.key(), 0));
        let writes = self.writes.iter().map(|write| match write {
            Write::Put { key, value } => entry_bytes(key, value.len()),
            Write::Delete { key } => entry_bytes(key, 0),
        });
        conditions.chain(writes).sum()
    }
}

/// Encoded size, in bytes, of an entry without its key and value.
const ENTRY_OVERHEAD: usize = 100;

/// Returns an upper bound of the encoded size of an entry, whose value is in base64.
fn entry_bytes(key: &RowKey, value_bytes: usize) -> usize {
    ENTRY_OVERHEAD + key.as_str().len() + value_bytes.div_ceil(3) * 4
}
