//! The planner's row, and the transactions that change groups.
//!
//! Each transaction requires the planner's row to have the version that this node knows, and writes
//! the row. The changes are thus serialised, and a change whose response was lost can't be applied
//! after a later one.

use std::collections::BTreeMap;

use rand::Rng as _;
use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{
    CommitResult, FeedPage, RowVersion, StoreAnswer, StoreEra, StoreVersion, Transaction,
    TransactionId,
};

use crate::rows::{encode, group_key, guarantors_key, planner_key};
use crate::{Change, Decision, GroupRow, GroupsAction, KnownBoots, PlannerRow};

use super::Groups;
use super::restore::bind_to_era;
use super::takeover::{Claim, KnownGuarantors};
use super::term::{ActiveTerm, Term, TermRow};

/// The number of epochs reserved for each version of the planner's row.
const EPOCHS_PER_VERSION: u64 = 1 << 16;

/// This node's view of the planner's row, and its transaction in progress.
#[derive(Debug, Default)]
pub(super) struct Planner {
    pub(super) state: State,
    /// The time in which this node may act as the planner.
    pub(super) term: Term,
    /// The head of each group at each epoch that this node has known and a VM may still report. The
    /// members of an epoch never change.
    pub(super) heads: BTreeMap<(GroupId, Epoch), VmId>,
    /// Whether the log has told that the term has ended and was not renewed.
    pub(super) is_suspended: bool,
    /// The transaction that was sent last.
    last_sent: Option<SentTransaction>,
    /// The era of the rows that this node knows.
    pub(super) era: Option<StoreEra>,
    /// The last version at which this node held the row; epochs are derived from it.
    epoch_base: RowVersion,
    /// The last epoch that this node issued, or knows to have been issued.
    pub(super) last_epoch: Epoch,
    /// The last epoch that may have been issued before this node's term.
    earlier_epoch: Epoch,
    /// The known boot ids, which decide whether the planner's row may be taken over.
    pub(super) known_boots: KnownBoots,
    /// What the row of guarantors contained when the rows were last read.
    pub(super) guarantors: KnownGuarantors,
    /// The takeover that waits for a consent.
    pub(super) claim: Option<Claim>,
    /// The version of a planner's row whose boot id is unknown, and when it was first read.
    pub(super) unknown_holder: Option<(StoreVersion, Moment)>,
    /// No change is sent before this time, and no result of one is read, because the last call failed.
    pub(super) paused_until: Moment,
    /// Whether the result of a change is to be read again.
    is_read_due: bool,
    /// The planner's row is not taken over before this time, because the store has returned from a
    /// copy.
    pub(super) rests_until: Moment,
    /// When the rows of the era are complete that this node has observed since its start.
    pub(super) complete_at: Moment,
    /// Whether the store has returned from a copy since the last takeover.
    pub(super) has_seen_return: bool,
    /// The changes in the transaction in progress.
    changes: Vec<(Change, Option<GroupRow>)>,
}

/// An epoch that this node has issued in its present term. All joins take it: a VM that gets one has
/// been sent none of a higher epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TermEpoch(Epoch);

impl TermEpoch {
    pub(super) const fn get(self) -> Epoch {
        self.0
    }
}

/// A transaction that was sent to the store.
#[derive(Debug, Clone, Copy)]
struct SentTransaction {
    sent_at: Moment,
    /// The number in the planner's row that it writes.
    nonce: u64,
}

impl SentTransaction {
    fn id(self) -> TransactionId {
        TransactionId(u128::from(self.nonce))
    }
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// This node is not the planner.
    #[default]
    Idle,
    /// The rows are being read before the planner's row is taken over, or taken over again.
    Reading { retakes: bool },
    /// Other nodes are asked whether the planner's row may be taken over.
    Asking,
    /// The transaction that takes over the planner's row is in progress.
    Taking { retakes: bool },
    /// This node is the planner, and the row has this version.
    Held(RowVersion),
    /// A change is in progress that requires the row to have this version.
    Changing(RowVersion),
    /// The result of a change is unknown, and the rows are being read to determine it.
    ReadingBack,
    /// This node was the planner when the store returned from a copy.
    Returning,
}

