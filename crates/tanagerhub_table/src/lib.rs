//! Rows, transactions and lost answers of the platform's table.
//!
//! The platform's table service is the only truth that outlives a process. These types describe
//! one conditional multi-row [`Transaction`] and what became of it. [`Attempt`] holds the rule for
//! lost answers: an unknown outcome is read back before anything is tried again.

mod attempt;
mod commit_outcome;
mod feed;
mod row;
mod store_clock;
mod transaction;

pub use attempt::{Attempt, AttemptState, ReadBack};
pub use commit_outcome::CommitOutcome;
pub use feed::{CommitResult, FeedError, FeedPage, StoreTime, VersionedRow};
pub use row::{Row, RowKey, RowVersion};
pub use store_clock::StoreClock;
pub use transaction::{Condition, Transaction, TransactionId, Write};
