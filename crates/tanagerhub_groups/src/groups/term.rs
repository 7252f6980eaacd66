//! The term of a planner, within which it may give orders and change groups.
//!
//! A term ends by its holder's own clock before another node may begin one. The store renews it, or
//! the promises of its guarantors while the store doesn't answer.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_clock::Moment;
use tanagerhub_table::RowKey;

use crate::{Decision, GroupsAction, GuarantorsRow};

use super::Groups;
use super::planner::State;

/// How long a term lasts after the call that renewed it was sent.
pub const TERM_LENGTH: Duration = Duration::from_secs(2);
/// The interval at which other nodes are asked for promises while the store is unreachable.
const PROMISE_INTERVAL: Duration = Duration::from_millis(400);
/// How long before its end a term that the store doesn't renew is extended by promises.
const PROMISE_LEAD: Duration = Duration::from_millis(800);
/// How long after the last transaction that the store answered promises may extend a term.
const EXTENSION_LIMIT: Duration = Duration::from_secs(30);
/// After this time without a renewal nothing extends a term, and no order of it is under way.
pub(super) const LONGEST_TERM: Duration =
    EXTENSION_LIMIT.saturating_add(TERM_LENGTH.saturating_add(TERM_GAP));
/// How long after the end of a term no other node can have begun one.
pub(crate) const TERM_GAP: Duration = Duration::from_millis(600);

/// The row by which other nodes see that a term goes on. It is written with the planner's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TermRow {
    /// The key of the node's presence row.
    pub key: RowKey,
    /// The value of the presence row of a planner.
    pub value: Vec<u8>,
    /// The nodes whose promises are to extend the term without the store.
    pub guarantors: Vec<SocketAddr>,
}

/// The proof that this node is the planner at a moment. Orders and changes of groups take it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ActiveTerm {
    began_at: Moment,
    ends_at: Moment,
}

impl ActiveTerm {
    /// Returns when the term began; what was known before does not count.
    pub(super) const fn began_at(self) -> Moment {
        self.began_at
    }

    /// Returns when the term ends unless it is renewed.
    pub(super) const fn ends_at(self) -> Moment {
        self.ends_at
    }
}

/// This node's term as the planner.
#[derive(Debug, Default)]
pub(super) struct Term {
    span: Option<ActiveTerm>,
    /// When the last transaction that renewed it was sent.
    written_at: Moment,
    /// The row that the next transaction writes.
    row: Option<TermRow>,
    /// Whether `row` is newer than the last transaction.
    is_due: bool,
    /// When the other nodes were last asked for promises.
    asked_at: Option<Moment>,
    /// The guarantors in each row that the store may contain, the newest last. Another node takes
    /// over by the consent of one of those in the row that it reads.
    guarantors: Vec<Vec<SocketAddr>>,
    /// Whether the last transaction wrote the row of guarantors.
    wrote_guarantors: bool,
    /// Whether this node has ended the term for another one. The store may still renew it.
    yielded: bool,
    /// When no order is under way of a term that has been ended for another node.
    over_at: Moment,
}

impl Term {
    /// Begins a term with the transaction that was sent at `sent_at`.
    pub(super) fn begin(&mut self, now: Moment, sent_at: Moment) {
        self.record_write(sent_at);
        self.span = Some(ActiveTerm {
            began_at: now,
            ends_at: sent_at + TERM_LENGTH,
        });
    }

    /// Renews the term by a transaction that was sent at `sent_at`.
    pub(super) fn renew(&mut self, sent_at: Moment) {
        self.record_write(sent_at);
        self.extend(sent_at);
    }

    /// Records that the store has applied the transaction that was sent last, at `sent_at`.
    fn record_write(&mut self, sent_at: Moment) {
        self.written_at = sent_at;
        self.yielded = false;
        if std::mem::take(&mut self.wrote_guarantors) {
            let newest = self.guarantors.pop();
            self.guarantors = newest.into_iter().collect();
        }
    }

    /// Has the term last as if it were renewed at `sent_at`.
    fn extend(&mut self, sent_at: Moment) {
        if let Some(span) = &mut self.span {
            span.ends_at = span.ends_at.max(sent_at + TERM_LENGTH);
        }
    }

    /// Ends the term at once.
    pub(super) const fn end(&mut self) {
        self.span = None;
    }

    pub(super) fn active(&self, now: Moment) -> Option<ActiveTerm> {
        self.span.filter(|span| now < span.ends_at)
    }

    pub(super) fn set_row(&mut self, row: TermRow) {
        self.row = Some(row);
        self.is_due = true;
    }

