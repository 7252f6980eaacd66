//! Request bodies that are passed to a connection slice by slice.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;

/// A body whose bytes are shared with the other attempts of its request. Slices keep the connection
/// from buffering more of it than a backend server takes.
#[derive(Debug)]
pub(crate) struct SlicedBody {
    full: Full<Bytes>,
    rest: Bytes,
    slice: usize,
}

impl SlicedBody {
    pub(crate) const fn new(full: Full<Bytes>, slice: usize) -> Self {
        Self {
            full,
            rest: Bytes::new(),
            slice,
        }
    }
}

impl Body for SlicedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            let frame = ready!(Pin::new(&mut self.full).poll_frame(context));
            let Some(Ok(Ok(bytes))) = frame.map(|frame| frame.map(Frame::into_data)) else {
                return Poll::Ready(None);
            };
            self.rest = bytes;
        }
        let count = self.rest.len().min(self.slice);
        let slice = self.rest.split_to(count);
        Poll::Ready(Some(Ok(Frame::data(slice))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.full.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let unread = self.full.size_hint().exact().unwrap_or_default();
        SizeHint::with_exact(unread + self.rest.len() as u64)
    }
}
