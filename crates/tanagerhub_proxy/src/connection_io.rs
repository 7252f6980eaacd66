//! The streams that the HTTP connections read and write.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use smol_hyper::rt::FuturesIo;

use crate::metered_stream::MeteredStream;

/// A stream for `hyper`. If it is vectored, `hyper` keeps references to the chunks of a body
/// instead of copying them into a buffer that stays as large as the largest one.
#[derive(Debug)]
pub(crate) struct ConnectionIo {
    stream: FuturesIo<MeteredStream>,
    vectored: bool,
}

impl ConnectionIo {
    pub(crate) fn new(stream: MeteredStream, vectored: bool) -> Self {
        Self {
            stream: FuturesIo::new(stream),
            vectored,
        }
    }
}

impl Read for ConnectionIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for ConnectionIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.vectored
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