impl Planner {
    pub(super) const fn is_held(&self) -> bool {
        match self.state {
            State::Held(_) | State::Changing(_) | State::ReadingBack | State::Returning => true,
            State::Reading { retakes } | State::Taking { retakes } => retakes,
            State::Idle | State::Asking => false,
        }
    }

    /// Records that this node holds the row.
    const fn set_held(&mut self, version: RowVersion) {
        self.state = State::Held(version);
        self.epoch_base = version;
    }

    /// Returns an epoch above all epochs issued before by any node.
    pub(super) fn next_epoch(&mut self) -> Epoch {
        self.last_epoch = Epoch(self.highest_epoch().0 + 1);
        self.last_epoch
    }

    /// Returns an epoch that is not below any that was issued before by any node.
    pub(super) fn highest_epoch(&self) -> Epoch {
        let base = Epoch(self.epoch_base.0 * EPOCHS_PER_VERSION);
        self.last_epoch.max(base)
    }

    /// Returns the proof that an epoch was issued in this node's term; `None` if an earlier planner
    /// issued it.
    pub(super) fn term_epoch(&self, epoch: Epoch) -> Option<TermEpoch> {
        (epoch > self.earlier_epoch).then_some(TermEpoch(epoch))
    }

    /// Returns whether the store names its eras.
    pub(super) const fn names_eras(&self) -> bool {
        self.era.is_some()
    }

    /// Returns whether a change may be sent now.
    pub(super) fn can_commit(&self, now: Moment) -> bool {
        matches!(self.state, State::Held(_)) && now >= self.paused_until
    }

    /// Returns whether the presence row is written with the planner's row.
    pub(super) const fn writes_presence(&self) -> bool {
        matches!(self.state, State::Held(_) | State::Changing(_))
    }

    /// Returns whether this node may be about to become the planner.
    pub(super) const fn is_taking_over(&self) -> bool {
        matches!(
            self.state,
            State::Reading { retakes: false } | State::Asking | State::Taking { retakes: false }
        )
    }

    /// Returns whether the planner's row may be taken over again now.
    pub(super) fn may_retake(&self, now: Moment) -> bool {
        now >= self.rests_until && now >= self.paused_until
    }

    /// Begins a term with the transaction that was sent last.
    fn begin_term(&mut self, now: Moment) {
        self.earlier_epoch = self.highest_epoch();
        if let Some(sent) = self.last_sent {
            self.term.begin(now, sent.sent_at);
        }
    }

    /// Renews the term by the transaction that was sent last.
    fn renew_term(&mut self) {
        if let Some(sent) = self.last_sent {
            self.term.renew(sent.sent_at);
        }
    }

    /// Renews the term if the planner's row is that of the last transaction, whose response was
    /// lost.
    fn confirm_sent(&mut self, row: &PlannerRow) {
        if self.last_sent.is_some_and(|sent| sent.nonce == row.nonce) {
            self.renew_term();
        }
    }

    pub(super) fn take_changes(&mut self) -> Vec<(Change, Option<GroupRow>)> {
        std::mem::take(&mut self.changes)
    }
}

impl Groups {
    pub(super) fn become_planner(&mut self, now: Moment, boots: KnownBoots, row: TermRow) {
        self.planner.known_boots = boots;
        self.planner.term.set_row(row);
        if self.planner.state == State::Idle && now >= self.planner.rests_until {
            self.planner.state = State::Reading { retakes: false };
            self.actions.push(GroupsAction::ReadRows);
        }
    }

