//! An in-memory table with injected faults.

use tanagerhub_table::{CommitOutcome, MemoryTable, Row, RowKey, Transaction};

/// The fault that the table injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Refuses all writes and reads.
    Refused,
    /// Applies writes, and loses the responses to writes and reads.
    ResponseLost,
    /// Applies the next write, and loses its response.
    ResponseLostOnce,
    /// Loses the next write.
    RequestLostOnce,
    /// Loses the response to the next write, and delays the write until the test applies it.
    DelayedOnce,
    /// Never responds, and delays writes until the test applies them.
    NoResponse,
}

/// An in-memory table.
#[derive(Debug)]
pub struct FakeTable {
    pub stored: MemoryTable,
    pub fault: Fault,
    /// Number of transactions applied.
    pub applied: u32,
    pub delayed: Vec<Transaction>,
}

impl Default for FakeTable {
    fn default() -> Self {
        Self {
            stored: MemoryTable::default(),
            fault: Fault::None,
            applied: 0,
            delayed: Vec::new(),
        }
    }
}

impl FakeTable {
    /// Commits a transaction; `None` means that no response ever arrives.
    pub fn commit(&mut self, transaction: Transaction) -> Option<CommitOutcome> {
        let fault = self.fault;
        if matches!(
            fault,
            Fault::ResponseLostOnce | Fault::RequestLostOnce | Fault::DelayedOnce
        ) {
            self.fault = Fault::None;
        }
        match fault {
            Fault::None => Some(self.apply(&transaction)),
            Fault::Refused => Some(CommitOutcome::NotApplied),
            Fault::ResponseLost | Fault::ResponseLostOnce => {
                self.apply(&transaction);
                Some(CommitOutcome::Unknown)
            }
            Fault::RequestLostOnce => Some(CommitOutcome::Unknown),
            Fault::DelayedOnce => {
                self.delayed.push(transaction);
                Some(CommitOutcome::Unknown)
            }
            Fault::NoResponse => {
                self.delayed.push(transaction);
                None
            }
        }
    }

    /// Reads rows; `None` means that the read failed.
    pub fn read(&self, keys: &[RowKey]) -> Option<Vec<Row>> {
        let fails = matches!(
            self.fault,
            Fault::Refused | Fault::ResponseLost | Fault::NoResponse
        );
        (!fails).then(|| self.stored.get_all(keys))
    }

    /// Applies a transaction if its conditions hold.
    pub fn apply(&mut self, transaction: &Transaction) -> CommitOutcome {
        let outcome = self.stored.commit(transaction);
        if matches!(outcome, CommitOutcome::Committed { .. }) {
            self.applied += 1;
        }
        outcome
    }
}
