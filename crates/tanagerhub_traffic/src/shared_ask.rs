//! A request's ask for a start at a coordinated group.

use smallvec::SmallVec;
use tanagerhub_capacity::AskId;
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;

/// The ask of one request and the grant that it holds.
#[derive(Debug, Default)]
pub(crate) struct SharedAsk {
    /// The ask that is not decided yet.
    pub(crate) id: Option<AskId>,
    /// A grant for an attempt beside another one, which the next call uses.
    pub(crate) grant: Option<HeldGrant>,
    /// Whether the ask is for a hedge, which starts as soon as it is granted.
    pub(crate) hedge: bool,
    /// Groups that the request must not get: its attempts failed there, or this node can't use
    /// them.
    pub(crate) excluded: SmallVec<[GroupId; 4]>,
    /// Number of grants that could not be used.
    pub(crate) rejected: u32,
    /// When an attempt beside another one may be asked for, after a refusal.
    pub(crate) not_before: Moment,
}

/// A grant that waits to be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HeldGrant {
    pub(crate) ask: AskId,
    pub(crate) group: GroupId,
    pub(crate) epoch: Epoch,
    /// The moment until which it may be used.
    pub(crate) until: Moment,
}
