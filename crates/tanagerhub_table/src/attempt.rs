//! The rule for lost answers.

use crate::{CommitOutcome, Row, Transaction, Write};

/// One transaction on its way, from the first send to a known end.
///
/// # Examples
///
/// ```
/// use tanagerhub_table::{Attempt, AttemptState, CommitOutcome, ReadBack, RowKey, Transaction, TransactionId};
///
/// let key = RowKey::new("claim/7");
/// let claim = Transaction::new(TransactionId(7)).require_absent(key.clone()).put(key, Vec::new());
/// let mut attempt = Attempt::new(claim);
/// attempt.record_outcome(&CommitOutcome::Unknown);
/// assert_eq!(attempt.state(), AttemptState::MustReadBack);
/// assert_eq!(attempt.read_back(None), ReadBack::NotApplied);
/// ```
#[derive(Debug, Clone)]
pub struct Attempt {
    transaction: Transaction,
    state: AttemptState,
}

/// How far an [`Attempt`] has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Sent; no answer yet.
    Sent,
    /// The answer was lost; the written row must be read before anything else is tried.
    MustReadBack,
    /// The transaction was applied.
    Applied,
    /// The transaction was not applied.
    NotApplied,
}

/// What reading a row back says of a transaction whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBack {
    /// The row carries the transaction's id: it was applied.
    Applied,
    /// The row carries another id: it was not applied, or something was written over it since.
    Overwritten,
    /// The row is as it was before: it was not applied, but a copy may still be on its way.
    NotApplied,
}

impl Attempt {
    /// Notes that a transaction is being sent.
    #[must_use]
    pub const fn new(transaction: Transaction) -> Self {
        Self {
            transaction,
            state: AttemptState::Sent,
        }
    }

    /// The transaction.
    #[must_use]
    pub const fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// How far the attempt has come.
    #[must_use]
    pub const fn state(&self) -> AttemptState {
        self.state
    }

    /// Takes in the table's answer.
    pub const fn record_outcome(&mut self, outcome: &CommitOutcome) {
        self.state = match outcome {
            CommitOutcome::Committed { .. } => AttemptState::Applied,
            CommitOutcome::Conflict { .. } | CommitOutcome::NotApplied => AttemptState::NotApplied,
            CommitOutcome::Unknown => AttemptState::MustReadBack,
        };
    }

    /// Judges a lost answer by the first row that the transaction puts, as read since.
    ///
    /// A transaction that is judged not applied may still arrive. Its conditions keep that safe
    /// only if the caller tries the same conditions again, or writes one of the rows first.
    pub fn read_back(&mut self, row: Option<&Row>) -> ReadBack {
        let result = self.classify_row(row);
        self.state = match result {
            ReadBack::Applied => AttemptState::Applied,
            ReadBack::Overwritten | ReadBack::NotApplied => AttemptState::NotApplied,
        };
        result
    }

    fn classify_row(&self, row: Option<&Row>) -> ReadBack {
        let Some(row) = row else {
            return ReadBack::NotApplied;
        };
        if row.transaction == self.transaction.id {
            return ReadBack::Applied;
        }
        let unchanged = self
            .transaction
            .conditions
            .iter()
            .any(|condition| match condition {
                crate::Condition::Version { key, version } => {
                    *key == row.key && *version == row.version
                }
                crate::Condition::Absent { .. } => false,
            });
        if unchanged {
            ReadBack::NotApplied
        } else {
            ReadBack::Overwritten
        }
    }

    /// The row to read when the answer was lost.
    #[must_use]
    pub fn read_back_key(&self) -> Option<&crate::RowKey> {
        self.transaction
            .writes
            .iter()
            .find_map(|write| match write {
                Write::Put { key, .. } => Some(key),
                Write::Delete { .. } => None,
            })
    }
}
