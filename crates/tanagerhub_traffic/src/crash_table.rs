//! Detection of requests that crash the backend servers that run them.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{Epoch, GroupId, IdHex};
use tanagerhub_clock::Moment;

use crate::CrashDecision;

/// Number of crashes after which a request is refused.
const STRIKE_LIMIT: u32 = 2;
/// Maximum time from a broken attempt to the confirmation that the group crashed.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(15);
/// Period within which broken attempts may have a common cause.
const MASS_FAILURE_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of groups that one crashing request affects within [`MASS_FAILURE_WINDOW`]; if
/// more groups fail, the cause lies elsewhere.
const MASS_FAILURE_GROUP_LIMIT: usize = 3;
/// Maximum number of broken attempts kept to detect mass failures.
const MAX_BROKEN_ATTEMPTS: usize = 256;
/// Maximum number of fingerprints in the table.
const MAX_FINGERPRINTS: usize = 4_096;
/// Maximum number of decisions held until the control thread takes them.
const MAX_DECISIONS: usize = 1_024;

/// Counts crashes by the fingerprint of the requests that ran.
///
/// An attempt that breaks adds a suspicion to its request. When control confirms that the group
/// crashed, the suspicion becomes a strike. Dispatch never places two suspected requests on one
/// group, so a second crash is attributed to a single request. A complete response clears the
/// request. When many groups fail at once, the cause lies elsewhere, and the recent suspicions are
/// dropped.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerhub_catalogue::{Epoch, GroupId};
/// use tanagerhub_clock::Moment;
/// use tanagerhub_traffic::CrashTable;
///
/// let mut table = CrashTable::new(Duration::from_secs(600));
/// let now = Moment::from_millis(1);
/// for group in [GroupId(1), GroupId(2)] {
///     table.suspect(now, 7, group, Epoch(1));
///     table.confirm(now, group, Epoch(1));
/// }
/// assert!(table.refused_for(now, 7).is_some());
/// ```
#[derive(Debug)]
pub struct CrashTable {
    quarantine: Duration,
    records: HashMap<u64, CrashRecord>,
    /// Time and group of recent broken attempts, oldest first.
    broken_attempts: VecDeque<(Moment, GroupId)>,
    decisions: Vec<CrashDecision>,
}

#[derive(Debug, Default)]
struct CrashRecord {
    strikes: u32,
    last_strike: Moment,
    pending: Vec<Suspicion>,
}

/// A broken attempt that control has not yet confirmed as a crash of the group.
#[derive(Debug)]
struct Suspicion {
    group: GroupId,
    epoch: Epoch,
    since: Moment,
}

/// The strikes of a crashing request, as nodes send them to each other.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFact {
    /// Fingerprint of the request.
    #[serde_as(as = "IdHex")]
    pub fingerprint: u64,
    /// Confirmed crashes of groups that ran the request.
    pub strikes: u32,
    /// Time since the last strike.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
}

impl CrashTable {
    /// Creates an empty table; `quarantine` is the time from the last strike for which a crashing
    /// request is refused.
    #[must_use]
    pub fn new(quarantine: Duration) -> Self {
        Self {
            quarantine,
            records: HashMap::new(),
            broken_attempts: VecDeque::new(),
            decisions: Vec::new(),
        }
    }

    /// Records that an attempt broke while the group ran the request.
    pub fn suspect(&mut self, now: Moment, fingerprint: u64, group: GroupId, epoch: Epoch) {
        self.record_broken_attempt(now, group);
        if self.is_mass_failure() {
            let suspicions = 1 + self.drop_suspicions_since(now.before(MASS_FAILURE_WINDOW));
            let groups = self.recently_broken_groups();
            self.record(CrashDecision::Dropped { groups, suspicions });
            return;
        }
        self.record(CrashDecision::Suspected {
            fingerprint,
            group,
            epoch,
        });
        self.ensure_capacity(now, fingerprint);
        let record = self.records.entry(fingerprint).or_default();
        if record.pending.len() < STRIKE_LIMIT as usize {
            record.pending.push(Suspicion {
                group,
                epoch,
                since: now,
            });
        }
    }

