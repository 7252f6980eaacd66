//! The body of a backend server's response.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use bytes::Bytes;
use futures_lite::io::AsyncReadExt;
use tanagerhub_clock::Clock;

use crate::backend::BodyError;
use crate::backend::pool::Pool;
use crate::http::head::Framing;

/// The maximum length of a chunk returned by [`BackendBody::next`].
const MAX_CHUNK_BYTES: usize = 8 * 1_024;

/// The body of a backend server's response, checked for completeness while it is read.
///
/// Dropping it before its end closes the connection, which makes an engine cancel the request.
#[derive(Debug)]
pub struct BackendBody {
    pub(crate) address: SocketAddr,
    pub(crate) body: http_types::Body,
    pub(crate) framing: Framing,
    pub(crate) body_idle: Duration,
    pub(crate) clock: Clock,
    /// The connection that returns to the pool once the body has been read to its end.
    pub(crate) reusable: Option<TcpStream>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) received: u64,
    pub(crate) ended: bool,
    /// The buffer that the socket is read into.
    pub(crate) buffer: Vec<u8>,
}

impl BackendBody {
    /// Returns the next bytes, or `None` after a complete body.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is truncated or malformed, or when no byte arrives within the
    /// timeout.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        if self.ended {
            return Ok(None);
        }
        if self.is_complete() {
            self.finish();
            return Ok(None);
        }
        self.buffer.resize(MAX_CHUNK_BYTES, 0);
        let clock = self.clock.clone();
        let read = clock.timeout(self.body_idle, self.body.read(&mut self.buffer));
        let count = match read.await {
            Some(Ok(count)) => count,
            Some(Err(error)) => return Err(self.read_error(&error)),
            None => return Err(self.timed_out()),
        };
        if count > 0 {
            self.received += count as u64;
            // Copied, since a token is far shorter than the buffer, and a slice of the buffer would
            // keep all of it allocated for as long as the chunk is queued.
            return Ok(Some(Bytes::copy_from_slice(&self.buffer[..count])));
        }
        if self.framing == Framing::Chunked {
            self.finish();
            return Ok(None);
        }
        // async-h1 reports a truncated body as complete.
        self.reusable = None;
        Err(self.truncated())
    }

    /// Reads the rest of the body, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::next`], and [`BodyError::TooLong`] when the body is longer
    /// than `limit` bytes.
    pub async fn read(mut self, limit: usize) -> Result<Bytes, BodyError> {
        let mut all = Vec::new();
        while let Some(chunk) = self.next().await? {
            if all.len() + chunk.len() > limit {
                return Err(BodyError::TooLong {
                    address: self.address,
                    limit,
                });
            }
            all.extend_from_slice(&chunk);
        }
        Ok(all.into())
    }

    /// Returns the announced length in bytes, or `None` for a chunked body.
    #[must_use]
    pub const fn length(&self) -> Option<u64> {
        match self.framing {
            Framing::None => Some(0),
            Framing::Length(length) => Some(length),
            Framing::Chunked => None,
        }
    }

    const fn is_complete(&self) -> bool {
        match self.framing {
            Framing::None => true,
            Framing::Length(length) => self.received >= length,
            Framing::Chunked => false,
        }
    }

    fn finish(&mut self) {
        self.ended = true;
        self.body = http_types::Body::empty();
        self.buffer = Vec::new();
        if let Some(stream) = self.reusable.take() {
            self.pool.put(self.address, stream, self.clock.now());
        }
    }

    fn read_error(&mut self, error: &io::Error) -> BodyError {
        self.reusable = None;
        if error.kind() == io::ErrorKind::InvalidData {
            return BodyError::Malformed {
                address: self.address,
                reason: error.to_string(),
            };
        }
        self.truncated()
    }

    const fn truncated(&self) -> BodyError {
        BodyError::Truncated {
            address: self.address,
            received: self.received,
        }
    }

    fn timed_out(&mut self) -> BodyError {
        self.reusable = None;
        BodyError::Timeout {
            address: self.address,
            after: self.body_idle,
        }
    }
}
