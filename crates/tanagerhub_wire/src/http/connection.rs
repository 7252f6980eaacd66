//! Serves one connection of a caller.

use std::io;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_channel::Receiver;
use async_h1::server::{Encoder, decode};
use async_std::net::TcpStream;
use bytes::Bytes;
use futures_lite::future;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};

use crate::callers::{ErrorKind, ErrorResponse, Outcome};
use crate::http::head::{Framing, HeadError, RequestHead, head_length};
use crate::http::server::Shared;
use crate::http::{PrefixedStream, Request, Response, convert, fill_buffer};

/// The size of the buffer for reads other than those of bodies.
const READ_BUFFER_BYTES: usize = 4 * 1_024;
/// The size of the buffer for writing responses.
const WRITE_BUFFER_BYTES: usize = 16 * 1_024;
/// How long the connection is read after an error response, as closing it with unread bytes would
/// reset it before the caller has read the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a connection is closed.
#[derive(Debug)]
enum ConnectionEnd {
    /// The caller closed it between requests, it was idle or stalled for too long, or the server
    /// stops.
    Closed,
    /// The caller disconnected before it had received the response.
    Disconnected,
    /// The caller did not send the head of a request in time.
    TimedOut,
    /// The request is refused with this response.
    Refused(Box<ErrorResponse>),
}

