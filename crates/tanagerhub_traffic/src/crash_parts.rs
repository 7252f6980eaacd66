//! Counts crashes by the parts that prompts have in common.

use std::collections::HashMap;
use std::time::Duration;

use tanagerhub_clock::Moment;

use crate::crash_blame::{Candidate, Incarnation, SETTLE_TIME, Standing, blamed_parts};
use crate::crash_record::{AttemptPeriod, CrashRecord, Evidence};
use crate::{CrashDecision, CrashSubject, CrashTable, FailedAttempt};

/// Interval at which blame is decided again while crashes settle.
const BLAME_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a part is trusted after a run without a crash.
const TRUST_TIME: Duration = Duration::from_mins(10);
/// Maximum number of trusted parts.
const MAX_TRUSTED: usize = 16_384;

/// The parts that are to blame, as decided last.
#[derive(Debug, Default)]
pub(crate) struct Blame {
    /// The number of crashes that each part explains.
    blamed: HashMap<u64, usize>,
    /// Whether crashes of parts have changed since.
    pub(crate) is_outdated: bool,
    /// When it must be decided again because crashes settle.
    decide_at: Option<Moment>,
    /// When this node last saw a complete response to a request with a part.
    trusted: HashMap<u64, Moment>,
}

impl Blame {
    pub(crate) fn contains(&self, part: u64) -> bool {
        self.blamed.contains_key(&part)
    }

    /// Drops the trust in parts without a complete response for long.
    pub(crate) fn expire(&mut self, now: Moment) {
        self.trusted.retain(|_, seen| now.since(*seen) < TRUST_TIME);
    }

    fn trust(&mut self, now: Moment, part: u64) {
        if self.trusted.len() < MAX_TRUSTED || self.trusted.contains_key(&part) {
            self.trusted.insert(part, now);
        }
    }

    fn standing(&self, part: u64, record: &CrashRecord) -> Standing {
        let trusted = self.trusted.get(&part);
        let confirmed = record.events.iter().filter(|event| event.is_confirmed);
        let first_crash = confirmed.map(|event| event.period.until).min();
        Standing {
            is_trusted: trusted.is_some(),
            is_running: trusted.copied() > first_crash,
            is_blamed: self.contains(part),
        }
    }

    fn is_due(&self, now: Moment) -> bool {
        self.is_outdated || self.decide_at.is_some_and(|at| now >= at)
    }
}

impl CrashTable {
    /// Records an attempt that ended without a complete response, also for the parts of its prompt.
    pub fn suspect_parts(&mut self, now: Moment, attempt: FailedAttempt, parts: &[u64]) {
        if self.suspect_attempt(now, attempt) {
            let from = match attempt.evidence {
                Evidence::Broken => now,
                Evidence::Unanswered | Evidence::Interrupted => attempt.started,
            };
            let period = AttemptPeriod { from, until: now };
            for (depth, part) in parts.iter().enumerate() {
                let record = self.record_of(now, CrashSubject::Part(*part));
                record.depth = record.depth.max(depth);
                record.suspect_in(period, &attempt);
            }
            self.confirm_known_loss(now, &attempt);
        }
        self.decide_blame(now);
    }

    /// Clears the parts of a request that a group has run without a crash of those crashes that
    /// came before the attempt.
    pub fn record_part_success(&mut self, now: Moment, parts: &[u64], started: Moment) {
        for part in parts {
            self.blame.trust(now, *part);
            let subject = CrashSubject::Part(*part);
            let Some(record) = self.records.get_mut(&subject) else {
                continue;
            };
            let may_be_blamed = record.may_be_blamed();
            let is_blamed = self.blame.contains(*part);
            let cleared = record.clear_before(started);
            if cleared.is_empty() {
                continue;
            }
            if record.events.is_empty() {
                self.records.remove(&subject);
            }
            self.blame.is_outdated |= may_be_blamed;
            if is_blamed {
                self.delete_rows(subject, &cleared);
            } else {
                self.delete_rows_in_turn(now, subject, &cleared);
            }
        }
        self.decide_blame(now);
    }

