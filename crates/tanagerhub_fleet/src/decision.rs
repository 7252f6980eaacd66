//! Decisions and their reasons.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{EntryId, Epoch, GroupId, NodeId, VmId};
use tanagerhub_clock::Moment;

use crate::ProbeFailure;

/// What a question for an explanation is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// A catalogue entry.
    Entry(EntryId),
    /// A group.
    Group(GroupId),
    /// A VM.
    Vm(VmId),
}

/// Something that was decided or noticed, with its reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Decision {
    /// When.
    pub at: Moment,
    /// The entry concerned.
    pub entry: Option<EntryId>,
    /// The group concerned.
    pub group: Option<GroupId>,
    /// The VM concerned.
    pub vm: Option<VmId>,
    /// What, and why.
    pub reason: Reason,
}

/// What was decided or noticed, and why.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Reason {
    /// A group is to be formed, because the entry holds too few replicas.
    Form {
        /// Replicas held.
        held: u32,
        /// Replicas wanted.
        wanted: u32,
    },
    /// A replica is missing and no fabric domain has enough free VMs.
    NoPlace {
        /// VMs needed in one domain.
        span: u16,
    },
    /// A replica is missing and the weight store is busy.
    LoadsBusy {
        /// Members that load now.
        loading: usize,
    },
    /// A group was formed.
    Formed {
        /// Its epoch.
        epoch: Epoch,
    },
    /// A member is missing; it may be a pause, so it is waited for.
    Wait {
        /// What the last probe said; `None` when this node has not probed it.
        failure: Option<ProbeFailure>,
    },
    /// A member is to be replaced by a free VM of the same domain.
    Swap {
        /// How long the group was not whole.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        after: Duration,
    },
    /// A member was replaced.
    Swapped {
        /// The new epoch.
        epoch: Epoch,
    },
    /// The group is given up, to be formed again elsewhere.
    Reform {
        /// How long the group was not whole.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        after: Duration,
    },
    /// The group is to take no new work.
    Drain {
        /// Why.
        cause: DrainCause,
    },
    /// A standby group is to be formed from VMs that no entry needs now.
    FormStandby,
    /// A standby group takes the place of a missing replica.
    Promote,
    /// A standby group was put into service.
    Promoted,
    /// A standby group is given up, because a replica needs its VMs.
    YieldStandby,
    /// The group is to be dissolved, because it has drained.
    Drained,
    /// The group was dissolved.
    Dissolved,
    /// Cold slots of a node that left are to be given to others.
    MoveSlots {
        /// The node that held them.
        from: NodeId,
    },
    /// Cold slots were given to other nodes.
    SlotsMoved,
    /// A VM is left out of formations for a time.
    LeftOut {
        /// Its failures so far.
        strikes: u32,
        /// How long.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        pause: Duration,
    },
    /// Every member is there.
    Whole,
    /// The attestation is too old.
    Unattested,
    /// Traffic saw it fail.
    Suspected,
    /// It turned cold.
    TurnedCold,
    /// It warmed up.
    Warmed,
    /// A member restarted: it must load again and is cold.
    Restarted,
    /// A member was ordered to join.
    Ordered {
        /// The order's epoch.
        epoch: Epoch,
    },
    /// A member has seen a higher epoch, so this node's view of the rows is old.
    Overtaken {
        /// The higher epoch.
        epoch: Epoch,
    },
    /// Another node's change came first.
    Conflict,
    /// The answer of a transaction was lost; it is read back.
    AnswerLost,
    /// The table refused a transaction or could not be reached.
    StoreRefused,
}

/// Why a group takes no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainCause {
    /// The entry is gone from the catalogue, or its span or kind changed.
    Entry,
    /// The entry holds more replicas than its limit.
    Excess,
    /// A member or its data centre is marked out.
    MarkedOut,
    /// A member is leaving.
    Leaving,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?}", self.at, self.reason)
    }
}

/// The last decisions, up to a limit.
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

    /// Notes a decision; one that only repeats the last one of its subject is left out.
    pub(crate) fn record(&mut self, decision: Decision) -> bool {
        let same = |old: &&Decision| {
            old.entry == decision.entry && old.group == decision.group && old.vm == decision.vm
        };
        let last = self.ring.iter().rev().find(same);
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
        let fits = |decision: &&Decision| match subject {
            Subject::Entry(id) => decision.entry == Some(id),
            Subject::Group(id) => decision.group == Some(id),
            Subject::Vm(id) => decision.vm == Some(id),
        };
        self.ring.iter().filter(fits).copied().collect()
    }
}
