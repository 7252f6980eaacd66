//! Orders to VMs.

use serde::Serialize;
use tanagerhub_catalogue::{Epoch, GroupId};

use crate::{JoinProof, OpenProof};

/// An order that the planner sends to a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Join a group at an epoch.
    Join {
        /// The group's id.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
        /// The name of the model that the group serves.
        model: String,
        /// Names of all members, the head first.
        members: Vec<String>,
        /// The evidence that the VM may join.
        proof: JoinProof,
    },
    /// As the head of a ready group, start to accept requests.
    Open {
        /// The group's id.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
        /// The evidence that the VM is the head.
        proof: OpenProof,
    },
    /// As the head, finish running requests and accept no more.
    Close {
        /// The group's id.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
    },
    /// Leave the group at once.
    Leave {
        /// The group's id.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
    },
    /// Load a model onto the host.
    Stage {
        /// The model's name.
        model: String,
    },
}

impl Order {
    /// Returns whether two orders tell a VM the same. Their evidence may differ.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        match (self, other) {
            (
                Self::Join { group, epoch, .. },
                Self::Join {
                    group: other_group,
                    epoch: other_epoch,
                    ..
                },
            )
            | (
                Self::Open { group, epoch, .. },
                Self::Open {
                    group: other_group,
                    epoch: other_epoch,
                    ..
                },
            ) => (group, epoch) == (other_group, other_epoch),
            _ => self == other,
        }
    }
}

/// The result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// The VM has started to execute the order, or is already in the ordered state.
    Accepted,
    /// The order does not apply in the VM's current state.
    Unfit,
    /// The VM has seen a higher epoch.
    Stale,
    /// Another VM or start responds at the address.
    Misdirected,
    /// The order was not sent, so the VM can't execute it.
    NotSent,
    /// The backend server has asked for a pause, so that it did not execute the order or the order
    /// was not sent.
    Paused,
    /// The response was lost; the VM may execute the order now or later.
    Unknown,
}
