//! An answer of a back end.

use std::error::Error as _;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tanagerhub_clock::Clock;

use crate::pool::{Pool, Sender};

/// An answer of a back end, with its body still to be read.
#[derive(Debug)]
pub struct BackendResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers, with those of the connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: BackendResponseBody,
}

/// Why a body did not come to its end.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The connection ended before the body did.
    #[error("the answer of {address} was cut: {reason}")]
    Truncated {
        /// The back end.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// The body breaks the protocol.
    #[error("the answer of {address} is broken: {reason}")]
    Malformed {
        /// The back end.
        address: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
    /// It is longer than allowed.
    #[error("the answer of {address} is longer than {limit} bytes")]
    TooLong {
        /// The back end.
        address: SocketAddr,
        /// The most bytes allowed.
        limit: usize,
    },
}

/// A connection to keep once the body has been read whole.
#[derive(Debug)]
pub(crate) struct ReusableConnection {
    pub(crate) sender: Sender,
    pub(crate) pool: Arc<Pool>,
    pub(crate) announced_idle: Option<Duration>,
}

/// The body of an answer, checked for wholeness while it is read.
///
/// Dropping it before its end closes the connection, which makes a back end stop its work.
pub struct BackendResponseBody {
    address: SocketAddr,
    body: Incoming,
    clock: Clock,
    reusable: Option<ReusableConnection>,
    ended: bool,
}

impl fmt::Debug for BackendResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BackendResponseBody")
            .field("address", &self.address)
            .field("ended", &self.ended)
            .finish_non_exhaustive()
    }
}

impl BackendResponseBody {
    pub(crate) const fn new(
        address: SocketAddr,
        body: Incoming,
        clock: Clock,
        reusable: Option<ReusableConnection>,
    ) -> Self {
        Self {
            address,
            body,
            clock,
            reusable,
            ended: false,
        }
    }

    /// The next bytes; `None` only after a whole body.
    ///
    /// # Errors
    ///
    /// Fails when the body is cut or broken.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        while !self.ended {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    // Trailers carry nothing that is passed on.
                    if let Ok(bytes) = frame.into_data()
                        && !bytes.is_empty()
                    {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(error)) => return Err(self.body_error(&error)),
                None => self.finish(),
            }
        }
        Ok(None)
    }

    /// Reads the body to its end, at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::next`], and when the body is longer than `limit`.
    pub async fn read(mut self, limit: usize) -> Result<Bytes, BodyError> {
        let mut all = Vec::new();
        while let Some(chunk) = self.next().await? {
            if all.len() + chunk.len() > limit {
                let address = self.address;
                return Err(BodyError::TooLong { address, limit });
            }
            all.extend_from_slice(&chunk);
        }
        Ok(all.into())
    }

    fn finish(&mut self) {
        self.ended = true;
        if let Some(connection) = self.reusable.take() {
            let now = self.clock.now();
            connection.pool.put(
                self.address,
                connection.sender,
                now,
                connection.announced_idle,
            );
        }
    }

    fn body_error(&mut self, error: &hyper::Error) -> BodyError {
        self.reusable = None;
        let cause = error
            .source()
            .and_then(|cause| cause.downcast_ref::<io::Error>());
        let address = self.address;
        let reason = cause.map_or_else(|| error.to_string(), ToString::to_string);
        match cause.map(io::Error::kind) {
            Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData) => {
                BodyError::Malformed { address, reason }
            }
            _ => BodyError::Truncated { address, reason },
        }
    }
}
