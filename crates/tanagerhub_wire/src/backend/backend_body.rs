//! The body of a back end's answer.

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

/// The most bytes of one chunk.
const MAX_CHUNK_BYTES: usize = 8 * 1_024;

/// The body of a back end's answer, checked for wholeness while it is read.
///
/// Dropping it before its end closes the connection, which makes an engine cancel its work.
#[derive(Debug)]
pub struct BackendBody {
    pub(crate) address: SocketAddr,
    pub(crate) body: http_types::Body,
    pub(crate) framing: Framing,
    pub(crate) body_idle: Duration,
    pub(crate) clock: Clock,
    /// The connection to keep when the body has come to its end.
    pub(crate) reusable: Option<TcpStream>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) received: u64,
    pub(crate) ended: bool,
    /// Where the socket's bytes arrive.
    pub(crate) buffer: Vec<u8>,
}

impl BackendBody {
    /// The next bytes; `None` only after a whole body.
    ///
    /// # Errors
    ///
    /// Fails when the body is cut or broken, or when nothing comes in time.
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
            // A token is far shorter than the block, which would stay with each waiting chunk.
            return Ok(Some(Bytes::copy_from_slice(&self.buffer[..count])));
        }
        if self.framing == Framing::Chunked {
            self.finish();
            return Ok(None);
        }
        // async-h1 takes a body that was cut short for a whole one.
        self.reusable = None;
        Err(self.truncated())
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
                return Err(BodyError::TooLong {
                    address: self.address,
                    limit,
                });
            }
            all.extend_from_slice(&chunk);
        }
        Ok(all.into())
    }

    /// The length that the back end announced, in bytes; `None` for chunks.
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
