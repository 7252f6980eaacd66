//! Requests that wait or run, and their attempts.

use std::time::Duration;

use slotmap::new_key_type;
use smallvec::SmallVec;
use tanagerhub_capacity::AskId;
use tanagerhub_catalogue::Epoch;
use tanagerhub_clock::Moment;

use crate::groups::GroupKey;
use crate::shared_ask::SharedAsk;
use crate::{AttemptKey, Outcome, QueueKey, RequestInfo, ServerLifetime};

new_key_type! {
    /// A request in the arena.
    pub(crate) struct RequestKey;
}

/// An accepted request.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) info: RequestInfo,
    /// When it was submitted.
    pub(crate) arrived: Moment,
    pub(crate) queue_key: QueueKey,
    /// Running attempts: one, or two with a hedge.
    pub(crate) attempts: SmallVec<[AttemptKey; 2]>,
    /// Groups where an attempt failed; the next attempt goes to another group. Cleared when the
    /// request is queued again.
    pub(crate) tried: SmallVec<[GroupKey; 4]>,
    /// Number in the queue while the request waits.
    pub(crate) queue_number: Option<u64>,
    /// Until when it waits, or last waited, in the queue.
    pub(crate) waits_until: Option<Moment>,
    /// Combined outcome of its failed and cancelled attempts.
    pub(crate) outcome: Outcome,
    /// Number of attempts sent so far.
    pub(crate) attempts_sent: u32,
    /// Number of tokens sent to the caller.
    pub(crate) tokens_sent: u32,
    /// Whether the next attempt needs a new connection, because an earlier one timed out.
    pub(crate) needs_fresh_connection: bool,
    /// Its ask for a start at a coordinated group.
    pub(crate) shared: SharedAsk,
}

impl Request {
    pub(crate) fn new(now: Moment, info: RequestInfo, queue_key: QueueKey) -> Self {
        Self {
            info,
            arrived: now,
            queue_key,
            attempts: SmallVec::new(),
            tried: SmallVec::new(),
            queue_number: None,
            waits_until: None,
            outcome: Outcome::NotRun,
            attempts_sent: 0,
            tokens_sent: 0,
            needs_fresh_connection: false,
            shared: SharedAsk::default(),
        }
    }

    /// Combines the outcome of one more failed attempt: `Ran` before `Unknown` before `NotRun`.
    pub(crate) fn add_outcome(&mut self, outcome: Outcome) {
        self.outcome = match (self.outcome, outcome) {
            (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
            (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
            (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
        };
    }
}

/// How much of an attempt's response was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    Nothing,
    FirstByte,
    Tokens,
}

/// An attempt to run a request at one group.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestKey,
    pub(crate) group: GroupKey,
    /// The group's epoch when the attempt started; the group may have been renewed since.
    pub(crate) epoch: Epoch,
    /// The backend server of the group's head when the attempt started.
    pub(crate) server: ServerLifetime,
    /// Whether its backend server had advertised a limit by then.
    pub(crate) limited: bool,
    pub(crate) started: Moment,
    pub(crate) progress: Progress,
    /// Wait for the first byte; zero until it is received.
    pub(crate) first_byte_wait: Duration,
    /// Number of tokens sent to the caller before the attempt started.
    pub(crate) resume_at: u32,
    /// Tokens that count against the group's memory.
    pub(crate) tokens: u64,
    /// Whether it is counted in the group's `suspects`.
    pub(crate) suspect: bool,
    pub(crate) hedge: bool,
    /// The ask that was granted for it; `None` if it uses an own share.
    pub(crate) grant: Option<AskId>,
}

impl Attempt {
    /// Whether the first byte of the response was received.
    pub(crate) const fn has_first_byte(&self) -> bool {
        !matches!(self.progress, Progress::Nothing)
    }
}
