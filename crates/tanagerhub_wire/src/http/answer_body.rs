//! Bodies of answers, whole or streamed.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::{Receiver, Sender};
use bytes::{Buf, Bytes};
use futures_lite::Stream;
use futures_lite::io::{AsyncBufRead, AsyncRead};

/// Chunks that may wait between the sender and the socket.
const CHUNKS_IN_FLIGHT: usize = 8;

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// Chunks that are still to come.
    Stream(ChunkReader),
}

impl AnswerBody {
    /// Makes a body that is sent chunk by chunk.
    ///
    /// The body ends cleanly only by [`AnswerSender::finish`]. If the sender is dropped before, the
    /// connection is closed without the final chunk, so that the caller notices the cut.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_wire::http::AnswerBody;
    ///
    /// # async_std::task::block_on(async {
    /// let (sender, body) = AnswerBody::stream();
    /// sender.send("data: 1\n\n".into()).await?;
    /// sender.finish().await?;
    /// # drop(body);
    /// # Ok::<(), tanagerhub_wire::http::CallerGone>(())
    /// # }).unwrap();
    /// ```
    #[must_use]
    pub fn stream() -> (AnswerSender, Self) {
        let (sender, chunks) = async_channel::bounded(CHUNKS_IN_FLIGHT);
        let reader = ChunkReader {
            chunks: Box::pin(chunks),
            chunk: Bytes::new(),
            ended: false,
        };
        (AnswerSender { sender }, Self::Stream(reader))
    }

    /// Reads the body to its end, at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the body is cut or longer than `limit`.
    pub async fn read(self, limit: usize) -> io::Result<Bytes> {
        match self {
            Self::Whole(bytes) => Ok(bytes),
            Self::Stream(reader) => reader.read_all(limit).await,
        }
    }
}

impl Default for AnswerBody {
    fn default() -> Self {
        Self::Whole(Bytes::new())
    }
}

impl From<Vec<u8>> for AnswerBody {
    fn from(bytes: Vec<u8>) -> Self {
        Self::Whole(bytes.into())
    }
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(bytes)
    }
}

impl From<&'static str> for AnswerBody {
    fn from(text: &'static str) -> Self {
        Self::Whole(Bytes::from_static(text.as_bytes()))
    }
}

/// The caller closed its connection or stopped reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller has gone")]
pub struct CallerGone;

/// Feeds a streamed answer.
#[derive(Debug)]
pub struct AnswerSender {
    sender: Sender<Part>,
}

#[derive(Debug)]
enum Part {
    Chunk(Bytes),
    End,
}

impl AnswerSender {
    /// Sends a chunk, and waits while the caller is slow.
    ///
    /// # Errors
    ///
    /// Fails when the caller has gone.
    pub async fn send(&self, chunk: Bytes) -> Result<(), CallerGone> {
        if chunk.is_empty() {
            return Ok(());
        }
        self.put(Part::Chunk(chunk)).await
    }

    /// Ends the body cleanly.
    ///
    /// # Errors
    ///
    /// Fails when the caller has gone.
    pub async fn finish(self) -> Result<(), CallerGone> {
        self.put(Part::End).await
    }

    /// Ends the body as a cut, which the caller notices.
    pub fn cut(self) {
        drop(self);
    }

    /// Waits until the caller has gone.
    pub async fn gone(&self) {
        self.sender.closed().await;
    }

    /// Whether the caller has gone.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.sender.is_closed()
    }

    async fn put(&self, part: Part) -> Result<(), CallerGone> {
        let sent = self.sender.send(part).await;
        sent.ok().ok_or(CallerGone)
    }
}

/// Reads the chunks of a streamed answer.
#[derive(Debug)]
pub struct ChunkReader {
    chunks: Pin<Box<Receiver<Part>>>,
    chunk: Bytes,
    ended: bool,
}

impl ChunkReader {
    /// The next chunk; `None` after the clean end.
    ///
    /// # Errors
    ///
    /// Fails when the body is cut.
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
            Some(Part::Chunk(chunk)) => self.chunk = chunk,
            Some(Part::End) => self.ended = true,
            None => {
                let cut = io::Error::new(io::ErrorKind::UnexpectedEof, "the answer was cut");
                return Poll::Ready(Err(cut));
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
