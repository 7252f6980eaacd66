//! Relay of a stream of server-sent events that carry one token each.

use crate::RelayError;

/// Size of the largest event that is forwarded.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Maximum size of events without progress, such as comments, between two new ones.
const MAX_IDLE_BYTES: usize = 256 * 1024;
/// Data of the event that ends a response.
const FINAL_DATA: &[u8] = b"[DONE]";

/// Forwards complete events, once each and in order, across resumed streams.
///
/// The `id:` field of an event is the number of tokens so far. Events that the caller already has
/// are skipped; a gap is an error. No part of an incomplete event is forwarded, so a stream that
/// breaks can be resumed after the last token. What another stream sends is forwarded from the event on
/// by which it continues, since it may be the text of an error.
///
/// # Examples
///
/// ```
/// use tanagerhub_traffic::EventRelay;
///
/// let mut relay = EventRelay::default();
/// let mut out = Vec::new();
/// relay.push(b"id: 1\ndata: a\n\nid: 2\nda", &mut out)?;
/// assert_eq!(out, b"id: 1\ndata: a\n\n");
/// assert_eq!(relay.tokens(), 1);
/// assert!(relay.end().is_err());
///
/// relay.resume();
/// relay.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n", &mut out)?;
/// assert_eq!(relay.tokens(), 2);
/// assert!(relay.end().is_ok());
/// # Ok::<(), tanagerhub_traffic::RelayError>(())
/// ```
#[derive(Debug, Default)]
pub struct EventRelay {
    /// The received part of an incomplete event.
    partial: Vec<u8>,
    progress: Progress,
    /// Bytes of complete events since the last event in order.
    idle_bytes: usize,
    /// The id of the last event of this stream that the caller already had.
    repeated: u32,
    resumed: bool,
    /// Whether a resumed stream has not yet sent or repeated the event that continues the response.
    unproven: bool,
    /// Whether the end of the body marks the end of the stream.
    framed_by_body: bool,
}

/// What has been forwarded to the caller.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    tokens: u32,
    /// Whether an event with data has been forwarded.
    begun: bool,
    /// Whether the final event has been forwarded.
    done: bool,
}

/// The fields of one event that the relay uses.
#[derive(Debug, Default)]
struct Event {
    id: Option<u32>,
    has_data: bool,
    is_final: bool,
}

impl EventRelay {
    /// Creates a relay of a stream that ends with its body, for a caller that already has the first
    /// `after` tokens.
    #[must_use]
    pub fn framed_by_body(after: u32) -> Self {
        Self {
            progress: Progress {
                tokens: after,
                ..Progress::default()
            },
            framed_by_body: true,
            ..Self::default()
        }
    }

    /// Processes bytes of the stream, and appends the events to forward to `out`.
    ///
    /// # Errors
    ///
    /// Fails when a token is missing, an id is not a number, an event is too large, an event
    /// follows the final one, or nothing but comments and known events arrive for too long. Then no
    /// part of the chunk is forwarded or counted, so a resumed stream repeats the events that
    /// precede the offending one.
    pub fn push(&mut self, chunk: &[u8], out: &mut Vec<u8>) -> Result<(), RelayError> {
        let (progress, length) = (self.progress, out.len());
        let pushed = self.push_events(chunk, out);
        if pushed.is_err() {
            self.progress = progress;
            out.truncate(length);
        }
        pushed
    }

    fn push_events(&mut self, chunk: &[u8], out: &mut Vec<u8>) -> Result<(), RelayError> {
        let mut rest = chunk;
        if !self.partial.is_empty() {
            rest = self.complete_partial(rest, out)?;
        }
        while let Some(end) = event_end(rest, 0) {
            let (event, after) = rest.split_at(end);
            self.forward(event, out)?;
            rest = after;
        }
        self.buffer_partial(rest)
    }

    /// Checks that the stream may end here.
    ///
    /// # Errors
    ///
    /// Fails when an event is incomplete, when a resumed stream has continued nothing, or when the
    /// stream has to end with a final event and that has not been received.
    pub const fn end(&self) -> Result<(), RelayError> {
        let is_framed = self.framed_by_body && !self.unproven;
        if (self.progress.done || is_framed) && self.partial.is_empty() {
            return Ok(());
        }
        Err(RelayError::Truncated {
            tokens: self.progress.tokens,
        })
    }

