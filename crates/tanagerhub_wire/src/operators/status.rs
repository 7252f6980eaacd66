//! The status of the whole system as one node sees it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{CatalogueVersion, Class, Epoch, GroupId, Mark};

/// The status of the whole system as one node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StatusView {
    /// The name of the node that responds.
    pub node: String,
    /// The catalogue version in force at that node.
    pub version: CatalogueVersion,
    /// Whether the node has confirmed that there is no newer version.
    pub fresh: bool,
    /// The models and services of the catalogue.
    pub entries: Vec<EntryStatus>,
    /// The replica groups of all entries.
    pub groups: Vec<GroupStatus>,
    /// The VMs with backend servers.
    pub vms: Vec<VmStatus>,
    /// The data centres.
    pub data_centres: Vec<DataCentreStatus>,
    /// The system's own nodes.
    pub nodes: Vec<NodeStatus>,
}

/// A model or service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The name of the entry in the catalogue.
    pub name: String,
    /// The class of the entry in the catalogue.
    pub class: Class,
    /// The number of replicas that serve.
    pub serving: u32,
    /// How many of the serving replicas are in cold start.
    pub cold: u32,
    /// The number of replica groups of the entry that aren't standbys, serving or not.
    pub held: u32,
    /// The minimum number of replicas that must serve.
    pub replicas_min: u32,
    /// The maximum number of replicas that may be held.
    pub replicas_max: u32,
    /// Why fewer than `replicas_min` serve; empty otherwise.
    pub reason: String,
}

/// A replica group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The id of the group.
    pub group: GroupId,
    /// The group's fencing token.
    pub epoch: Epoch,
    /// The name of the entry that the group serves.
    pub entry: String,
    /// The name of the data centre with its VMs.
    pub data_centre: String,
    /// The state of the group, such as `loading`.
    pub state: String,
    /// Whether this node routes requests to the group.
    pub serving: bool,
    /// Why the group doesn't serve; empty when it does.
    pub reason: String,
    /// The names of the group's VMs, by rank.
    pub members: Vec<String>,
}

/// A VM with a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The VM's name.
    pub name: String,
    /// The name of its data centre.
    pub data_centre: String,
    /// The name of its fabric domain.
    pub domain: String,
    /// The operators' mark on the VM.
    pub mark: Mark,
    /// Whether the VM is about to leave.
    pub leaving: bool,
    /// The group that the VM belongs to.
    pub group: Option<GroupId>,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreStatus {
    /// The data centre's name.
    pub name: String,
    /// The name of its region.
    pub region: String,
    /// The operators' mark on the data centre.
    pub mark: Mark,
    /// The number of VMs with backend servers.
    pub vms: u32,
    /// The number of groups that serve.
    pub serving: u32,
}

/// One of the system's own nodes.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node's name.
    pub name: String,
    /// The name of its data centre.
    pub data_centre: String,
    /// The catalogue version in force there, as last reported.
    pub version: CatalogueVersion,
    /// Whether the node accepts new requests.
    pub fresh: bool,
    /// The time since the last message of the node.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
}
