//! Operators' changes: commit, propagation, outcome.

use std::time::Duration;

use rand::RngExt;
use tanagerhub_catalogue::{Catalogue, CatalogueVersion, NodeId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{
    Attempt, AttemptState, CommitOutcome, ReadBack, Row, Transaction, TransactionId,
};

use super::Membership;
use crate::apply::{Apply, ApplyStage, Propagation};
use crate::store_reader::ReadPurpose;
use crate::{
    Ack, AckRequest, ApplyOutcome, BeaconBody, CatalogueHead, ContentHash, Document, Identity,
    MembershipAction, OperationId, Standing, TableRead,
};

/// Delay before a step that the store refused is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after which a transaction or a stored document without a response is retried.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of changes that one node handles at a time.
const MAX_APPLIES: usize = 16;

impl Membership {
    pub(super) fn start_apply(
        &mut self,
        now: Moment,
        operation: OperationId,
        mut catalogue: Catalogue,
        expected: CatalogueVersion,
    ) {
        if self.applies.len() >= MAX_APPLIES {
            let reason = format!("this node follows {MAX_APPLIES} changes already");
            self.complete_apply(operation, ApplyOutcome::NotCommitted { reason });
            return;
        }
        catalogue.version = expected.next();
        self.applies.push(Apply {
            operation,
            started_at: now,
            token: self.rng.random(),
            document: Document::of(catalogue),
            attempt: None,
            was_in_doubt: false,
            stage: ApplyStage::Reading,
            deadline: now + self.settings.apply_timeout,
            retry_at: now,
        });
        self.read_slots(now);
        self.advance_applies(now);
    }

    /// Advances every change and completes those that are in force or past their deadline.
    pub(super) fn advance_applies(&mut self, now: Moment) {
        let mut applies = std::mem::take(&mut self.applies);
        applies.retain_mut(|apply| {
            let outcome = self.advance(apply, now);
            let done = outcome.is_some();
            if let Some(outcome) = outcome {
                self.complete_apply(apply.operation, outcome);
            }
            !done
        });
        self.applies = applies;
    }

    fn complete_apply(&mut self, operation: OperationId, outcome: ApplyOutcome) {
        self.counters.applies += 1;
        self.push_action(MembershipAction::ApplyCompleted { operation, outcome });
    }

    fn advance(&mut self, apply: &mut Apply, now: Moment) -> Option<ApplyOutcome> {
        let limit = self.settings.freshness_limit;
        if let ApplyStage::Propagating(propagation) = &mut apply.stage {
            propagation.tick(now);
            let slots_read = self
                .store
                .has_read_slots(apply.started_at, propagation.started_at);
            if slots_read && propagation.is_in_force(now, limit) {
                let (version, stopped) = (apply.document.head().version, propagation.missing());
                return Some(ApplyOutcome::InForce { version, stopped });
            }
        }
        if now >= apply.deadline {
            return Some(apply.timeout_outcome());
        }
        if now >= apply.retry_at {
            self.retry_step(apply, now);
        }
        None
    }

    fn retry_step(&mut self, apply: &mut Apply, now: Moment) {
        let purpose = ReadPurpose::Apply(apply.operation);
        match &apply.stage {
            ApplyStage::Reading | ApplyStage::Committing => {
                apply.was_in_doubt |= apply.is_in_doubt();
                if !self.store.is_open(purpose) {
                    let keys = vec![CatalogueHead::key()];
                    self.read(purpose, TableRead::Keys(keys), now);
                }
                apply.retry_at = now + RETRY_DELAY;
            }
            ApplyStage::Storing => {
                self.store_document(apply);
                apply.retry_at = now + COMMIT_TIMEOUT;
            }
            ApplyStage::Propagating(_) => {
                self.update_region_slots(apply, now);
                self.send_ack_requests(apply, now);
            }
        }
    }

    fn store_document(&mut self, apply: &Apply) {
        let hash = apply.document.head().hash;
        let body = std::sync::Arc::clone(apply.document.body());
        self.push_action(MembershipAction::Store { hash, body });
    }

    fn send_ack_requests(&mut self, apply: &mut Apply, now: Moment) {
        apply.retry_at = now + self.settings.ack_request_period;
        let (token, head) = (apply.token, apply.document.head());
        let ApplyStage::Propagating(propagation) = &mut apply.stage else {
            return;
        };
        self.record_own_ack(propagation, now);
        for (name, region) in &propagation.regions {
            let slots = self.slots.digest(name);
            let round = region.acceptance.round();
            for node in region.acceptance.pending() {
                let address = self.slots.row(node).map(|row| row.slot.address);
                let Some(to) = address.filter(|_| node != self.settings.node) else {
                    continue;
                };
                let ack_request = AckRequest {
                    token,
                    round,
                    head,
                    slots,
                };
                self.send_beacon(to, BeaconBody::AckRequest(ack_request));
            }
        }
    }

    /// Updates the slots of each region, and requests a stalled region's list of slots from a node.
    ///
    /// Nodes do not acknowledge to a node with a different list of slots.
    fn update_region_slots(&mut self, apply: &mut Apply, now: Moment) {
        let ApplyStage::Propagating(propagation) = &mut apply.stage else {
            return;
        };
        for (name, nodes) in self.slots.regions() {
            propagation.update_slots(name, nodes, now);
        }
        let stalled_node = propagation.stalled(now);
        let row = stalled_node.and_then(|node| self.slots.row(node));
        if let Some(to) = row.map(|row| row.slot.address) {
            self.request_slots(to, now);
        }
    }

    /// Records this node's own acknowledgement, if it holds the version.
    fn record_own_ack(&self, propagation: &mut Propagation, now: Moment) {
        let Some(region) = propagation.regions.get(&self.settings.region) else {
            return;
        };
        let acceptance = &region.acceptance;
        let holds = self.version() >= acceptance.version();
        if holds && self.standing == Standing::Member {
            let round = acceptance.round();
            propagation.record_ack(self.settings.node, self.identity, round, now);
        }
    }

    pub(super) fn on_ack(&mut self, now: Moment, node: NodeId, identity: Identity, ack: Ack) {
        let mut applies = std::mem::take(&mut self.applies);
        for apply in &mut applies {
            if apply.token != ack.token || ack.version < apply.document.head().version {
                continue;
            }
            let ApplyStage::Propagating(propagation) = &mut apply.stage else {
                continue;
            };
            let rounds = |propagation: &Propagation| -> u32 {
                let regions = propagation.regions.values();
                regions.map(|it| it.acceptance.round()).sum()
            };
            let before = rounds(propagation);
            propagation.record_ack(node, identity, ack.round, now);
            if rounds(propagation) != before {
                self.send_ack_requests(apply, now);
            }
        }
        self.applies = applies;
    }

    /// Handles the rows of the head that were read for a change.
    pub(super) fn on_apply_rows(&mut self, now: Moment, operation: OperationId, rows: &[Row]) {
        let Some(head) = self.find_head(rows) else {
            return;
        };
        self.update_newest(head, None, now);
        let key = CatalogueHead::key();
        let row = rows.iter().find(|row| row.key == key);
        self.update_apply(operation, |this, apply| {
            this.on_apply_head(apply, head, row, now)
        });
    }

    fn on_apply_head(
        &mut self,
        apply: &mut Apply,
        head: CatalogueHead,
        row: Option<&Row>,
        now: Moment,
    ) -> Option<ApplyOutcome> {
        if matches!(apply.stage, ApplyStage::Propagating(_)) {
            return None;
        }
        let wanted = apply.document.head().version;
        let applied = apply.attempt.as_mut().map(|attempt| attempt.read_back(row));
        if applied == Some(ReadBack::Applied) {
            self.start_propagation(apply, now);
            return None;
        }
        if head.version.next() != wanted {
            // A later version may have replaced this change.
            let outcome = if apply.was_in_doubt && head.version > wanted {
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
                self.retry_step(apply, now);
            }
            ApplyStage::Committing => self.commit_change(apply, now),
            ApplyStage::Storing | ApplyStage::Propagating(_) => {}
        }
        None
    }

    /// Returns the transaction that makes the change's document the newest.
    fn head_change(&mut self, apply: &Apply, row: Option<&Row>) -> Attempt {
        let id = self.new_transaction();
        let key = CatalogueHead::key();
        let base = match row {
            Some(row) => Transaction::new(id).require_version(key.clone(), row.version),
            None => Transaction::new(id).require_absent(key.clone()),
        };
        let mut attempt = Attempt::new(base.put(key, apply.document.head().encode()));
        attempt.record_outcome(&CommitOutcome::NotApplied);
        attempt
    }

    pub(super) fn on_stored(&mut self, now: Moment, hash: ContentHash, kept: bool) {
        let mut applies = std::mem::take(&mut self.applies);
        for apply in &mut applies {
            let waits = matches!(apply.stage, ApplyStage::Storing);
            if !waits || apply.document.head().hash != hash {
                continue;
            }
            if kept {
                self.commit_change(apply, now);
            } else {
                apply.retry_at = now + RETRY_DELAY;
            }
        }
        self.applies = applies;
    }

    /// Sends the transaction; a retry has the same conditions.
    fn commit_change(&mut self, apply: &mut Apply, now: Moment) {
        let Some(attempt) = &mut apply.attempt else {
            return;
        };
        let transaction = attempt.transaction().clone();
        *attempt = Attempt::new(transaction.clone());
        apply.stage = ApplyStage::Committing;
        apply.retry_at = now + COMMIT_TIMEOUT;
        self.counters.commits += 1;
        self.push_action(MembershipAction::Commit(transaction));
    }

    pub(super) fn on_apply_commit(
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
        self.update_apply(operation, |this, apply| {
            this.on_commit_outcome(apply, outcome, now);
            None
        });
    }

    fn on_commit_outcome(&mut self, apply: &mut Apply, outcome: &CommitOutcome, now: Moment) {
        if !matches!(apply.stage, ApplyStage::Committing) {
            return;
        }
        let Some(attempt) = &mut apply.attempt else {
            return;
        };
        attempt.record_outcome(outcome);
        match (attempt.state(), outcome) {
            (AttemptState::Applied, _) => self.start_propagation(apply, now),
            (_, CommitOutcome::NotApplied) => apply.retry_at = now + RETRY_DELAY,
            // The head is read: it shows the winning change, or that an earlier copy was applied.
            _ => self.retry_step(apply, now),
        }
    }

    /// Adopts the committed version and requests an acknowledgement from every node.
    fn start_propagation(&mut self, apply: &mut Apply, now: Moment) {
        let head = apply.document.head();
        self.update_newest(head, None, now);
        self.adopt(apply.document.clone(), now);
        apply.stage = ApplyStage::Propagating(Propagation::new(head.version, now));
        self.read_slots(now);
        self.update_region_slots(apply, now);
        self.send_ack_requests(apply, now);
    }

    pub(super) fn on_apply_read_failure(&mut self, operation: OperationId, now: Moment) {
        self.update_apply(operation, |_, apply| {
            apply.retry_at = now + RETRY_DELAY;
            None
        });
    }

    /// Runs `work` on one change, and completes it if `work` returns an outcome.
    fn update_apply(
        &mut self,
        operation: OperationId,
        work: impl FnOnce(&mut Self, &mut Apply) -> Option<ApplyOutcome>,
    ) {
        let index = self.applies.iter().position(|it| it.operation == operation);
        let Some(index) = index else {
            return;
        };
        let mut apply = self.applies.swap_remove(index);
        match work(self, &mut apply) {
            Some(outcome) => self.complete_apply(operation, outcome),
            None => self.applies.push(apply),
        }
    }
}
