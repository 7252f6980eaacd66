//! Writes claims and results, batched into transactions.

use tanagerhub_clock::Moment;
use tanagerhub_table::{CommitOutcome, Row, RowKey, Transaction, TransactionId};

use super::claim::{Claim, Phase};
use super::{ClaimAction, ClaimResponse, ClaimResult, Claims};
use crate::Outcome;

/// The rows written by one transaction in flight.
#[derive(Debug)]
pub(super) struct Batch {
    keys: Vec<RowKey>,
}

impl Claims {
    /// Handles the outcome of a transaction sent with [`ClaimAction::Commit`].
    pub fn handle_commit(&mut self, now: Moment, id: TransactionId, outcome: CommitOutcome) {
        let Some(batch) = self.batches.remove(&id) else {
            return;
        };
        match outcome {
            CommitOutcome::Committed { rows } => self.confirm_batch(now, batch, &rows),
            // A single conflicting row fails the whole batch; reading the rows shows which one.
            CommitOutcome::Conflict { .. } => self.schedule_reads(now, batch.keys, false),
            CommitOutcome::Unknown => {
                self.counters.lost_answers += 1;
                self.schedule_reads(now, batch.keys, true);
            }
            CommitOutcome::NotApplied => self.retry_later(now, batch.keys),
        }
    }

    /// Returns a transaction that deletes the expired claims among the given rows; `None` if there
    /// are none.
    ///
    /// The owner of the [`Claims`] commits the transaction and may ignore its outcome.
    pub fn sweep(&mut self, rows: &[Row]) -> Option<Transaction> {
        let mut transaction = Transaction::new(self.random_transaction_id());
        for row in rows {
            if self.is_removable(row) {
                transaction = transaction
                    .require_version(row.key.clone(), row.version)
                    .delete(row.key.clone());
            }
        }
        (!transaction.writes.is_empty()).then_some(transaction)
    }

    /// Returns whether a row is expired and no live node runs a request under its claim.
    fn is_removable(&self, row: &Row) -> bool {
        let Some(found) = super::ClaimRow::decode(&row.value) else {
            return false;
        };
        let is_running = found.result.is_none() && self.live_boots.contains(&found.boot);
        let expired = found.is_expired(self.wall_s, self.settings.lifetime_s);
        expired && !is_running && !self.by_key.contains_key(&row.key)
    }

    /// Sends the reads and writes that are due, up to the limit on those in flight.
    pub(super) fn send_scheduled(&mut self, now: Moment) {
        while self.batches.len() < self.settings.max_in_flight
            && self.reads.len() < self.settings.max_in_flight
        {
            let (reads, writes) = self.collect_scheduled(now);
            if reads.is_empty() && writes.is_empty() {
                return;
            }
            self.send_reads(reads);
            self.send_writes(writes);
        }
    }

    /// Takes the keys of one batch, split into rows to read first and rows to write.
    fn collect_scheduled(&mut self, now: Moment) -> (Vec<RowKey>, Vec<RowKey>) {
        let mut keys = Vec::new();
        while keys.len() < self.settings.max_batch_rows {
            let Some(first) = self.scheduled.first_entry() else {
                break;
            };
            if first.key().0 > now {
                break;
            }
            let key = first.remove();
            if self.needs_write(&key) && !keys.contains(&key) {
                keys.push(key);
            }
        }
        let needs_read = |key: &RowKey| self.by_key.get(key).is_some_and(|claim| claim.must_read);
        keys.into_iter().partition(needs_read)
    }

    /// Returns whether a row has to be written; drops an unwritten claim that is no longer needed.
    fn needs_write(&mut self, key: &RowKey) -> bool {
        let Some(claim) = self.by_key.get(key) else {
            return false;
        };
        let unwanted = claim.phase == Phase::Unsent && !claim.is_wanted();
        let idle = matches!(claim.phase, Phase::Unsent | Phase::Ended);
        if unwanted {
            self.by_key.remove(key);
        }
        idle && !unwanted
    }

    fn send_reads(&mut self, keys: Vec<RowKey>) {
        if keys.is_empty() {
            return;
        }
        self.mark_in_flight(&keys);
        let read = self.random_transaction_id();
        self.counters.reads += 1;
        self.reads.insert(read, keys.clone());
        self.actions.push(ClaimAction::Read { read, keys });
    }

