//! The parts of a caller's request that the gateway uses.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use tanagerhub_catalogue::{EntryId, RouteKind};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::Repeat;

use crate::gateway::memory::CallMemory;

/// The parsed head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// The request ID that the caller chose.
    pub id: String,
    /// The requested host name; empty if the request names none.
    pub host: String,
    /// The API key.
    pub key: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The requested model, for services that have several.
    pub model: Option<String>,
    /// The number of tokens in the prompt; 0 if it is unknown.
    pub prompt_tokens: u32,
    /// The maximum number of tokens in the response; 0 if it is unknown.
    pub max_tokens: u32,
    /// The number of the last event of the stream that the caller has received; 0 for none.
    pub last_event: u32,
    /// Hashes of the prompt's parts that other requests may share, in order.
    pub shared_parts: Vec<u64>,
}

/// The values that the gateway adds to a request for a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Upstream<'a> {
    /// The name of the VM that must run the request.
    pub vm: &'a str,
    /// The organisation of the caller's key; `None` for requests without a key.
    pub organisation: Option<&'a str>,
    /// The time until the request's deadline.
    pub time_left: Duration,
    /// The urgency, where 0 is the highest; `None` leaves the order to the backend server.
    pub urgency: Option<u8>,
    /// The number of the event after which the response must start; 0 for the whole stream.
    pub last_event: u32,
}

/// An accepted request, with the values that its attempts need.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: String,
    pub(crate) arrived: Moment,
    pub(crate) method: Method,
    /// The path and query as received.
    pub(crate) target: http::uri::PathAndQuery,
    pub(crate) headers: HeaderMap,
    /// The caller's credentials, which backend servers don't receive.
    pub(crate) authorization: Option<HeaderValue>,
    /// Whether another node has forwarded the request, so that this one must not.
    pub(crate) forwarded: bool,
    pub(crate) body: Bytes,
    pub(crate) kind: RouteKind,
    pub(crate) entry: EntryId,
    pub(crate) organisation: Option<Arc<str>>,
    /// Whether the request depends on a key, which operators may revoke.
    pub(crate) keyed: bool,
    pub(crate) urgency: Option<u8>,
    /// The service level objective for the time to the first byte.
    pub(crate) objective: Duration,
    /// The moment by which the caller must have the final response.
    pub(crate) deadline: Moment,
    /// The moment at which a stream without a first byte fails.
    pub(crate) first_byte_deadline: Moment,
    pub(crate) last_event: u32,
    /// Hash of target, organisation and body, by which crashes are counted.
    pub(crate) fingerprint: u64,
    /// The parts of the prompt that other requests may share, by which crashes are counted too.
    pub(crate) parts: Vec<u64>,
    /// The memory that is reserved for the request, if the node has a limit.
    pub(crate) memory: Option<CallMemory>,
}

impl Call {
    /// Returns what a further attempt of a request of this kind may repeat.
    pub(crate) const fn repeat(kind: RouteKind) -> Repeat {
        match kind {
            RouteKind::Idempotent => Repeat::Whole,
            RouteKind::Unrepeatable | RouteKind::Stream => Repeat::Never,
            RouteKind::ResumableStream => Repeat::Resume,
        }
    }

    /// Returns whether a response after this event continues a broken stream.
    pub(crate) const fn is_resumed(&self, last_event: u32) -> bool {
        last_event > self.last_event
    }

    /// Returns the parts of the prompt for the log.
    pub(crate) fn part_list(&self) -> String {
        let parts = self.parts.iter().map(|part| format!("{part:016x}"));
        parts.collect::<Vec<_>>().join(",")
    }

    /// Returns whether the request may run more than once.
    pub(crate) const fn is_repeatable(&self) -> bool {
        !matches!(Self::repeat(self.kind), Repeat::Never)
    }
}
