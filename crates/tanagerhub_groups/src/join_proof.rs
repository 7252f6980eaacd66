//! The evidence by which a VM may be ordered to join a group.

use serde::Serialize;
use tanagerhub_catalogue::GroupId;

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
pub struct JoinProof {
    order_count: Option<u64>,
}

impl JoinProof {
    /// Returns the proof of a VM that is in no other group than this one; `None` if it is in
    /// another one, whose head may serve.
    #[must_use]
    pub fn from_report(report: &VmReport, group: GroupId) -> Option<Self> {
        let other = report.group.filter(|membership| membership.group != group);
        other
            .is_none()
            .then_some(Self::with_count(report.order_count))
    }

    /// Returns the proof of a VM that had accepted this many orders when it reported.
    pub(crate) const fn with_count(order_count: Option<u64>) -> Self {
        Self { order_count }
    }

    /// Returns the number of orders that the VM had accepted since its start. It refuses the join if
    /// it has accepted another one since. `None` if the number is not known.
    #[must_use]
    pub const fn order_count(self) -> Option<u64> {
        self.order_count
    }
}
