//! One change to the table, from its preparation to its outcome.

use std::collections::BTreeMap;

use tanagerhub_catalogue::{EntryId, Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{Attempt, Row, RowKey, Transaction};

use crate::MemberReport;
use crate::decision::Reason;
use crate::placement::Placement;
use crate::rows::GroupRow;

/// Identifies a job within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct JobId(pub(super) u64);

/// The change that a job makes.
#[derive(Debug, Clone)]
pub(super) enum JobKind {
    /// Forms a new group.
    Form {
        /// The entry to serve.
        entry: EntryId,
        /// The VMs of the new group.
        placement: Placement,
        /// Whether to form a standby group.
        standby: bool,
    },
    /// Puts a standby group into service.
    Promote { group: GroupId },
    /// Replaces members of a group.
    Swap {
        group: GroupId,
        /// The members to replace.
        failed: Vec<VmId>,
        /// The VMs that replace them, in the same order.
        spares: Vec<VmId>,
    },
    /// Removes a group and frees its VMs.
    Dissolve { group: GroupId },
    /// Marks a group as draining.
    Drain { group: GroupId },
    /// Moves the cold slots of nodes that left to other nodes.
    MoveSlots { group: GroupId },
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

    /// Returns the free VMs that the job adds to a group.
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

/// One change, from its preparation until its outcome is certain.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) kind: JobKind,
    pub(super) since: Moment,
    pub(super) state: JobState,
}

/// The stage of a job.
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

/// A transaction, with the state to apply once it is committed.
#[derive(Debug)]
pub(super) struct Change {
    pub(super) attempt: Attempt,
    pub(super) group: GroupId,
    /// The group's new row; `None` when it is dissolved.
    pub(super) row: Option<GroupRow>,
    /// VMs that leave the group; `fencing_epoch` is the epoch that is then in their rows.
    pub(super) freed: Vec<VmId>,
    pub(super) fencing_epoch: Epoch,
    pub(super) reason: Reason,
}

impl Change {
    /// Returns a change of a group's row that frees no VM.
    pub(super) fn of_row(
        group: GroupId,
        row: GroupRow,
        transaction: Transaction,
        reason: Reason,
    ) -> Self {
        Self {
            attempt: Attempt::new(transaction),
            group,
            fencing_epoch: row.epoch,
            row: Some(row),
            freed: Vec::new(),
            reason,
        }
    }
}

/// The rows and reports from which a change is built.
#[derive(Debug)]
pub(super) struct Prepared {
    pub(super) rows: BTreeMap<RowKey, Row>,
    pub(super) reports: BTreeMap<VmId, MemberReport>,
}
