//! Requests and answers between nodes that must arrive.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::BootId;

use crate::{ContentHash, SlotRow};

/// A request to a peer, sent until it is answered or given up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for a catalogue document.
    Document(ContentHash),
    /// Asks for the node slots that the peer knows.
    Slots,
    /// Asks for the groups and VMs that the peer knows, when the platform can't be reached.
    Fleet,
    /// Asks whether the peer is there.
    Ping(BootId),
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The document's bytes, if the peer has them.
    Document(Option<Arc<[u8]>>),
    /// The slots that the peer knows.
    Slots(Vec<SlotRow>),
    /// The groups and VMs that the peer knows, encoded by the fleet side.
    Fleet(Vec<u8>),
    /// The peer is there.
    Pong(BootId),
    /// The peer doesn't serve this request.
    Refused(String),
}
