//! Counters of the traffic decisions.

use serde::Serialize;

/// Counters since the node's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Counters {
    /// Requests submitted.
    pub requests: u64,
    /// Attempts sent, hedges and retries included.
    pub attempts: u64,
    /// Retries allowed after a failed attempt.
    pub retries: u64,
    /// Hedges: attempts started while another one of the request ran.
    pub hedges: u64,
    /// Hedges whose first byte came before the first attempt's.
    pub hedge_wins: u64,
    /// Retries that the retry budget did not allow.
    pub budget_empty: u64,
    /// New requests that had to wait for a group.
    pub queued: u64,
    /// Requests with a complete response.
    pub finished: u64,
    /// Requests whose caller disconnected.
    pub left: u64,
    /// Requests refused because of their organisation's limits.
    pub over_limit: u64,
    /// Requests refused because no group could serve them in time or the queue was full.
    pub overloaded: u64,
    /// Requests refused for any other reason.
    pub refused: u64,
    /// Requests that failed with outcome `not-run`.
    pub failed_not_run: u64,
    /// Requests that failed with outcome `ran`.
    pub failed_ran: u64,
    /// Requests that failed with outcome `unknown`.
    pub failed_unknown: u64,
    /// Attempts that resumed a stream after a token.
    pub resumed: u64,
    /// Dispatches to a group that had a prefix of the prompt in its cache, according to the index.
    pub prefix_hits: u64,
    /// Dispatches of requests with prefixes.
    pub prefix_lookups: u64,
    /// Streams moved because they were much slower than usual.
    pub moved: u64,
    /// Cold signals from groups that the routes listed as warm.
    pub turned_cold: u64,
}
