//! Errors that occur before a response's head is received.

use std::net::SocketAddr;

/// Why a request got no response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was sent.
    #[error("the request was not sent to {address}: {reason}")]
    NotSent {
        /// Address of the backend server.
        address: SocketAddr,
        /// The connection's error, or why sending was not allowed.
        reason: String,
    },
    /// The backend server accepted the connection, but closed it before any byte was sent.
    #[error("{address} closed the new connection: {reason}")]
    ConnectionClosed {
        /// Address of the backend server.
        address: SocketAddr,
        /// The connection's error.
        reason: String,
    },
    /// The connection failed after bytes of the request may have been sent.
    #[error("the connection to {address} failed before a response: {reason}")]
    Broken {
        /// Address of the backend server.
        address: SocketAddr,
        /// The connection's error.
        reason: String,
        /// Whether an earlier request was sent on the connection, which a sound backend server may
        /// have closed since then.
        reused: bool,
    },
    /// The response violates the HTTP protocol.
    #[error("{address} sent a malformed response: {reason}")]
    Malformed {
        /// Address of the backend server.
        address: SocketAddr,
        /// The parser's error.
        reason: String,
    },
}

impl SendError {
    /// Returns whether the backend server may have run the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        !matches!(self, Self::NotSent { .. } | Self::ConnectionClosed { .. })
    }
}
