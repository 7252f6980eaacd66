//! The decisions on asks.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;

use crate::message::{AskId, RefusalReason};

/// The decision on an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The request must be sent to the group now.
    Granted {
        /// The ask.
        ask: AskId,
        /// The group.
        group: GroupId,
        /// The epoch of the group.
        epoch: Epoch,
        /// The moment until which the request may be sent.
        until: Moment,
    },
    /// All shards that were asked refuse the request.
    Refused {
        /// The ask.
        ask: AskId,
        /// Why it was refused.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// The ask has waited as long as it may, and no coordinator decided.
    Expired {
        /// The ask.
        ask: AskId,
    },
}
