//! The group rows and VMs that a node sends to a peer that can't reach the platform.

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::Vm;
use tanagerhub_table::Row;

/// A copy of the group rows and VMs that a node has.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct FleetCopy {
    /// The rows of groups in the platform's table.
    pub(crate) rows: Vec<Row>,
    /// The platform's list of VMs, as last read by the sender.
    pub(crate) vms: Vec<Vm>,
}

impl FleetCopy {
    /// Encodes the copy as JSON; empty if that fails.
    pub(crate) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a peer's copy; `None` when it is malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}
