//! One claim of this node, from the first write to the recorded end.

use tanagerhub_clock::Moment;
use tanagerhub_table::RowVersion;

use super::{ClaimRequest, ClaimResponse, ClaimResult, ClaimRow};
use crate::Outcome;

/// How far a claim has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Not written; no write is on its way.
    Unsent,
    /// A write of the claim is on its way or is being read back.
    Claiming,
    /// Written; its request may run.
    Held,
    /// The end is known and has to be recorded.
    Ended,
    /// A write of the end is on its way or is being read back.
    Recording,
}

/// One claim of this node.
#[derive(Debug)]
pub(super) struct Claim {
    /// The wanted content of the row.
    pub(super) row: ClaimRow,
    /// The request that waits for the claim.
    pub(super) waiter: Option<ClaimRequest>,
    pub(super) phase: Phase,
    /// The row's version on which the next write builds; `None` when the row must not exist.
    pub(super) base_version: Option<RowVersion>,
    /// Whether a copy of an unanswered write may still arrive.
    pub(super) late_write_possible: bool,
    /// Whether the row must be read before the next write.
    pub(super) must_read: bool,
    /// Writes and reads without success since the last one with it.
    pub(super) failures: u32,
}

impl Claim {
    pub(super) const fn new(row: ClaimRow, waiter: ClaimRequest) -> Self {
        Self {
            row,
            waiter: Some(waiter),
            phase: Phase::Unsent,
            base_version: None,
            late_write_possible: false,
            must_read: false,
            failures: 0,
        }
    }

    /// Lets a new request wait for a claim that nobody waits for any more; says whether it does.
    pub(super) fn attach_waiter(&mut self, waiter: &ClaimRequest) -> bool {
        let free = matches!(self.phase, Phase::Unsent | Phase::Claiming) && self.waiter.is_none();
        if free {
            self.waiter = Some(waiter.clone());
        }
        free
    }

    /// What a second try at this node is told.
    pub(super) fn response(&self) -> ClaimResponse {
        match &self.row.result {
            Some(result) if result.outcome != Outcome::NotRun => response_from_result(result),
            _ => ClaimResponse::InProgress,
        }
    }

    /// Notes the end of the request that held the claim.
    pub(super) fn set_result(&mut self, result: ClaimResult) {
        self.row.result = Some(result);
        self.phase = Phase::Ended;
        self.failures = 0;
        self.must_read = self.base_version.is_none();
    }

    /// Takes the waiting request when it has waited long enough.
    pub(super) fn take_expired_waiter(&mut self, now: Moment) -> Option<ClaimRequest> {
        self.waiter.take_if(|waiter| waiter.deadline <= now)
    }

    /// Whether a claim that is not written yet still has to be.
    ///
    /// A lost write may still arrive. It is written again even if nobody waits, so that the row
    /// can be marked as not run.
    pub(super) const fn is_wanted(&self) -> bool {
        self.waiter.is_some() || self.late_write_possible
    }

    /// Whether a row is this claim, whichever write of it has arrived.
    pub(super) fn owns(&self, row: &ClaimRow) -> bool {
        row.boot == self.row.boot && row.request == self.row.request
    }
}

/// What a second try is told of an earlier one that has ended.
pub(super) fn response_from_result(result: &ClaimResult) -> ClaimResponse {
    match &result.response {
        Some(response) => ClaimResponse::Replay(response.clone()),
        None => ClaimResponse::Ended(result.outcome),
    }
}
