//! The outputs of a node's membership.

use std::net::SocketAddr;
use std::sync::Arc;

use tanagerhub_catalogue::Catalogue;
use tanagerhub_table::{RowKey, Transaction};

use crate::{
    AgedFact, ApplyOutcome, Beacon, ContentHash, OperationId, PeerRequest, PeerRequestId,
    PeerResponse, ReadId,
};

/// An action to perform after [`Membership::on_event`](crate::Membership::on_event).
#[derive(Debug, Clone)]
pub enum MembershipAction {
    /// Send a datagram; it may be lost.
    SendBeacon {
        /// The receiver's address.
        to: SocketAddr,
        /// The datagram.
        beacon: Beacon,
    },
    /// Send a request to a peer; the response is a
    /// [`MembershipEvent::PeerResponse`](crate::MembershipEvent::PeerResponse).
    SendRequest {
        /// Identifies the request; the response repeats it.
        request_id: PeerRequestId,
        /// The receiver's address.
        to: SocketAddr,
        /// The request.
        request: PeerRequest,
    },
    /// Send a response to a peer's request.
    SendResponse {
        /// The request.
        request_id: PeerRequestId,
        /// The response.
        response: PeerResponse,
    },
    /// Read the table; the response is a
    /// [`MembershipEvent::Rows`](crate::MembershipEvent::Rows) or a
    /// [`MembershipEvent::ReadFailed`](crate::MembershipEvent::ReadFailed).
    Read {
        /// Identifies the read; the response repeats it.
        read: ReadId,
        /// The rows to read.
        rows: TableRead,
    },
    /// Commit a transaction.
    Commit(Transaction),
    /// Fetch a document from the object store.
    Fetch(ContentHash),
    /// Store a document in the object store.
    Store {
        /// The hash of the document.
        hash: ContentHash,
        /// The document's bytes.
        body: Arc<[u8]>,
    },
    /// A newer catalogue was adopted and applies from now on.
    CatalogueAdopted(Arc<Catalogue>),
    /// An operator's change has its outcome.
    ApplyCompleted {
        /// The change.
        operation: OperationId,
        /// The outcome of the change.
        outcome: ApplyOutcome,
    },
    /// New facts that were received from peers.
    Facts(Vec<AgedFact>),
}

/// The rows of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableRead {
    /// The rows with these keys.
    Keys(Vec<RowKey>),
    /// Every row whose key starts with this prefix.
    Prefix(String),
}