#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    shared: Arc<Shared>,
    stopped: Receiver<()>,
    /// Bytes that were read from the socket and belong to no request processed so far.
    buffer: Vec<u8>,
    /// The buffer that the socket is read into. It is separate so that a cancelled read leaves
    /// `buffer` unchanged.
    read_buffer: Box<[u8]>,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, shared: Arc<Shared>, stopped: Receiver<()>) -> Self {
        Self {
            stream,
            shared,
            stopped,
            buffer: Vec::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES].into(),
        }
    }

    /// Serves requests until the connection is closed.
    pub(crate) async fn run<H, F>(mut self, handler: &H)
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response>,
    {
        // Each token is sent without delay.
        if self.stream.set_nodelay(true).is_err() {
            return;
        }
        let end = loop {
            match self.serve_request(handler).await {
                Ok(true) => {}
                Ok(false) => break ConnectionEnd::Closed,
                Err(end) => break end,
            }
        };
        self.finish(end).await;
    }

    /// Responds with 503 without reading a request.
    pub(crate) async fn reject(mut self) {
        let response = refusal(ErrorKind::Overloaded, "too many connections are open")
            .retry_after(Duration::from_secs(1));
        self.refuse(response).await;
    }

    /// Serves one request and returns whether the connection can serve another.
    async fn serve_request<H, F>(&mut self, handler: &H) -> Result<bool, ConnectionEnd>
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response>,
    {
        self.wait_for_request().await?;
        let length = self.read_head().await?;
        let head = RequestHead::check(&self.buffer[..length])
            .map_err(|error| malformed_request(&error))?;
        let request = self.read_request(length, head.framing).await?;
        self.shared
            .counters
            .requests
            .fetch_add(1, Ordering::Relaxed);
        let method = request.method().clone();
        let response = self.while_connected(handler(request)).await?;
        // Bytes after a chunked body may be lost in async-h1's buffer.
        let close = head.close
            || head.framing == Framing::Chunked
            || self.shared.draining.load(Ordering::Relaxed);
        self.write(response, &method, close).await?;
        Ok(!close)
    }

    /// Waits until a byte of the next request has arrived.
    async fn wait_for_request(&mut self) -> Result<(), ConnectionEnd> {
        if !self.buffer.is_empty() {
            return Ok(());
        }
        let shared = Arc::clone(&self.shared);
        let stopped = self.stopped.clone();
        let stop = async {
            let _: Result<(), _> = stopped.recv().await;
            Err(ConnectionEnd::Closed)
        };
        let first = shared
            .clock
            .timeout(shared.limits.idle_timeout, self.read_some());
        let first = async { first.await.unwrap_or(Err(ConnectionEnd::Closed)) };
        match future::or(first, stop).await {
            Err(ConnectionEnd::Disconnected) => Err(ConnectionEnd::Closed),
            other => other,
        }
    }

    /// Reads until the buffer holds a complete head, and returns its length.
    async fn read_head(&mut self) -> Result<usize, ConnectionEnd> {
        let shared = Arc::clone(&self.shared);
        let head = self.read_until_head(shared.limits.max_head_bytes);
        let head = shared.clock.timeout(shared.limits.head_timeout, head);
        head.await.unwrap_or(Err(ConnectionEnd::TimedOut))
    }

    async fn read_until_head(&mut self, max_bytes: usize) -> Result<usize, ConnectionEnd> {
        let mut searched = 0;
        loop {
            match head_length(&self.buffer, searched) {
                Some(length) if length <= max_bytes => return Ok(length),
                None if self.buffer.len() <= max_bytes => searched = self.buffer.len(),
                _ => {
                    let text = format!("the head is longer than {max_bytes} bytes");
                    return Err(refused(refusal(ErrorKind::HeadTooLarge, text)));
                }
            }
            self.read_some().await?;
        }
    }

    async fn read_some(&mut self) -> Result<(), ConnectionEnd> {
        let count = self.stream.read(&mut self.read_buffer).await.unwrap_or(0);
        self.buffer.extend_from_slice(&self.read_buffer[..count]);
        if count == 0 {
            Err(ConnectionEnd::Disconnected)
        } else {
            Ok(())
        }
    }

    /// Reads the request whose head is at the start of the buffer, by way of `async-h1`.
    async fn read_request(
        &mut self,
        length: usize,
        framing: Framing,
    ) -> Result<Request, ConnectionEnd> {
        let max_bytes = self.shared.limits.max_body_bytes;
        let stream = self.message_stream(length, framing)?;
        let shared = Arc::clone(&self.shared);
        let read = async {
            // Boxed, since its headers would enlarge the future of every connection.
            let decoded = Box::pin(decode(stream)).await;
            let (mut head, _rest) = decoded.ok().flatten().ok_or_else(|| {
                malformed_request(&HeadError::Malformed("unknown form".to_owned()))
            })?;
            let body = read_body(head.take_body(), framing, max_bytes).await?;
            convert::request(&head, body)
                .ok_or_else(|| malformed_request(&HeadError::Malformed("unknown form".to_owned())))
        };
        let read = shared.clock.timeout(shared.limits.body_timeout, read).await;
        read.unwrap_or_else(|| {
            let text = "the body did not arrive in time";
            Err(refused(refusal(ErrorKind::SlowRequest, text)))
        })
    }

    /// Returns a stream of one message: its bytes are removed from the buffer, and the rest is read
    /// from the socket.
    fn message_stream(
        &mut self,
        length: usize,
        framing: Framing,
    ) -> Result<PrefixedStream, ConnectionEnd> {
        let max_bytes = self.shared.limits.max_body_bytes;
        let (taken, remaining) = match framing {
            Framing::None => (length, 0),
            Framing::Chunked => (self.buffer.len(), u64::MAX),
            Framing::Length(body) => {
                let body = usize::try_from(body).unwrap_or(usize::MAX);
                if body > max_bytes {
                    return Err(too_large(max_bytes));
                }
                let taken = self.buffer.len().min(length + body);
                (taken, (length + body - taken) as u64)
            }
        };
        let rest = self.buffer.split_off(taken);
        let prefix = std::mem::replace(&mut self.buffer, rest);
        Ok(PrefixedStream::new(prefix, self.stream.clone(), remaining))
    }

    /// Runs `work`, and cancels it when the caller closes its connection.
    async fn while_connected<T>(
        &mut self,
        work: impl Future<Output = T>,
    ) -> Result<T, ConnectionEnd> {
        let max_bytes = self.shared.limits.max_head_bytes;
        let watch = async {
            // A caller may pipeline its next request; what exceeds the limit stays in the socket.
            while self.buffer.len() <= max_bytes {
                self.read_some().await?;
            }
            future::pending().await
        };
        future::or(async { Ok(work.await) }, watch).await
    }

    async fn write(
        &mut self,
        response: Response,
        method: &::http::Method,
        close: bool,
    ) -> Result<(), ConnectionEnd> {
        let method = method.as_str().parse().unwrap_or(http_types::Method::Get);
        let response = convert::response(response, close).map_err(|error| {
            log::error!(error:%; "response not sent: a header value has bytes outside ASCII");
            let text = "the answer has a header that can't be sent";
            let response = ErrorResponse::new(ErrorKind::Internal, Outcome::Unknown, text);
            refused(response)
        })?;
        let encoder = Encoder::new(response, method);
        let stream = self.stream.clone();
        let shared = Arc::clone(&self.shared);
        self.while_connected(copy(encoder, stream, &shared)).await?
    }

    async fn finish(&mut self, end: ConnectionEnd) {
        let counters = Arc::clone(&self.shared.counters);
        match end {
            ConnectionEnd::Closed => {}
            ConnectionEnd::Disconnected => count(&counters.disconnected),
            ConnectionEnd::TimedOut => {
                count(&counters.timed_out);
                let text = "the request did not arrive in time";
                self.refuse(refusal(ErrorKind::SlowRequest, text)).await;
            }
            ConnectionEnd::Refused(response) => {
                count(&counters.malformed);
                self.refuse(*response).await;
            }
        }
    }

    /// Sends an error response, then reads and discards input for [`LINGER_TIMEOUT`] so that the
    /// caller can receive it.
    async fn refuse(&mut self, response: ErrorResponse) {
        let shared = Arc::clone(&self.shared);
        let Ok(response) = convert::response(response.into_response(), true) else {
            return;
        };
        let encoder = Encoder::new(response, http_types::Method::Get);
        if copy(encoder, self.stream.clone(), &shared).await.is_err() {
            return;
        }
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let drain = async {
            let mut sink = [0; 1_024];
            while self.stream.read(&mut sink).await.is_ok_and(|n| n > 0) {}
        };
        let _: Option<()> = shared.clock.timeout(LINGER_TIMEOUT, drain).await;
    }
}

