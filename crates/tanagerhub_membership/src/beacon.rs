//! Datagrams between nodes.

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{CatalogueVersion, NodeId};

use crate::{CatalogueHead, DirectoryDigest, FactBatch, Identity, ShortAge};

/// The version of the messages between nodes.
pub const PROTOCOL: u16 = 1;

/// A datagram that may be lost, late or doubled without harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beacon {
    /// The sender's slot.
    pub node: NodeId,
    /// Which process speaks for the slot.
    pub identity: Identity,
    /// What it says.
    pub body: BeaconBody,
}

/// What a [`Beacon`] says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BeaconBody {
    /// Asks a peer for what it knows.
    Probe(Probe),
    /// Answers a probe.
    ProbeResponse(Box<ProbeResponse>),
    /// Asks a peer to say that it holds a version.
    AckRequest(AckRequest),
    /// Says that the sender holds the version of a [`AckRequest`].
    Ack(Ack),
}

/// A question; its answer can't be older than the time since it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Repeated by the answer.
    pub nonce: u64,
    /// The hash of the asker's region's name.
    pub region: u64,
    /// The version that the asker holds.
    pub version: CatalogueVersion,
    /// What the asker's attested groups are compared by.
    pub digest: DirectoryDigest,
    /// The hash of the asker's list of node slots.
    pub slots: u64,
}

/// What a peer knows, with ages at the moment of sending.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeResponse {
    /// The nonce of the probe.
    pub nonce: u64,
    /// How far the sender is to be counted.
    pub standing: Standing,
    /// The newest catalogue that the sender holds.
    pub head: ProbeResponseHead,
    /// Since the table last named the sender's version as the newest.
    pub store_age: ShortAge,
    /// The identity that the sender knows for the asker's slot.
    pub prober: Identity,
    /// The hash of the sender's list of node slots.
    pub slots: u64,
    /// Per slot of the region, in order: since it was known to hold nothing newer than `head`.
    pub ages: Vec<ShortAge>,
    /// Places in that list of nodes that shut down.
    pub leaving: Vec<u16>,
    /// Requests in flight at the sender.
    pub load: u16,
    /// Shared facts.
    pub facts: FactBatch,
}

/// Whether a process counts in its region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It has not adopted a version yet.
    Starting,
    /// It was paused and checks whether its slot was taken over.
    Paused,
    /// It counts.
    Member,
}

/// The sender's version; the hash only for an asker that is behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeResponseHead {
    /// The asker has this version too, or a newer one.
    Version(CatalogueVersion),
    /// The asker is behind.
    Newer(CatalogueHead),
}

impl ProbeResponseHead {
    /// The version.
    #[must_use]
    pub const fn version(&self) -> CatalogueVersion {
        match self {
            Self::Version(version) => *version,
            Self::Newer(head) => head.version,
        }
    }
}

/// Asks a peer to say that it holds a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AckRequest {
    /// Names the operator's change.
    pub token: u64,
    /// The round of acknowledgements.
    pub round: u32,
    /// The version and its document.
    pub head: CatalogueHead,
    /// The hash of the list of slots of the peer's region, as the asker knows it.
    pub slots: u64,
}

/// Says that the sender holds the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The token of the request.
    pub token: u64,
    /// The round of the request.
    pub round: u32,
    /// The version.
    pub version: CatalogueVersion,
}
