//! Counts of what the control decisions did.

use serde::Serialize;

/// Counts since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct FleetCounters {
    /// Transactions sent.
    pub commits: u64,
    /// Transactions that another node's change came before.
    pub conflicts: u64,
    /// Transactions that the table refused.
    pub refused: u64,
    /// Transactions whose answer was lost.
    pub lost: u64,
    /// Reads sent.
    pub reads: u64,
    /// Reads without an answer.
    pub failed_reads: u64,
    /// Rows that could not be decoded.
    pub bad_rows: u64,
    /// Probes sent.
    pub probes: u64,
    /// Probes without a report.
    pub failed_probes: u64,
    /// Attestations made.
    pub attests: u64,
    /// Orders sent.
    pub orders: u64,
    /// Groups formed by this node.
    pub formed: u64,
    /// Members replaced by this node.
    pub swapped: u64,
    /// Standby groups put into service by this node.
    pub promoted: u64,
    /// Groups dissolved by this node.
    pub dissolved: u64,
    /// Times a group stopped being eligible at this node.
    pub broken: u64,
    /// Pauses of this process that were noticed.
    pub pauses: u64,
}
