//! Resolves transactions whose response was lost.

use crate::{CommitOutcome, Row, Transaction, Write};

/// One transaction from the first send until its outcome is determined.
///
/// # Examples
///
/// ```
/// use tanagerhub_table::{
///     Attempt, AttemptState, CommitOutcome, ReadBack, RowKey, Transaction, TransactionId,
/// };
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

/// Progress of an [`Attempt`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Sent, without a response so far.
    Sent,
    /// The response was lost; the row under [`Attempt::read_back_key`] must be read before anything
    /// else is tried.
    MustReadBack,
    /// The table applied the transaction.
    Applied,
    /// The transaction was not applied, or another one has overwritten its row since.
    NotApplied,
}

/// What a row that was read back shows about a transaction whose response was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBack {
    /// The row carries the transaction's id, so the transaction was applied.
    Applied,
    /// The row carries another id, or is gone although it had to exist: the transaction was not
    /// applied, or another transaction has overwritten or deleted the row since.
    Overwritten,
    /// The row is unchanged: the transaction was not applied, unless it created the row and another
    /// one has deleted it since. A copy of the request may still arrive at the table.
    NotApplied,
}

impl Attempt {
    /// Creates an attempt for a transaction that is being sent, in state [`AttemptState::Sent`].
    #[must_use]
    pub const fn new(transaction: Transaction) -> Self {
        Self {
            transaction,
            state: AttemptState::Sent,
        }
    }

    /// Returns the transaction that was sent.
    #[must_use]
    pub const fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// Returns the progress of the attempt.
    #[must_use]
    pub const fn state(&self) -> AttemptState {
        self.state
    }

    /// Updates the state from the table's response, or from its loss ([`CommitOutcome::Unknown`]).
    pub const fn record_outcome(&mut self, outcome: &CommitOutcome) {
        self.state = match outcome {
            CommitOutcome::Committed { .. } => AttemptState::Applied,
            CommitOutcome::Conflict { .. } | CommitOutcome::NotApplied => AttemptState::NotApplied,
            CommitOutcome::Unknown => AttemptState::MustReadBack,
        };
    }

    /// Resolves a lost response by the first row that the transaction puts, as read after the loss.
    ///
    /// `row` is the row under [`read_back_key`](Self::read_back_key); `None` if it doesn't exist.
    ///
    /// A transaction classified as not applied may still arrive at the table. Its conditions make
    /// that safe only if the sender retries with the same conditions, or first writes one of the
    /// rows that they check.
    pub fn read_back(&mut self, row: Option<&Row>) -> ReadBack {
        let result = self.classify_row(row);
        self.state = match result {
            ReadBack::Applied => AttemptState::Applied,
            ReadBack::Overwritten | ReadBack::NotApplied => AttemptState::NotApplied,
        };
        result
    }

    fn classify_row(&self, row: Option<&Row>) -> ReadBack {
        if row.is_some_and(|row| row.transaction == self.transaction.id) {
            return ReadBack::Applied;
        }
        let key = row.map(|row| &row.key).or_else(|| self.read_back_key());
        let version = row.map(|row| row.version);
        let mut conditions = self.transaction.conditions.iter();
        let condition = conditions.find(|condition| Some(condition.key()) == key);
        let unchanged = condition.map_or(row.is_none(), |condition| condition.holds(version));
        if unchanged {
            ReadBack::NotApplied
        } else {
            ReadBack::Overwritten
        }
    }

    /// Returns the key of the row to read after a lost response: the first row that the transaction
    /// puts.
    ///
    /// `None` if the transaction only deletes rows.
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
