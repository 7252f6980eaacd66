//! What a VM reports of itself.

use std::time::Duration;

use serde::Serialize;
use tanagerhub_catalogue::{Epoch, GroupId, Vm};

/// What a VM reports of itself, in the store or when it is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmReport {
    /// Its name, address, place and service.
    pub vm: Vm,
    /// When its backend server started, in Unix milliseconds; tells one start from the next.
    pub started: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How much longer it is cold.
    pub cold: Duration,
    /// Names of the models on its host.
    pub staged: Vec<String>,
    /// The model that it serves or prepares to serve.
    pub serves: Option<String>,
    /// Whether it carries out an order; `None` where the report does not say.
    pub busy: Option<bool>,
    /// Its group, if it is in one.
    pub group: Option<GroupReport>,
}

/// A VM's place in a group, as it sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct GroupReport {
    /// The group.
    pub group: GroupId,
    /// The epoch of the join that it follows.
    pub epoch: Epoch,
    /// Its place; 0 is the head.
    pub rank: u32,
    /// How far it is.
    pub state: GroupState,
}

/// How far a member of a group is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupState {
    /// It prepares the model.
    Joining,
    /// It could take part.
    Ready,
    /// As the head, it takes requests.
    Open,
    /// As the head, it finishes its requests and takes no more.
    Closing,
    /// As the head, it has given up, since a member is missing.
    Broken,
}

impl VmReport {
    /// Whether the model is on the host.
    #[must_use]
    pub fn has_staged(&self, model: &str) -> bool {
        self.staged.iter().any(|name| name == model)
    }

    /// Its state in this group at this epoch.
    #[must_use]
    pub fn state_in(&self, group: GroupId, epoch: Epoch) -> Option<GroupState> {
        let report = self.group?;
        (report.group == group && report.epoch == epoch).then_some(report.state)
    }
}
