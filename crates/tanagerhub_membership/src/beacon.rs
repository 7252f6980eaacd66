//! Datagrams that nodes exchange.

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{CatalogueVersion, NodeId};

use crate::{CatalogueHead, DirectoryDigest, FactBatch, Identity, ShortAge};

/// The version of the protocol between nodes; nodes with different versions don't communicate.
pub const PROTOCOL: u16 = 1;

/// A datagram that may safely be lost, delayed or duplicated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beacon {
    /// The sender's node slot.
    pub node: NodeId,
    /// The process that occupies the slot.
    pub identity: Identity,
    /// The message.
    pub body: BeaconBody,
}

/// The message of a [`Beacon`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BeaconBody {
    /// Requests a peer's state.
    Probe(Probe),
    /// Responds to a probe.
    Response(Box<ProbeResponse>),
    /// Requests an acknowledgement that the peer holds a version.
    AckRequest(AckRequest),
    /// Acknowledges the version of an [`AckRequest`].
    Ack(Ack),
}

/// A request for a peer's state; the response is never older than the time since the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Identifies the probe; the response repeats it.
    pub nonce: u64,
    /// The hash of the name of the prober's region.
    pub region: u64,
    /// The catalogue version that the prober holds.
    pub version: CatalogueVersion,
    /// The digest of the prober's attested groups, with which the peer finds the differing buckets.
    pub digest: DirectoryDigest,
    /// The hash of the prober's list of its region's node slots.
    pub slots: u64,
}

/// A peer's state; ages are as of the moment of sending.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeResponse {
    /// The nonce of the probe.
    pub nonce: u64,
    /// Whether the sender counts towards a majority of its region.
    pub standing: Standing,
    /// The catalogue that the sender holds.
    pub head: ProbeResponseHead,
    /// The time since the table last named the sender's version as the newest.
    pub store_age: ShortAge,
    /// The newest identity that the sender has recorded for the prober's slot.
    pub prober: Identity,
    /// The hash of the sender's list of its region's node slots.
    pub slots: u64,
    /// For each slot of the region, in order: the time since it was last confirmed to hold no
    /// version newer than `head`.
    pub ages: Vec<ShortAge>,
    /// Indices into that list of the nodes that are shutting down.
    pub leaving: Vec<u16>,
    /// The number of requests in flight at the sender.
    pub load: u16,
    /// A batch of shared facts.
    pub facts: FactBatch,
}

/// Whether a process counts towards a majority of its region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// The process has not adopted a catalogue version yet.
    Starting,
    /// The process was paused and is checking whether another process has taken over its slot.
    Paused,
    /// The process counts towards a majority.
    Member,
}

/// The sender's version; the document's hash is included only if the prober's version is older.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeResponseHead {
    /// The prober holds this version or a newer one.
    Version(CatalogueVersion),
    /// The prober holds an older version.
    Newer(CatalogueHead),
}

impl ProbeResponseHead {
    /// Returns the sender's version.
    #[must_use]
    pub const fn version(&self) -> CatalogueVersion {
        match self {
            Self::Version(version) => *version,
            Self::Newer(head) => head.version,
        }
    }
}

/// A request for an acknowledgement that the peer holds a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AckRequest {
    /// Identifies the operator's change.
    pub token: u64,
    /// The round of acknowledgements, as given by [`Acceptance::round`](crate::Acceptance::round).
    pub round: u32,
    /// The version to acknowledge and the hash of its document.
    pub head: CatalogueHead,
    /// The hash of the sender's list of the node slots of the peer's region.
    pub slots: u64,
}

/// An acknowledgement that the sender holds a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The token of the [`AckRequest`].
    pub token: u64,
    /// The round of the [`AckRequest`].
    pub round: u32,
    /// The catalogue version that the sender holds: the requested one or a newer one.
    pub version: CatalogueVersion,
}
