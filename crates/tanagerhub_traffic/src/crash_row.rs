//! Rows of the store by which nodes share what they know of crashing requests and parts.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_table::{RowKey, Sections, Transaction, TransactionId, decode_value, encode_value};

use crate::CrashSubject;

/// The name of the table of crashing requests.
pub const CRASHES_TABLE: &str = "crashes";
/// The beginning of the names of rows about parts. Nodes of earlier versions ignore such rows.
const PART_PREFIX: &str = "part-";

/// The key of a row: a request or part, and the group that failed under it.
///
/// A group fails once at an epoch. So each crash is a row of its own, and writes at the same time,
/// repeated or late ones can't hide another crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashKey {
    /// The request or part.
    pub subject: CrashSubject,
    /// The group that failed.
    pub group: GroupId,
    /// The group's epoch.
    pub epoch: Epoch,
}

/// The value of a row.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRow {
    /// Time from the end of the attempt to the writing of the row.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Time for which the attempt ran.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub duration: Duration,
    /// Whether the group was confirmed as crashed.
    pub confirmed: bool,
}

/// Changes of rows to be written to the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CrashRowChanges {
    /// Rows to write.
    pub puts: Vec<(CrashKey, CrashRow)>,
    /// Rows to delete.
    pub deletes: Vec<CrashKey>,
}

impl CrashKey {
    /// Returns the key of the row.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_catalogue::{Epoch, GroupId};
    /// use tanagerhub_traffic::{CrashKey, CrashSubject};
    ///
    /// let subject = CrashSubject::Request(0x2a);
    /// let key = CrashKey { subject, group: GroupId(1), epoch: Epoch(3) };
    /// let row_key = key.row_key();
    /// assert_eq!(row_key.name(), "000000000000002a/0000000000000001/3");
    /// assert_eq!(CrashKey::parse(row_key.name()), Some(key));
    /// ```
    #[must_use]
    pub fn row_key(&self) -> RowKey {
        let GroupId(group) = self.group;
        let Epoch(epoch) = self.epoch;
        let (prefix, id) = match self.subject {
            CrashSubject::Request(fingerprint) => ("", fingerprint),
            CrashSubject::Part(part) => (PART_PREFIX, part),
        };
        let name = format!("{prefix}{id:016x}/{group:016x}/{epoch}");
        RowKey::in_table(CRASHES_TABLE, &name)
    }

    /// Parses the name of a row; returns `None` if it has another form.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        let (new_subject, ids): (fn(u64) -> CrashSubject, &str) =
            match name.strip_prefix(PART_PREFIX) {
                Some(ids) => (CrashSubject::Part, ids),
                None => (CrashSubject::Request, name),
            };
        let mut ids = ids.split('/');
        let mut hex_id = || u64::from_str_radix(ids.next()?, 16).ok();
        let (subject, group) = (new_subject(hex_id()?), hex_id()?);
        let epoch = ids.next()?.parse().ok()?;
        ids.next().is_none().then_some(Self {
            subject,
            group: GroupId(group),
            epoch: Epoch(epoch),
        })
    }
}

impl CrashRow {
    fn encode(self) -> Vec<u8> {
        encode_value(&self, &Sections::default())
    }

    /// Decodes the value of a row; returns `None` if it has another form.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        decode_value(value).ok().map(|(row, _)| row)
    }
}

impl CrashRowChanges {
    /// Returns a transaction that writes the changes unconditionally.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerhub_catalogue::{Epoch, GroupId};
    /// use tanagerhub_table::{TransactionId, Write};
    /// use tanagerhub_traffic::{CrashKey, CrashRow, CrashRowChanges, CrashSubject};
    ///
    /// let subject = CrashSubject::Request(0x2a);
    /// let key = CrashKey { subject, group: GroupId(1), epoch: Epoch(3) };
    /// let row = CrashRow {
    ///     age: Duration::from_millis(40),
    ///     duration: Duration::from_millis(500),
    ///     confirmed: true,
    /// };
    /// let changes = CrashRowChanges { puts: vec![(key, row)], deletes: Vec::new() };
    /// let transaction = changes.transaction(TransactionId(1));
    /// let Write::Put { value, .. } = &transaction.writes[0] else {
    ///     panic!("the row is written");
    /// };
    /// assert_eq!(CrashRow::decode(value), Some(row));
    /// ```
    #[must_use]
    pub fn transaction(&self, id: TransactionId) -> Transaction {
        let mut transaction = Transaction::new(id);
        for (key, row) in &self.puts {
            transaction = transaction.put(key.row_key(), row.encode());
        }
        for key in &self.deletes {
            transaction = transaction.delete(key.row_key());
        }
        transaction
    }

    /// Returns whether there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.puts.is_empty() && self.deletes.is_empty()
    }
}
