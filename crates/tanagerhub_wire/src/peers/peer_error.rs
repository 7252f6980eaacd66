//! Failures between nodes.

use std::net::SocketAddr;

use crate::peers::FrameError;

/// Why a peer could not be asked.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The own address can't be bound.
    #[error("cannot bind {address} for peers: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The peer can't be reached.
    #[error("cannot connect to peer {address}: {source}")]
    Connect {
        /// The peer.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The connection broke.
    #[error("the connection to peer {address} failed: {source}")]
    Connection {
        /// The peer.
        address: SocketAddr,
        /// What the library said.
        source: h2::Error,
    },
    /// The answer did not come in time.
    #[error("peer {address} did not answer in time")]
    Timeout {
        /// The peer.
        address: SocketAddr,
    },
    /// The request can't be sent, or the answer can't be used.
    #[error("a message of or to peer {address} is refused: {source}")]
    Frame {
        /// The peer.
        address: SocketAddr,
        /// What is wrong.
        source: FrameError,
    },
    /// The peer refused the request.
    #[error("peer {address} answered with status {status}")]
    Status {
        /// The peer.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
}
