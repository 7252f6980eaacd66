//! The evidence by which a VM may be ordered to join a group, and a head to open it.
//!
//! An order may be carried out seconds late, after newer ones. The evidence makes it harmless then: the
//! VM refuses the order if it has accepted another one since, or if it has seen a higher epoch.

use serde::Serialize;
use tanagerhub_catalogue::{Epoch, GroupId};

use crate::VmReport;

/// What a VM has told itself, by which it may join a group without leaving one that serves.
///
/// There is no other way to order a join. The planner makes it from the VM's own report in the current
/// term; the store's rows may be older than the VM's state.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::GroupId;
/// use tanagerhub_groups::{JoinProof, VmReport};
///
/// fn may_join(report: &VmReport, group: GroupId) -> bool {
///     JoinProof::from_report(report, group).is_some()
/// }
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JoinProof {
    /// The VM refuses the join if it has accepted another order since its report.
    Counted(CountedJoin),
    /// The join names no number of orders. The VM refuses it once it has accepted a later one.
    Sole(SoleJoin),
}

/// The number of orders that a VM had accepted when it told that it is in no other group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CountedJoin {
    order_count: u64,
}

impl CountedJoin {
    /// Returns the number of orders that the VM had accepted since its start.
    #[must_use]
    pub const fn order_count(self) -> u64 {
        self.order_count
    }
}

/// The epoch at which a VM in no group gets this join and no other one.
///
/// All joins that the VM gets after it have higher epochs, also those of later planners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct SoleJoin {
    epoch: Epoch,
}

impl SoleJoin {
    /// Returns the epoch that no other join of the VM names.
    #[must_use]
    pub const fn epoch(self) -> Epoch {
        self.epoch
    }
}

impl JoinProof {
    /// Returns the proof of a VM that is in no other group than this one; `None` if it is in
    /// another one, whose head may serve, or if the report doesn't tell the number of orders.
    #[must_use]
    pub fn from_report(report: &VmReport, group: GroupId) -> Option<Self> {
        let other = report.group.filter(|membership| membership.group != group);
        let order_count = report.order_count.filter(|_| other.is_none())?;
        Some(Self::counted(order_count))
    }

    /// Returns the proof of a VM that had accepted this many orders when it reported.
    pub(crate) const fn counted(order_count: u64) -> Self {
        Self::Counted(CountedJoin { order_count })
    }

    /// Returns the proof of a VM in no group that gets one join at this epoch; `None` if it is in one.
    ///
    /// The caller sees to it that the VM gets no other join at the epoch, and none at a lower one later.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_catalogue::Epoch;
    /// use tanagerhub_groups::{JoinProof, VmReport};
    ///
    /// fn is_free(report: &VmReport) -> bool {
    ///     JoinProof::sole(report, Epoch(7)).is_some()
    /// }
    /// ```
    #[must_use]
    pub fn sole(report: &VmReport, epoch: Epoch) -> Option<Self> {
        report.group.is_none().then(|| Self::sole_at(epoch))
    }

    /// Returns the proof of a VM in no group that gets one join at this epoch.
    pub(crate) const fn sole_at(epoch: Epoch) -> Self {
        Self::Sole(SoleJoin { epoch })
    }
}

/// What a VM has told itself, by which it may open a group as its head.
///
/// Without it, an open that is carried out late could bring a group back whose members are used
/// elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct OpenProof {
    order_count: u64,
}

impl OpenProof {
    /// Returns the proof of a VM that is the head of a group at an epoch; `None` if it isn't, or if
    /// the report doesn't tell the number of orders.
    #[must_use]
    pub fn from_report(report: &VmReport, group: GroupId, epoch: Epoch) -> Option<Self> {
        let membership = report.group?;
        let is_head = (membership.group, membership.epoch, membership.rank) == (group, epoch, 0);
        let order_count = report.order_count.filter(|_| is_head)?;
        Some(Self { order_count })
    }

    /// Returns the proof of a head that had accepted this many orders as a member.
    pub(crate) const fn with_count(order_count: u64) -> Self {
        Self { order_count }
    }

    /// Returns the number of orders that the VM had accepted since its start. It refuses to open if it
    /// has accepted another one since.
    #[must_use]
    pub const fn order_count(self) -> u64 {
        self.order_count
    }
}
