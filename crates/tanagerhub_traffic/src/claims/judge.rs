//! What a row that was read says of a claim.

use tanagerhub_clock::Moment;
use tanagerhub_table::{Row, RowKey, TransactionId};

use super::claim::{Phase, ended};
use super::{ClaimAnswer, ClaimRow, Claims};
use crate::Outcome;

/// What to do after reading a row.
#[derive(Debug)]
enum Verdict {
    /// The row holds what was written.
    Written,
    /// The row is as before, or free: write on top of it.
    WriteAgain,
    /// The claim belongs to an earlier try.
    Taken(ClaimAnswer),
    /// The row was changed by somebody else, so that the end can't be recorded.
    Overwritten,
}

impl Claims {
    /// Takes in rows that were read; `None` means that the read failed.
    pub fn read(&mut self, now: Moment, read: TransactionId, rows: Option<Vec<Row>>) {
        let Some(keys) = self.reads.remove(&read) else {
            return;
        };
        let Some(rows) = rows else {
            self.not_applied(now, keys);
            return;
        };
        for key in keys {
            let row = rows.iter().find(|row| row.key == key);
            self.judge(now, key, row);
        }
    }

    fn judge(&mut self, now: Moment, key: RowKey, row: Option<&Row>) {
        let verdict = self.verdict(&key, row);
        let Some(claim) = self.held.get_mut(&key) else {
            return;
        };
        claim.must_read = false;
        match verdict {
            Verdict::Written => self.written(now, &key, row.map(|row| row.version)),
            Verdict::WriteAgain => {
                claim.base = row.map(|row| row.version);
                claim.step_back();
                self.make_due(now, key);
            }
            Verdict::Taken(answer) => {
                let ask = claim.ask.take();
                self.held.remove(&key);
                if let Some(ask) = ask {
                    self.answer(ask.request, answer);
                }
            }
            Verdict::Overwritten => {
                self.held.remove(&key);
                self.counters.unrecorded += 1;
            }
        }
    }

    fn verdict(&self, key: &RowKey, row: Option<&Row>) -> Verdict {
        let Some(claim) = self.held.get(key) else {
            return Verdict::Overwritten;
        };
        let recording = claim.phase == Phase::Recording;
        let Some(row) = row else {
            return if recording {
                Verdict::Overwritten
            } else {
                Verdict::WriteAgain
            };
        };
        let Some(found) = ClaimRow::decode(&row.value) else {
            return Verdict::Taken(ClaimAnswer::Unknown);
        };
        match (recording, claim.is_own(&found)) {
            (true, true) if found.result == claim.row.result => Verdict::Written,
            (true, true) => Verdict::WriteAgain,
            (true, false) => Verdict::Overwritten,
            (false, true) if found.result.is_none() => Verdict::Written,
            (false, _) => self.verdict_on_other(&found, claim.row.body),
        }
    }

    /// Judges a row that an earlier try has written.
    fn verdict_on_other(&self, found: &ClaimRow, body: u64) -> Verdict {
        let runs = found.result.is_none() && self.live.contains(&found.boot);
        if !runs && found.is_expired(self.wall_s, self.settings.lifetime_s) {
            return Verdict::WriteAgain;
        }
        if found.body != body {
            return Verdict::Taken(ClaimAnswer::OtherBody);
        }
        match &found.result {
            Some(result) if result.outcome == Outcome::NotRun => Verdict::WriteAgain,
            Some(result) => Verdict::Taken(ended(result)),
            // This node keeps every claim under which it has sent anything, and holds none here.
            None if found.boot == self.settings.boot => Verdict::WriteAgain,
            None if self.live.contains(&found.boot) => Verdict::Taken(ClaimAnswer::InProgress),
            None => Verdict::Taken(ClaimAnswer::Unknown),
        }
    }
}
