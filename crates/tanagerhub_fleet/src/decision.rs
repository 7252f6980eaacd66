//! Decisions, their reasons, and the bounded log that keeps the latest ones.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{EntryId, Epoch, GroupId, NodeId, VmId};
use tanagerhub_clock::Moment;

use crate::ProbeFailure;

/// The object whose decisions [`Fleet::explain`](crate::Fleet::explain) returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// A catalogue entry.
    Entry(EntryId),
    /// A group.
    Group(GroupId),
    /// A VM.
    Vm(VmId),
}

/// A decision or an observed change, with its reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Decision {
    /// The moment at which it was recorded.
    pub at: Moment,
    /// The entry concerned, if any.
    pub entry: Option<EntryId>,
    /// The group concerned, if any.
    pub group: Option<GroupId>,
    /// The VM concerned, if any.
    pub vm: Option<VmId>,
    /// The kind of decision or change, with its cause.
    pub reason: Reason,
}

/// The kind of a decision or of an observed change, with its cause.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Reason {
    /// A group is being formed because the entry holds too few replicas.
    Form {
        /// Replicas that the entry holds.
        held: u32,
        /// The entry's maximum number of replicas.
        wanted: u32,
    },
    /// A replica is missing, and no fabric domain has enough free VMs.
    NoPlace {
        /// The number of free VMs that the replica needs in one domain.
        span: u16,
    },
    /// A replica is missing, and the limit on concurrent loads from the weight store is reached.
    LoadsBusy {
        /// Members that are loading or about to load.
        loading: usize,
    },
    /// A group was formed by this node.
    Formed {
        /// The epoch of the new group.
        epoch: Epoch,
    },
    /// A member is missing, but possibly only paused, so the group is left unchanged for now.
    Wait {
        /// The failure of the member's last probe; `None` when this node has not probed it.
        failure: Option<ProbeFailure>,
    },
    /// A member is being replaced by a free VM of the same domain.
    Swap {
        /// The time for which the group has been incomplete.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        after: Duration,
    },
    /// Members were replaced.
    Swapped {
        /// The group's new epoch.
        epoch: Epoch,
    },
    /// The group is being dissolved so that its replica can be formed on other VMs.
    Reform {
        /// The time for which the group has been incomplete.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        after: Duration,
    },
    /// The group is being set to accept no new requests.
    Drain {
        /// The cause of the drain.
        cause: DrainCause,
    },
    /// A standby group is being formed from VMs that no replica needs.
    FormStandby,
    /// A standby group is being put into service for a missing replica.
    Promote,
    /// A standby group was put into service by this node.
    Promoted,
    /// A standby group is being dissolved because a replica needs its VMs.
    YieldStandby,
    /// The group's row was marked as draining by this node.
    Draining,
    /// The group has drained and is being dissolved.
    Drained,
    /// The group was dissolved by this node, and its VMs are free.
    Dissolved,
    /// Cold slots of a node that left are being reassigned to other nodes.
    MoveSlots {
        /// The node that held the slots.
        from: NodeId,
    },
    /// Cold slots were reassigned to other nodes.
    SlotsMoved,
    /// A VM is left out of formations for a time because it failed.
    LeftOut {
        /// The number of its recent failures.
        strikes: u32,
        /// The time for which it is left out.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        pause: Duration,
    },
    /// The group is complete: an attestation that counts is recent enough.
    Whole,
    /// The group's latest attestation is too old, or was invalidated.
    Unattested,
    /// A request of this node failed on the group.
    Suspected,
    /// The group turned cold.
    TurnedCold,
    /// The group warmed up.
    Warmed,
    /// A member's engine restarted: it must load its weights again and is cold.
    Restarted,
    /// An order to join was sent to a member.
    Ordered {
        /// The epoch that the order carries.
        epoch: Epoch,
    },
    /// A member has seen a higher epoch, so this node's copy of the rows is stale.
    Overtaken {
        /// The epoch that the member has seen.
        epoch: Epoch,
    },
    /// The change was not applied because the rows had changed in the meantime.
    Conflict,
    /// The response to a transaction was lost; its outcome is determined by reading the row back.
    AnswerLost,
    /// The table did not apply a transaction: it refused it or could not be reached.
    StoreRefused,
}

/// Why a group accepts no new requests and is dissolved once it is idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainCause {
    /// The entry was removed from the catalogue, or its span or kind changed.
    Entry,
    /// The entry holds more replicas than its maximum.
    Excess,
    /// A member or its data centre is marked out of service.
    MarkedOut,
    /// The platform or an engine reported that a member is leaving.
    Leaving,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?}", self.at, self.reason)
    }
}

/// The latest decisions, bounded in number.
#[derive(Debug)]
pub(crate) struct Decisions {
    ring: VecDeque<Decision>,
    limit: usize,
}

impl Decisions {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            ring: VecDeque::new(),
            limit: limit.max(1),
        }
    }

    /// Records a decision, unless it repeats the last one on its subject. Returns whether it was
    /// recorded.
    pub(crate) fn record(&mut self, decision: Decision) -> bool {
        let is_same_subject = |old: &&Decision| {
            old.entry == decision.entry && old.group == decision.group && old.vm == decision.vm
        };
        let last = self.ring.iter().rev().find(is_same_subject);
        if last.is_some_and(|old| old.reason == decision.reason) {
            return false;
        }
        if self.ring.len() == self.limit {
            self.ring.pop_front();
        }
        self.ring.push_back(decision);
        true
    }

    pub(crate) fn for_subject(&self, subject: Subject) -> Vec<Decision> {
        let is_about = |decision: &&Decision| match subject {
            Subject::Entry(id) => decision.entry == Some(id),
            Subject::Group(id) => decision.group == Some(id),
            Subject::Vm(id) => decision.vm == Some(id),
        };
        self.ring.iter().filter(is_about).copied().collect()
    }
}
