//! Bodies of callers' requests, including those of requests that are refused unread.
//!
//! If a connection is closed while its caller is still sending, the caller gets a reset and may
//! lose the response. The rest of a body is therefore received and dropped, within limits.

use std::time::Duration;

use async_std::io::ReadExt as _;
use async_std::net::{Shutdown, TcpStream};
use bytes::Bytes;
use futures_lite::future;
use http::header::EXPECT;
use http::request::Parts;
use http::{HeaderMap, Request, Response};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tanagerhub_clock::Clock;

use crate::{MemoryBudget, MemoryError, Part, Reservation, ResponseBody};

/// Maximum time for which a response waits until the rest of the body has been received.
const MAX_DISCARD_TIME: Duration = Duration::from_millis(500);
/// Maximum time for which a connection stays open after its last response to receive the rest.
const MAX_LINGER_TIME: Duration = Duration::from_secs(2);
/// Maximum number of bytes that are received and dropped, before the response and after it.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// The capacity that a body of unknown length starts with.
const FIRST_CAPACITY: usize = 16_384;
const READ_BUFFER_BYTES: usize = 16_384;

/// Marks a response after which the caller may still be sending its request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnreadBody;

/// The body of a caller's request.
#[derive(Debug)]
pub struct RequestBody {
    body: Incoming,
    state: ReadState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadState {
    /// The caller waits for permission before it sends the body.
    Awaited,
    Unread,
    Ended,
    Broken,
    /// The body did not arrive in time.
    Stalled,
}

/// Why the body of a request could not be read to its end.
#[derive(Debug, thiserror::Error)]
pub enum RequestBodyError {
    /// The body exceeds the limit.
    #[error("the body is longer than {limit} bytes")]
    TooLong {
        /// Maximum body size in bytes.
        limit: usize,
    },
    /// The body did not end within the timeout.
    #[error("the body did not arrive within {} ms", timeout.as_millis())]
    TimedOut {
        /// Time for which the body was awaited.
        timeout: Duration,
    },
    /// The node has no memory for the body, or did not have it in time.
    #[error(transparent)]
    Memory(#[from] MemoryError),
    /// The connection failed, or the body violates the HTTP protocol.
    #[error("the body can't be read: {0}")]
    Broken(hyper::Error),
}

impl RequestBody {
    /// Splits a request into its head and its body.
    #[must_use]
    pub fn split(request: Request<Incoming>) -> (Parts, Self) {
        let (parts, body) = request.into_parts();
        let state = if body.is_end_stream() {
            ReadState::Ended
        } else if expects_continue(&parts.headers) {
            ReadState::Awaited
        } else {
            ReadState::Unread
        };
        (parts, Self { body, state })
    }

    /// Reads the body to its end and returns it, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the body exceeds `limit`, does not end within `timeout`, is malformed, or ends
    /// with its connection.
    pub async fn read(
        &mut self,
        clock: &Clock,
        limit: usize,
        timeout: Duration,
    ) -> Result<Bytes, RequestBodyError> {
        let read = clock.timeout(timeout, self.read_to_end(limit)).await;
        read.unwrap_or_else(|| {
            self.state = ReadState::Stalled;
            Err(RequestBodyError::TimedOut { timeout })
        })
    }

    /// Reads the body like [`Self::read`], with its bytes reserved in a budget.
    ///
    /// The bytes of a body of known length are reserved before any is read, which may wait; those
    /// of other bodies are reserved while they arrive. Nothing is read from the caller during a
    /// wait.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::read`], or with [`RequestBodyError::Memory`] when the bytes are not free.
    pub async fn read_reserved(
        &mut self,
        clock: &Clock,
        limit: usize,
        timeout: Duration,
        budget: &MemoryBudget,
        urgency: u8,
    ) -> Result<(Bytes, Reservation), RequestBodyError> {
        let started = clock.now();
        let known = self.body.size_hint().exact();
        let length = known.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if length.is_some_and(|length| length > limit) {
            return Err(RequestBodyError::TooLong { limit });
        }
        let capacity = length.unwrap_or(FIRST_CAPACITY.min(limit));
        let mut reservation = if capacity == 0 {
            // A request without a body needs nothing of a full part.
            budget.empty(Part::Bodies)
        } else {
            let bytes = budget.reserve(Part::Bodies, capacity as u64, urgency, clock, timeout);
            bytes.await?
        };
        let left = timeout.saturating_sub(clock.now().since(started));
        let read = clock.timeout(left, self.read_within(limit, capacity, &mut reservation));
        let body = read.await.unwrap_or_else(|| {
            self.state = ReadState::Stalled;
            Err(RequestBodyError::TimedOut { timeout })
        })?;
        reservation.record(body.len() as u64);
        Ok((body, reservation))
    }