    pub(super) fn resign_planner(&mut self, now: Moment) {
        if self.planner.is_held() {
            self.record(Decision::PlannerYielded);
        }
        if let State::Held(version) = self.planner.state {
            // Clears the planner's row so that other nodes can take over at once. Correctness does
            // not depend on the result.
            let row = self.new_planner_row(0);
            let transaction = self.planner_transaction(version, &row);
            self.commit(now, &row, transaction);
        }
        self.stop_planning();
    }

    fn stop_planning(&mut self) {
        self.planner.state = State::Idle;
        self.planner.claim = None;
        self.planner.term.end();
        self.planner.changes.clear();
    }

    /// Handles the rows that were read, or a failed read.
    pub(super) fn apply_read(&mut self, now: Moment, page: Option<FeedPage>) {
        match (self.planner.state, page) {
            (State::Reading { retakes }, Some(page)) => self.take_over(now, &page, retakes),
            (State::Reading { retakes: false }, None) => self.planner.state = State::Idle,
            (State::Reading { retakes: true }, None) => self.wait_to_retake(now),
            (State::ReadingBack, Some(page)) => {
                let (version, row) = self.apply_rows(now, &page);
                self.planner.changes.clear();
                self.planner.era = page.era;
                let row = row.filter(|row| row.boot == self.settings.boot);
                if let Some(row) = row {
                    self.planner.set_held(version);
                    self.planner.confirm_sent(&row);
                } else {
                    self.resign_planner(now);
                }
            }
            (State::ReadingBack, None) => {
                self.planner.is_read_due = true;
                self.planner.paused_until = now + self.settings.change_retry_delay;
            }
            (
                State::Idle
                | State::Asking
                | State::Taking { .. }
                | State::Held(_)
                | State::Changing(_)
                | State::Returning,
                _,
            ) => {}
        }
    }

    /// Reads the rows again after a failed read, until the result of the last change is known.
    pub(super) fn read_back_again(&mut self, now: Moment) {
        if self.planner.state == State::ReadingBack
            && self.planner.is_read_due
            && now >= self.planner.paused_until
        {
            self.planner.is_read_due = false;
            self.actions.push(GroupsAction::ReadRows);
        }
    }

    /// Sends changes in one transaction, each with the group's new row (`None` to delete it). The
    /// transaction renews the term, so it may be without changes.
    ///
    /// Each change is complete in itself. Those that exceed the size of a transaction are dropped;
    /// they are planned again after the others.
    pub(super) fn submit_changes(
        &mut self,
        now: Moment,
        _term: ActiveTerm,
        changes: Vec<(Change, Option<GroupRow>)>,
    ) {
        self.send_changes(now, changes);
    }

    pub(super) fn send_changes(
        &mut self,
        now: Moment,
        mut changes: Vec<(Change, Option<GroupRow>)>,
    ) {
        let State::Held(version) = self.planner.state else {
            return;
        };
        let row = self.new_planner_row(self.settings.boot);
        let transaction = self.planner_transaction(version, &row);
        let (transaction, sent) = add_changes(transaction, &changes);
        self.commit(now, &row, transaction);
        changes.truncate(sent);
        for (change, _) in &changes {
            if let Some(group) = self.by_id.get_mut(&change.group()) {
                group.change_pending = true;
            }
            self.record(Decision::Changing(change.clone()));
        }
        self.planner.state = State::Changing(version);
        self.planner.changes = changes;
    }

    pub(super) fn new_planner_row(&mut self, boot: u64) -> PlannerRow {
        let nonce = self.rng.next_u64();
        PlannerRow { boot, nonce }
    }

