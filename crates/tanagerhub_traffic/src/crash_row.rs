//! Rows of the store by which nodes share the strikes of crashing requests.

use tanagerhub_table::RowKey;

/// The name of the table that contains the strikes of crashing requests.
pub const CRASHES_TABLE: &str = "crashes";

/// A row that states that a request has a number of strikes.
///
/// Each number is a row of its own, so that nodes which write at the same time can't lower the
/// count, and a write that is repeated or applied late changes nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashRow {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Number of strikes.
    pub strikes: u32,
}

/// Changes of rows to be written to the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CrashRowChanges {
    /// Rows to write.
    pub puts: Vec<CrashRow>,
    /// Rows to delete.
    pub deletes: Vec<CrashRow>,
}

impl CrashRow {
    /// Returns the key of the row.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_traffic::CrashRow;
    ///
    /// let row = CrashRow { fingerprint: 0x2a, strikes: 2 };
    /// assert_eq!(row.key().name(), "000000000000002a/2");
    /// assert_eq!(CrashRow::parse(row.key().name()), Some(row));
    /// ```
    #[must_use]
    pub fn key(&self) -> RowKey {
        let name = format!("{:016x}/{}", self.fingerprint, self.strikes);
        RowKey::in_table(CRASHES_TABLE, &name)
    }

    /// Parses the name of a row; returns `None` if it has another form.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        let (fingerprint, strikes) = name.split_once('/')?;
        Some(Self {
            fingerprint: u64::from_str_radix(fingerprint, 16).ok()?,
            strikes: strikes.parse().ok()?,
        })
    }
}

impl CrashRowChanges {
    /// Returns whether there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.puts.is_empty() && self.deletes.is_empty()
    }
}
