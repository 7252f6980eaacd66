//! Exchange of crashes between nodes through the store.
//!
//! Each node sees only the crashes under its own attempts, and forgets them when it restarts. The
//! rows of the store hold the crashes, confirmed or suspected, that all nodes have seen.

use std::collections::BTreeSet;

use tanagerhub_clock::Moment;

use crate::crash_record::{AttemptPeriod, CrashEvent, CrashRecord, Evidence, RowState};
use crate::crash_table::STRIKE_LIMIT;
use crate::{CrashDecision, CrashKey, CrashRow, CrashRowChanges, CrashTable};

/// Maximum number of rows written, and of rows deleted, in one transaction.
const MAX_ROWS_PER_CHANGE: usize = 40;

impl CrashTable {
    /// Records that a request ended without a complete response, so that its crashes may be shared.
    pub(crate) fn settle(&mut self, fingerprint: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.is_settled = true;
        }
    }

    /// Returns changes of rows that are to be written to the store, and expects that they will be.
    ///
    /// A request whose only crash may still be cleared by its next attempt is left out.
    pub fn take_row_changes(&mut self, now: Moment) -> CrashRowChanges {
        let mut puts = Vec::new();
        for (fingerprint, record) in &mut self.records {
            if !record.events.iter().any(|event| event.needs_row(now)) {
                continue;
            }
            let strikes = record.own_possible_strikes(now, self.quarantine);
            if !record.is_settled && strikes < STRIKE_LIMIT {
                continue;
            }
            for event in &mut record.events {
                if puts.len() < MAX_ROWS_PER_CHANGE && event.needs_row(now) {
                    event.row = event.wanted_row();
                    puts.push((event.key(*fingerprint), event.to_row(now)));
                }
            }
        }
        puts.sort_unstable_by_key(|(key, _)| *key);
        for (key, row) in &puts {
            self.record(CrashDecision::Shared {
                fingerprint: key.fingerprint,
                group: key.group,
                epoch: key.epoch,
                confirmed: row.confirmed,
            });
        }
        let count = MAX_ROWS_PER_CHANGE.min(self.obsolete_rows.len());
        let deletes = self.obsolete_rows.drain(..count).collect();
        CrashRowChanges { puts, deletes }
    }

    /// Takes back changes that the store may not have applied, so that they are returned again.
    pub fn restore_row_changes(&mut self, changes: CrashRowChanges) {
        for (key, _) in changes.puts {
            if let Some(event) = self.find_event(key) {
                event.row = RowState::Unknown;
            }
        }
        self.obsolete_rows.extend(changes.deletes);
    }

    /// Applies a row of the store.
    pub fn apply_row(&mut self, now: Moment, key: CrashKey, row: CrashRow) {
        let CrashKey {
            fingerprint,
            group,
            epoch,
        } = key;
        self.ensure_capacity(now, fingerprint);
        let record = self.records.entry(fingerprint).or_default();
        let until = now.before(row.age);
        let is_new = record.insert(CrashEvent {
            group,
            epoch,
            evidence: Evidence::Broken,
            period: AttemptPeriod {
                from: until.before(row.duration),
                until,
            },
            is_confirmed: false,
            is_own: false,
            row: RowState::Suspicion,
        });
        let Some(event) = record.find(group, epoch) else {
            return;
        };
        event.row = event.row.max(row.state());
        let is_confirmed = row.confirmed && record.apply_confirmation(now, group, epoch);
        if is_new || is_confirmed {
            self.record(CrashDecision::Reported {
                fingerprint,
                group,
                epoch,
                confirmed: row.confirmed,
            });
        }
    }

    /// Applies the deletion of a row: another node cleared the request, or the row is too old.
    pub fn remove_row(&mut self, key: CrashKey) {
        let Some(record) = self.records.get_mut(&key.fingerprint) else {
            return;
        };
        record
            .events
            .retain(|event| event.row == RowState::Absent || event.key(key.fingerprint) != key);
    }

    /// Applies the complete list of rows.
    pub fn apply_all_rows(&mut self, now: Moment, rows: &[(CrashKey, CrashRow)]) {
        let listed: BTreeSet<CrashKey> = rows.iter().map(|(key, _)| *key).collect();
        for (fingerprint, record) in &mut self.records {
            record.events.retain(|event| {
                event.row == RowState::Absent || listed.contains(&event.key(*fingerprint))
            });
        }
        for (key, row) in rows {
            self.apply_row(now, *key, *row);
        }
    }

    /// Drops crashes and suspicions that are too old to count. If `deletes_rows` is set, their rows
    /// are deleted from the store too.
    pub fn expire_events(&mut self, now: Moment, deletes_rows: bool) {
        let mut obsolete = Vec::new();
        for (fingerprint, record) in &mut self.records {
            let expired = record.expire(now, self.quarantine);
            obsolete.extend(rows_of(*fingerprint, &expired));
        }
        if deletes_rows {
            self.obsolete_rows.extend(obsolete);
        }
        let quarantine = self.quarantine;
        self.records
            .retain(|_, record| !record.is_empty(now, quarantine));
    }

    /// Marks the rows of a request as obsolete.
    pub(crate) fn delete_rows(&mut self, fingerprint: u64, record: &CrashRecord) {
        self.obsolete_rows
            .extend(rows_of(fingerprint, &record.events));
    }

    fn find_event(&mut self, key: CrashKey) -> Option<&mut CrashEvent> {
        let record = self.records.get_mut(&key.fingerprint)?;
        record.find(key.group, key.epoch)
    }
}

impl CrashEvent {
    fn key(&self, fingerprint: u64) -> CrashKey {
        CrashKey {
            fingerprint,
            group: self.group,
            epoch: self.epoch,
        }
    }

    /// Returns whether this node should write more of its event to the store than it did.
    ///
    /// Without a confirmation, only a broken attempt is worth a row.
    fn needs_row(&self, now: Moment) -> bool {
        let is_evidence = self.is_confirmed || self.is_broken(now);
        self.is_own && is_evidence && self.row < self.wanted_row()
    }

    const fn wanted_row(&self) -> RowState {
        if self.is_confirmed {
            RowState::Crash
        } else {
            RowState::Suspicion
        }
    }

    fn to_row(self, now: Moment) -> CrashRow {
        CrashRow {
            age: now.since(self.period.until),
            duration: self.period.until.since(self.period.from),
            confirmed: self.is_confirmed,
        }
    }
}

impl CrashRow {
    const fn state(&self) -> RowState {
        if self.confirmed {
            RowState::Crash
        } else {
            RowState::Suspicion
        }
    }
}

/// Returns the keys of the events that the store holds.
fn rows_of(fingerprint: u64, events: &[CrashEvent]) -> Vec<CrashKey> {
    let stored = events.iter().filter(|event| event.row != RowState::Absent);
    stored.map(|event| event.key(fingerprint)).collect()
}
