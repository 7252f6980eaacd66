//! State of one claim of this node, from the first write to the recorded result.

use tanagerhub_clock::Moment;
use tanagerhub_table::RowVersion;

use super::{ClaimRequest, ClaimResponse, ClaimResult, ClaimRow};
use crate::Outcome;

/// The progress of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Not written; no write or read is in flight.
    Unsent,
    /// A write of the claim, or a read of its row, is in flight.
    Claiming,
    /// Written; the request may run.
    Held,
    /// The request has ended and its result has to be recorded.
    Ended,
    /// A write of the result, or a read of its row, is in flight.
    Recording,
}

/// One claim of this node.
#[derive(Debug)]
pub(super) struct Claim {
    /// The content that the row has to get.
    pub(super) row: ClaimRow,
    /// The request that waits for the claim.
    pub(super) waiter: Option<ClaimRequest>,
    pub(super) phase: Phase,
    /// The row version that the next write requires; `None` requires that the row doesn't exist.
    pub(super) base_version: Option<RowVersion>,
    /// Whether a write whose outcome is unknown may still be applied.
    pub(super) late_write_possible: bool,
    /// Whether the row must be read before the next write.
    pub(super) must_read: bool,
    /// Consecutive failed writes and reads.
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

    /// Attaches a request to an unwritten claim that has no waiting request.
    ///
    /// Returns whether it did.
    pub(super) fn attach_waiter(&mut self, waiter: &ClaimRequest) -> bool {
        let free = matches!(self.phase, Phase::Unsent | Phase::Claiming) && self.waiter.is_none();
        if free {
            self.waiter = Some(waiter.clone());
        }
        free
    }

    /// Returns the response to a repeated request at this node.
    pub(super) fn response(&self) -> ClaimResponse {
        match &self.row.result {
            Some(result) if result.outcome != Outcome::NotRun => response_from_result(result),
            _ => ClaimResponse::InProgress,
        }
    }

    /// Sets the result of the request that held the claim, to be recorded in the row.
    pub(super) fn set_result(&mut self, result: ClaimResult) {
        self.row.result = Some(result);
        self.phase = Phase::Ended;
        self.failures = 0;
        self.must_read = self.base_version.is_none();
    }

    /// Takes the waiting request if its deadline has passed.
    pub(super) fn take_expired_waiter(&mut self, now: Moment) -> Option<ClaimRequest> {
        self.waiter.take_if(|waiter| waiter.deadline <= now)
    }

    /// Returns whether a claim that is not written yet still has to be written.
    ///
    /// A write whose outcome is unknown may still be applied. The claim is then written again even
    /// if no request waits for it, so that the row can be marked as not run.
    pub(super) const fn is_wanted(&self) -> bool {
        self.waiter.is_some() || self.late_write_possible
    }

    /// Returns whether any write of this claim produced the row.
    pub(super) fn owns(&self, row: &ClaimRow) -> bool {
        row.boot == self.row.boot && row.request == self.row.request
    }
}

/// Returns the response to a repeated request whose earlier request has ended.
pub(super) fn response_from_result(result: &ClaimResult) -> ClaimResponse {
    match &result.response {
        Some(response) => ClaimResponse::Replay(response.clone()),
        None => ClaimResponse::Ended(result.outcome),
    }
}
