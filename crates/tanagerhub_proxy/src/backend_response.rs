//! A backend server's response and its body.

use std::error::Error as _;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tanagerhub_clock::Clock;

use crate::metered_stream::ReadMeter;
use crate::pool::{Connection, Pool};
use crate::{MemoryBudget, Part, ReservedBody};

/// The head of a backend server's response, with the body still to be read.
#[derive(Debug)]
pub struct BackendResponse {
    /// Status, as the backend server sent it.
    pub status: StatusCode,
    /// All headers as received, including hop-by-hop headers such as `Connection`.
    pub headers: HeaderMap,
    /// Body; dropping it before its end closes the connection.
    pub body: BackendResponseBody,
}

/// Why a response body could not be read to its end.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The connection ended before the body was complete.
    #[error("the response from {address} was truncated: {reason}")]
    Truncated {
        /// Address of the backend server.
        address: SocketAddr,
        /// The connection's error.
        reason: String,
    },
    /// The body violates the HTTP protocol.
    #[error("the response from {address} is malformed: {reason}")]
    Malformed {
        /// Address of the backend server.
        address: SocketAddr,
        /// The parser's error.
        reason: String,
    },
    /// The node has no memory for the body.
    #[error("the node has no memory for the response from {address}")]
    NoMemory {
        /// Address of the backend server.
        address: SocketAddr,
    },
    /// The body exceeds the caller's limit.
    #[error("the response from {address} exceeds {limit} bytes")]
    TooLong {
        /// Address of the backend server.
        address: SocketAddr,
        /// Maximum body size in bytes.
        limit: usize,
    },
}

/// A connection that is returned to the pool once the body has been read to its end.
#[derive(Debug)]
pub(crate) struct ReusableConnection {
    pub(crate) connection: Connection,
    pub(crate) pool: Arc<Pool>,
    pub(crate) announced_idle: Option<Duration>,
}

/// A response body that reports truncation and protocol errors while it is read.
///
/// Dropping it before its end closes the connection, which makes the backend server stop its work.
pub struct BackendResponseBody {
    address: SocketAddr,
    body: Incoming,
    clock: Clock,
    meter: Arc<ReadMeter>,
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
        meter: Arc<ReadMeter>,
        reusable: Option<ReusableConnection>,
    ) -> Self {
        Self {
            address,
            body,
            clock,
            meter,
            reusable,
            ended: false,
        }
    }

    /// Returns the next non-empty chunk, or `None` once the body is complete.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::Truncated`] or [`BodyError::Malformed`]; the connection is then not
    /// reused.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        while !self.ended {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    // Trailer frames are dropped: trailers are not forwarded.
                    if let Ok(bytes) = frame.into_data()
                        && !bytes.is_empty()
                    {
                        self.meter.record_progress();
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(error)) => return Err(self.body_error(&error)),
                None => self.finish(),
            }
        }
        Ok(None)
    }

    /// Reads the body to its end and returns it, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::next`], or with [`BodyError::TooLong`] when the body exceeds `limit`.
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

    /// Reads the body like [`Self::read`], with its bytes reserved in a budget, and waits for them.
    ///
    /// The bytes of a body of known length are reserved before any is read. Others are reserved
    /// while they arrive, without a wait, since bodies of which a part is held could wait for each
    /// other.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::read`], or with [`BodyError::NoMemory`].
    pub async fn read_reserved(
        mut self,
        limit: usize,
        budget: &MemoryBudget,
    ) -> Result<ReservedBody, BodyError> {
        let address = self.address;
        let length = self.body.size_hint().exact().unwrap_or_default();
        if length > limit as u64 {
            return Err(BodyError::TooLong { address, limit });
        }
        let no_memory = |_| BodyError::NoMemory { address };
        let memory = ReservedBody::memory_for(length);
        let reservation = budget.reserve_running(Part::Responses, memory).await;
        let mut all = ReservedBody::new(reservation.map_err(no_memory)?);
        let mut received = 0;
        while let Some(chunk) = self.next().await? {
            received += chunk.len();
            if received > limit {
                return Err(BodyError::TooLong { address, limit });
            }
            all.push(&chunk).map_err(no_memory)?;
        }
        Ok(all)
    }

    /// Marks the body as complete and returns the connection to the pool.
    fn finish(&mut self) {
        self.ended = true;
        if let Some(reusable) = self.reusable.take() {
            let now = self.clock.now();
            reusable.pool.put(
                self.address,
                reusable.connection,
                now,
                reusable.announced_idle,
            );
        }
    }

    /// Converts a `hyper` error, and discards the connection.
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
