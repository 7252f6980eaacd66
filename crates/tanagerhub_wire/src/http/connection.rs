//! One connection of a caller.

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

use crate::callers::{ErrorAnswer, ErrorKind, Outcome};
use crate::http::head::{Framing, HeadFault, RequestHead, head_length};
use crate::http::server::Shared;
use crate::http::{Replay, Request, Response, convert, gather};

/// The most bytes read at once outside bodies.
const READ_BLOCK: usize = 4 * 1_024;
/// The most bytes of an answer written at once.
const WRITE_BLOCK: usize = 16 * 1_024;
/// How long to listen after a refusal, so that the caller can read it before the reset.
const LINGER: Duration = Duration::from_millis(500);

/// Why a connection ends.
#[derive(Debug)]
enum End {
    /// The caller closed, or the server stops.
    Closed,
    /// The caller closed or broke off before it had its answer.
    Gone,
    /// The caller sent or read too slowly.
    Slow,
    /// The caller gets this answer, and the connection is closed.
    Refused(Box<ErrorAnswer>),
}

#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    shared: Arc<Shared>,
    stopped: Receiver<()>,
    /// Bytes read from the socket that no request has used yet.
    buffer: Vec<u8>,
    /// Where the socket's bytes arrive; a read may be given up without harm to the buffer.
    block: Box<[u8]>,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, shared: Arc<Shared>, stopped: Receiver<()>) -> Self {
        Self {
            stream,
            shared,
            stopped,
            buffer: Vec::new(),
            block: vec![0; READ_BLOCK].into(),
        }
    }

    /// Serves requests until the connection ends.
    pub(crate) async fn run<H, F>(mut self, handler: &H)
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response>,
    {
        // Tokens go out as they come.
        if self.stream.set_nodelay(true).is_err() {
            return;
        }
        let end = loop {
            match self.serve_one(handler).await {
                Ok(true) => {}
                Ok(false) => break End::Closed,
                Err(end) => break end,
            }
        };
        self.end(end).await;
    }

    /// Answers 503 at once.
    pub(crate) async fn turn_away(mut self) {
        let answer = refusal(ErrorKind::Overloaded, "too many connections are open")
            .retry_after(Duration::from_secs(1));
        self.refuse(answer).await;
    }

    /// Serves one request; says whether the connection may serve another.
    async fn serve_one<H, F>(&mut self, handler: &H) -> Result<bool, End>
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response>,
    {
        self.await_request().await?;
        let length = self.read_head().await?;
        let head = RequestHead::check(&self.buffer[..length]).map_err(|fault| bad_head(&fault))?;
        let request = self.read_request(length, head.framing).await?;
        self.shared
            .counters
            .requests
            .fetch_add(1, Ordering::Relaxed);
        let method = request.method().clone();
        let response = self.while_there(handler(request)).await?;
        // Bytes behind a chunked body may be lost in async-h1's buffer.
        let close = head.close
            || head.framing == Framing::Chunked
            || self.shared.draining.load(Ordering::Relaxed);
        self.write(response, &method, close).await?;
        Ok(!close)
    }

    /// Waits for the first byte of a request.
    async fn await_request(&mut self) -> Result<(), End> {
        if !self.buffer.is_empty() {
            return Ok(());
        }
        let shared = Arc::clone(&self.shared);
        let stopped = self.stopped.clone();
        let stop = async {
            let _: Result<(), _> = stopped.recv().await;
            Err(End::Closed)
        };
        let first = shared.clock.timeout(shared.limits.idle, self.read_some());
        let first = async { first.await.unwrap_or(Err(End::Closed)) };
        match future::or(first, stop).await {
            Err(End::Gone) => Err(End::Closed),
            other => other,
        }
    }

    /// Reads until a whole head is in the buffer, and gives its length.
    async fn read_head(&mut self) -> Result<usize, End> {
        let shared = Arc::clone(&self.shared);
        let head = self.read_until_head(shared.limits.head_bytes);
        let head = shared.clock.timeout(shared.limits.head, head);
        head.await.unwrap_or(Err(End::Slow))
    }

    async fn read_until_head(&mut self, most: usize) -> Result<usize, End> {
        let mut searched = 0;
        loop {
            match head_length(&self.buffer, searched) {
                Some(length) if length <= most => return Ok(length),
                None if self.buffer.len() <= most => searched = self.buffer.len(),
                _ => {
                    let text = format!("the head is longer than {most} bytes");
                    return Err(refused(refusal(ErrorKind::HeadTooLarge, text)));
                }
            }
            self.read_some().await?;
        }
    }

    async fn read_some(&mut self) -> Result<(), End> {
        let count = self.stream.read(&mut self.block).await.unwrap_or(0);
        self.buffer.extend_from_slice(&self.block[..count]);
        if count == 0 { Err(End::Gone) } else { Ok(()) }
    }

    /// Lets `async-h1` read the request whose head starts the buffer.
    async fn read_request(&mut self, length: usize, framing: Framing) -> Result<Request, End> {
        let most = self.shared.limits.body_bytes;
        let replay = self.replay(length, framing)?;
        let shared = Arc::clone(&self.shared);
        let read = async {
            // Boxed, since its headers would stay in every connection's future.
            let decoded = Box::pin(decode(replay)).await;
            let (mut head, _rest) = decoded
                .ok()
                .flatten()
                .ok_or_else(|| bad_head(&HeadFault::Malformed("unknown form".to_owned())))?;
            let body = read_body(head.take_body(), framing, most).await?;
            convert::request(&head, body)
                .ok_or_else(|| bad_head(&HeadFault::Malformed("unknown form".to_owned())))
        };
        let read = shared.clock.timeout(shared.limits.body, read).await;
        read.unwrap_or_else(|| {
            let text = "the body did not arrive in time";
            Err(refused(refusal(ErrorKind::SlowRequest, text)))
        })
    }

    /// Takes the bytes of one message out of the buffer, and the rest of it from the socket.
    fn replay(&mut self, length: usize, framing: Framing) -> Result<Replay, End> {
        let most = self.shared.limits.body_bytes;
        let (taken, left) = match framing {
            Framing::None => (length, 0),
            Framing::Chunked => (self.buffer.len(), u64::MAX),
            Framing::Length(body) => {
                let body = usize::try_from(body).unwrap_or(usize::MAX);
                if body > most {
                    return Err(too_large(most));
                }
                let taken = self.buffer.len().min(length + body);
                (taken, (length + body - taken) as u64)
            }
        };
        let rest = self.buffer.split_off(taken);
        let prefix = std::mem::replace(&mut self.buffer, rest);
        Ok(Replay::new(prefix, self.stream.clone(), left))
    }

    /// Runs `work`, unless the caller closes its connection before.
    async fn while_there<T>(&mut self, work: impl Future<Output = T>) -> Result<T, End> {
        let most = self.shared.limits.head_bytes;
        let watch = async {
            // A caller may send its next request early; the rest of it waits in the socket.
            while self.buffer.len() <= most {
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
    ) -> Result<(), End> {
        let method = method.as_str().parse().unwrap_or(http_types::Method::Get);
        let response = convert::answer(response, close).map_err(|error| {
            log::error!(error:%; "an answer has a header outside ASCII");
            let text = "the answer has a header that can't be sent";
            let answer = ErrorAnswer::new(ErrorKind::Internal, Outcome::Unknown, text);
            refused(answer)
        })?;
        let encoder = Encoder::new(response, method);
        let stream = self.stream.clone();
        let shared = Arc::clone(&self.shared);
        self.while_there(copy(encoder, stream, &shared)).await?
    }

    async fn end(&mut self, end: End) {
        let counters = Arc::clone(&self.shared.counters);
        match end {
            End::Closed => {}
            End::Gone => count(&counters.gone),
            End::Slow => {
                count(&counters.slow);
                let text = "the request did not arrive in time";
                self.refuse(refusal(ErrorKind::SlowRequest, text)).await;
            }
            End::Refused(answer) => {
                count(&counters.malformed);
                self.refuse(*answer).await;
            }
        }
    }

    /// Sends a last answer, and reads on for a moment so that the caller gets to see it.
    async fn refuse(&mut self, answer: ErrorAnswer) {
        let shared = Arc::clone(&self.shared);
        let Ok(answer) = convert::answer(answer.into_response(), true) else {
            return;
        };
        let encoder = Encoder::new(answer, http_types::Method::Get);
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
        let _: Option<()> = shared.clock.timeout(LINGER, drain).await;
    }
}

async fn copy(mut encoder: Encoder, mut stream: TcpStream, shared: &Shared) -> Result<(), End> {
    let mut block = vec![0; WRITE_BLOCK];
    loop {
        let count = gather(&mut encoder, &mut block).await.map_err(|error| {
            log::debug!(error:%; "an answer was cut");
            End::Closed
        })?;
        if count == 0 {
            return Ok(());
        }
        let write = stream.write_all(&block[..count]);
        match shared.clock.timeout(shared.limits.stall, write).await {
            Some(Ok(())) => {}
            Some(Err(_)) => return Err(End::Gone),
            None => {
                self::count(&shared.counters.slow);
                return Err(End::Closed);
            }
        }
    }
}

async fn read_body(
    mut body: http_types::Body,
    framing: Framing,
    most: usize,
) -> Result<Bytes, End> {
    let mut bytes = Vec::new();
    let mut limited = (&mut body).take(most as u64 + 1);
    let read: io::Result<usize> = limited.read_to_end(&mut bytes).await;
    if read.is_err() {
        let fault = HeadFault::Malformed("the chunks of the body are broken".to_owned());
        return Err(bad_head(&fault));
    }
    if bytes.len() > most {
        return Err(too_large(most));
    }
    // async-h1 takes a body that was cut short for a whole one.
    match framing {
        Framing::Length(length) if length != bytes.len() as u64 => Err(End::Gone),
        _ => Ok(bytes.into()),
    }
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

fn too_large(most: usize) -> End {
    let text = format!("the body is longer than {most} bytes");
    refused(refusal(ErrorKind::BodyTooLarge, text))
}

fn bad_head(fault: &HeadFault) -> End {
    let kind = ErrorKind::Malformed(fault.status());
    refused(refusal(kind, fault.to_string()))
}

fn refusal(kind: ErrorKind, text: impl Into<String>) -> ErrorAnswer {
    ErrorAnswer::new(kind, Outcome::NotRun, text)
}

fn refused(answer: ErrorAnswer) -> End {
    End::Refused(Box::new(answer))
}
