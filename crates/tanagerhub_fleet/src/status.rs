//! The state of the fleet for operators.

use serde::Serialize;
use tanagerhub_catalogue::EntryId;

use crate::{FleetCounters, GroupView, Peer};

/// What a node knows of all groups, for the dump and for `tanagerctl status`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FleetStatus {
    /// Entries in the catalogue's order.
    pub entries: Vec<EntryStatus>,
    /// Groups by id.
    pub groups: Vec<GroupView>,
    /// VMs for model engines that the platform lists.
    pub vms: usize,
    /// VMs for model engines that belong to no group.
    pub free_vms: usize,
    /// VMs left out of formations for a time.
    pub left_out: usize,
    /// Whether the last call of the table failed.
    pub store_down: bool,
    /// This node's place in the order of planners; `None` when it is not live.
    pub planner: Option<usize>,
    /// The live nodes.
    pub peers: Vec<Peer>,
    /// Counts since the start of the process.
    pub counters: FleetCounters,
}

/// One entry's replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryStatus {
    /// The entry.
    pub id: EntryId,
    /// Its name.
    pub name: String,
    /// The fewest replicas that must serve.
    pub min: u32,
    /// The most replicas that may be held.
    pub max: u32,
    /// Groups that don't drain.
    pub held: u32,
    /// Groups that this node may send work to.
    pub eligible: u32,
}
