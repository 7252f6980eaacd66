//! A TCP stream whose first bytes have already been read.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use async_std::net::TcpStream;
use futures_lite::io::{AsyncRead, AsyncWrite};

/// Returns bytes that were read before, then at most `remaining` bytes of the socket.
///
/// Clones share the read position, since `async-h1` clones the stream that it reads.
#[derive(Debug, Clone)]
pub(crate) struct PrefixedStream {
    state: Arc<Mutex<State>>,
    stream: TcpStream,
}

#[derive(Debug)]
struct State {
    prefix: Vec<u8>,
    position: usize,
    remaining: u64,
    open_ended: bool,
}

impl PrefixedStream {
    /// Creates a stream of `prefix` and then at most `remaining` bytes of `stream`.
    ///
    /// `u64::MAX` means that the length is unknown, as with a chunked body.
    pub(crate) fn new(prefix: Vec<u8>, stream: TcpStream, remaining: u64) -> Self {
        let state = State {
            prefix,
            position: 0,
            remaining,
            open_ended: remaining == u64::MAX,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            stream,
        }
    }
}

impl AsyncRead for PrefixedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let mut state = this.state.lock().unwrap_or_else(PoisonError::into_inner);
        let polled = state.poll_read(&mut this.stream, context, buffer);
        if state.open_ended && polled.is_ready() {
            // The chunk decoder of async-h1 stops reading when the end of the body arrives in
            // several pieces, so its task is woken to poll again.
            context.waker().wake_by_ref();
        }
        polled
    }
}

impl State {
    fn poll_read(
        &mut self,
        stream: &mut TcpStream,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.position < self.prefix.len() {
            return Poll::Ready(Ok(self.read_prefix(buffer)));
        }
        let limit = self.read_limit(buffer.len());
        if limit == 0 {
            return Poll::Ready(Ok(0));
        }
        let polled = Pin::new(stream).poll_read(context, &mut buffer[..limit]);
        if let Poll::Ready(Ok(count)) = polled {
            self.remaining -= count as u64;
        }
        polled
    }

    fn read_prefix(&mut self, buffer: &mut [u8]) -> usize {
        let rest = &self.prefix[self.position..];
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        self.position += count;
        count
    }

    fn read_limit(&self, wanted: usize) -> usize {
        usize::try_from(self.remaining)
            .unwrap_or(usize::MAX)
            .min(wanted)
    }
}

impl AsyncWrite for PrefixedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
