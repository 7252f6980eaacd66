//! Errors of requests to backend servers.

use std::net::SocketAddr;
use std::time::Duration;

/// Why a request to a backend server has no response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BackendError {
    /// No byte of the request can have reached the backend server.
    #[error("{address} was not reached: {reason}")]
    NotSent {
        /// The backend server.
        address: SocketAddr,
        /// The cause, such as the system's error.
        reason: String,
    },
    /// The connection failed after bytes were sent; the request may have run.
    #[error("{address} broke off before it answered: {reason}")]
    Broken {
        /// The backend server.
        address: SocketAddr,
        /// The cause, such as the system's error.
        reason: String,
    },
    /// No response head arrived within
    /// [`Timeouts::first_byte`](crate::backend::Timeouts::first_byte); the request may have run.
    #[error("{address} was silent for {} ms", after.as_millis())]
    Timeout {
        /// The backend server.
        address: SocketAddr,
        /// The timeout that passed.
        after: Duration,
    },
    /// The response head is malformed or too long; the request may have run.
    #[error("{address} gave an answer that can't be used: {reason}")]
    Malformed {
        /// The backend server.
        address: SocketAddr,
        /// What is malformed.
        reason: String,
    },
}

impl BackendError {
    /// Returns whether the backend server may have run the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        !matches!(self, Self::NotSent { .. })
    }

    /// Returns the address of the backend server.
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

/// Why the body of a response could not be read to its end.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The connection ended before the body did.
    #[error("the answer of {address} was cut after {received} bytes")]
    Truncated {
        /// The backend server.
        address: SocketAddr,
        /// The number of bytes of the body that arrived.
        received: u64,
    },
    /// The chunked encoding is malformed.
    #[error("the answer of {address} is broken: {reason}")]
    Malformed {
        /// The backend server.
        address: SocketAddr,
        /// What is malformed.
        reason: String,
    },
    /// No byte arrived within [`Timeouts::body_idle`](crate::backend::Timeouts::body_idle).
    #[error("{address} was silent for {} ms within its answer", after.as_millis())]
    Timeout {
        /// The backend server.
        address: SocketAddr,
        /// The timeout that passed since the last byte.
        after: Duration,
    },
    /// The body is longer than the limit given to
    /// [`BackendBody::read`](crate::backend::BackendBody::read).
    #[error("the answer of {address} is longer than {limit} bytes")]
    TooLong {
        /// The backend server.
        address: SocketAddr,
        /// The limit, in bytes.
        limit: usize,
    },
}
