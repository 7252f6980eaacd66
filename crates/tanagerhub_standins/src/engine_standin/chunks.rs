//! A body that is made piece by piece.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::Receiver;
use futures_lite::{AsyncBufRead, AsyncRead, Stream};

/// Reads the pieces that another task sends; an error breaks the body off.
pub(super) struct Chunks {
    receiver: Pin<Box<Receiver<io::Result<Vec<u8>>>>>,
    piece: Vec<u8>,
    at: usize,
}

impl Chunks {
    pub(super) fn new(receiver: Receiver<io::Result<Vec<u8>>>) -> Self {
        Self {
            receiver: Box::pin(receiver),
            piece: Vec::new(),
            at: 0,
        }
    }
}

impl AsyncBufRead for Chunks {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.at >= this.piece.len() {
            match ready!(this.receiver.as_mut().poll_next(context)) {
                Some(piece) => this.piece = piece?,
                None => return Poll::Ready(Ok(&[])),
            }
            this.at = 0;
        }
        Poll::Ready(Ok(&this.piece[this.at..]))
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        self.at += count;
    }
}

impl AsyncRead for Chunks {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let piece = ready!(self.as_mut().poll_fill_buf(context))?;
        let count = piece.len().min(buffer.len());
        buffer[..count].copy_from_slice(&piece[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