    /// Returns the row for a transaction that is sent now.
    pub(super) fn row_to_write(&mut self) -> Option<&TermRow> {
        self.is_due = false;
        self.row.as_ref()
    }

    /// Returns the row of guarantors for a transaction that is sent now, if it is not known to be in
    /// the store. That of a takeover always writes it.
    pub(super) fn guarantors_to_write(&mut self, boot: u64, takes: bool) -> Option<GuarantorsRow> {
        let nodes = self.row.as_ref()?.guarantors.clone();
        let is_known = matches!(&*self.guarantors, [only] if *only == nodes);
        self.wrote_guarantors = takes || !is_known;
        if !self.wrote_guarantors {
            return None;
        }
        if self.guarantors.last() != Some(&nodes) {
            self.guarantors.push(nodes.clone());
        }
        Some(GuarantorsRow { boot, nodes })
    }

    /// Returns the nodes without whose promises the term isn't extended; `None` if promises don't
    /// extend it, as without any.
    fn required_promises(&self, now: Moment) -> Option<Vec<SocketAddr>> {
        let is_early = now < self.written_at + EXTENSION_LIMIT;
        let each_has_one = self.guarantors.iter().all(|nodes| !nodes.is_empty());
        if !is_early || self.yielded || !each_has_one {
            return None;
        }
        let nodes: BTreeSet<SocketAddr> = self.guarantors.iter().flatten().copied().collect();
        (!nodes.is_empty()).then(|| nodes.into_iter().collect())
    }

    /// Ends the term for another node, unless the store has renewed it lately. Returns the time after
    /// which no order of it is under way.
    pub(super) fn yield_to_other(&mut self, now: Moment) -> Option<Duration> {
        let Some(span) = &mut self.span else {
            return Some(Duration::ZERO);
        };
        if now < self.written_at + TERM_LENGTH {
            return None;
        }
        let over_at = span.ends_at + TERM_GAP;
        if !self.yielded {
            span.ends_at = span.ends_at.min(now);
            self.yielded = true;
            self.over_at = over_at;
        }
        Some(self.over_at.since(now))
    }
}

impl Groups {
    /// Returns the proof that this node is the planner; `None` if it isn't, or if its term has
    /// ended and was not renewed.
    pub(super) fn active_term(&self, now: Moment) -> Option<ActiveTerm> {
        self.planner.term.active(now).filter(|_| self.is_planning())
    }

    /// Has the next transaction renew the term.
    pub(super) fn set_term_row(&mut self, now: Moment, row: TermRow) {
        self.planner.term.set_row(row);
        self.renew_term(now);
    }

    /// Renews the term with a transaction without changes if that is due.
    pub(super) fn renew_term(&mut self, now: Moment) {
        if self.planner.term.is_due && self.planner.can_commit(now) {
            self.send_changes(now, Vec::new());
        }
    }

    /// Asks the other nodes for promises while the term is not renewed by the store.
    pub(super) fn ask_promises(&mut self, now: Moment) {
        let term = &mut self.planner.term;
        let is_needed = term.span.is_some_and(|span| {
            let is_overdue = now + PROMISE_LEAD > span.ends_at;
            (is_overdue || self.store_unreachable) && now < span.ends_at + TERM_GAP
        });
        let has_waited = |at: Moment| now.since(at) >= PROMISE_INTERVAL;
        if is_needed
            && term.asked_at.is_none_or(has_waited)
            && let Some(guarantors) = term.required_promises(now)
        {
            term.asked_at = Some(now);
            self.actions.push(GroupsAction::AskPromises { guarantors });
        }
    }

    /// Extends the term by promises not to begin one, which were asked for at `asked_at`, if all
    /// guarantors are among the nodes that gave them.
    ///
    /// A term that had ended long before stays so: another node may have had one since.
    pub(super) fn apply_promises(&mut self, asked_at: Moment, by: &[SocketAddr]) {
        let term = &mut self.planner.term;
        let required = term.required_promises(asked_at);
        let is_backed = required.is_some_and(|nodes| nodes.iter().all(|node| by.contains(node)));
        let goes_on = |span: ActiveTerm| asked_at < span.ends_at + TERM_GAP;
        if is_backed && term.span.is_some_and(goes_on) {
            term.extend(asked_at);
        }
    }

    /// Records the end and the return of the term of a planner.
    pub(super) fn record_term_change(&mut self, now: Moment) {
        let lasts = self.active_term(now).is_some();
        if self.planner.state == State::Idle || lasts != self.planner.is_suspended {
            return;
        }
        self.planner.is_suspended = !lasts;
        self.record(if lasts {
            Decision::PlannerResumed
        } else {
            Decision::PlannerSuspended
        });
    }
}
