//! Orders to VMs.

use serde::Serialize;
use tanagerhub_catalogue::{Epoch, GroupId};

/// What a VM is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Take part in a group.
    Join {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
        /// The model that it serves.
        model: String,
        /// Names of all members, the head first.
        members: Vec<String>,
    },
    /// As the head of a ready group, take requests.
    Open {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// As the head, finish what runs and take no more requests.
    Close {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Leave the group at once.
    Leave {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Load a model onto the host.
    Stage {
        /// The model.
        model: String,
    },
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// It has begun, or its state holds already.
    Accepted,
    /// It does not fit the VM's state.
    Unfit,
    /// The VM has seen a higher epoch.
    Stale,
    /// Another VM has the address.
    Misdirected,
    /// It can't have been obeyed.
    NotSent,
    /// It may be obeyed, now or later.
    Unknown,
}
