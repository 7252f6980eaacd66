//! Limits what the HTTP parser reads of a connection.
//!
//! The parser itself accepts interim responses, or digits of a chunk's size, without end, and
//! continues for as long as bytes are available.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use async_std::net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};

use crate::write_stall::WriteStall;

/// Maximum number of bytes between the request, the head of its response and each chunk of the
/// body. It exceeds what the parser reads ahead.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 1 << 20;
/// Maximum number of successive reads before other work of the same task continues.
const MAX_SUCCESSIVE_READS: u32 = 16;
/// Maximum size of one read where memory is limited; the parser passes on a chunk per read.
pub(crate) const SMALL_READ_BYTES: usize = 16_384;

/// Counts the bytes received since the last progress of a response.
#[derive(Debug, Default)]
pub(crate) struct ReadMeter(AtomicUsize);

impl ReadMeter {
    pub(crate) fn record_progress(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn record_bytes(&self, count: usize) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) > MAX_BYTES_WITHOUT_PROGRESS
    }
}

/// A stream whose reads yield regularly, and fail once its meter exceeds the limit.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: Arc<TcpStream>,
    meter: Option<Arc<ReadMeter>>,
    successive_reads: u32,
    max_read_bytes: usize,
    write_stall: Option<WriteStall>,
}

impl MeteredStream {
    pub(crate) const fn new(stream: Arc<TcpStream>, meter: Option<Arc<ReadMeter>>) -> Self {
        Self {
            stream,
            meter,
            successive_reads: 0,
            max_read_bytes: usize::MAX,
            write_stall: None,
        }
    }

    /// Limits the size of each read.
    pub(crate) const fn max_read(mut self, bytes: usize) -> Self {
        self.max_read_bytes = bytes;
        self
    }

    /// Fails writes that make no progress.
    pub(crate) fn stall(mut self, stall: WriteStall) -> Self {
        self.write_stall = Some(stall);
        self
    }

    fn is_exceeded(&self) -> bool {
        let meter = self.meter.as_ref();
        meter.is_some_and(|meter| meter.is_exceeded())
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_exceeded() {
            let reason = "too many bytes without progress of the response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        if self.successive_reads >= MAX_SUCCESSIVE_READS {
            self.successive_reads = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let count = buffer.len().min(self.max_read_bytes);
        let buffer = &mut buffer[..count];
        let Poll::Ready(result) = Pin::new(&mut &*self.stream).poll_read(context, buffer) else {
            self.successive_reads = 0;
            return Poll::Pending;
        };
        self.successive_reads += 1;
        if let (Some(meter), Ok(count)) = (&self.meter, &result) {
            meter.record_bytes(*count);
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let stream = &*this.stream;
        let write = |context: &mut Context<'_>| Pin::new(&mut &*stream).poll_write(context, bytes);
        match &mut this.write_stall {
            Some(stall) => stall.poll_write(context, write),
            None => write(context),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let stream = &*this.stream;
        let write = |context: &mut Context<'_>| {
            Pin::new(&mut &*stream).poll_write_vectored(context, buffers)
        };
        match &mut this.write_stall {
            Some(stall) => stall.poll_write(context, write),
            None => write(context),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_close(context)
    }
}