    /// Returns a transaction that writes the planner's row, and the presence row of a planner, on
    /// condition that the planner's row has a version.
    pub(super) fn planner_transaction(
        &mut self,
        version: RowVersion,
        row: &PlannerRow,
    ) -> Transaction {
        let id = TransactionId(u128::from(row.nonce));
        let mut transaction = Transaction::new(id).put(planner_key(), encode(row));
        transaction = if version == RowVersion(0) {
            transaction.require_absent(planner_key())
        } else {
            transaction.require_version(planner_key(), version)
        };
        if row.boot != 0
            && let Some(TermRow { key, value, .. }) = self.planner.term.row_to_write()
        {
            transaction = transaction.put(key.clone(), value.clone());
            let takes = matches!(self.planner.state, State::Taking { .. });
            if let Some(row) = self.planner.term.guarantors_to_write(row.boot, takes) {
                transaction = transaction.put(guarantors_key(), encode(&row));
            }
        }
        bind_to_era(transaction, self.planner.era)
    }

    pub(super) fn commit(&mut self, now: Moment, row: &PlannerRow, transaction: Transaction) {
        self.planner.last_sent = Some(SentTransaction {
            sent_at: now,
            nonce: row.nonce,
        });
        self.actions.push(GroupsAction::Commit(transaction));
    }

    /// Handles the result of a transaction. One in another era than the known rows is of a store
    /// that began to name eras, or has returned; its meaning is unknown.
    pub(super) fn apply_commit(
        &mut self,
        now: Moment,
        id: TransactionId,
        commit: StoreAnswer<CommitResult>,
    ) {
        if self.planner.last_sent.is_none_or(|sent| sent.id() != id) {
            // A late answer to a transaction of an earlier term.
            return;
        }
        let commit = match commit.result {
            CommitResult::Applied(_) if commit.era != self.planner.era => CommitResult::Unknown,
            result => result,
        };
        let changes = self.planner.take_changes();
        for (change, _) in &changes {
            if let Some(group) = self.by_id.get_mut(&change.group()) {
                group.change_pending = false;
            }
        }
        match (self.planner.state, commit) {
            (State::Taking { .. }, CommitResult::Applied(version)) => {
                self.planner.set_held(version);
                self.planner.begin_term(now);
                self.planner.has_seen_return = false;
                self.record(Decision::PlannerTaken { version: version.0 });
            }
            (State::Taking { retakes }, _) => {
                if retakes {
                    self.wait_to_retake(now);
                } else {
                    self.planner.state = State::Idle;
                }
                self.record_change_failure(commit);
            }
            (State::Changing(_), CommitResult::Applied(version)) => {
                self.planner.set_held(version);
                self.planner.renew_term();
                self.apply_changes(now, changes);
            }
            (State::Changing(version), CommitResult::NotApplied) => {
                self.planner.state = State::Held(version);
                self.planner.paused_until = now + self.settings.change_retry_delay;
                self.record_change_failure(commit);
            }
            (State::Changing(_), CommitResult::Conflict | CommitResult::Unknown) => {
                self.planner.state = State::ReadingBack;
                self.record_change_failure(commit);
                self.actions.push(GroupsAction::ReadRows);
            }
            (
                State::Idle
                | State::Reading { .. }
                | State::Asking
                | State::Held(_)
                | State::ReadingBack
                | State::Returning,
                _,
            ) => {}
        }
    }

    fn record_change_failure(&mut self, commit: CommitResult) {
        let answer = format!("{commit:?}");
        self.record(Decision::ChangeFailed { answer });
    }

    /// Stops planning without a write to the store, because another planner is active.
    pub(super) fn resign_silently(&mut self) {
        self.record(Decision::PlannerYielded);
        self.stop_planning();
    }
}

/// Adds as many of the changes to a transaction as fit, in their order. Returns their number.
fn add_changes(
    mut transaction: Transaction,
    changes: &[(Change, Option<GroupRow>)],
) -> (Transaction, usize) {
    let mut sent = 0;
    for (change, row) in changes {
        let key = group_key(change.group());
        let value = row.as_ref().map(encode);
        if !transaction.has_room(&key, value.as_ref().map_or(0, Vec::len)) {
            break;
        }
        transaction = match value {
            Some(value) => transaction.put(key, value),
            None => transaction.delete(key),
        };
        sent += 1;
    }
    (transaction, sent)
}
