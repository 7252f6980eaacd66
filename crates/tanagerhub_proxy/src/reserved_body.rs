//! Buffered responses whose bytes are reserved in a memory budget.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt as _;

use crate::{IncompleteBody, MemoryError, Reservation, ResponseBody};

/// The size of the blocks that the bytes are copied into. The chunks as received can't be kept,
/// since a small one keeps the whole buffer of its connection.
const BLOCK_BYTES: usize = 16_384;

/// The body of a response in blocks, whose memory is given back block by block as the caller takes
/// them.
#[derive(Debug)]
pub struct ReservedBody {
    blocks: VecDeque<Bytes>,
    last: BytesMut,
    /// Bytes that have not been sent.
    left: u64,
    reservation: Reservation,
}

impl ReservedBody {
    pub(crate) fn new(reservation: Reservation) -> Self {
        Self {
            blocks: VecDeque::new(),
            last: BytesMut::new(),
            left: 0,
            reservation,
        }
    }

    /// Adds bytes, and reserves them as far as they are not.
    pub(crate) fn push(&mut self, mut bytes: &[u8]) -> Result<(), MemoryError> {
        while !bytes.is_empty() {
            if self.last.len() == BLOCK_BYTES || self.last.capacity() == 0 {
                let held = self.blocks.len() + usize::from(!self.last.is_empty());
                let needed = block_bytes(held + 1);
                if needed > self.reservation.bytes() {
                    self.reservation.resize(needed)?;
                }
                let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(BLOCK_BYTES));
                if !full.is_empty() {
                    self.blocks.push_back(full.freeze());
                }
            }
            let count = bytes.len().min(BLOCK_BYTES - self.last.len());
            self.last.extend_from_slice(&bytes[..count]);
            self.left += count as u64;
            bytes = &bytes[count..];
        }
        Ok(())
    }

    /// Ends the body and returns it as that of a response.
    #[must_use]
    pub fn into_body(mut self) -> ResponseBody {
        let last = std::mem::take(&mut self.last);
        if !last.is_empty() {
            self.blocks.push_back(last.freeze());
        }
        self.boxed_unsync()
    }

    /// Returns the memory in bytes that a body of this length occupies.
    pub(crate) const fn memory_for(length: u64) -> u64 {
        length.next_multiple_of(BLOCK_BYTES as u64)
    }
}

const fn block_bytes(blocks: usize) -> u64 {
    (blocks * BLOCK_BYTES) as u64
}

impl Body for ReservedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        let this = &mut *self;
        let Some(block) = this.blocks.pop_front() else {
            return Poll::Ready(None);
        };
        // The block of the last call has left the connection's buffer except for less than a block.
        this.reservation.record(block_bytes(this.blocks.len() + 1));
        this.left -= block.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
