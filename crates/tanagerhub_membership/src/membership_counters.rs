//! Counters of membership's activity.

use serde::Serialize;

/// Counters since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct MembershipCounters {
    /// Probes sent.
    pub probes: u64,
    /// Responses to probes sent.
    pub answers: u64,
    /// Responses to probes received and matched to a probe.
    pub heard: u64,
    /// Responses to probes dropped: unknown, late or duplicate.
    pub unmatched: u64,
    /// Messages from processes that have been replaced in their slot.
    pub outdated: u64,
    /// Reads of the table.
    pub reads: u64,
    /// Reads of the table that failed.
    pub read_failures: u64,
    /// Transactions sent.
    pub commits: u64,
    /// Documents requested.
    pub fetches: u64,
    /// Catalogues adopted.
    pub adoptions: u64,
    /// Pauses of the process that were detected.
    pub pauses: u64,
    /// Times that another process took over the slot.
    pub takeovers: u64,
    /// Rows or documents that could not be decoded.
    pub malformed: u64,
    /// Operators' changes whose outcome was reported.
    pub applies: u64,
}
