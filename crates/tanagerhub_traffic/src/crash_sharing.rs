//! Exchange of strikes between nodes through the store.
//!
//! Each node sees only the crashes under its own attempts, and forgets them when it restarts. The
//! rows of the store hold the strikes of all nodes.

use std::collections::BTreeSet;

use tanagerhub_clock::Moment;

use crate::crash_record::CrashRecord;
use crate::crash_table::STRIKE_LIMIT;
use crate::{CrashDecision, CrashRow, CrashRowChanges, CrashTable};

/// Maximum number of rows written, and of rows deleted, in one transaction.
const MAX_ROWS_PER_CHANGE: usize = 40;

impl CrashTable {
    /// Records that a request ended without a complete response, so that its strikes may be shared.
    pub(crate) fn settle(&mut self, fingerprint: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.is_settled = true;
        }
    }

    /// Returns changes of rows that are to be written to the store, and expects that they will be.
    ///
    /// A request whose first strike may still be cleared by its next attempt is left out.
    pub fn take_row_changes(&mut self, now: Moment) -> CrashRowChanges {
        let mut puts = Vec::new();
        for (fingerprint, record) in &mut self.records {
            // A request is refused from the limit on, so that higher counts say nothing new.
            let strikes = record.strikes(now, self.quarantine).min(STRIKE_LIMIT);
            let is_certain = record.is_settled || strikes >= STRIKE_LIMIT;
            let is_known = strikes <= record.shared || record.rows.contains(&strikes);
            if is_certain && !is_known && puts.len() < MAX_ROWS_PER_CHANGE {
                record.shared = strikes;
                puts.push(CrashRow {
                    fingerprint: *fingerprint,
                    strikes,
                });
            }
        }
        puts.sort_unstable();
        for row in &puts {
            self.record(CrashDecision::Shared {
                fingerprint: row.fingerprint,
                strikes: row.strikes,
            });
        }
        let rest = self
            .obsolete_rows
            .split_off(MAX_ROWS_PER_CHANGE.min(self.obsolete_rows.len()));
        let deletes = std::mem::replace(&mut self.obsolete_rows, rest);
        CrashRowChanges { puts, deletes }
    }

    /// Takes back changes that the store may not have applied, so that they are returned again.
    pub fn restore_row_changes(&mut self, changes: CrashRowChanges) {
        for row in changes.puts {
            if let Some(record) = self.records.get_mut(&row.fingerprint) {
                record.shared = record.shared.min(row.strikes - 1);
            }
        }
        self.obsolete_rows.extend(changes.deletes);
    }

    /// Applies a row of the store.
    pub fn apply_row(&mut self, now: Moment, row: CrashRow) {
        let CrashRow {
            fingerprint,
            strikes,
        } = row;
        self.ensure_capacity(now, fingerprint);
        let record = self.records.entry(fingerprint).or_default();
        if !record.rows.insert(strikes) || strikes <= record.shared {
            return;
        }
        record.report(strikes, now);
        self.record(CrashDecision::Reported {
            fingerprint,
            strikes,
        });
    }

    /// Applies the deletion of a row: another node cleared the request, or its strikes are too old.
    pub fn remove_row(&mut self, row: CrashRow) {
        let record = self.records.get(&row.fingerprint);
        if record.is_some_and(|record| record.rows.contains(&row.strikes)) {
            self.records.remove(&row.fingerprint);
        }
    }

    /// Applies the complete list of rows.
    pub fn apply_all_rows(&mut self, now: Moment, rows: &[CrashRow]) {
        let listed: BTreeSet<CrashRow> = rows.iter().copied().collect();
        self.records.retain(|fingerprint, record| {
            record.rows.iter().all(|strikes| {
                listed.contains(&CrashRow {
                    fingerprint: *fingerprint,
                    strikes: *strikes,
                })
            })
        });
        for row in rows {
            self.apply_row(now, *row);
        }
    }

    /// Drops requests without active strikes or suspicions. If `deletes_rows` is set, their rows
    /// are deleted from the store too.
    pub fn expire_rows(&mut self, now: Moment, deletes_rows: bool) {
        let quarantine = self.quarantine;
        let is_expired = |record: &CrashRecord| record.is_empty(now, quarantine);
        let expired: Vec<u64> = self
            .records
            .iter()
            .filter(|(_, record)| is_expired(record))
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for fingerprint in expired {
            let Some(record) = self.records.remove(&fingerprint) else {
                continue;
            };
            if deletes_rows {
                self.delete_rows(fingerprint, &record);
            }
        }
    }

    /// Marks the rows of a request as obsolete.
    pub(crate) fn delete_rows(&mut self, fingerprint: u64, record: &CrashRecord) {
        let shared = (record.shared > 0).then_some(record.shared);
        let strikes: BTreeSet<u32> = record.rows.iter().copied().chain(shared).collect();
        let rows = strikes.into_iter().map(|strikes| CrashRow {
            fingerprint,
            strikes,
        });
        self.obsolete_rows.extend(rows);
    }
}
