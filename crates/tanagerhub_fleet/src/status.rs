//! The state of the fleet for operators.

use serde::Serialize;
use tanagerhub_catalogue::EntryId;

use crate::{FleetCounters, GroupView, Peer};

/// The state of all groups at one node, for the state dump and for `tanagerctl status`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FleetStatus {
    /// The entries, in the catalogue's order.
    pub entries: Vec<EntryStatus>,
    /// The groups, ordered by id.
    pub groups: Vec<GroupView>,
    /// The number of listed VMs for model engines.
    pub vms: usize,
    /// The number of listed VMs for model engines that belong to no group.
    pub free_vms: usize,
    /// The number of VMs that are left out of formations because of failures.
    pub left_out: usize,
    /// Whether the last call to the table failed.
    pub store_down: bool,
    /// This node's rank among the planners; `None` when it is not one of them.
    pub planner: Option<usize>,
    /// The live nodes, including this one.
    pub peers: Vec<Peer>,
    /// The counters since the start of the process.
    pub counters: FleetCounters,
}

/// The numbers of replicas of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryStatus {
    /// The id of the entry, derived from its name.
    pub id: EntryId,
    /// The name of the entry.
    pub name: String,
    /// The minimum number of replicas that must serve.
    pub min: u32,
    /// The maximum number of replicas that the entry may hold.
    pub max: u32,
    /// The number of groups that are neither draining nor on standby.
    pub held: u32,
    /// The number of groups that this node may send requests to.
    pub eligible: u32,
}
