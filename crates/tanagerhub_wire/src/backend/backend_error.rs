//! Failures of back ends.

use std::net::SocketAddr;
use std::time::Duration;

/// Why a back end gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BackendError {
    /// No byte of the request can have reached the back end.
    #[error("{address} was not reached: {reason}")]
    NotSent {
        /// The back end.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// The connection broke after bytes were sent; the request may have run.
    #[error("{address} broke off before it answered: {reason}")]
    Broken {
        /// The back end.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// Nothing came back in time; the request may have run.
    #[error("{address} was silent for {} ms", after.as_millis())]
    Timeout {
        /// The back end.
        address: SocketAddr,
        /// The time since the request was sent.
        after: Duration,
    },
    /// The answer can't be trusted; the request may have run.
    #[error("{address} gave an answer that can't be used: {reason}")]
    Malformed {
        /// The back end.
        address: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
}

impl BackendError {
    /// Whether the back end may have run the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        !matches!(self, Self::NotSent { .. })
    }

    /// The back end.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        match self {
            Self::NotSent { address, .. }
            | Self::Broken { address, .. }
            | Self::Timeout { address, .. }
            | Self::Malformed { address, .. } => *address,
        }
    }
}

/// Why an answer's body did not come to its end.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The connection ended before the body did.
    #[error("the answer of {address} was cut after {received} bytes")]
    Truncated {
        /// The back end.
        address: SocketAddr,
        /// Bytes of the body that arrived.
        received: u64,
    },
    /// The chunks break the protocol.
    #[error("the answer of {address} is broken: {reason}")]
    Malformed {
        /// The back end.
        address: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
    /// Nothing more came in time.
    #[error("{address} was silent for {} ms within its answer", after.as_millis())]
    Timeout {
        /// The back end.
        address: SocketAddr,
        /// The time since the last byte.
        after: Duration,
    },
    /// It is longer than the caller of this client allows.
    #[error("the answer of {address} is longer than {limit} bytes")]
    TooLong {
        /// The back end.
        address: SocketAddr,
        /// The most bytes allowed.
        limit: usize,
    },
}
