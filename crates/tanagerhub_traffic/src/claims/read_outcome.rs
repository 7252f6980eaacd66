//! Updates claims from rows that were read.

use tanagerhub_clock::Moment;
use tanagerhub_table::{Row, RowKey, TransactionId};

use super::claim::{Phase, response_from_result};
use super::{ClaimResponse, ClaimRow, Claims};
use crate::Outcome;

/// What a row that was read means for the claim on its key.
#[derive(Debug)]
enum ReadOutcome {
    /// The row has the written content.
    Written,
    /// The write was not applied, or the row may be claimed anew: write again over this version.
    WriteAgain,
    /// The key is claimed by an earlier request.
    Taken(ClaimResponse),
    /// The row was changed or removed by another writer, so the result can't be recorded.
    Overwritten,
}

impl Claims {
    /// Handles the rows of a [`ClaimAction::Read`](super::ClaimAction::Read); `None` means that the
    /// read failed.
    pub fn handle_read(&mut self, now: Moment, read: TransactionId, rows: Option<Vec<Row>>) {
        let Some(keys) = self.reads.remove(&read) else {
            return;
        };
        let Some(rows) = rows else {
            self.retry_later(now, keys);
            return;
        };
        for key in keys {
            let row = rows.iter().find(|row| row.key == key);
            self.apply_row(now, key, row);
        }
    }

    fn apply_row(&mut self, now: Moment, key: RowKey, row: Option<&Row>) {
        let read_outcome = self.read_outcome(&key, row);
        let Some(claim) = self.by_key.get_mut(&key) else {
            return;
        };
        claim.must_read = false;
        match read_outcome {
            ReadOutcome::Written => self.confirm_write(now, &key, row.map(|row| row.version)),
            ReadOutcome::WriteAgain => {
                claim.base_version = row.map(|row| row.version);
                claim.revert_phase();
                self.schedule(now, key);
            }
            ReadOutcome::Taken(response) => {
                let waiter = claim.waiter.take();
                self.by_key.remove(&key);
                if let Some(waiter) = waiter {
                    self.respond(waiter.request, response);
                }
            }
            ReadOutcome::Overwritten => {
                self.by_key.remove(&key);
                self.counters.unrecorded += 1;
            }
        }
    }

    fn read_outcome(&self, key: &RowKey, row: Option<&Row>) -> ReadOutcome {
        let Some(claim) = self.by_key.get(key) else {
            return ReadOutcome::Overwritten;
        };
        let recording = claim.phase == Phase::Recording;
        let Some(row) = row else {
            return if recording {
                ReadOutcome::Overwritten
            } else {
                ReadOutcome::WriteAgain
            };
        };
        let Some(found) = ClaimRow::decode(&row.value) else {
            return ReadOutcome::Taken(ClaimResponse::Unknown);
        };
        match (recording, claim.owns(&found)) {
            (true, true) if found.result == claim.row.result => ReadOutcome::Written,
            (true, true) => ReadOutcome::WriteAgain,
            (true, false) => ReadOutcome::Overwritten,
            (false, true) if found.result.is_none() => ReadOutcome::Written,
            (false, _) => self.outcome_for_other_claim(&found, claim.row.body_hash),
        }
    }

    /// Returns the outcome for a row that an earlier request has written.
    fn outcome_for_other_claim(&self, found: &ClaimRow, body_hash: u64) -> ReadOutcome {
        let is_running = found.result.is_none() && self.live_boots.contains(&found.boot);
        if !is_running && found.is_expired(self.wall_s, self.settings.lifetime_s) {
            return ReadOutcome::WriteAgain;
        }
        if found.body_hash != body_hash {
            return ReadOutcome::Taken(ClaimResponse::BodyMismatch);
        }
        match &found.result {
            Some(result) if result.outcome == Outcome::NotRun => ReadOutcome::WriteAgain,
            Some(result) => ReadOutcome::Taken(response_from_result(result)),
            // This node keeps each claim under which it has sent a request in memory until the
            // result is recorded, and has no such claim on this key: nothing was sent.
            None if found.boot == self.settings.boot => ReadOutcome::WriteAgain,
            None if self.live_boots.contains(&found.boot) => {
                ReadOutcome::Taken(ClaimResponse::InProgress)
            }
            None => ReadOutcome::Taken(ClaimResponse::Unknown),
        }
    }
}
