//! What happens to a node's membership.

use std::net::SocketAddr;
use std::sync::Arc;

use tanagerhub_catalogue::{Catalogue, CatalogueVersion, NodeId};
use tanagerhub_table::{CommitOutcome, Row, TransactionId};

use crate::{AgedFact, Beacon, ContentHash, PeerRequest, PeerResponse};

/// Names a read of the table, so that its answer can be told from others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// Names a request to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerRequestId(pub u64);

/// Names an operator's change on the node that follows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

/// Something that membership takes in.
#[derive(Debug, Clone)]
pub enum MembershipEvent {
    /// Time has passed; wanted about ten times a second.
    Tick,
    /// A datagram arrived from a peer that has the shared key.
    Beacon {
        /// Where it came from.
        from: SocketAddr,
        /// The datagram.
        beacon: Beacon,
    },
    /// A peer asks for something; answered by [`MembershipAction::SendResponse`](crate::MembershipAction::SendResponse).
    PeerRequest {
        /// Repeated by the reply.
        request_id: PeerRequestId,
        /// The request.
        request: PeerRequest,
    },
    /// A peer answered, or the request was given up.
    PeerResponse {
        /// The request.
        request_id: PeerRequestId,
        /// The answer, if one came.
        response: Option<PeerResponse>,
    },
    /// The table answered a read.
    Rows {
        /// The read.
        read: ReadId,
        /// The rows; missing ones are left out.
        rows: Vec<Row>,
    },
    /// The table could not be read.
    ReadFailed {
        /// The read.
        read: ReadId,
    },
    /// The table answered a transaction.
    Committed {
        /// The transaction.
        transaction: TransactionId,
        /// What became of it.
        outcome: CommitOutcome,
    },
    /// The object store gave a document, or failed to.
    Fetched {
        /// The document.
        hash: ContentHash,
        /// Its bytes, unless the store failed.
        body: Option<Arc<[u8]>>,
    },
    /// The object store took a document, or failed to.
    Stored {
        /// The document.
        hash: ContentHash,
        /// Whether it is kept.
        kept: bool,
    },
    /// An operator wants a catalogue.
    Apply {
        /// The change.
        operation: OperationId,
        /// The wanted catalogue; its version is set when it is committed.
        catalogue: Catalogue,
        /// The version that the operator has seen.
        expected: CatalogueVersion,
    },
    /// An operator says that a node's VM is gone for good.
    Retire {
        /// The node.
        node: NodeId,
    },
    /// Facts that this node has seen itself.
    LocalFacts(Vec<AgedFact>),
    /// Requests in flight at this node.
    Load(u16),
    /// This node shuts down.
    Leaving,
}
