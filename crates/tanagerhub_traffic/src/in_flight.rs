//! Requests and attempts that this node holds.

use std::time::Duration;

use slotmap::new_key_type;
use smallvec::SmallVec;
use tanagerhub_clock::Moment;

use crate::groups::GroupKey;
use crate::{AttemptKey, Outcome, QueueKey, RequestInfo};

new_key_type! {
    /// A request in the arena.
    pub(crate) struct RequestKey;
}

/// An accepted request.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) info: RequestInfo,
    /// When it came.
    pub(crate) arrived: Moment,
    pub(crate) queue_key: QueueKey,
    /// Attempts that still run: one, or two with a hedge.
    pub(crate) attempts: SmallVec<[AttemptKey; 2]>,
    /// Groups that failed it.
    pub(crate) tried: SmallVec<[GroupKey; 4]>,
    /// Its number in the queue while it waits.
    pub(crate) queue_number: Option<u64>,
    /// The worst that is known of its failed attempts.
    pub(crate) outcome: Outcome,
    /// Attempts sent so far.
    pub(crate) attempts_sent: u32,
    /// Tokens that the caller has.
    pub(crate) tokens_sent: u32,
    /// Whether the next attempt needs a connection that nobody used before.
    pub(crate) needs_fresh_connection: bool,
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
            outcome: Outcome::NotRun,
            attempts_sent: 0,
            tokens_sent: 0,
            needs_fresh_connection: false,
        }
    }

    /// Takes in what is known of one more failed attempt.
    pub(crate) fn add_outcome(&mut self, outcome: Outcome) {
        self.outcome = match (self.outcome, outcome) {
            (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
            (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
            (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
        };
    }
}

/// How much of an attempt's answer has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    Nothing,
    FirstByte,
    Tokens,
}

/// One try of a request at one group.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestKey,
    pub(crate) group: GroupKey,
    pub(crate) started: Moment,
    pub(crate) progress: Progress,
    /// Time to the first byte, once it has come.
    pub(crate) first_byte_wait: Duration,
    /// Tokens that the caller had at its start.
    pub(crate) resume_at: u32,
    /// Whether it counts among the group's suspects.
    pub(crate) suspect: bool,
    pub(crate) hedge: bool,
}

impl Attempt {
    /// Whether the first byte of the answer has come.
    pub(crate) const fn has_response(&self) -> bool {
        !matches!(self.progress, Progress::Nothing)
    }
}
