//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_lite::Stream;
use http_body::{Body, Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full, StreamBody};

/// The rest of a body can't be delivered.
///
/// The server aborts the connection, so that the caller detects the truncated response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the response body can't be completed")]
pub struct IncompleteBody;

/// The body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, IncompleteBody>;

/// Returns a body of zero bytes.
#[must_use]
pub fn empty_body() -> ResponseBody {
    full_body(Bytes::new())
}

/// Returns a body whose bytes are all known in advance.
#[must_use]
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body that is sent chunk by chunk; an error from the stream aborts the connection.
#[must_use]
pub fn stream_body(
    chunks: impl Stream<Item = Result<Bytes, IncompleteBody>> + Send + 'static,
) -> ResponseBody {
    let frames = futures_lite::StreamExt::map(chunks, |chunk| chunk.map(Frame::data));
    StreamBody::new(frames).boxed_unsync()
}

/// A body that owns a guard value until the body has been sent or dropped.
pub(crate) struct GuardedBody<T> {
    pub(crate) body: ResponseBody,
    pub(crate) _guard: T,
}

impl<T: Unpin> Body for GuardedBody<T> {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
