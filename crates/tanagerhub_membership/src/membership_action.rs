//! What membership wants done.

use std::net::SocketAddr;
use std::sync::Arc;

use tanagerhub_catalogue::Catalogue;
use tanagerhub_table::{RowKey, Transaction};

use crate::{
    AgedFact, ApplyOutcome, Beacon, ContentHash, OperationId, PeerRequest, PeerRequestId,
    PeerResponse, ReadId,
};

/// Something that the edges do for membership.
#[derive(Debug, Clone)]
pub enum MembershipAction {
    /// Send a datagram; it may be lost.
    SendBeacon {
        /// Where to.
        to: SocketAddr,
        /// The datagram.
        beacon: Beacon,
    },
    /// Ask a peer; answered by [`MembershipEvent::PeerResponse`](crate::MembershipEvent::PeerResponse).
    SendRequest {
        /// Names the request.
        request_id: PeerRequestId,
        /// Where to.
        to: SocketAddr,
        /// The request.
        request: PeerRequest,
    },
    /// Answer a peer's request.
    SendResponse {
        /// The request.
        request_id: PeerRequestId,
        /// The answer.
        response: PeerResponse,
    },
    /// Read the table; answered by [`MembershipEvent::Rows`](crate::MembershipEvent::Rows).
    Read {
        /// Names the read.
        read: ReadId,
        /// What to read.
        rows: TableRead,
    },
    /// Commit a transaction.
    Commit(Transaction),
    /// Fetch a document from the object store.
    Fetch(ContentHash),
    /// Keep a document in the object store.
    Store {
        /// Its hash.
        hash: ContentHash,
        /// Its bytes.
        body: Arc<[u8]>,
    },
    /// A newer catalogue was adopted and is to be followed from now on.
    CatalogueAdopted(Arc<Catalogue>),
    /// An operator's change has its answer.
    ApplyCompleted {
        /// The change.
        operation: OperationId,
        /// What is known of it.
        outcome: ApplyOutcome,
    },
    /// Facts heard from peers that are news.
    Facts(Vec<AgedFact>),
}

/// Which rows to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableRead {
    /// These rows.
    Keys(Vec<RowKey>),
    /// Every row whose name starts so.
    Prefix(String),
}
