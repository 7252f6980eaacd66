//! What traffic decides, and what it is told in return.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use tanagerhub_catalogue::{Epoch, GroupId, RequestId};
use tanagerhub_clock::Moment;

new_key_type! {
    /// One try of a request at one group.
    pub struct AttemptKey;
}

/// What to do with a request now.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send it.
    Dispatch(Dispatch),
    /// Hold it: [`Traffic::poll`](crate::Traffic::poll) names it by this moment at the latest.
    Wait(Moment),
    /// Answer the caller now with this error.
    Refuse(Refusal),
}

/// An order to send a request to one group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Dispatch {
    /// Names the attempt in reports.
    pub attempt: AttemptKey,
    /// The request.
    pub request: RequestId,
    /// The group.
    pub group: GroupId,
    /// The group's epoch, sent along with the request.
    pub epoch: Epoch,
    /// Where to send it.
    pub address: SocketAddr,
    /// The engine's priority: 0 goes first.
    pub priority: u8,
    /// When the first byte of the answer is overdue.
    pub first_byte_deadline: Moment,
    /// The longest silence inside the answer.
    pub stall: Duration,
    /// Whether a connection that nobody used before is needed.
    pub fresh_connection: bool,
    /// Tokens that the caller already has; the engine resumes behind them.
    pub resume_at: u32,
    /// Whether it runs beside another attempt; the first answer wins.
    pub hedge: bool,
}

/// What is known of a request that gets an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No part of it ran.
    NotRun,
    /// It ran, at least in part.
    Ran,
    /// It may or may not have run.
    Unknown,
}

impl Outcome {
    /// The value of the outcome header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request gets an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The catalogue has no such entry.
    #[error("the catalogue has no such entry")]
    UnknownEntry,
    /// The node's view of the catalogue is not fresh.
    #[error("this node has lost touch with the others and takes no new work")]
    Stale,
    /// The node shuts down.
    #[error("this node is shutting down")]
    ShuttingDown,
    /// The organisation's request rate is used up.
    #[error("the organisation's request rate is used up")]
    RequestRate,
    /// The organisation's token rate is used up.
    #[error("the organisation's token rate is used up")]
    TokenRate,
    /// The organisation has as many requests in flight as it may.
    #[error("the organisation has as many requests in flight as it may")]
    Concurrency,
    /// The request would wait beyond its deadline.
    #[error("the entry is busy beyond the request's deadline")]
    Overloaded,
    /// No group serves the entry now.
    #[error("no group serves the entry now")]
    NoGroup,
    /// The queue is full.
    #[error("the entry's queue is full")]
    QueueFull,
    /// The deadline has passed.
    #[error("the request's deadline has passed")]
    DeadlinePassed,
    /// Back ends crashed repeatedly while they ran this request.
    #[error("back ends crashed repeatedly while they ran this request")]
    Crashes,
    /// Back ends failed, and no retry is left or allowed.
    #[error("the back end failed and the request can't be repeated now")]
    BackendFailed,
    /// The answer broke off and can't be resumed.
    #[error("the answer broke off and can't be resumed")]
    BrokenAnswer,
}

/// An error that the caller gets without any back end having run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to ask again; `None` when asking again is of no use.
    pub retry_after: Option<Duration>,
    /// Always [`Outcome::NotRun`], unless an earlier attempt ran.
    pub outcome: Outcome,
    /// The HTTP status.
    pub status: u16,
}

/// What became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// No connection came about, so no byte was written.
    ConnectFailed,
    /// The back end said that it refused the request without running any of it.
    RefusedNotRun,
    /// The back end says that it is in cold start; the attempt goes on.
    Cold,
    /// The first byte of the answer came.
    FirstByte,
    /// The caller has been sent this many tokens.
    Token(u32),
    /// All requests of the group fell silent together; it is avoided at once.
    Silent,
    /// The back end ran the request and answered that it failed; the group is sound.
    Failed,
    /// The connection broke, or the answer was cut, lied about its length or was garbage.
    Broke,
    /// The first byte or the next token is overdue.
    TimedOut,
    /// The answer is whole.
    Finished {
        /// Tokens of the answer.
        tokens: u32,
    },
    /// The back end answered with an error of its own, which is passed on.
    Responded,
    /// The caller left; the attempt is being cancelled.
    CallerLeft,
}

/// What to do after a report.
#[derive(Debug, Clone, PartialEq)]
pub enum Next {
    /// Go on with the attempt.
    Continue,
    /// As [`Continue`](Self::Continue) or [`Done`](Self::Done), by the event reported; and cancel
    /// the request's other attempt, which needs no more reports.
    CancelOther(AttemptKey),
    /// Nothing is left to do for the attempt.
    Done,
    /// Send the request again; the attempt reported on has ended, and is cancelled if it runs.
    Retry(Dispatch),
    /// The request is queued again.
    Wait(Moment),
    /// Give the caller this error now.
    Fail(Refusal),
}