    /// Returns the time for which requests with one of these parts are still refused, or `None` if
    /// none of them is to blame for crashes. It applies the crashes known at the last change of the
    /// table by this node.
    #[must_use]
    pub fn parts_refused_for(&self, now: Moment, parts: &[u64]) -> Option<Duration> {
        let blamed = parts.iter().find(|part| self.blame.contains(**part))?;
        let record = self.records.get(&CrashSubject::Part(*blamed))?;
        let left = self.quarantine.saturating_sub(record.age(now));
        (!left.is_zero()).then_some(left)
    }

    /// Returns the same after all crashes known now, and learns the depth of the parts.
    pub fn refuse_parts(&mut self, now: Moment, parts: &[u64]) -> Option<Duration> {
        for (depth, part) in parts.iter().enumerate() {
            let record = self.records.get_mut(&CrashSubject::Part(*part));
            if let Some(record) = record.filter(|record| record.depth < depth) {
                record.depth = depth;
                self.blame.is_outdated |= record.may_be_blamed();
            }
        }
        self.decide_blame(now);
        let wait = self.parts_refused_for(now, parts)?;
        self.record_part_refusal(parts);
        Some(wait)
    }

    /// Records that a request was refused because of one of these parts.
    pub(crate) fn record_part_refusal(&mut self, parts: &[u64]) {
        let strikes = |part: &u64| Some((*part, *self.blame.blamed.get(part)?));
        if let Some((part, strikes)) = parts.iter().find_map(strikes) {
            self.record(CrashDecision::Refused {
                subject: CrashSubject::Part(part),
                strikes: u32::try_from(strikes).unwrap_or(u32::MAX),
            });
        }
    }

    /// Decides which parts are to blame, if crashes have changed or settled.
    pub(crate) fn decide_blame(&mut self, now: Moment) {
        if !self.blame.is_due(now) {
            return;
        }
        self.correct_times();
        let candidate = |(subject, record): (&CrashSubject, &CrashRecord)| match subject {
            CrashSubject::Part(part) => {
                let standing = self.blame.standing(*part, record);
                Candidate::new(*part, record, standing)
            }
            CrashSubject::Request(_) => None,
        };
        let candidates: Vec<Candidate> = self.records.iter().filter_map(candidate).collect();
        let blamed = blamed_parts(now, &candidates);
        let is_settling = candidates.iter().any(|it| it.has_newer(now, SETTLE_TIME));
        self.blame.decide_at = is_settling.then_some(now + BLAME_INTERVAL);
        self.blame.is_outdated = false;
        let before = std::mem::replace(&mut self.blame.blamed, blamed);
        self.record_blame_changes(&before);
    }

    /// Corrects the times of crashes that this node knows from rows but saw under other parts too.
    fn correct_times(&mut self) {
        let mut seen: HashMap<Incarnation, AttemptPeriod> = HashMap::new();
        let is_part = |subject: &CrashSubject| matches!(subject, CrashSubject::Part(_));
        let parts = self.records.iter().filter(|(subject, _)| is_part(subject));
        let events = parts.flat_map(|(_, record)| &record.events);
        for event in events.filter(|event| event.is_own) {
            let first = seen.entry((event.group, event.epoch));
            let first = first.or_insert(event.period);
            if event.period.until < first.until {
                *first = event.period;
            }
        }
        let parts = self.records.iter_mut();
        let parts = parts.filter(|(subject, _)| is_part(subject));
        for event in parts.flat_map(|(_, record)| &mut record.events) {
            if let Some(period) = seen
                .get(&(event.group, event.epoch))
                .filter(|_| !event.is_own)
            {
                event.period = *period;
                event.is_listed = false;
            }
        }
    }

    fn record_blame_changes(&mut self, before: &HashMap<u64, usize>) {
        let now_blamed = self.blame.blamed.iter();
        let blamed = now_blamed
            .filter(|(part, _)| !before.contains_key(part))
            .map(|(part, strikes)| CrashDecision::Blamed {
                subject: CrashSubject::Part(*part),
                strikes: u32::try_from(*strikes).unwrap_or(u32::MAX),
            });
        let absolved = before
            .keys()
            .filter(|part| !self.blame.contains(**part))
            .map(|part| CrashDecision::Absolved {
                subject: CrashSubject::Part(*part),
            });
        let changes: Vec<CrashDecision> = blamed.chain(absolved).collect();
        for change in changes {
            self.record(change);
        }
    }
}
