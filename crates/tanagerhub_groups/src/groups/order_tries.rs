//! The orders to a VM that it has not begun.
//!
//! A VM whose reports are fine may leave orders unanswered, refuse them, or answer and do nothing. What
//! counts is that it begins one: its membership, its state as a member or its models change.

use std::time::Duration;

use tanagerhub_clock::Moment;

use crate::{JoinProof, OrderResult};

/// The number of joins with the number of orders that a VM must leave unanswered before it gets one
/// without.
const COUNTED_TRIES: u32 = 3;
/// The number of orders in a row that a VM must not begin until another VM takes its place.
const MAX_TRIES: u32 = 5;
/// The time after which a VM that ignores orders gets another one.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// The time within which the beginning of an order that was answered is reported.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// The form of a join.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JoinForm {
    /// It names the number of orders that the VM has accepted.
    Counted,
    /// It names no number, and is the only one that the VM gets at its epoch.
    Sole,
}

/// The orders that a VM has not begun since it last began one.
#[derive(Debug, Default)]
pub(super) struct OrderTries {
    /// The number of joins in a row that named the number of orders and got no answer.
    unanswered_joins: u32,
    /// The number of orders that were sent.
    sent: u32,
    /// When the last one was sent.
    last_at: Moment,
    /// Whether it is known that the last one has not begun.
    has_failed: bool,
    /// Whether operators were told that the VM ignores orders.
    is_told: bool,
}

/// What operators are to be told of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderNews {
    /// It ignores orders; this many were sent.
    Ignores(u32),
    /// It has begun one again.
    Follows,
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

    /// Returns the number of orders that the VM has not begun in a row.
    pub(super) const fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns whether the VM is to get no order now, because it has begun none of the last ones.
    pub(super) fn ignores_orders(&self, now: Moment) -> bool {
        let is_over = self.has_failed || now >= self.last_at + REPORT_TIME;
        self.sent >= MAX_TRIES && is_over && now < self.last_at + RETRY_INTERVAL
    }

    /// Returns whether it is known that the VM has not begun the last order, or may not have.
    pub(super) const fn has_failed(&self) -> bool {
        self.has_failed
    }

    pub(super) const fn record_sent(&mut self, now: Moment) {
        self.sent = self.sent.saturating_add(1);
        self.last_at = now;
        self.has_failed = false;
    }

    pub(super) const fn record_result(&mut self, result: OrderResult) {
        match result {
            OrderResult::Accepted => {}
            // The VM or its way was not asked to begin anything.
            OrderResult::NotSent | OrderResult::Paused => self.sent = self.sent.saturating_sub(1),
            OrderResult::Unfit
            | OrderResult::Stale
            | OrderResult::Misdirected
            | OrderResult::Unknown => self.has_failed = true,
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

    /// Records that the VM has begun an order.
    pub(super) const fn record_begun(&mut self) {
        self.sent = 0;
        self.has_failed = false;
    }

    /// Records that the VM takes part in another group or epoch than before.
    pub(super) const fn record_joined(&mut self) {
        self.unanswered_joins = 0;
    }

    /// Returns whether operators were told that the VM ignores orders.
    pub(super) const fn is_told(&self) -> bool {
        self.is_told
    }

    /// Takes what operators have not been told yet.
    pub(super) fn take_news(&mut self, now: Moment) -> Option<OrderNews> {
        if !self.is_told && self.ignores_orders(now) {
            self.is_told = true;
            return Some(OrderNews::Ignores(self.sent));
        }
        let is_over = self.is_told && self.sent == 0;
        self.is_told &= !is_over;
        is_over.then_some(OrderNews::Follows)
    }
}

#[cfg(test)]
mod tests;
