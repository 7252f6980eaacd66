//! The orders that a VM leaves without an answer.

use crate::{JoinProof, OrderResult};

/// The number of joins with the number of orders that a VM must leave unanswered before it gets one
/// without.
const COUNTED_TRIES: u32 = 3;

/// The form of a join.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JoinForm {
    /// It names the number of orders that the VM has accepted.
    Counted,
    /// It names no number, and is the only one that the VM gets at its epoch.
    Sole,
}

/// The orders that a VM has left without an answer.
#[derive(Debug, Default)]
pub(super) struct OrderTries {
    /// The number of joins in a row that named the number of orders and got no answer.
    unanswered_joins: u32,
}

impl OrderTries {
    /// Returns the form of the next join of a VM in no group.
    pub(super) const fn next_join(&self) -> JoinForm {
        if self.unanswered_joins >= COUNTED_TRIES {
            JoinForm::Sole
        } else {
            JoinForm::Counted
        }
    }

    /// Records the result of a join.
    pub(super) const fn record_join(&mut self, proof: JoinProof, result: OrderResult) {
        match (proof, result) {
            (_, OrderResult::NotSent | OrderResult::Paused) => {}
            (JoinProof::Counted(_), OrderResult::Unknown) => self.unanswered_joins += 1,
            (JoinProof::Sole(_), OrderResult::Unknown)
            | (
                _,
                OrderResult::Accepted
                | OrderResult::Unfit
                | OrderResult::Stale
                | OrderResult::Misdirected,
            ) => self.unanswered_joins = 0,
        }
    }
}
