//! What serves and what doesn't.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{CatalogueVersion, Class, Epoch, GroupId, Mark};

/// What one node knows of the whole system.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StatusView {
    /// The node that answers.
    pub node: String,
    /// The catalogue version in force at that node.
    pub version: CatalogueVersion,
    /// Whether the node knows that there is no newer one.
    pub fresh: bool,
    /// Models and services.
    pub entries: Vec<EntryStatus>,
    /// Replica groups.
    pub groups: Vec<GroupStatus>,
    /// VMs with backend servers.
    pub vms: Vec<VmStatus>,
    /// Data centres.
    pub data_centres: Vec<DataCentreStatus>,
    /// The system's own nodes.
    pub nodes: Vec<NodeStatus>,
}

/// A model or service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry's name.
    pub name: String,
    /// The entry's class.
    pub class: Class,
    /// Replicas that serve.
    pub serving: u32,
    /// Those of them in cold start.
    pub cold: u32,
    /// Replicas held, serving or not.
    pub held: u32,
    /// The fewest that must serve.
    pub replicas_min: u32,
    /// The most that may be held.
    pub replicas_max: u32,
    /// Why fewer serve than must, or an empty text.
    pub reason: String,
}

/// A replica group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// Its fencing number.
    pub epoch: Epoch,
    /// The entry's name.
    pub entry: String,
    /// Its data centre.
    pub data_centre: String,
    /// How far it is, such as `loading`.
    pub state: String,
    /// Whether this node would route to it.
    pub serving: bool,
    /// Why it doesn't serve, or an empty text.
    pub reason: String,
    /// Its VMs by rank.
    pub members: Vec<String>,
}

/// A VM with a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The VM's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its fabric domain.
    pub domain: String,
    /// The operators' mark on it.
    pub mark: Mark,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// The group that it belongs to.
    pub group: Option<GroupId>,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreStatus {
    /// The data centre's name.
    pub name: String,
    /// Its region.
    pub region: String,
    /// The operators' mark on it.
    pub mark: Mark,
    /// VMs with backend servers.
    pub vms: u32,
    /// Groups that serve.
    pub serving: u32,
}

/// One of the system's own nodes.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// The catalogue version in force there, as last heard.
    pub version: CatalogueVersion,
    /// Whether it takes new work.
    pub fresh: bool,
    /// The time since it was last heard.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
}
