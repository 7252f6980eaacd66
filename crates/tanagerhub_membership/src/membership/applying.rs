//! Operators' changes: commit, spread, answer.

use std::time::Duration;

use rand::RngExt;
use tanagerhub_catalogue::{Catalogue, CatalogueVersion, NodeId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{
    Attempt, AttemptState, CommitOutcome, ReadBack, Row, Transaction, TransactionId,
};

use super::Membership;
use crate::apply::{Apply, ApplyStage, Spread};
use crate::store_reader::ReadPurpose;
use crate::{
    ApplyOutcome, BeaconBody, CatalogueHead, ContentHash, Document, Held, Hold, Identity,
    MembershipAction, OperationId, Standing, TableRead,
};

/// Wait before a step that the store refused is tried again.
const RETRY_WAIT: Duration = Duration::from_millis(500);
/// How long the answer to a transaction is awaited.
const COMMIT_LIMIT: Duration = Duration::from_secs(3);
/// Changes that one node follows at a time.
const MAX_APPLIES: usize = 16;

impl Membership {
    pub(super) fn apply(
        &mut self,
        now: Moment,
        operation: OperationId,
        mut catalogue: Catalogue,
        expected: CatalogueVersion,
    ) {
        if self.applies.len() >= MAX_APPLIES {
            let reason = format!("this node follows {MAX_APPLIES} changes already");
            self.answer_apply(operation, ApplyOutcome::NotCommitted { reason });
            return;
        }
        catalogue.version = expected.next();
        self.applies.push(Apply {
            operation,
            began: now,
            token: self.rng.random(),
            document: Document::of(catalogue),
            attempt: None,
            doubted: false,
            stage: ApplyStage::Reading,
            deadline: now + self.settings.apply_limit,
            resend: now,
        });
        self.read_slots(now);
        self.applies_due(now);
    }

    /// Moves every change on, and answers those whose time is over.
    pub(super) fn applies_due(&mut self, now: Moment) {
        let mut applies = std::mem::take(&mut self.applies);
        applies.retain_mut(|apply| {
            let outcome = self.advance(apply, now);
            let done = outcome.is_some();
            if let Some(outcome) = outcome {
                self.answer_apply(apply.operation, outcome);
            }
            !done
        });
        self.applies = applies;
    }

    fn answer_apply(&mut self, operation: OperationId, outcome: ApplyOutcome) {
        self.counters.applies += 1;
        self.act(MembershipAction::ApplyAnswered { operation, outcome });
    }

    fn advance(&mut self, apply: &mut Apply, now: Moment) -> Option<ApplyOutcome> {
        let limit = self.settings.freshness_limit;
        if let ApplyStage::Spreading(spread) = &mut apply.stage {
            spread.tick(now);
            let counted = self.store.has_counted(apply.began, spread.began);
            if counted && spread.is_in_force(now, limit) {
                let (version, stopped) = (apply.document.head().version, spread.missing());
                return Some(ApplyOutcome::InForce { version, stopped });
            }
        }
        if now >= apply.deadline {
            return Some(apply.give_up());
        }
        if now >= apply.resend {
            self.resend(apply, now);
        }
        None
    }

    fn resend(&mut self, apply: &mut Apply, now: Moment) {
        let purpose = ReadPurpose::Apply(apply.operation);
        match &apply.stage {
            ApplyStage::Reading | ApplyStage::Committing => {
                apply.doubted |= apply.is_in_doubt();
                if !self.store.is_open(purpose) {
                    let keys = vec![CatalogueHead::key()];
                    self.read(purpose, TableRead::Keys(keys), now);
                }
                apply.resend = now + RETRY_WAIT;
            }
            ApplyStage::Storing => {
                self.store_document(apply);
                apply.resend = now + COMMIT_LIMIT;
            }
            ApplyStage::Spreading(_) => {
                self.recount(apply, now);
                self.send_holds(apply, now);
            }
        }
    }

    fn store_document(&mut self, apply: &Apply) {
        let hash = apply.document.head().hash;
        let body = std::sync::Arc::clone(apply.document.body());
        self.act(MembershipAction::Store { hash, body });
    }

    fn send_holds(&mut self, apply: &mut Apply, now: Moment) {
        apply.resend = now + self.settings.hold_period;
        let (token, head) = (apply.token, apply.document.head());
        let ApplyStage::Spreading(spread) = &mut apply.stage else {
            return;
        };
        self.hold_own(spread, now);
        for (name, region) in &spread.regions {
            let slots = self.slots.digest(name);
            let round = region.acceptance.round();
            for node in region.acceptance.wanted() {
                let address = self.slots.row(node).map(|row| row.slot.address);
                let Some(to) = address.filter(|_| node != self.settings.node) else {
                    continue;
                };
                let hold = Hold {
                    token,
                    round,
                    head,
                    slots,
                };
                self.send(to, BeaconBody::Hold(hold));
            }
        }
    }

    /// Counts the slots that are known now, and asks silent nodes for theirs.
    ///
    /// Nodes don't acknowledge to one that counts other slots than they do.
    fn recount(&mut self, apply: &mut Apply, now: Moment) {
        let ApplyStage::Spreading(spread) = &mut apply.stage else {
            return;
        };
        for (name, nodes) in self.slots.regions() {
            spread.recount(name, nodes, now);
        }
        let silent = spread.stalled(now);
        let row = silent.and_then(|node| self.slots.row(node));
        if let Some(to) = row.map(|row| row.slot.address) {
            self.ask_slots(to, now);
        }
    }

    /// Acknowledges the own change, like any other holder.
    fn hold_own(&self, spread: &mut Spread, now: Moment) {
        let Some(region) = spread.regions.get(&self.settings.region) else {
            return;
        };
        let acceptance = &region.acceptance;
        let holds = self.version() >= acceptance.version();
        if holds && self.standing == Standing::Member {
            let round = acceptance.round();
            spread.held(self.settings.node, self.identity, round, now);
        }
    }

    pub(super) fn held(&mut self, now: Moment, node: NodeId, identity: Identity, held: Held) {
        let mut applies = std::mem::take(&mut self.applies);
        for apply in &mut applies {
            if apply.token != held.token || held.version < apply.document.head().version {
                continue;
            }
            let ApplyStage::Spreading(spread) = &mut apply.stage else {
                continue;
            };
            let rounds = |spread: &Spread| -> u32 {
                let regions = spread.regions.values();
                regions.map(|it| it.acceptance.round()).sum()
            };
            let before = rounds(spread);
            spread.held(node, identity, held.round, now);
            if rounds(spread) != before {
                self.send_holds(apply, now);
            }
        }
        self.applies = applies;
    }

    /// Takes in the head as read for a change.
    pub(super) fn apply_read(&mut self, now: Moment, operation: OperationId, rows: &[Row]) {
        let Some(head) = self.find_head(rows) else {
            return;
        };
        self.hear_of(head, None, now);
        let key = CatalogueHead::key();
        let row = rows.iter().find(|row| row.key == key);
        self.with_apply(operation, |this, apply| this.judge(apply, head, row, now));
    }

    fn judge(
        &mut self,
        apply: &mut Apply,
        head: CatalogueHead,
        row: Option<&Row>,
        now: Moment,
    ) -> Option<ApplyOutcome> {
        if matches!(apply.stage, ApplyStage::Spreading(_)) {
            return None;
        }
        let wanted = apply.document.head().version;
        let applied = apply.attempt.as_mut().map(|attempt| attempt.read_back(row));
        if applied == Some(ReadBack::Applied) {
            self.start_spread(apply, now);
            return None;
        }
        if head.version.next() != wanted {
            // A later version may have been written over this change.
            let outcome = if apply.doubted && head.version > wanted {
                ApplyOutcome::Unknown { version: wanted }
            } else {
                let winner = head.version;
                ApplyOutcome::LostRace { winner }
            };
            return Some(outcome);
        }
        match apply.stage {
            ApplyStage::Reading => {
                apply.attempt = Some(self.head_change(apply, row));
                apply.stage = ApplyStage::Storing;
                self.resend(apply, now);
            }
            ApplyStage::Committing => self.commit_change(apply, now),
            ApplyStage::Storing | ApplyStage::Spreading(_) => {}
        }
        None
    }

    /// The transaction that makes the change's document the newest.
    fn head_change(&mut self, apply: &Apply, row: Option<&Row>) -> Attempt {
        let id = self.new_transaction();
        let key = CatalogueHead::key();
        let base = match row {
            Some(row) => Transaction::new(id).at(key.clone(), row.version),
            None => Transaction::new(id).absent(key.clone()),
        };
        let mut attempt = Attempt::new(base.put(key, apply.document.head().encode()));
        attempt.answered(&CommitOutcome::NotApplied);
        attempt
    }

    pub(super) fn stored(&mut self, now: Moment, hash: ContentHash, kept: bool) {
        let mut applies = std::mem::take(&mut self.applies);
        for apply in &mut applies {
            let waits = matches!(apply.stage, ApplyStage::Storing);
            if !waits || apply.document.head().hash != hash {
                continue;
            }
            if kept {
                self.commit_change(apply, now);
            } else {
                apply.resend = now + RETRY_WAIT;
            }
        }
        self.applies = applies;
    }

    /// Sends the transaction, again with the same conditions if it was sent before.
    fn commit_change(&mut self, apply: &mut Apply, now: Moment) {
        let Some(attempt) = &mut apply.attempt else {
            return;
        };
        let transaction = attempt.transaction().clone();
        *attempt = Attempt::new(transaction.clone());
        apply.stage = ApplyStage::Committing;
        apply.resend = now + COMMIT_LIMIT;
        self.counters.commits += 1;
        self.act(MembershipAction::Commit(transaction));
    }

    pub(super) fn apply_committed(
        &mut self,
        now: Moment,
        id: TransactionId,
        outcome: &CommitOutcome,
    ) {
        let matches = |apply: &&Apply| {
            let attempt = apply.attempt.as_ref();
            attempt.is_some_and(|attempt| attempt.transaction().id == id)
        };
        let Some(operation) = self.applies.iter().find(matches).map(|it| it.operation) else {
            return;
        };
        self.with_apply(operation, |this, apply| {
            this.change_answered(apply, outcome, now);
            None
        });
    }

    fn change_answered(&mut self, apply: &mut Apply, outcome: &CommitOutcome, now: Moment) {
        if !matches!(apply.stage, ApplyStage::Committing) {
            return;
        }
        let Some(attempt) = &mut apply.attempt else {
            return;
        };
        attempt.answered(outcome);
        match (attempt.state(), outcome) {
            (AttemptState::Applied, _) => self.start_spread(apply, now),
            (_, CommitOutcome::NotApplied) => apply.resend = now + RETRY_WAIT,
            // The head is read: it shows the winner, or that an earlier copy was applied.
            _ => self.resend(apply, now),
        }
    }

    /// Follows the committed version and asks every node to hold it.
    fn start_spread(&mut self, apply: &mut Apply, now: Moment) {
        let head = apply.document.head();
        self.hear_of(head, None, now);
        self.follow(apply.document.clone(), now);
        apply.stage = ApplyStage::Spreading(Spread::new(head.version, now));
        self.read_slots(now);
        self.recount(apply, now);
        self.send_holds(apply, now);
    }

    pub(super) fn apply_read_failed(&mut self, operation: OperationId, now: Moment) {
        self.with_apply(operation, |_, apply| {
            apply.resend = now + RETRY_WAIT;
            None
        });
    }

    /// Works on one change, and answers it if `work` says so.
    fn with_apply(
        &mut self,
        operation: OperationId,
        work: impl FnOnce(&mut Self, &mut Apply) -> Option<ApplyOutcome>,
    ) {
        let place = self.applies.iter().position(|it| it.operation == operation);
        let Some(place) = place else {
            return;
        };
        let mut apply = self.applies.swap_remove(place);
        match work(self, &mut apply) {
            Some(outcome) => self.answer_apply(operation, outcome),
            None => self.applies.push(apply),
        }
    }
}
