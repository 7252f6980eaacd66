//! The state of a gateway as a JSON dump for operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;
use tanagerhub_capacity::{BorrowerStatus, CoordinatorStatus};
use tanagerhub_catalogue::{EntryId, Epoch, GroupId, NodeId};
use tanagerhub_groups::{GroupStatus, Head, ModelStatus, VmStatus};
use tanagerhub_table::StoreEra;

use crate::gateway::memory_metrics::MemoryDump;
use crate::gateway::store_eras::StoreEras;

/// The era of the store, as this node has observed it.
#[derive(Debug, Serialize)]
pub(crate) struct EraDump {
    /// The newest era that the store named.
    era: Option<StoreEra>,
    /// How often the store has returned from a copy.
    returns: u64,
}

impl EraDump {
    /// Returns the era; `None` if there is nothing to tell.
    pub(crate) fn of(eras: &StoreEras) -> Option<Self> {
        let (era, returns) = (eras.current(), eras.returns());
        (era.is_some() || returns > 0).then_some(Self { era, returns })
    }
}

/// The planner, as far as a node knows.
#[derive(Debug, Serialize)]
pub(crate) struct PlannerDump {
    /// The name of the node that holds the planner's row; `None` if no node tells that it does.
    pub(crate) holder: Option<String>,
    /// Whether this node holds the row. Its term may have ended.
    pub(crate) holds_row: bool,
    /// Milliseconds until the term of this node ends, unless it is renewed.
    pub(crate) term_ms: u64,
}

/// The state of a node, with the version and the age of its configuration.
#[derive(Debug, Serialize)]
pub(crate) struct StateDump {
    /// The version of the configuration in force.
    pub(crate) configuration: Option<u64>,
    /// Milliseconds since the operators' rows were last confirmed to be current.
    pub(crate) store_age_ms: u64,
    /// The era of the store; left out if it names none and never returned from a copy.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) store_era: Option<EraDump>,
    /// The number of live nodes.
    pub(crate) nodes: usize,
    /// Whether this node may give orders and change groups now.
    pub(crate) plans: bool,
    /// The planner, as far as this node knows.
    pub(crate) planner: PlannerDump,
    /// The names of data centres that are out of service.
    pub(crate) evacuated: Vec<String>,
    /// The memory budget, if the node has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) memory: Option<Vec<MemoryDump>>,
    /// The heads of groups that may receive requests.
    pub(crate) routes: Vec<RouteDump>,
    /// The groups as their rows describe them; the list is complete only on the planner.
    pub(crate) groups: Vec<GroupStatus>,
    /// The demand and the target composition of each model; complete only on the planner.
    pub(crate) models: Vec<ModelStatus>,
    /// The VMs as their reports describe them.
    pub(crate) vms: Vec<VmStatus>,
    /// Shared capacity; left out while no backend server is coordinated.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) capacity: Option<CapacityDump>,
}

/// The state of shared capacity at a node.
#[derive(Debug, Serialize)]
pub(crate) struct CapacityDump {
    /// The nodes that may coordinate each shard, in order, by the shard's text.
    pub(crate) candidates: BTreeMap<String, Vec<NodeId>>,
    /// This node's loans and asks, with the coordinator of each shard that it uses.
    pub(crate) node: Option<BorrowerStatus>,
    /// This node's coordinators that have groups or lenders.
    pub(crate) coordinators: Vec<CoordinatorStatus>,
}

/// A backend server that may receive requests.
#[derive(Debug, Serialize)]
pub(crate) struct RouteDump {
    group: GroupId,
    epoch: Epoch,
    entry: EntryId,
    vm: String,
    address: SocketAddr,
}

impl From<&Head> for RouteDump {
    fn from(head: &Head) -> Self {
        Self {
            group: head.group,
            epoch: head.epoch,
            entry: head.entry,
            vm: head.name.clone(),
            address: head.address,
        }
    }
}

impl StateDump {
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_else(|error| {
            log::error!(error:%; "failed to serialise the state dump");
            String::new()
        })
    }
}
