//! Counts of what membership did.

use serde::Serialize;

/// What membership did since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct MembershipCounters {
    /// Probes sent.
    pub probes: u64,
    /// Answers sent.
    pub answers: u64,
    /// Answers taken in.
    pub heard: u64,
    /// Answers dropped: unknown, late or doubled.
    pub unmatched: u64,
    /// Messages of processes that were replaced in their slot.
    pub outdated: u64,
    /// Reads of the table.
    pub reads: u64,
    /// Reads of the table that failed.
    pub read_failures: u64,
    /// Transactions sent.
    pub commits: u64,
    /// Documents asked for.
    pub fetches: u64,
    /// Catalogues adopted.
    pub adoptions: u64,
    /// Pauses of the process that were noticed.
    pub pauses: u64,
    /// Times the slot was taken over by another process.
    pub takeovers: u64,
    /// Rows or documents that could not be read.
    pub malformed: u64,
    /// Changes of operators that were answered.
    pub applies: u64,
}
