//! Failures before an answer's head.

use std::net::SocketAddr;

/// Why a request got no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request left this process.
    #[error("the request was not sent to {address}: {reason}")]
    NotSent {
        /// The back end.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// The back end is there, but closed the new connection; no byte of the request left.
    #[error("{address} closed a new connection: {reason}")]
    ConnectionClosed {
        /// The back end.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// The connection broke after bytes may have been sent.
    #[error("{address} broke off before it answered: {reason}")]
    Broken {
        /// The back end.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// The answer breaks the protocol.
    #[error("{address} sent an answer that can't be read: {reason}")]
    Malformed {
        /// The back end.
        address: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
}

impl SendError {
    /// Whether the back end may have run the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        !matches!(self, Self::NotSent { .. } | Self::ConnectionClosed { .. })
    }
}