    /// Drops an incomplete event; the next bytes belong to a resumed stream.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.idle_bytes = 0;
        self.repeated = 0;
        // Events before the first token have to be forwarded if the first stream didn't.
        self.resumed = self.progress.begun;
        self.unproven = true;
    }

    /// Returns the memory of the incomplete event, in bytes.
    #[must_use]
    pub const fn partial_bytes(&self) -> usize {
        self.partial.capacity()
    }

    /// Returns the number of tokens that the caller has.
    #[must_use]
    pub const fn tokens(&self) -> u32 {
        self.progress.tokens
    }

    /// Returns whether the final event has been forwarded.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.progress.done
    }

    /// Completes the buffered event with the start of `rest`; returns the bytes that follow it.
    fn complete_partial<'a>(
        &mut self,
        rest: &'a [u8],
        out: &mut Vec<u8>,
    ) -> Result<&'a [u8], RelayError> {
        let buffered = self.partial.len();
        let accepted = (MAX_EVENT_BYTES + 1)
            .saturating_sub(buffered)
            .min(rest.len());
        self.partial.extend_from_slice(&rest[..accepted]);
        // The blank line may begin in the buffered bytes.
        let Some(end) = event_end(&self.partial, buffered.saturating_sub(3)) else {
            check_size(self.partial.len())?;
            return Ok(&[]);
        };
        let event = std::mem::take(&mut self.partial);
        self.forward(&event[..end], out)?;
        Ok(&rest[end - buffered..])
    }

    fn buffer_partial(&mut self, rest: &[u8]) -> Result<(), RelayError> {
        check_size(rest.len())?;
        self.partial.extend_from_slice(rest);
        Ok(())
    }

    /// Forwards one complete event, unless the caller already has it.
    fn forward(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), RelayError> {
        let event = Event::parse(bytes)?;
        if !event.has_data {
            if !self.unproven {
                out.extend_from_slice(bytes);
            }
            return self.count_idle(bytes.len());
        }
        if self.progress.done {
            return Err(RelayError::AfterEnd);
        }
        let tokens = self.progress.tokens;
        match event.id {
            // A resumed stream may repeat all events, once and in order.
            Some(id) if id <= tokens && id > self.repeated => {
                self.repeated = id;
                self.idle_bytes = 0;
                self.unproven = self.unproven && id < tokens;
                return Ok(());
            }
            Some(id) if id <= tokens => return self.count_idle(bytes.len()),
            Some(id) if id > tokens + 1 => {
                return Err(RelayError::Gap {
                    expected: tokens + 1,
                    found: id,
                });
            }
            Some(id) => self.progress.tokens = id,
            // Events before the first token were forwarded by the first stream.
            None if self.resumed && !event.is_final => return self.count_idle(bytes.len()),
            None => {}
        }
        self.idle_bytes = 0;
        self.progress.begun = true;
        self.progress.done = event.is_final;
        self.resumed = self.resumed && event.id.is_none();
        self.unproven = false;
        out.extend_from_slice(bytes);
        Ok(())
    }

    /// Counts a complete event that makes no progress.
    const fn count_idle(&mut self, size: usize) -> Result<(), RelayError> {
        self.idle_bytes += size;
        if self.idle_bytes <= MAX_IDLE_BYTES {
            return Ok(());
        }
        Err(RelayError::Idle {
            limit: MAX_IDLE_BYTES,
        })
    }
}

impl Event {
    fn parse(bytes: &[u8]) -> Result<Self, RelayError> {
        let mut event = Self::default();
        for line in bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(data) = field_value(line, b"data") {
                event.is_final = !event.has_data && data == FINAL_DATA;
                event.has_data = true;
            } else if let Some(id) = field_value(line, b"id") {
                event.id = Some(parse_token_count(id)?);
            }
        }
        Ok(event)
    }
}

const fn check_size(size: usize) -> Result<(), RelayError> {
    if size <= MAX_EVENT_BYTES {
        return Ok(());
    }
    Err(RelayError::TooLarge {
        limit: MAX_EVENT_BYTES,
    })
}

/// Returns the value of a line's field, without the one space that may follow the colon.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn parse_token_count(text: &[u8]) -> Result<u32, RelayError> {
    std::str::from_utf8(text)
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or(RelayError::InvalidId)
}

/// Returns the end of the first event, after its blank line; searches for the blank line from
/// `from`.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut start = from;
    loop {
        let newline = start + bytes.get(start..)?.iter().position(|byte| *byte == b'\n')?;
        match bytes.get(newline + 1) {
            Some(b'\n') => return Some(newline + 2),
            Some(b'\r') if bytes.get(newline + 2) == Some(&b'\n') => return Some(newline + 3),
            _ => start = newline + 1,
        }
    }
}
