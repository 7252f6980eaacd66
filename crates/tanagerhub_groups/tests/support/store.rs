//! The simulated store: its rows, transactions, and its return from a copy.

use std::collections::BTreeMap;
use std::time::Duration;

use tanagerhub_groups::GroupsEvent;
use tanagerhub_table::{
    CommitResult, RowKey, RowVersion, StoreEra, Transaction, VersionedRow, Write,
};

use super::Simulation;
use super::commit_fault::CommitFault;

/// The number of conditions and writes in a transaction beyond which the store refuses it.
const MAX_TRANSACTION_ENTRIES: usize = 100;
/// The time after the store's return from which on its rows are complete.
const RESTORE_TIME: Duration = Duration::from_millis(2_500);

/// The rows of the store, from a copy of which it can return.
#[derive(Debug, Default, Clone)]
pub struct StoreState {
    pub rows: BTreeMap<RowKey, VersionedRow>,
    pub version: u64,
    pub era: Option<StoreEra>,
}

impl Simulation {
    /// Returns the store from a copy with a new era, and tells the nodes.
    pub fn return_store(&mut self, copy: StoreState) {
        let era = self.store.era.map(|era| StoreEra(era.0 + 1));
        self.store = StoreState { era, ..copy };
        let restored_at = self.now + RESTORE_TIME;
        for node in &mut self.nodes {
            node.events.push(GroupsEvent::StoreReturned(restored_at));
        }
    }

    pub(super) fn commit(&mut self, node: usize, transaction: Transaction) -> CommitResult {
        let renews = |write: &Write| {
            let name = write.key().name();
            name == "planner" || name.starts_with("node-")
        };
        let changes = !transaction.writes.iter().all(renews);
        self.commits += usize::from(changes);
        if self.store_silent {
            return CommitResult::Unknown;
        }
        if self.is_turned_away(node) {
            return CommitResult::NotApplied;
        }
        if !changes {
            return self.apply(&transaction);
        }
        if transaction.conditions.len() + transaction.writes.len() > MAX_TRANSACTION_ENTRIES {
            return CommitResult::Unknown;
        }
        match self.commit_faults.pop_front() {
            None => self.apply(&transaction),
            Some(CommitFault::ResponseLost) => {
                self.apply(&transaction);
                CommitResult::Unknown
            }
            Some(CommitFault::Delayed) => {
                self.delayed.push(transaction);
                CommitResult::Unknown
            }
            Some(CommitFault::Refused) => CommitResult::NotApplied,
        }
    }

    pub fn apply(&mut self, transaction: &Transaction) -> CommitResult {
        let holds = transaction.conditions.iter().all(|condition| {
            condition.holds(self.store.rows.get(condition.key()).map(|row| row.version))
        });
        if !holds {
            return CommitResult::Conflict;
        }
        self.store.version += 1;
        let version = RowVersion(self.store.version);
        for write in &transaction.writes {
            match write {
                Write::Put { key, value } => {
                    self.check_row(key, value);
                    let row = VersionedRow {
                        key: key.clone(),
                        version,
                        value: Some(value.clone()),
                    };
                    self.store.rows.insert(key.clone(), row);
                }
                Write::Delete { key } => {
                    self.store.rows.remove(key);
                }
            }
        }
        CommitResult::Applied(version)
    }
}