async fn copy(
    mut encoder: Encoder,
    mut stream: TcpStream,
    shared: &Shared,
) -> Result<(), ConnectionEnd> {
    let mut buffer = vec![0; WRITE_BUFFER_BYTES];
    loop {
        let count = fill_buffer(&mut encoder, &mut buffer)
            .await
            .map_err(|error| {
                log::debug!(error:%; "response aborted before its end");
                ConnectionEnd::Closed
            })?;
        if count == 0 {
            return Ok(());
        }
        let write = stream.write_all(&buffer[..count]);
        match shared
            .clock
            .timeout(shared.limits.stall_timeout, write)
            .await
        {
            Some(Ok(())) => {}
            Some(Err(_)) => return Err(ConnectionEnd::Disconnected),
            None => {
                self::count(&shared.counters.timed_out);
                return Err(ConnectionEnd::Closed);
            }
        }
    }
}

async fn read_body(
    mut body: http_types::Body,
    framing: Framing,
    max_bytes: usize,
) -> Result<Bytes, ConnectionEnd> {
    let mut bytes = Vec::new();
    let mut limited = (&mut body).take(max_bytes as u64 + 1);
    let read: io::Result<usize> = limited.read_to_end(&mut bytes).await;
    if read.is_err() {
        let error = HeadError::Malformed("the chunks of the body are broken".to_owned());
        return Err(malformed_request(&error));
    }
    if bytes.len() > max_bytes {
        return Err(too_large(max_bytes));
    }
    // async-h1 reports a truncated body as complete.
    match framing {
        Framing::Length(length) if length != bytes.len() as u64 => Err(ConnectionEnd::Disconnected),
        _ => Ok(bytes.into()),
    }
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

fn too_large(max_bytes: usize) -> ConnectionEnd {
    let text = format!("the body is longer than {max_bytes} bytes");
    refused(refusal(ErrorKind::BodyTooLarge, text))
}

fn malformed_request(error: &HeadError) -> ConnectionEnd {
    let kind = ErrorKind::Malformed(error.status());
    refused(refusal(kind, error.to_string()))
}

/// Returns an error response to a request of which no part was run.
fn refusal(kind: ErrorKind, text: impl Into<String>) -> ErrorResponse {
    ErrorResponse::new(kind, Outcome::NotRun, text)
}

/// Returns the end of a connection on which this error response is sent.
fn refused(response: ErrorResponse) -> ConnectionEnd {
    ConnectionEnd::Refused(Box::new(response))
}
