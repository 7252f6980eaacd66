//! Requests and responses between nodes over a reliable transport.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::BootId;

use crate::{ContentHash, SlotRow};

/// A request to a peer; it is retried until the peer responds or the client abandons it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Requests a catalogue document.
    Document(ContentHash),
    /// Requests the node slots that the peer has recorded.
    Slots,
    /// Requests the groups and VMs that the peer has recorded, when the platform is unreachable.
    Fleet,
    /// Checks whether the peer is reachable; contains the sender's boot id.
    Ping(BootId),
}

/// The response to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The document's bytes, if the peer has them.
    Document(Option<Arc<[u8]>>),
    /// The node slots that the peer has recorded.
    Slots(Vec<SlotRow>),
    /// The groups and VMs that the peer has recorded, encoded by the fleet component.
    Fleet(Vec<u8>),
    /// The peer is reachable; contains its boot id.
    Pong(BootId),
    /// The peer does not serve this request; contains the reason.
    Refused(String),
}
