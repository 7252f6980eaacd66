//! The state of a gateway, for operators.

use std::net::SocketAddr;

use serde::Serialize;
use tanagerhub_catalogue::{EntryId, Epoch, GroupId};
use tanagerhub_groups::{GroupStatus, Head, VmStatus};

/// What a node believes, since when and by which version.
#[derive(Debug, Serialize)]
pub(crate) struct StateDump {
    /// The version of the configuration in force.
    pub(crate) configuration: Option<u64>,
    /// Milliseconds since the operators' rows were known to be as they are believed.
    pub(crate) store_age_ms: u64,
    /// Live nodes.
    pub(crate) nodes: usize,
    /// Whether this node plans.
    pub(crate) plans: bool,
    /// Data centres out of service.
    pub(crate) evacuated: Vec<String>,
    /// Where requests may go.
    pub(crate) routes: Vec<RouteDump>,
    /// Groups by their rows; complete on the node that plans.
    pub(crate) groups: Vec<GroupStatus>,
    /// VMs by their reports.
    pub(crate) vms: Vec<VmStatus>,
}

/// A back end that requests may be sent to.
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
            log::error!(error:%; "the state can't be written");
            String::new()
        })
    }
}
