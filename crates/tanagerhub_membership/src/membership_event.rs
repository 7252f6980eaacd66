//! The inputs of a node's membership.

use std::net::SocketAddr;
use std::sync::Arc;

use tanagerhub_catalogue::{Catalogue, CatalogueVersion, NodeId};
use tanagerhub_table::{CommitOutcome, Row, TransactionId};

use crate::{AgedFact, Beacon, ContentHash, PeerRequest, PeerResponse};

/// Identifies a read of the table and its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// Identifies a request to a peer or from one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerRequestId(pub u64);

/// Identifies an operator's change on the node that handles it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

/// An input of [`Membership::on_event`](crate::Membership::on_event).
#[derive(Debug, Clone)]
pub enum MembershipEvent {
    /// Time has passed; must be sent about ten times a second.
    Tick,
    /// A datagram arrived from a peer that has the shared key.
    Beacon {
        /// The sender's address.
        from: SocketAddr,
        /// The datagram.
        beacon: Beacon,
    },
    /// A peer sent a request; the response is a
    /// [`MembershipAction::SendResponse`](crate::MembershipAction::SendResponse).
    PeerRequest {
        /// Identifies the request; the response repeats it.
        request_id: PeerRequestId,
        /// The request.
        request: PeerRequest,
    },
    /// A peer responded, or the client abandoned the request.
    PeerResponse {
        /// The request.
        request_id: PeerRequestId,
        /// The response, or `None` if there was none.
        response: Option<PeerResponse>,
    },
    /// The table responded to a read.
    Rows {
        /// The read.
        read: ReadId,
        /// The rows that were found; missing rows are omitted.
        rows: Vec<Row>,
    },
    /// The table could not be read.
    ReadFailed {
        /// The read.
        read: ReadId,
    },
    /// The table responded to a transaction, or the transaction failed.
    Committed {
        /// The id of the transaction.
        transaction: TransactionId,
        /// The outcome of the transaction.
        outcome: CommitOutcome,
    },
    /// The object store returned a document or failed to do so.
    Fetched {
        /// The hash of the document.
        hash: ContentHash,
        /// The document's bytes, or `None` if the store failed.
        body: Option<Arc<[u8]>>,
    },
    /// The object store stored a document or failed to do so.
    Stored {
        /// The hash of the document.
        hash: ContentHash,
        /// Whether the document was stored.
        kept: bool,
    },
    /// An operator requests that a catalogue be applied.
    Apply {
        /// The change.
        operation: OperationId,
        /// The catalogue to apply; membership sets its version to the one after `expected`.
        catalogue: Catalogue,
        /// The version on which the operator's change is based.
        expected: CatalogueVersion,
    },
    /// An operator reports that a node's VM has been removed permanently.
    Retire {
        /// The id of the node's slot.
        node: NodeId,
    },
    /// Facts that this node has observed itself.
    LocalFacts(Vec<AgedFact>),
    /// The number of requests in flight at this node.
    Load(u16),
    /// This node is shutting down.
    Leaving,
}
