//! Exchange of crashes between nodes through the store.
//!
//! Each node sees only the crashes under its own attempts, and forgets them when it restarts. The
//! rows of the store hold the crashes, confirmed or suspected, that all nodes have seen.
//!
//! A row holds only the age of the crash when it was written, and a node that starts dates all rows
//! from the time at which it reads them. Rows of one request that were written at different times
//! would then seem to overlap and count as one crash. So a write of a row also rewrites the rows of
//! the request's other confirmed crashes with their ages at that time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tanagerhub_clock::Moment;
use tanagerhub_table::{PageKind, VersionedRow};

use crate::crash_record::{AttemptPeriod, CrashEvent, CrashRecord, Evidence, RowState};
use crate::crash_table::STRIKE_LIMIT;
use crate::{CrashDecision, CrashKey, CrashRow, CrashRowChanges, CrashSubject, CrashTable};

/// Maximum number of rows written, and of rows deleted, in one transaction. The events of one
/// request fit.
const MAX_ROWS_PER_CHANGE: usize = 40;
/// Time for which the only crash of this node under a part waits before it is shared. Most parts
/// are cleared by then.
const PART_SHARE_DELAY: Duration = Duration::from_millis(400);

impl CrashTable {
    /// Records that a request ended without a complete response, so that its crashes may be shared.
    pub(crate) fn settle(&mut self, fingerprint: u64) {
        let record = self.records.get_mut(&CrashSubject::Request(fingerprint));
        if let Some(record) = record {
            record.is_settled = true;
        }
    }

    /// Returns changes of rows that are to be written to the store, and expects that they will be.
    ///
    /// A request whose only crash may still be cleared by its next attempt is left out, and so is
    /// for a short time a part with only one.
    pub fn take_row_changes(&mut self, now: Moment) -> CrashRowChanges {
        let mut waiting = Vec::new();
        for (subject, record) in &self.records {
            let is_shared = match subject {
                CrashSubject::Request(_) => {
                    let strikes = record.own_possible_strikes(now, self.quarantine);
                    record.is_settled || strikes >= STRIKE_LIMIT
                }
                CrashSubject::Part(_) => record.is_part_shared(now),
            };
            if is_shared {
                let events = record.events.iter();
                let events = events.filter(|event| event.needs_row(*subject, now));
                let row = |event: &CrashEvent| (event.key(*subject), event.to_row(now));
                waiting.extend(events.map(|event| (Reverse(record.events.len()), row(event))));
            }
        }
        waiting.sort_unstable_by_key(|(events, (key, _))| (*events, *key));
        let mut puts: Vec<(CrashKey, CrashRow)> = Vec::new();
        let mut rewrites: BTreeMap<CrashKey, CrashRow> = BTreeMap::new();
        for (_, (key, row)) in waiting {
            let earlier = self.known_crashes(now, key.subject);
            let added = earlier.iter().filter(|it| !rewrites.contains_key(&it.0));
            if puts.len() + rewrites.len() + added.count() >= MAX_ROWS_PER_CHANGE {
                break;
            }
            puts.push((key, row));
            rewrites.extend(earlier);
        }
        puts.sort_unstable_by_key(|(key, _)| *key);
        for (key, row) in &puts {
            if let Some(event) = self.find_event(*key) {
                event.row = event.wanted_row();
            }
            if self.is_reported(key.subject) {
                self.record(CrashDecision::Shared {
                    subject: key.subject,
                    group: key.group,
                    epoch: key.epoch,
                    confirmed: row.confirmed,
                });
            }
        }
        puts.extend(rewrites);
        puts.sort_unstable_by_key(|(key, _)| *key);
        let deletes = self.obsolete_rows.take_due(now, MAX_ROWS_PER_CHANGE);
        CrashRowChanges { puts, deletes }
    }

