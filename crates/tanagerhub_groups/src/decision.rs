//! Decisions and observations about groups, for the log and for operators.

use serde::Serialize;
use tanagerhub_catalogue::{Epoch, GroupId};

use crate::ProbeFailure;

/// A decision about a group or VM, or a change observed on one, with its cause.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Decision {
    /// This node has become the planner.
    PlannerTaken {
        /// The version of the planner's row.
        version: u64,
    },
    /// This node is no longer the planner.
    PlannerYielded,
    /// The planner's term has ended and was not renewed, so that it gives no orders.
    PlannerSuspended,
    /// The planner's term was renewed after it had ended.
    PlannerResumed,
    /// This node may not take over yet from a planner that is silent.
    TakeoverWaits {
        /// After which time a node that this planner asks consents, in milliseconds; `None` if none
        /// answered.
        consent_ms: Option<u64>,
        /// How long the planner has been silent, in milliseconds.
        silent_ms: u64,
    },
    /// The store returned from an older copy. The planner takes its row over again once the rows
    /// are complete.
    StoreReturned,
    /// A change of a group was sent to the store.
    Changing(Change),
    /// The store did not confirm a transaction as applied.
    ChangeFailed {
        /// The result of the commit, in its debug format.
        answer: String,
    },
    /// A change of a group is in effect: the store applied it, or the planner made it while the
    /// store was unreachable.
    Changed {
        /// The applied change.
        change: Change,
        /// The group's new epoch; `None` if the group was dissolved.
        epoch: Option<Epoch>,
    },
    /// A VM is leaving and receives no new requests.
    VmLeaving {
        /// The VM's name.
        vm: String,
    },
    /// The store no longer lists a VM.
    VmGone {
        /// The VM's name.
        vm: String,
    },
    /// A VM is considered unreachable.
    VmLost {
        /// The VM's name.
        vm: String,
        /// The number of consecutive failed probes; one of a suspected VM counts as several.
        probes: u32,
        /// The result of the last probe.
        cause: ProbeFailure,
    },
    /// A VM that was only considered unreachable is considered ended, and its place may be given
    /// to another VM.
    VmEnded {
        /// The VM's name.
        vm: String,
        /// The result of the last probe; a VM that leaves it unanswered was silent for too long.
        cause: ProbeFailure,
    },
    /// A VM that this node does not reach is reached by another one, and goes on as a member.
    VmReachedByPeer {
        /// The VM's name.
        vm: String,
    },
    /// A VM that was considered unreachable responds again.
    VmBack {
        /// The VM's name.
        vm: String,
    },
    /// The head of a group was ordered to accept requests.
    Opening {
        /// The group to open.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
    },
    /// A group that serves without a row is to end: its head finishes its requests, and its VMs leave.
    EndingGroup {
        /// The group's id.
        group: GroupId,
        /// The epoch at which it serves.
        epoch: Epoch,
        /// The head's name.
        head: String,
    },
    /// A group is to be dissolved to supply a member to another group.
    GivesWay {
        /// The group to dissolve.
        group: GroupId,
        /// The other group, which lacks a member.
        to: GroupId,
    },
    /// A model began to miss many of its asks, or ceased to.
    Shortage {
        /// The model's name.
        model: String,
        /// Whether the model is short.
        short: bool,
        /// The share of the last asks that were overdue or refused, in percent.
        missed_percent: u64,
    },
    /// Groups of one model are to be dissolved for groups of another one that is short.
    Rebalancing {
        /// The service of both models.
        service: String,
        /// The model that loses groups.
        from: String,
        /// The model that is short.
        to: String,
        /// The groups to dissolve.
        leaving: Vec<GroupId>,
        /// The expected time of the change, in seconds.
        expected_s: u64,
    },
    /// A change of the composition has ended.
    Rebalanced {
        /// The service of the models.
        service: String,
        /// The model that was short.
        to: String,
        /// Whether its new groups were formed; otherwise the change ended without them.
        completed: bool,
    },
    /// A VM was ordered to load a model onto its host.
    Staging {
        /// The VM's name.
        vm: String,
        /// The model's name.
        model: String,
    },
    /// An order was not confirmed as accepted.
    OrderFailed {
        /// The VM's name; empty if the VM is unknown.
        vm: String,
        /// The result of the order.
        result: crate::OrderResult,
    },
    /// A VM has begun none of the last orders to it, though it reports.
    VmIgnoresOrders {
        /// The VM's name.
        vm: String,
        /// The number of these orders.
        orders: u32,
    },
    /// A VM that ignored orders has begun one.
    VmFollowsOrders {
        /// The VM's name.
        vm: String,
    },
    /// A row of the groups' table was ignored.
    RowIgnored {
        /// The reason the row can't be decoded.
        reason: String,
    },
}

/// A change of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// A new group is formed.
    Form {
        /// The group's id.
        group: GroupId,
        /// The name of the model that the group serves.
        model: String,
        /// Names of the members, the head first.
        members: Vec<String>,
    },
    /// A group gets a new epoch, and new members in place of unusable ones.
    Renew {
        /// The group's id.
        group: GroupId,
        /// Names of the members, the head first.
        members: Vec<String>,
    },
    /// A group is dissolved.
    Dissolve {
        /// The group's id.
        group: GroupId,
    },
}

impl Change {
    /// Returns the id of the group that changes.
    #[must_use]
    pub const fn group(&self) -> GroupId {
        match self {
            Self::Form { group, .. } | Self::Renew { group, .. } | Self::Dissolve { group } => {
                *group
            }
        }
    }
}
