//! Counters of the control decisions.

use serde::Serialize;

/// Counters since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct FleetCounters {
    /// Transactions sent.
    pub commits: u64,
    /// Transactions that were not applied because another node had changed a row first.
    pub conflicts: u64,
    /// Transactions that the table did not apply because it refused them or was unreachable.
    pub refused: u64,
    /// Transactions whose response was lost.
    pub lost: u64,
    /// Reads sent.
    pub reads: u64,
    /// Reads that failed.
    pub failed_reads: u64,
    /// Rows that could not be decoded.
    pub bad_rows: u64,
    /// Probes sent.
    pub probes: u64,
    /// Probes that returned no valid report.
    pub failed_probes: u64,
    /// Attestations published.
    pub attests: u64,
    /// Orders sent.
    pub orders: u64,
    /// Groups formed by this node.
    pub formed: u64,
    /// Changes by this node that replaced members of a group.
    pub swapped: u64,
    /// Standby groups put into service by this node.
    pub promoted: u64,
    /// Groups dissolved by this node.
    pub dissolved: u64,
    /// Times that a group became incomplete at this node.
    pub broken: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
}
