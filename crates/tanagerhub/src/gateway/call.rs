//! One request of a caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use tanagerhub_catalogue::{EntryId, RouteKind};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::Repeat;

/// What the head of a caller's request says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's name of the request.
    pub id: String,
    /// The host that it names.
    pub host: String,
    /// Its key.
    pub key: Option<String>,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
    /// The model that it asks for.
    pub model: Option<String>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens of the longest answer that it wants.
    pub max_tokens: u32,
    /// The last event of a stream that the caller has already.
    pub last_event: u32,
}

/// What a back end is told besides what the caller said.
#[derive(Debug, Clone, Copy)]
pub struct Upstream<'a> {
    /// The VM that is meant.
    pub vm: &'a str,
    /// The organisation that calls.
    pub organisation: Option<&'a str>,
    /// How long the answer may take.
    pub time_left: Duration,
    /// How urgent it is; 0 goes first, `None` leaves it to the back end.
    pub urgency: Option<u8>,
    /// The event after which the answer shall begin.
    pub last_event: u32,
}

/// A request that was accepted, with all that its attempts need.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: String,
    pub(crate) arrived: Moment,
    pub(crate) method: Method,
    /// The path and query, as they came.
    pub(crate) target: http::uri::PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) kind: RouteKind,
    pub(crate) entry: EntryId,
    pub(crate) organisation: Option<Arc<str>>,
    /// Whether it carries a key, which may be taken away.
    pub(crate) keyed: bool,
    pub(crate) urgency: Option<u8>,
    /// The time to the first byte that counts as on time.
    pub(crate) objective: Duration,
    /// When it gets its final answer, whatever that is.
    pub(crate) deadline: Moment,
    /// When a stream that has not begun gets its final answer.
    pub(crate) first_byte_deadline: Moment,
    pub(crate) last_event: u32,
}

impl Call {
    /// What of it may be repeated.
    pub(crate) const fn repeat(kind: RouteKind) -> Repeat {
        match kind {
            RouteKind::Idempotent => Repeat::Whole,
            RouteKind::Unrepeatable | RouteKind::Stream => Repeat::Never,
            RouteKind::ResumableStream => Repeat::Resume,
        }
    }

    /// Whether an answer from this event on goes on with a stream that broke.
    pub(crate) const fn is_resumed(&self, last_event: u32) -> bool {
        last_event > self.last_event
    }

    pub(crate) const fn is_repeatable(&self) -> bool {
        !matches!(Self::repeat(self.kind), Repeat::Never)
    }
}
