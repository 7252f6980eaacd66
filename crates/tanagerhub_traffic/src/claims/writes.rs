//! Writing claims and outcomes, many in one transaction.

use tanagerhub_clock::Moment;
use tanagerhub_table::{CommitOutcome, Row, RowKey, Transaction, TransactionId};

use super::claim::{Claim, Phase};
use super::{ClaimAction, ClaimAnswer, ClaimResult, Claims};
use crate::Outcome;

/// The rows that one transaction writes.
#[derive(Debug)]
pub(super) struct Batch {
    keys: Vec<RowKey>,
}

impl Claims {
    /// Takes in the table's answer to a transaction.
    pub fn committed(&mut self, now: Moment, id: TransactionId, outcome: CommitOutcome) {
        let Some(batch) = self.batches.remove(&id) else {
            return;
        };
        match outcome {
            CommitOutcome::Committed { rows } => self.applied(now, batch, &rows),
            // One row stands in the way of all; reading them tells which.
            CommitOutcome::Conflict { .. } => self.must_read(now, batch.keys, false),
            CommitOutcome::Unknown => {
                self.counters.lost_answers += 1;
                self.must_read(now, batch.keys, true);
            }
            CommitOutcome::NotApplied => self.not_applied(now, batch.keys),
        }
    }

    /// Takes out of the table claims that have expired, given rows that were read.
    ///
    /// The edge commits the transaction; its outcome doesn't matter.
    pub fn sweep(&mut self, rows: &[Row]) -> Option<Transaction> {
        let mut transaction = Transaction::new(self.draw_id());
        for row in rows {
            if self.may_sweep(row) {
                transaction = transaction
                    .at(row.key.clone(), row.version)
                    .delete(row.key.clone());
            }
        }
        (!transaction.writes.is_empty()).then_some(transaction)
    }

    /// Whether a row is old, and no live node works under it.
    fn may_sweep(&self, row: &Row) -> bool {
        let Some(found) = super::ClaimRow::decode(&row.value) else {
            return false;
        };
        let runs = found.result.is_none() && self.live.contains(&found.boot);
        let expired = found.is_expired(self.wall_s, self.settings.lifetime_s);
        expired && !runs && !self.held.contains_key(&row.key)
    }

    /// Sends the reads and writes that are due, as far as transactions are free.
    pub(super) fn send_due(&mut self, now: Moment) {
        while self.batches.len() < self.settings.commits && self.reads.len() < self.settings.commits
        {
            let (reads, writes) = self.collect_due(now);
            if reads.is_empty() && writes.is_empty() {
                return;
            }
            self.send_reads(reads);
            self.send_writes(writes);
        }
    }

    /// Takes the keys of one batch, split by whether the row has to be read first.
    fn collect_due(&mut self, now: Moment) -> (Vec<RowKey>, Vec<RowKey>) {
        let mut keys = Vec::new();
        while keys.len() < self.settings.batch {
            let Some(first) = self.due.first_entry() else {
                break;
            };
            if first.key().0 > now {
                break;
            }
            let key = first.remove();
            if self.is_due(&key) && !keys.contains(&key) {
                keys.push(key);
            }
        }
        let reads_first = |key: &RowKey| self.held.get(key).is_some_and(|claim| claim.must_read);
        keys.into_iter().partition(reads_first)
    }

    /// Whether a write is due for this row; drops a claim that nobody needs any more.
    fn is_due(&mut self, key: &RowKey) -> bool {
        let Some(claim) = self.held.get(key) else {
            return false;
        };
        let unwanted = claim.phase == Phase::Unsent && !claim.is_wanted();
        let idle = matches!(claim.phase, Phase::Unsent | Phase::Ended);
        if unwanted {
            self.held.remove(key);
        }
        idle && !unwanted
    }

    fn send_reads(&mut self, keys: Vec<RowKey>) {
        if keys.is_empty() {
            return;
        }
        self.mark_sent(&keys);
        let read = self.draw_id();
        self.counters.reads += 1;
        self.reads.insert(read, keys.clone());
        self.actions.push(ClaimAction::Read { read, keys });
    }

    fn send_writes(&mut self, keys: Vec<RowKey>) {
        if keys.is_empty() {
            return;
        }
        self.mark_sent(&keys);
        let mut transaction = Transaction::new(self.draw_id());
        for key in &keys {
            if let Some(claim) = self.held.get_mut(key) {
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

    fn mark_sent(&mut self, keys: &[RowKey]) {
        for key in keys {
            if let Some(claim) = self.held.get_mut(key) {
                claim.phase = match claim.phase {
                    Phase::Unsent => Phase::Claiming,
                    Phase::Ended => Phase::Recording,
                    phase => phase,
                };
            }
        }
    }

    fn applied(&mut self, now: Moment, batch: Batch, rows: &[Row]) {
        for key in batch.keys {
            let version = rows
                .iter()
                .find(|row| row.key == key)
                .map(|row| row.version);
            self.written(now, &key, version);
        }
    }

    /// Takes in that a row holds what was written last.
    pub(super) fn written(
        &mut self,
        now: Moment,
        key: &RowKey,
        version: Option<tanagerhub_table::RowVersion>,
    ) {
        let Some(claim) = self.held.get_mut(key) else {
            return;
        };
        if claim.phase == Phase::Recording {
            self.held.remove(key);
            return;
        }
        claim.phase = Phase::Held;
        claim.base = version;
        claim.lost = false;
        claim.tries = 0;
        if let Some(ask) = claim.ask.take() {
            self.holders.insert(ask.request, key.clone());
            self.answer(ask.request, ClaimAnswer::Granted);
            return;
        }
        // Nobody waits for it any more, and nothing was sent.
        claim.end(ClaimResult {
            outcome: Outcome::NotRun,
            answer: None,
        });
        self.make_due(now, key.clone());
    }

    /// Has rows read before anything is tried again.
    pub(super) fn must_read(&mut self, now: Moment, keys: Vec<RowKey>, lost: bool) {
        for key in keys {
            if let Some(claim) = self.held.get_mut(&key) {
                claim.must_read = true;
                claim.lost |= lost;
                claim.step_back();
                self.make_due(now, key);
            }
        }
    }

    /// Tries again later what the table refused or never got.
    pub(super) fn not_applied(&mut self, now: Moment, keys: Vec<RowKey>) {
        for key in keys {
            let Some(claim) = self.held.get_mut(&key) else {
                continue;
            };
            claim.step_back();
            claim.tries += 1;
            let tries = claim.tries;
            // A service that removes duplicates itself need not wait for the store.
            let unclaimed = claim.ask.take_if(|ask| ask.deduplicates);
            let dropped = claim.phase == Phase::Unsent && unclaimed.is_some() && !claim.lost;
            if dropped {
                self.held.remove(&key);
            }
            if let Some(ask) = unclaimed {
                self.answer(ask.request, ClaimAnswer::Unclaimed);
            }
            if !dropped {
                let pause = self.backoff(tries);
                self.make_due(now + pause, key);
            }
        }
    }
}

impl Claim {
    /// Goes back to before the last write.
    pub(super) const fn step_back(&mut self) {
        self.phase = match self.phase {
            Phase::Claiming => Phase::Unsent,
            Phase::Recording => Phase::Ended,
            phase => phase,
        };
    }
}

fn add_write(transaction: Transaction, key: &RowKey, claim: &Claim) -> Transaction {
    let guarded = match claim.base {
        Some(version) => transaction.at(key.clone(), version),
        None => transaction.absent(key.clone()),
    };
    guarded.put(key.clone(), claim.row.encode())
}