    /// Returns the rows of a request's confirmed crashes that the store holds already, with their
    /// ages at `now`.
    ///
    /// Suspicions are left out: another node may have confirmed one since, and the row would undo
    /// that. So are the crashes of parts, which count as separate if they were listed at a start.
    fn known_crashes(&self, now: Moment, subject: CrashSubject) -> Vec<(CrashKey, CrashRow)> {
        let record = self.records.get(&subject).filter(|record| {
            matches!(subject, CrashSubject::Request(_)) && record.strikes(now, self.quarantine) > 0
        });
        let events = record.into_iter().flat_map(|record| &record.events);
        let known = events.filter(|event| event.is_confirmed && !event.needs_row(subject, now));
        known
            .map(|event| (event.key(subject), event.to_row(now)))
            .collect()
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

    /// Applies rows of the store: all of them, or those that have changed. Returns an error for each
    /// row whose value can't be decoded.
    ///
    /// A crash whose row is not among restored ones still counts: the store lost the row, and the
    /// node that saw the crash writes it again.
    ///
    /// Such a row is no deleted one: a crash that is known under its key still counts, and the row
    /// stays in the store.
    pub fn apply_page(
        &mut self,
        now: Moment,
        rows: &[VersionedRow],
        kind: PageKind,
    ) -> Vec<String> {
        let mut errors = Vec::new();
        let present = rows.iter().filter(|row| row.value.is_some());
        let listed = present.filter_map(|row| CrashKey::parse(row.key.name()));
        match kind {
            PageKind::Changes => {}
            PageKind::All => self.retain_rows(&listed.collect()),
            PageKind::Restored => self.record_lost_rows(&listed.collect()),
        }
        for row in rows {
            let Some(key) = CrashKey::parse(row.key.name()) else {
                continue;
            };
            match row.value.as_deref().map(CrashRow::decode) {
                Some(Some(row)) => self.apply(now, key, row, kind != PageKind::Changes),
                Some(None) => errors.push(format!("row \"{}\"", row.key)),
                None => self.remove_row(key),
            }
        }
        errors
    }

    /// Applies a row of the store.
    pub fn apply_row(&mut self, now: Moment, key: CrashKey, row: CrashRow) {
        self.apply(now, key, row, false);
    }

    fn apply(&mut self, now: Moment, key: CrashKey, row: CrashRow, is_listed: bool) {
        let CrashKey {
            subject,
            group,
            epoch,
        } = key;
        if self.is_excused(group, epoch) {
            // All nodes that know of the excuse may delete the row, so each waits for its turn.
            self.obsolete_rows.defer(now, key);
            return;
        }
        let record = self.record_of(now, subject);
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
            is_listed,
            row: RowState::Suspicion,
        });
        let Some(event) = record.find(group, epoch) else {
            return;
        };
        event.row = event.row.max(row.state());
        let is_confirmed = row.confirmed && record.apply_confirmation(now, group, epoch);
        let may_be_blamed = record.may_be_blamed();
        self.blame.is_outdated |= matches!(subject, CrashSubject::Part(_)) && may_be_blamed;
        if (is_new || is_confirmed) && self.is_reported(subject) {
            self.record(CrashDecision::Reported {
                subject,
                group,
                epoch,
                confirmed: row.confirmed,
            });
        }
    }

    /// Applies the deletion of a row: another node cleared the request, or the row is too old.
    pub fn remove_row(&mut self, key: CrashKey) {
        self.obsolete_rows.remove(&key);
        let Some(record) = self.records.get_mut(&key.subject) else {
            return;
        };
        let may_be_blamed = record.may_be_blamed();
        record
            .events
            .retain(|event| event.row == RowState::Absent || event.key(key.subject) != key);
        self.blame.is_outdated |= matches!(key.subject, CrashSubject::Part(_)) && may_be_blamed;
    }

    /// Applies the complete list of rows.
    pub fn apply_all_rows(&mut self, now: Moment, rows: &[(CrashKey, CrashRow)]) {
        self.retain_rows(&rows.iter().map(|(key, _)| *key).collect());
        for (key, row) in rows {
            self.apply(now, *key, *row, true);
        }
    }

    /// Drops the crashes whose rows are no longer listed.
    fn retain_rows(&mut self, listed: &BTreeSet<CrashKey>) {
        for (subject, record) in &mut self.records {
            record.events.retain(|event| {
                event.row == RowState::Absent || listed.contains(&event.key(*subject))
            });
        }
        self.blame.is_outdated = true;
    }

    /// Records that the store has lost the rows that are not listed.
    fn record_lost_rows(&mut self, listed: &BTreeSet<CrashKey>) {
        for (subject, record) in &mut self.records {
            let events = record.events.iter_mut();
            for event in events.filter(|event| !listed.contains(&event.key(*subject))) {
                event.row = RowState::Absent;
            }
        }
    }

    /// Drops crashes and suspicions that are too old to count. If `deletes_rows` is set, their rows
    /// are deleted from the store too.
    pub fn expire_events(&mut self, now: Moment, deletes_rows: bool) {
        let mut obsolete = Vec::new();
        for (subject, record) in &mut self.records {
            let expired = match subject {
                CrashSubject::Request(_) => record.expire(now, self.quarantine),
                CrashSubject::Part(part) => {
                    let is_blamed = self.blame.contains(*part);
                    let may_be_blamed = record.may_be_blamed();
                    let expired = record.expire_part(now, self.quarantine, is_blamed);
                    self.blame.is_outdated |= may_be_blamed && !expired.is_empty();
                    expired
                }
            };
            obsolete.extend(rows_of(*subject, &expired));
        }
        if deletes_rows {
            self.obsolete_rows.extend(obsolete);
        }
        let quarantine = self.quarantine;
        self.records.retain(|subject, record| match subject {
            CrashSubject::Request(_) => !record.is_empty(now, quarantine),
            CrashSubject::Part(_) => !record.events.is_empty(),
        });
        self.blame.expire(now);
        self.decide_blame(now);
    }

    /// Marks the rows of these events as obsolete.
    pub(crate) fn delete_rows(&mut self, subject: CrashSubject, events: &[CrashEvent]) {
        self.obsolete_rows.extend(rows_of(subject, events));
    }

    /// Marks the rows of these events as obsolete: own ones at once, and those of other nodes
    /// unless another node deletes them soon.
    pub(crate) fn delete_rows_in_turn(
        &mut self,
        now: Moment,
        subject: CrashSubject,
        events: &[CrashEvent],
    ) {
        let (own, others): (Vec<CrashEvent>, Vec<CrashEvent>) =
            events.iter().partition(|event| event.is_own);
        self.delete_rows(subject, &own);
        for row in rows_of(subject, &others) {
            self.obsolete_rows.defer(now, row);
        }
    }

    /// Returns whether the log reports the sharing of a subject's crashes: any request, but only
    /// parts with several.
    fn is_reported(&self, subject: CrashSubject) -> bool {
        let count = self.records.get(&subject).map_or(0, |it| it.events.len());
        matches!(subject, CrashSubject::Request(_)) || count > 1
    }

    fn find_event(&mut self, key: CrashKey) -> Option<&mut CrashEvent> {
        let record = self.records.get_mut(&key.subject)?;
        record.find(key.group, key.epoch)
    }
}