    /// Handles the confirmation that a group crashed: requests with a recent suspicion for it get a
    /// strike.
    pub fn confirm(&mut self, now: Moment, group: GroupId, epoch: Epoch) {
        let mut struck = Vec::new();
        for (fingerprint, record) in &mut self.records {
            if record.confirm(now, group, epoch) {
                struck.push(CrashDecision::Struck {
                    fingerprint: *fingerprint,
                    group,
                    epoch,
                    strikes: record.strikes,
                });
            }
        }
        for decision in struck {
            self.record(decision);
        }
    }

    /// Clears a request that a group has run without a crash.
    pub fn record_success(&mut self, fingerprint: u64) {
        if let Some(record) = self.records.remove(&fingerprint) {
            let strikes = record.strikes;
            self.record(CrashDecision::Cleared {
                fingerprint,
                strikes,
            });
        }
    }

    /// Records that a request was refused because of its crashes.
    pub(crate) fn record_refusal(&mut self, fingerprint: u64) {
        let record = self.records.get(&fingerprint);
        let strikes = record.map_or(0, |record| record.strikes);
        self.record(CrashDecision::Refused {
            fingerprint,
            strikes,
        });
    }

    /// Returns the decisions since the last call, and clears them.
    pub fn take_decisions(&mut self) -> Vec<CrashDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the time for which the request is still refused, or `None` if it is accepted.
    ///
    /// Pending suspicions count until they are confirmed or their confirmation times out.
    #[must_use]
    pub fn refused_for(&self, now: Moment, fingerprint: u64) -> Option<Duration> {
        self.records
            .get(&fingerprint)?
            .refused_for(now, self.quarantine)
    }

    /// Returns whether the request has an active strike or a pending suspicion.
    #[must_use]
    pub fn is_suspect(&self, now: Moment, fingerprint: u64) -> bool {
        self.records
            .get(&fingerprint)
            .is_some_and(|record| record.count(now, self.quarantine) > 0)
    }

    /// Returns the active strikes to send to other nodes: newest first, at most `limit` facts.
    #[must_use]
    pub fn facts(&self, now: Moment, limit: usize) -> Vec<CrashFact> {
        let mut facts: Vec<CrashFact> = self
            .records
            .iter()
            .filter(|(_, record)| record.active_strikes(now, self.quarantine) > 0)
            .map(|(fingerprint, record)| CrashFact {
                fingerprint: *fingerprint,
                strikes: record.strikes,
                age: now.since(record.last_strike),
            })
            .collect();
        facts.sort_unstable_by_key(|fact| (fact.age, fact.fingerprint));
        facts.truncate(limit);
        facts
    }

    /// Applies a fact from another node; the higher strike count and the later time are kept.
    ///
    /// A fact that is at least as old as the quarantine is ignored.
    pub fn apply_fact(&mut self, now: Moment, fact: CrashFact) {
        if fact.age >= self.quarantine {
            return;
        }
        self.ensure_capacity(now, fact.fingerprint);
        let record = self.records.entry(fact.fingerprint).or_default();
        record.strikes = record.strikes.max(fact.strikes);
        record.last_strike = record.last_strike.max(now.before(fact.age));
    }

    /// Clears a request on an operator's command; returns whether it was in the table.
    pub fn clear(&mut self, fingerprint: u64) -> bool {
        self.records.remove(&fingerprint).is_some()
    }

    /// Removes requests without an active strike or pending suspicion.
    pub fn expire(&mut self, now: Moment) {
        let quarantine = self.quarantine;
        self.records
            .retain(|_, record| record.count(now, quarantine) > 0);
    }

