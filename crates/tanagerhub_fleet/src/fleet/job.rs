//! One change on its way into the table.

use std::collections::BTreeMap;

use tanagerhub_catalogue::{EntryId, Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{Attempt, Row, RowKey};

use crate::MemberReport;
use crate::decision::Reason;
use crate::placement::Placement;
use crate::rows::GroupRow;

/// Names a job within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct JobId(pub(super) u64);

/// What a job changes.
#[derive(Debug, Clone)]
pub(super) enum JobKind {
    /// Forms a new group.
    Form {
        /// The entry to be served.
        entry: EntryId,
        /// The new members.
        placement: Placement,
        /// Whether the group only stands by.
        standby: bool,
    },
    /// Puts a standby group into service.
    Promote {
        /// The group.
        group: GroupId,
    },
    /// Replaces members of a group.
    Swap {
        /// The group.
        group: GroupId,
        /// The members that go.
        failed: Vec<VmId>,
        /// The VMs that come, in the same order.
        spares: Vec<VmId>,
    },
    /// Removes a group and frees its VMs.
    Dissolve {
        /// The group.
        group: GroupId,
    },
    /// Marks a group as draining.
    Drain {
        /// The group.
        group: GroupId,
    },
    /// Divides a group's cold slots anew.
    MoveSlots {
        /// The group.
        group: GroupId,
    },
}

impl JobKind {
    pub(super) const fn group(&self) -> Option<GroupId> {
        match self {
            Self::Form { .. } => None,
            Self::Swap { group, .. }
            | Self::Promote { group }
            | Self::Dissolve { group }
            | Self::Drain { group }
            | Self::MoveSlots { group } => Some(*group),
        }
    }

    /// VMs that are free until the job is done.
    pub(super) fn claimed_vms(&self) -> &[VmId] {
        match self {
            Self::Form { placement, .. } => &placement.vms,
            Self::Swap { spares, .. } => spares,
            Self::Promote { .. }
            | Self::Dissolve { .. }
            | Self::Drain { .. }
            | Self::MoveSlots { .. } => &[],
        }
    }
}

/// One change, from its preparation until its outcome is known.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) kind: JobKind,
    pub(super) since: Moment,
    pub(super) state: JobState,
}

/// How far a job has come.
#[derive(Debug)]
pub(super) enum JobState {
    Preparing {
        rows: Option<Vec<Row>>,
        reports: BTreeMap<VmId, Option<MemberReport>>,
    },
    Committing(Box<Change>),
    ReadingBack {
        change: Box<Change>,
        read_requested: bool,
    },
}

/// A transaction with what it leads to.
#[derive(Debug)]
pub(super) struct Change {
    pub(super) attempt: Attempt,
    pub(super) group: GroupId,
    /// The group's new row; `None` when it is dissolved.
    pub(super) row: Option<GroupRow>,
    /// VMs that leave the group, and the epoch that fences them off.
    pub(super) freed: Vec<VmId>,
    pub(super) fencing_epoch: Epoch,
    pub(super) reason: Reason,
}

/// The rows and reports that a change is made from.
#[derive(Debug)]
pub(super) struct Prepared {
    pub(super) rows: BTreeMap<RowKey, Row>,
    pub(super) reports: BTreeMap<VmId, MemberReport>,
}
