//! A response body that is produced chunk by chunk.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::Receiver;
use futures_lite::{AsyncBufRead, AsyncRead, Stream};

/// Reads the chunks that another task sends; an error truncates the body.
pub(super) struct Chunks {
    receiver: Pin<Box<Receiver<io::Result<Vec<u8>>>>>,
    chunk: Vec<u8>,
    offset: usize,
}

impl Chunks {
    pub(super) fn new(receiver: Receiver<io::Result<Vec<u8>>>) -> Self {
        Self {
            receiver: Box::pin(receiver),
            chunk: Vec::new(),
            offset: 0,
        }
    }
}

impl AsyncBufRead for Chunks {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.offset >= this.chunk.len() {
            match ready!(this.receiver.as_mut().poll_next(context)) {
                Some(chunk) => this.chunk = chunk?,
                None => return Poll::Ready(Ok(&[])),
            }
            this.offset = 0;
        }
        Poll::Ready(Ok(&this.chunk[this.offset..]))
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        self.offset += count;
    }
}

impl AsyncRead for Chunks {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let chunk = ready!(self.as_mut().poll_fill_buf(context))?;
        let count = chunk.len().min(buffer.len());
        buffer[..count].copy_from_slice(&chunk[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
