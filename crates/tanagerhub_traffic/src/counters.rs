//! What traffic has counted since the node's start.

use serde::Serialize;

/// Counts since the node's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Counters {
    /// Requests submitted.
    pub requests: u64,
    /// Attempts sent, hedges and retries included.
    pub attempts: u64,
    /// Attempts after a failed one.
    pub retries: u64,
    /// Attempts beside another one.
    pub hedges: u64,
    /// Hedges that answered first.
    pub hedge_wins: u64,
    /// Retries that the budget did not allow.
    pub budget_empty: u64,
    /// Requests that had to wait.
    pub queued: u64,
    /// Whole answers.
    pub finished: u64,
    /// Requests whose caller left.
    pub left: u64,
    /// Requests refused for their organisation's limits.
    pub over_limit: u64,
    /// Requests refused because they would have been late.
    pub overloaded: u64,
    /// Requests refused for any other reason.
    pub refused: u64,
    /// Requests that failed with outcome `not-run`.
    pub failed_not_run: u64,
    /// Requests that failed with outcome `ran`.
    pub failed_ran: u64,
    /// Requests that failed with outcome `unknown`.
    pub failed_unknown: u64,
    /// Streams resumed at a token.
    pub resumed: u64,
    /// Dispatches to a group that had the start of the prompt in its cache, as far as known.
    pub prefix_hits: u64,
    /// Dispatches of requests with prefixes.
    pub prefix_lookups: u64,
    /// Streams moved because they were far behind the usual pace.
    pub moved: u64,
    /// Groups that turned cold without warning.
    pub turned_cold: u64,
}
