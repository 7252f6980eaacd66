//! Complete and streamed bodies of responses.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::{Receiver, Sender};
use bytes::{Buf, Bytes};
use futures_lite::Stream;
use futures_lite::io::{AsyncBufRead, AsyncRead};

/// The maximum number of chunks queued between the sender and the socket.
const MAX_CHUNKS_IN_FLIGHT: usize = 8;

/// The body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body whose bytes are all known.
    Complete(Bytes),
    /// A body that is sent chunk by chunk.
    Stream(ChunkReader),
}

impl ResponseBody {
    /// Creates a body that is sent chunk by chunk, and its sender.
    ///
    /// Only [`ResponseSender::finish`] completes the body. If the sender is dropped before, the
    /// connection is closed without the final chunk, which shows the caller that the body is
    /// truncated.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_wire::http::ResponseBody;
    ///
    /// # async_std::task::block_on(async {
    /// let (sender, body) = ResponseBody::stream();
    /// sender.send("data: 1\n\n".into()).await?;
    /// sender.finish().await?;
    /// # drop(body);
    /// # Ok::<(), tanagerhub_wire::http::CallerDisconnected>(())
    /// # }).unwrap();
    /// ```
    #[must_use]
    pub fn stream() -> (ResponseSender, Self) {
        let (sender, chunks) = async_channel::bounded(MAX_CHUNKS_IN_FLIGHT);
        let reader = ChunkReader {
            chunks: Box::pin(chunks),
            chunk: Bytes::new(),
            ended: false,
        };
        (ResponseSender { sender }, Self::Stream(reader))
    }

    /// Reads the body to its end, up to `limit` bytes of a streamed body.
    ///
    /// # Errors
    ///
    /// Returns an error when a streamed body is truncated or longer than `limit` bytes.
    pub async fn read(self, limit: usize) -> io::Result<Bytes> {
        match self {
            Self::Complete(bytes) => Ok(bytes),
            Self::Stream(reader) => reader.read_all(limit).await,
        }
    }
}

impl Default for ResponseBody {
    fn default() -> Self {
        Self::Complete(Bytes::new())
    }
}

impl From<Vec<u8>> for ResponseBody {
    fn from(bytes: Vec<u8>) -> Self {
        Self::Complete(bytes.into())
    }
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self::Complete(bytes)
    }
}

impl From<&'static str> for ResponseBody {
    fn from(text: &'static str) -> Self {
        Self::Complete(Bytes::from_static(text.as_bytes()))
    }
}

/// The error of sending to a caller that closed its connection or stopped reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller disconnected")]
pub struct CallerDisconnected;

/// Sends the chunks of a streamed response.
#[derive(Debug)]
pub struct ResponseSender {
    sender: Sender<BodyPart>,
}

#[derive(Debug)]
enum BodyPart {
    Chunk(Bytes),
    End,
}

impl ResponseSender {
    /// Sends a chunk; waits while the queue of chunks is full. An empty chunk is ignored.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller has disconnected.
    pub async fn send(&self, chunk: Bytes) -> Result<(), CallerDisconnected> {
        if chunk.is_empty() {
            return Ok(());
        }
        self.put(BodyPart::Chunk(chunk)).await
    }

    /// Completes the body.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller has disconnected.
    pub async fn finish(self) -> Result<(), CallerDisconnected> {
        self.put(BodyPart::End).await
    }

    /// Closes the connection without completing the body, which the caller sees as a truncation.
    pub fn abort(self) {
        drop(self);
    }

    /// Waits until the caller has disconnected.
    pub async fn disconnected(&self) {
        self.sender.closed().await;
    }

    /// Returns whether the caller has disconnected.
    #[must_use]
    pub fn is_disconnected(&self) -> bool {
        self.sender.is_closed()
    }

    async fn put(&self, part: BodyPart) -> Result<(), CallerDisconnected> {
        let sent = self.sender.send(part).await;
        sent.ok().ok_or(CallerDisconnected)
    }
}

/// Reads the chunks of a streamed response.
#[derive(Debug)]
pub struct ChunkReader {
    chunks: Pin<Box<Receiver<BodyPart>>>,
    chunk: Bytes,
    ended: bool,
}

impl ChunkReader {
    /// Returns the next chunk, or `None` after the end of a complete body.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is truncated.
    pub async fn next(&mut self) -> io::Result<Option<Bytes>> {
        std::future::poll_fn(|context| self.poll_chunk(context)).await?;
        let chunk = std::mem::take(&mut self.chunk);
        Ok((!chunk.is_empty()).then_some(chunk))
    }

    async fn read_all(mut self, limit: usize) -> io::Result<Bytes> {
        let mut all = Vec::new();
        while let Some(chunk) = self.next().await? {
            if all.len() + chunk.len() > limit {
                return Err(io::Error::other(format!(
                    "the body is longer than {limit} bytes"
                )));
            }
            all.extend_from_slice(&chunk);
        }
        Ok(all.into())
    }

    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.ended || !self.chunk.is_empty() {
            return Poll::Ready(Ok(()));
        }
        match ready!(self.chunks.as_mut().poll_next(context)) {
            Some(BodyPart::Chunk(chunk)) => self.chunk = chunk,
            Some(BodyPart::End) => self.ended = true,
            None => {
                let truncated =
                    io::Error::new(io::ErrorKind::UnexpectedEof, "the response is truncated");
                return Poll::Ready(Err(truncated));
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncBufRead for ChunkReader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        ready!(this.poll_chunk(context))?;
        Poll::Ready(Ok(&this.chunk))
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        self.chunk.advance(count);
    }
}

impl AsyncRead for ChunkReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_chunk(context))?;
        let count = self.chunk.len().min(buffer.len());
        buffer[..count].copy_from_slice(&self.chunk[..count]);
        self.chunk.advance(count);
        Poll::Ready(Ok(count))
    }
}
