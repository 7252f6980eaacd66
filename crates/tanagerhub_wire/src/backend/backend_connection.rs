//! Sends one request on a connection and reads the head of its response.

use std::io;
use std::net::SocketAddr;

use ::http::{Method, StatusCode};
use async_h1::client::{Encoder, decode};
use async_std::net::TcpStream;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use http_types::Url;

use crate::backend::{BackendError, BackendRequest};
use crate::http::head::{Framing, ResponseHead, head_length};
use crate::http::{PrefixedStream, append_header, fill_buffer, is_hop_by_hop};

/// The size of the read and write buffers.
const BUFFER_BYTES: usize = 16 * 1_024;
/// The maximum length of a response head; `async-h1` rejects longer ones.
const MAX_HEAD_BYTES: usize = 8_191;

/// A connection to a backend server that carries one request at a time.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    pub(crate) address: SocketAddr,
    pub(crate) stream: TcpStream,
    /// Whether the request was written completely.
    pub(crate) fully_sent: bool,
}

/// A response whose head has been validated.
#[derive(Debug)]
pub(crate) struct DecodedResponse {
    pub(crate) body: http_types::Body,
    pub(crate) head: ResponseHead,
    /// Whether more bytes arrived than the response has.
    pub(crate) surplus: bool,
}

impl BackendConnection {
    /// Sends the request and reads the head of its response.
    pub(crate) async fn exchange(
        &mut self,
        request: &BackendRequest,
    ) -> Result<DecodedResponse, BackendError> {
        let is_head = request.method == Method::HEAD;
        match self.send(request).await {
            Ok(()) => self.receive(is_head).await,
            Err(error @ BackendError::Broken { .. }) => {
                // A backend server may reject a long body before it has read all of it.
                self.receive(is_head).await.map_err(|_closed| error)
            }
            Err(error) => Err(error),
        }
    }

    /// Writes the request, and records whether all of it was written.
    async fn send(&mut self, request: &BackendRequest) -> Result<(), BackendError> {
        let mut encoder = self
            .encode(request)
            .map_err(|error| self.not_sent(&error))?;
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut any_sent = false;
        loop {
            let count = fill_buffer(&mut encoder, &mut buffer).await;
            let count = count.map_err(|error| self.failed(any_sent, &error))?;
            if count == 0 {
                self.fully_sent = true;
                return Ok(());
            }
            self.write(&buffer[..count], &mut any_sent).await?;
        }
    }

    /// Reads the head of the final response, and leaves its body to `async-h1`.
    async fn receive(&mut self, is_head: bool) -> Result<DecodedResponse, BackendError> {
        let mut buffer = Vec::new();
        loop {
            let length = self.read_head(&mut buffer).await?;
            let head = ResponseHead::check(&buffer[..length]);
            let head = head.map_err(|error| self.malformed(&error))?;
            if head.status.is_informational() && head.status != StatusCode::SWITCHING_PROTOCOLS {
                buffer.drain(..length);
                continue;
            }
            return self.decode(buffer, length, head, is_head).await;
        }
    }

    fn encode(&self, request: &BackendRequest) -> io::Result<Encoder> {
        let invalid = |error: String| io::Error::new(io::ErrorKind::InvalidInput, error);
        let url = format!("http://{}{}", self.address, request.path);
        let url = Url::parse(&url).map_err(|error| invalid(format!("the path: {error}")))?;
        let method = request.method.as_str().parse();
        let method = method.map_err(|_unknown| invalid("the method is unknown".to_owned()))?;
        let mut message = http_types::Request::new(method, url);
        for (name, value) in &request.headers {
            if !is_hop_by_hop(name) {
                append_header(&mut message, name, value)?;
            }
        }
        let length = request.body.len();
        let body = futures_lite::io::Cursor::new(request.body.clone());
        message.set_body(http_types::Body::from_reader(body, Some(length)));
        Ok(Encoder::new(message))
    }

    async fn write(&mut self, mut bytes: &[u8], any_sent: &mut bool) -> Result<(), BackendError> {
        while !bytes.is_empty() {
            let count = self.stream.write(bytes).await;
            let count = count.map_err(|error| self.failed(*any_sent, &error))?;
            if count == 0 {
                let closed = io::Error::from(io::ErrorKind::WriteZero);
                return Err(self.failed(*any_sent, &closed));
            }
            *any_sent = true;
            bytes = &bytes[count..];
        }
        Ok(())
    }

    async fn read_head(&mut self, buffer: &mut Vec<u8>) -> Result<usize, BackendError> {
        let mut searched = 0;
        loop {
            match head_length(buffer, searched) {
                Some(length) if length <= MAX_HEAD_BYTES => return Ok(length),
                None if buffer.len() <= MAX_HEAD_BYTES => searched = buffer.len(),
                _ => return Err(self.malformed(&"its head is too long")),
            }
            let start = buffer.len();
            buffer.resize(start + BUFFER_BYTES, 0);
            let read = self.stream.read(&mut buffer[start..]).await;
            let count = read.map_err(|error| self.failed(true, &error))?;
            buffer.truncate(start + count);
            if count == 0 {
                let closed = io::Error::from(io::ErrorKind::UnexpectedEof);
                return Err(self.failed(true, &closed));
            }
        }
    }

    async fn decode(
        &self,
        mut buffer: Vec<u8>,
        length: usize,
        head: ResponseHead,
        is_head: bool,
    ) -> Result<DecodedResponse, BackendError> {
        let framing = body_framing(&head, is_head).ok_or_else(|| {
            // async-h1 would read such a response as an empty one.
            self.malformed(&"it has neither Content-Length nor chunks")
        })?;
        let arrived = buffer.len() as u64 - length as u64;
        let (remaining, surplus) = match framing {
            Framing::Chunked => (u64::MAX, false),
            Framing::Length(body) => (body.saturating_sub(arrived), arrived > body),
            Framing::None => (0, arrived > 0),
        };
        if let (true, Framing::Length(body)) = (surplus, framing) {
            buffer.truncate(length + usize::try_from(body).unwrap_or(usize::MAX));
        }
        let stream = PrefixedStream::new(buffer, self.stream.clone(), remaining);
        // Boxed, since its headers would enlarge the future of every request.
        let response = Box::pin(decode(stream)).await;
        let mut response = response.map_err(|error| self.malformed(&error))?;
        let head = ResponseHead { framing, ..head };
        Ok(DecodedResponse {
            body: response.take_body(),
            head,
            surplus,
        })
    }

    fn failed(&self, any_sent: bool, error: &io::Error) -> BackendError {
        if any_sent {
            BackendError::Broken {
                address: self.address,
                reason: error.to_string(),
            }
        } else {
            self.not_sent(error)
        }
    }

    fn not_sent(&self, error: &io::Error) -> BackendError {
        BackendError::NotSent {
            address: self.address,
            reason: error.to_string(),
        }
    }

    fn malformed(&self, reason: &impl ToString) -> BackendError {
        BackendError::Malformed {
            address: self.address,
            reason: reason.to_string(),
        }
    }
}

/// Returns the framing that applies to the body; `None` when only the end of the connection would
/// mark its end.
fn body_framing(head: &ResponseHead, is_head: bool) -> Option<Framing> {
    let bodiless = is_head
        || matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    match head.framing {
        _ if bodiless => Some(Framing::None),
        Framing::None => None,
        framing => Some(framing),
    }
}