impl CrashRecord {
    /// Returns whether the crashes of a part are shared: once this node saw two of them, or the
    /// only one has not been cleared for some time.
    fn is_part_shared(&self, now: Moment) -> bool {
        let own = self.events.iter().filter(|it| it.is_own && it.is_confirmed);
        let is_old = |event: &CrashEvent| now.since(event.period.until) >= PART_SHARE_DELAY;
        own.clone().count() > 1 || own.clone().any(is_old)
    }
}

impl CrashEvent {
    fn key(&self, subject: CrashSubject) -> CrashKey {
        CrashKey {
            subject,
            group: self.group,
            epoch: self.epoch,
        }
    }

    /// Returns whether this node should write more of its event to the store than it did.
    ///
    /// Without a confirmation, only a broken attempt is worth a row, and nothing of a part.
    fn needs_row(&self, subject: CrashSubject, now: Moment) -> bool {
        let is_suspicion = matches!(subject, CrashSubject::Request(_)) && self.is_broken(now);
        let is_evidence = self.is_confirmed || is_suspicion;
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
fn rows_of(subject: CrashSubject, events: &[CrashEvent]) -> Vec<CrashKey> {
    let stored = events.iter().filter(|event| event.row != RowState::Absent);
    stored.map(|event| event.key(subject)).collect()
}
