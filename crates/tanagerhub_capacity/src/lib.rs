//! Capacity of backend servers that all nodes share: start limits, load and urgency.
//!
//! The types of this crate are state machines without I/O. A [`Request`] asks the coordinator of a
//! shard for starts at its backend servers; a [`Reply`] grants or refuses them.

mod borrower;
mod coordinated_group;
mod coordinator;
mod deadlines;
mod decaying_mean;
mod demand;
mod end_rate;
mod failure_share;
mod first_byte;
mod granted_prompts;
mod learned_limit;
mod load;
mod loans;
mod message;
mod peer;
mod refused_requests;
mod service_time;
mod shard;
mod start_window;
mod timing;
mod urgency_shares;
mod wait_queue;

pub use borrower::{Answer, Borrower, BorrowerCounters, BorrowerStatus, LinkStatus, SharedServer};
pub use coordinated_group::CoordinatedGroup;
pub use coordinator::{Coordinator, CoordinatorEvent, CoordinatorStatus, EntryStatus, GroupStatus};
pub use end_rate::EndRate;
pub use learned_limit::LearnedLimit;
pub use message::{
    Ask, AskId, DecodeError, EntryLoad, FORMAT, FirstByte, Grant, GroupRunning, Heard, LentShare,
    MAX_DATAGRAM_BYTES, Message, RefusalReason, RefusedAsk, Released, Reply, Request, Sample,
    ShareRest, decode, encode, encode_into,
};
pub use shard::Shard;
pub use timing::{GRANT, LOAN, REPORT, START_WINDOW};
pub use wait_queue::URGENCIES;
