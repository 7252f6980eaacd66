//! Reports of VMs about themselves.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{Epoch, GroupId, Vm, VmId};

/// A VM's report about itself, from its row in the store or from a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmReport {
    /// The VM's name, address, location and service.
    pub vm: Vm,
    /// When its backend server started, in Unix milliseconds; identifies the start.
    pub started_ms: u64,
    /// The number of requests that the VM runs concurrently.
    pub slots: u32,
    /// The remaining time for which the VM is cold.
    pub cold_remaining: Duration,
    /// Names of the models staged on the VM's host.
    pub staged: Vec<String>,
    /// The name of the model that it serves or prepares to serve.
    pub served_model: Option<String>,
    /// Whether it is executing an order; `None` if the report does not contain this, as in the
    /// store's rows.
    pub busy: Option<bool>,
    /// The number of orders that it has accepted since its start; `None` if the report does not contain
    /// this, as in the store's rows.
    pub order_count: Option<u64>,
    /// Its membership in a group, if any.
    pub group: Option<GroupReport>,
}

/// What a node finds of a VM that it probes for another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenVm {
    /// The start of the backend server, as in [`VmReport::started_ms`].
    pub started_ms: u64,
    /// The VM's membership in a group, if any.
    pub group: Option<GroupReport>,
}

/// A VM's membership in a group, as the VM reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// The group's id.
    pub group: GroupId,
    /// The epoch of the join order that the VM follows.
    pub epoch: Epoch,
    /// The VM's index among the members; the head has rank 0.
    pub rank: u32,
    /// The VM's state as a member.
    pub state: GroupState,
}

/// The state of a member of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupState {
    /// It is preparing the model.
    Joining,
    /// It is ready to take part.
    Ready,
    /// It is the head and accepts requests.
    Open,
    /// It is the head, finishes its requests and accepts no more.
    Closing,
    /// It is the head and has failed because a member is missing.
    Broken,
}

impl VmReport {
    /// Returns the group and epoch that requests to this VM belong to.
    pub(crate) fn served_group(&self) -> (GroupId, Epoch) {
        self.group.map_or_else(
            || self.service_group(),
            |membership| (membership.group, membership.epoch),
        )
    }

    /// Returns the group of one that a VM without an engine forms; each start is an epoch.
    pub(crate) fn service_group(&self) -> (GroupId, Epoch) {
        let VmId(id) = self.vm.id();
        (GroupId(id), Epoch(self.started_ms))
    }

    /// Returns whether the model is staged on the VM's host.
    #[must_use]
    pub fn has_staged(&self, model: &str) -> bool {
        self.staged.iter().any(|name| name == model)
    }

    /// Returns the VM's state in a group at an epoch; `None` if it does not take part at that
    /// epoch.
    #[must_use]
    pub fn state_in(&self, group: GroupId, epoch: Epoch) -> Option<GroupState> {
        let membership = self.group?;
        (membership.group == group && membership.epoch == epoch).then_some(membership.state)
    }
}
