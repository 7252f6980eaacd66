//! Errors of communication between nodes.

use std::net::SocketAddr;

use crate::peers::FrameError;

/// Why a transport can't be bound, or a message to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The node's own address can't be bound.
    #[error("cannot bind {address} for peers: {source}")]
    Bind {
        /// The node's address for peers.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The connection can't be established, or a datagram can't be sent.
    #[error("cannot connect to peer {address}: {source}")]
    Connect {
        /// The peer's address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The connection failed.
    #[error("the connection to peer {address} failed: {source}")]
    Connection {
        /// The peer's address.
        address: SocketAddr,
        /// The error of the HTTP/2 library.
        source: h2::Error,
    },
    /// The response did not arrive in time.
    #[error("peer {address} did not respond in time")]
    Timeout {
        /// The peer's address.
        address: SocketAddr,
    },
    /// The message is too long to be sent, or the response is invalid.
    #[error("a message from or to peer {address} is invalid: {source}")]
    Frame {
        /// The peer's address.
        address: SocketAddr,
        /// Why the message is invalid.
        source: FrameError,
    },
    /// The peer refused the request with a status other than 200.
    #[error("peer {address} responded with status {status}")]
    Status {
        /// The peer's address.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
}