    /// Returns the number of fingerprints in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table has no fingerprints.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn record_broken_attempt(&mut self, now: Moment, group: GroupId) {
        let old = |(at, _): &(Moment, GroupId)| now.since(*at) > MASS_FAILURE_WINDOW;
        while self.broken_attempts.len() >= MAX_BROKEN_ATTEMPTS
            || self.broken_attempts.front().is_some_and(old)
        {
            self.broken_attempts.pop_front();
        }
        self.broken_attempts.push_back((now, group));
    }

    fn is_mass_failure(&self) -> bool {
        self.recently_broken_groups() > MASS_FAILURE_GROUP_LIMIT
    }

    /// Returns the number of groups at which an attempt broke recently.
    fn recently_broken_groups(&self) -> usize {
        let groups: HashSet<GroupId> = self
            .broken_attempts
            .iter()
            .map(|(_, group)| *group)
            .collect();
        groups.len()
    }

    /// Drops the suspicions recorded at or after `since`, and returns their number.
    fn drop_suspicions_since(&mut self, since: Moment) -> usize {
        let mut dropped = 0;
        for record in self.records.values_mut() {
            let before = record.pending.len();
            record.pending.retain(|it| it.since < since);
            dropped += before - record.pending.len();
        }
        self.records
            .retain(|_, record| record.strikes > 0 || !record.pending.is_empty());
        dropped
    }

    /// Records a decision. When the limit is reached, the older half is dropped.
    fn record(&mut self, decision: CrashDecision) {
        if self.decisions.len() >= MAX_DECISIONS {
            self.decisions.drain(..MAX_DECISIONS / 2);
        }
        self.decisions.push(decision);
    }

    /// Makes room for a new fingerprint; evicts the one with the fewest strikes, and among equals
    /// the one with the oldest strike.
    fn ensure_capacity(&mut self, now: Moment, fingerprint: u64) {
        if self.records.len() < MAX_FINGERPRINTS || self.records.contains_key(&fingerprint) {
            return;
        }
        self.expire(now);
        if self.records.len() < MAX_FINGERPRINTS {
            return;
        }
        let evicted = self
            .records
            .iter()
            .min_by_key(|(id, record)| (record.strikes, record.last_strike, **id))
            .map(|(id, _)| *id);
        if let Some(evicted) = evicted {
            self.records.remove(&evicted);
        }
    }
}

impl CrashRecord {
    /// Turns the suspicions of a group into a strike; returns whether there is a new strike.
    fn confirm(&mut self, now: Moment, group: GroupId, epoch: Epoch) -> bool {
        let matches_group = |it: &Suspicion| it.group == group && it.epoch == epoch;
        let is_active = |it: &Suspicion| now.since(it.since) < CONFIRMATION_TIMEOUT;
        let is_struck = self
            .pending
            .iter()
            .any(|it| matches_group(it) && is_active(it));
        if is_struck {
            self.strikes += 1;
            self.last_strike = now;
        }
        self.pending
            .retain(|it| !matches_group(it) && is_active(it));
        is_struck
    }

    fn active_strikes(&self, now: Moment, quarantine: Duration) -> u32 {
        if now.since(self.last_strike) < quarantine {
            self.strikes
        } else {
            0
        }
    }

    fn pending(&self, now: Moment) -> u32 {
        let is_active = |it: &&Suspicion| now.since(it.since) < CONFIRMATION_TIMEOUT;
        u32::try_from(self.pending.iter().filter(is_active).count()).unwrap_or(u32::MAX)
    }

    fn count(&self, now: Moment, quarantine: Duration) -> u32 {
        self.active_strikes(now, quarantine) + self.pending(now)
    }

    fn refused_for(&self, now: Moment, quarantine: Duration) -> Option<Duration> {
        if self.active_strikes(now, quarantine) >= STRIKE_LIMIT {
            return Some(quarantine.saturating_sub(now.since(self.last_strike)));
        }
        if self.count(now, quarantine) < STRIKE_LIMIT {
            return None;
        }
        let newest = self.pending.iter().map(|it| it.since).max()?;
        Some(CONFIRMATION_TIMEOUT.saturating_sub(now.since(newest)))
    }
}