    fn send_writes(&mut self, keys: Vec<RowKey>) {
        if keys.is_empty() {
            return;
        }
        self.mark_in_flight(&keys);
        let mut transaction = Transaction::new(self.random_transaction_id());
        for key in &keys {
            if let Some(claim) = self.by_key.get_mut(key) {
                if claim.phase == Phase::Claiming {
                    claim.row.wall_s = self.wall_s;
                }
                transaction = add_write(transaction, key, claim);
            }
        }
        self.counters.commits += 1;
        self.batches.insert(transaction.id, Batch { keys });
        self.actions.push(ClaimAction::Commit(transaction));
    }

    fn mark_in_flight(&mut self, keys: &[RowKey]) {
        for key in keys {
            if let Some(claim) = self.by_key.get_mut(key) {
                claim.phase = match claim.phase {
                    Phase::Unsent => Phase::Claiming,
                    Phase::Ended => Phase::Recording,
                    phase => phase,
                };
            }
        }
    }

    fn confirm_batch(&mut self, now: Moment, batch: Batch, rows: &[Row]) {
        for key in batch.keys {
            let version = rows
                .iter()
                .find(|row| row.key == key)
                .map(|row| row.version);
            self.confirm_write(now, &key, version);
        }
    }

    /// Updates a claim after its last write was found to be applied.
    pub(super) fn confirm_write(
        &mut self,
        now: Moment,
        key: &RowKey,
        version: Option<tanagerhub_table::RowVersion>,
    ) {
        let Some(claim) = self.by_key.get_mut(key) else {
            return;
        };
        if claim.phase == Phase::Recording {
            self.by_key.remove(key);
            return;
        }
        claim.phase = Phase::Held;
        claim.base_version = version;
        claim.late_write_possible = false;
        claim.failures = 0;
        if let Some(waiter) = claim.waiter.take() {
            self.holders.insert(waiter.request, key.clone());
            self.respond(waiter.request, ClaimResponse::Granted);
            return;
        }
        // No request waits for the claim any more, and nothing was sent under it.
        claim.set_result(ClaimResult {
            outcome: Outcome::NotRun,
            response: None,
        });
        self.schedule(now, key.clone());
    }

    /// Schedules a read of the rows, which has to precede their next write.
    pub(super) fn schedule_reads(
        &mut self,
        now: Moment,
        keys: Vec<RowKey>,
        late_write_possible: bool,
    ) {
        for key in keys {
            if let Some(claim) = self.by_key.get_mut(&key) {
                claim.must_read = true;
                claim.late_write_possible |= late_write_possible;
                claim.revert_phase();
                self.schedule(now, key);
            }
        }
    }

    /// Schedules a retry, after a backoff, of writes that were not applied or reads that failed.
    pub(super) fn retry_later(&mut self, now: Moment, keys: Vec<RowKey>) {
        for key in keys {
            let Some(claim) = self.by_key.get_mut(&key) else {
                continue;
            };
            claim.revert_phase();
            claim.failures += 1;
            let failures = claim.failures;
            // A service that removes duplicates itself doesn't have to wait for the store.
            let unclaimed = claim.waiter.take_if(|waiter| waiter.deduplicates);
            let dropped =
                claim.phase == Phase::Unsent && unclaimed.is_some() && !claim.late_write_possible;
            if dropped {
                self.by_key.remove(&key);
            }
            if let Some(waiter) = unclaimed {
                self.respond(waiter.request, ClaimResponse::Unclaimed);
            }
            if !dropped {
                let pause = self.backoff(failures);
                self.schedule(now + pause, key);
            }
        }
    }
}

impl Claim {
    /// Reverts to the phase before the last write or read was sent.
    pub(super) const fn revert_phase(&mut self) {
        self.phase = match self.phase {
            Phase::Claiming => Phase::Unsent,
            Phase::Recording => Phase::Ended,
            phase => phase,
        };
    }
}

fn add_write(transaction: Transaction, key: &RowKey, claim: &Claim) -> Transaction {
    let guarded = match claim.base_version {
        Some(version) => transaction.require_version(key.clone(), version),
        None => transaction.require_absent(key.clone()),
    };
    guarded.put(key.clone(), claim.row.encode())
}
