//! What a coordinator reports for log lines and counters.

use std::time::Duration;

use tanagerhub_catalogue::{EntryId, GroupId, NodeId};

use crate::message::{AskId, RefusalReason};

/// Something that a coordinator has decided or learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CoordinatorEvent {
    /// The learned limit of a group has changed; at most one event per second and group.
    LimitChanged {
        /// The catalogue entry.
        entry: EntryId,
        /// The group.
        group: GroupId,
        /// The limit at the former event.
        from: u32,
        /// The present limit, in requests.
        to: u32,
        /// The requests that the group has.
        running: u32,
    },
    /// An ask was granted.
    Granted {
        /// The node that asked.
        node: NodeId,
        /// The ask.
        ask: AskId,
        /// The catalogue entry.
        entry: EntryId,
        /// The group.
        group: GroupId,
        /// The urgency of the ask.
        urgency: u8,
        /// Whether the same request was refused within the last 5 s.
        is_repeated: bool,
        /// How long the ask has waited.
        waited: Duration,
    },
    /// An ask was refused.
    Refused {
        /// The node that asked.
        node: NodeId,
        /// The ask.
        ask: AskId,
        /// The catalogue entry.
        entry: EntryId,
        /// Why it was refused.
        reason: RefusalReason,
        /// The urgency of the ask.
        urgency: u8,
        /// Whether the same request was refused within the last 5 s.
        is_repeated: bool,
        /// How long the ask has waited.
        waited: Duration,
        /// When the caller may come back, in milliseconds.
        retry_ms: u32,
        /// The requests at the groups of the entry.
        running: u32,
        /// The sum of the limits of these groups.
        limit: u32,
        /// The lowest expected wait for the first byte at any of them, if it has been measured.
        first_byte: Option<Duration>,
    },
    /// The loans of a node were ended in favour of another coordinator.
    Released {
        /// The lender.
        node: NodeId,
        /// The node that coordinates the shard next, if it is known.
        next: Option<NodeId>,
    },
}
