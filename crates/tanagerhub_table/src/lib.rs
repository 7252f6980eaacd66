//! Rows, transactions and lost responses of the platform's table.
//!
//! The platform's table service holds the only authoritative state that outlives a process. These
//! types describe one conditional multi-row [`Transaction`] and its outcome. [`Attempt`] handles
//! lost responses: after an unknown outcome, one of the written rows is read back before anything
//! is retried.

mod attempt;
mod commit_outcome;
mod encoding;
mod feed;
mod memory_table;
mod row;
mod store_clock;
mod store_version;
mod transaction;

pub use attempt::{Attempt, AttemptState, ReadBack};
pub use commit_outcome::CommitOutcome;
pub use encoding::{DecodeError, Sections, decode_value, encode_value};
pub use feed::{CommitResult, FeedError, FeedPage, PageKind, StoreTime, VersionedRow};
pub use memory_table::MemoryTable;
pub use row::{Row, RowKey, RowVersion};
pub use store_clock::StoreClock;
pub use store_version::{StoreAnswer, StoreEra, StoreVersion};
pub use transaction::{Condition, Transaction, TransactionId, Write};
