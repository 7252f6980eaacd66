//! Decisions of traffic, and the events reported to it.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use tanagerhub_catalogue::{Epoch, GroupId, RequestId};
use tanagerhub_clock::Moment;

new_key_type! {
    /// Key of an attempt to run a request at one group.
    pub struct AttemptKey;
}

/// What the edge does with a request now.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send it to a group.
    Dispatch(Dispatch),
    /// Keep it waiting: [`Traffic::poll`](crate::Traffic::poll) returns its decision by this
    /// moment.
    Wait(Moment),
    /// Send this error to the caller now.
    Refuse(Refusal),
}

/// Instruction to send a request to one group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Dispatch {
    /// Key of the attempt, for [`Traffic::report`](crate::Traffic::report).
    pub attempt: AttemptKey,
    /// Id of the request.
    pub request: RequestId,
    /// Id of the group.
    pub group: GroupId,
    /// Epoch of the group, sent with the request.
    pub epoch: Epoch,
    /// Address of the group's head.
    pub address: SocketAddr,
    /// Priority at the engine; 0 is the most urgent.
    pub priority: u8,
    /// Deadline of the first byte of the response.
    pub first_byte_deadline: Moment,
    /// Maximum time without data within the response, after its first byte.
    pub stall: Duration,
    /// Whether the attempt needs a new connection instead of a pooled one.
    pub fresh_connection: bool,
    /// Number of tokens already sent to the caller; the engine resumes after them.
    pub resume_at: u32,
    /// Whether it is a hedge: it runs beside another attempt, and the first response is used.
    pub hedge: bool,
    /// The moment until which the request may be sent, if the group is coordinated; the backend
    /// server's start limit counts no later one.
    pub send_until: Option<Moment>,
}

/// Whether a request that failed has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No part of the request ran.
    NotRun,
    /// The request ran, at least in part.
    Ran,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// Reason for an error response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The catalogue has no such entry.
    #[error("the catalogue has no such entry")]
    UnknownEntry,
    /// The node's view is not fresh, so it accepts no requests.
    #[error("this node has lost touch with the others and takes no new work")]
    Stale,
    /// The node is shutting down.
    #[error("this node is shutting down")]
    ShuttingDown,
    /// The organisation's request rate is used up.
    #[error("the organisation's request rate is used up")]
    RequestRate,
    /// The organisation's token rate is used up.
    #[error("the organisation's token rate is used up")]
    TokenRate,
    /// The organisation has reached its limit of concurrent requests.
    #[error("the organisation has as many requests in flight as it may")]
    Concurrency,
    /// The expected wait exceeds the time that the request may wait.
    #[error("the entry is busy beyond the request's deadline")]
    Overloaded,
    /// No group serves the entry now.
    #[error("no group serves the entry now")]
    NoGroup,
    /// All backend servers of the entry have asked for a pause.
    #[error("all back ends of the entry have asked for a pause")]
    Paused,
    /// The entry's queue is full.
    #[error("the entry's queue is full")]
    QueueFull,
    /// The request's deadline has passed, or it has waited for a group as long as it may.
    #[error("the request's deadline has passed")]
    DeadlinePassed,
    /// Backend servers crashed repeatedly while they ran this request.
    #[error("back ends crashed repeatedly while they ran this request")]
    Crashes,
    /// A backend server failed, and no retry is left or allowed.
    #[error("the back end failed and the request can't be repeated now")]
    BackendFailed,
    /// The response broke off and can't be resumed.
    #[error("the answer broke off and can't be resumed")]
    BrokenAnswer,
}

/// An error response that the node creates itself instead of passing on a backend server's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the error.
    pub reason: Reason,
    /// Delay after which the caller may retry; `None` if a retry is useless or could run the work
    /// twice.
    pub retry_after: Option<Duration>,
    /// [`Outcome::NotRun`], unless an earlier attempt ran or may have run.
    pub outcome: Outcome,
    /// HTTP status of the response.
    pub status: u16,
}

/// An event of an attempt, reported by the edge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The connection could not be established, so no byte was sent.
    ConnectFailed,
    /// Nothing was sent, because [`Dispatch::send_until`] had passed. This says nothing about the
    /// backend server.
    NotSent,
    /// Nothing was sent, because the backend server has reported that it leaves or wants a pause.
    Withheld,
    /// The backend server refused the request without running any of it.
    RefusedNotRun,
    /// The backend server reports that it is in cold start; the attempt continues.
    Cold,
    /// The first byte of the response was received.
    FirstByte,
    /// This many tokens were sent to the caller so far.
    Token(u32),
    /// All streams of the group stopped sending at the same time; the group is suspended at once.
    Silent,
    /// The backend server ran the request and responded that it failed; this does not count as a
    /// failure of the group.
    Failed,
    /// The connection was closed early, or the response was truncated, malformed or had a wrong
    /// length.
    Broke,
    /// A kept connection was closed before any byte of the response. A sound backend server may
    /// close an idle connection at any time, so only the loss of a member shows that it crashed.
    KeptConnectionBroke,
    /// The first byte or the next token did not arrive in time.
    TimedOut,
    /// The response is complete.
    Finished {
        /// Number of tokens in the response.
        tokens: u32,
    },
    /// The backend server sent a response that is passed on as it is, such as an error of its own.
    Responded,
    /// The caller disconnected; the attempt is being cancelled.
    CallerLeft,
}

/// What the edge does after a report.
#[derive(Debug, Clone, PartialEq)]
pub enum Next {
    /// Continue the attempt.
    Continue,
    /// Cancel the request's other attempt, which needs no more reports. Treat the reported attempt
    /// as for [`Continue`](Self::Continue), or as for [`Done`](Self::Done) if the reported event
    /// ends it.
    CancelOther(AttemptKey),
    /// The attempt needs nothing more.
    Done,
    /// Send the request again. The reported attempt has ended for traffic; cancel it if it still
    /// runs.
    Retry(Dispatch),
    /// The request is queued again; [`Traffic::poll`](crate::Traffic::poll) returns its decision by
    /// this moment.
    Wait(Moment),
    /// Send this error to the caller now.
    Fail(Refusal),
}