    /// Reads the body to its end; its memory never exceeds the reservation.
    async fn read_within(
        &mut self,
        limit: usize,
        capacity: usize,
        reservation: &mut Reservation,
    ) -> Result<Bytes, RequestBodyError> {
        let mut all = Vec::new();
        all.reserve_exact(capacity);
        while let Some(chunk) = self.next().await? {
            let length = all.len() + chunk.len();
            if length > limit {
                return Err(RequestBodyError::TooLong { limit });
            }
            if length > all.capacity() {
                let larger = (all.capacity() * 2).min(limit).max(length);
                reservation.resize(larger as u64)?;
                all.reserve_exact(larger - all.len());
            }
            all.extend_from_slice(&chunk);
        }
        Ok(all.into())
    }

    async fn read_to_end(&mut self, limit: usize) -> Result<Bytes, RequestBodyError> {
        let mut all = Vec::new();
        while let Some(chunk) = self.next().await? {
            if all.len() + chunk.len() > limit {
                return Err(RequestBodyError::TooLong { limit });
            }
            all.extend_from_slice(&chunk);
        }
        Ok(all.into())
    }

    /// Receives and drops the rest of the body, and then returns the response to the request.
    ///
    /// The response waits for a limited time, and not at all for a caller that waits for permission
    /// to send its body, or whose body has already been awaited for too long. If the body has not
    /// ended by then, the connection closes after the response, but continues to receive bytes for
    /// a limited time.
    ///
    /// # Examples
    ///
    /// ```
    /// use async_std::net::TcpListener;
    /// use http::{Request, Response};
    /// use hyper::body::Incoming;
    /// use tanagerhub_clock::Clock;
    /// use tanagerhub_proxy::{RequestBody, ServerLimits, full_body, serve};
    ///
    /// async fn refuse(request: Request<Incoming>) -> Response<tanagerhub_proxy::ResponseBody> {
    ///     let (_, body) = RequestBody::split(request);
    ///     let response = Response::new(full_body("refused"));
    ///     body.discard(&Clock::real(), response).await
    /// }
    ///
    /// # async_std::task::block_on(async {
    /// let listener = TcpListener::bind("127.0.0.1:0").await?;
    /// let server = serve(listener, ServerLimits::default(), Clock::real(), refuse)?;
    /// server.stop().await;
    /// # Ok::<(), std::io::Error>(())
    /// # }).unwrap();
    /// ```
    pub async fn discard(
        mut self,
        clock: &Clock,
        mut response: Response<ResponseBody>,
    ) -> Response<ResponseBody> {
        if self.state == ReadState::Unread {
            let _: Option<()> = clock
                .timeout(MAX_DISCARD_TIME, self.discard_to_limit())
                .await;
        }
        if self.state != ReadState::Ended {
            response.extensions_mut().insert(UnreadBody);
        }
        response
    }

    async fn discard_to_limit(&mut self) {
        let mut discarded = 0;
        while discarded <= MAX_DISCARDED_BYTES {
            match self.next().await {
                Ok(Some(chunk)) => discarded += chunk.len(),
                Ok(None) | Err(_) => return,
            }
        }
    }

    /// Returns the next chunk, or `None` once the body is complete.
    async fn next(&mut self) -> Result<Option<Bytes>, RequestBodyError> {
        while matches!(self.state, ReadState::Awaited | ReadState::Unread) {
            self.state = ReadState::Unread;
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        return Ok(Some(chunk));
                    }
                }
                Some(Err(error)) => {
                    self.state = ReadState::Broken;
                    return Err(RequestBodyError::Broken(error));
                }
                None => self.state = ReadState::Ended,
            }
        }
        Ok(None)
    }
}

fn expects_continue(headers: &HeaderMap) -> bool {
    headers
        .get(EXPECT)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Ends the sending side of a connection, and receives and drops bytes until the caller closes it.
pub(crate) async fn linger(clock: &Clock, mut stream: &TcpStream) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let expired = clock.sleep(MAX_LINGER_TIME);
    let received = async {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut discarded = 0;
        while discarded <= MAX_DISCARDED_BYTES {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(count) => discarded += count,
            }
        }
    };
    future::or(received, expired).await;
}
