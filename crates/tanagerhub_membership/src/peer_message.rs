//! Requests and answers between nodes that must arrive.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{BootId, GroupId};

use crate::{ContentHash, SlotRow};

/// A request to a peer, sent until it is answered or given up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for a catalogue document.
    Document(ContentHash),
    /// Asks for the node slots that the peer knows.
    Slots,
    /// Claims of idempotency keys, encoded by the traffic side.
    Claims(Vec<u8>),
    /// Asks for the peer's view of a group, encoded by the fleet side.
    Group(GroupId),
    /// Asks whether the peer is there.
    Ping(BootId),
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The document's bytes, if the peer has them.
    Document(Option<Arc<[u8]>>),
    /// The slots that the peer knows.
    Slots(Vec<SlotRow>),
    /// Outcomes of claims, encoded by the traffic side.
    Claims(Vec<u8>),
    /// The view of a group, encoded by the fleet side.
    Group(Vec<u8>),
    /// The peer is there.
    Pong(BootId),
    /// The peer doesn't serve this request.
    Refused(String),
}
