//! One claim of this node, from the first write to the recorded end.

use tanagerhub_clock::Moment;
use tanagerhub_table::RowVersion;

use super::{ClaimAnswer, ClaimRequest, ClaimResult, ClaimRow};
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
    pub(super) ask: Option<ClaimRequest>,
    pub(super) phase: Phase,
    /// The row's version on which the next write builds; `None` when the row must not exist.
    pub(super) base: Option<RowVersion>,
    /// Whether a copy of an unanswered write may still arrive.
    pub(super) lost: bool,
    /// Whether the row must be read before the next write.
    pub(super) must_read: bool,
    /// Writes and reads without success since the last one with it.
    pub(super) tries: u32,
}

impl Claim {
    pub(super) const fn new(row: ClaimRow, ask: ClaimRequest) -> Self {
        Self {
            row,
            ask: Some(ask),
            phase: Phase::Unsent,
            base: None,
            lost: false,
            must_read: false,
            tries: 0,
        }
    }

    /// Lets a new request wait for a claim that nobody waits for any more; says whether it does.
    pub(super) fn adopt(&mut self, ask: &ClaimRequest) -> bool {
        let free = matches!(self.phase, Phase::Unsent | Phase::Claiming) && self.ask.is_none();
        if free {
            self.ask = Some(ask.clone());
        }
        free
    }

    /// What a second try at this node is told.
    pub(super) fn answer(&self) -> ClaimAnswer {
        match &self.row.result {
            Some(result) if result.outcome != Outcome::NotRun => ended(result),
            _ => ClaimAnswer::InProgress,
        }
    }

    /// Notes the end of the request that held the claim.
    pub(super) fn end(&mut self, result: ClaimResult) {
        self.row.result = Some(result);
        self.phase = Phase::Ended;
        self.tries = 0;
        self.must_read = self.base.is_none();
    }

    /// Takes the waiting request when it has waited long enough.
    pub(super) fn take_late(&mut self, now: Moment) -> Option<ClaimRequest> {
        self.ask.take_if(|ask| ask.give_up <= now)
    }

    /// Whether a claim that is not written yet still has to be.
    ///
    /// A lost write may still arrive. It is written again even if nobody waits, so that the row
    /// can be marked as not run.
    pub(super) const fn is_wanted(&self) -> bool {
        self.ask.is_some() || self.lost
    }

    /// Whether a row is this claim, whichever write of it has arrived.
    pub(super) fn is_own(&self, row: &ClaimRow) -> bool {
        row.boot == self.row.boot && row.request == self.row.request
    }
}

/// What a second try is told of an earlier one that has ended.
pub(super) fn ended(result: &ClaimResult) -> ClaimAnswer {
    match &result.answer {
        Some(answer) => ClaimAnswer::Replay(answer.clone()),
        None => ClaimAnswer::Ended(result.outcome),
    }
}
