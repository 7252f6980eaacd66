//! Detection of requests and parts of prompts that crash the backend servers that run them.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{Epoch, GroupId, IdHex};
use tanagerhub_clock::Moment;

use crate::crash_parts::Blame;
use crate::crash_record::{CONFIRMATION_TIMEOUT, CrashEvent, CrashRecord, Evidence};
use crate::obsolete_rows::ObsoleteRows;
use crate::{CrashDecision, CrashSubject};

/// Number of strikes after which a request is refused. Suspicions of this node count too.
pub(crate) const STRIKE_LIMIT: u32 = 2;
/// Number of strikes after which a request is refused if suspicions of other nodes are among them.
const SUSPICION_LIMIT: u32 = 3;
/// Period within which broken attempts may have a common cause.
const MASS_FAILURE_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of groups that one crashing request affects within [`MASS_FAILURE_WINDOW`]; if
/// more groups fail, suspicions need a confirmation.
const MASS_FAILURE_GROUP_LIMIT: usize = 3;
/// Maximum number of broken attempts kept to detect mass failures.
const MAX_BROKEN_ATTEMPTS: usize = 256;
/// Time for which a group that broke an attempt counts as down, unless it responds.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Maximum number of fingerprints, and of parts, in the table.
const MAX_SUBJECTS: usize = 4_096;
/// Number of fingerprints or parts that are evicted at once when there are too many.
const EVICTION_COUNT: usize = 64;
/// Maximum number of decisions held until the control thread takes them.
const MAX_DECISIONS: usize = 1_024;

/// Counts crashes by the fingerprint of the requests that ran, and by the parts of their prompts.
///
/// An attempt that breaks adds a suspicion to its request if it was running when its group first
/// failed; so does one without a response. When control confirms that the group crashed, the
/// suspicion becomes a strike; without a response only the loss of a member confirms it. Crashes
/// under attempts that overlap count as one strike. Dispatch never places two suspected requests on
/// one group, so a second crash is attributed to a single request. A complete response clears the
/// request. While many groups fail at once, suspicions have no effect until they are confirmed.
///
/// No two requests with a crashing part need be alike. So each failed attempt also counts for the
/// parts of its prompt. A part is to blame once it explains enough confirmed crashes, one after the
/// other, that no other part explains better; a later attempt that runs completely clears it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerhub_catalogue::{Epoch, GroupId};
/// use tanagerhub_clock::Moment;
/// use tanagerhub_traffic::{CrashTable, Evidence, FailedAttempt};
///
/// let mut table = CrashTable::new(Duration::from_secs(600));
/// for second in [1, 2] {
///     let started = Moment::from_millis(second * 1_000);
///     let (group, epoch) = (GroupId(second), Epoch(1));
///     let now = started + Duration::from_millis(100);
///     let evidence = Evidence::Broken;
///     table.suspect(now, FailedAttempt { fingerprint: 7, group, epoch, started, evidence });
///     table.confirm(now, group, epoch);
/// }
/// assert!(table.refused_for(Moment::from_millis(2_200), 7).is_some());
/// ```
#[derive(Debug)]
pub struct CrashTable {
    pub(crate) quarantine: Duration,
    pub(crate) records: HashMap<CrashSubject, CrashRecord>,
    pub(crate) blame: Blame,
    /// Time and group of recent broken attempts, oldest first.
    broken_attempts: VecDeque<(Moment, GroupId)>,
    /// Since when groups have been down: the first broken attempt since their last response.
    down_since: HashMap<(GroupId, Epoch), Moment>,
    /// When groups were found to have lost a member.
    lost_at: HashMap<(GroupId, Epoch), Moment>,
    /// When groups failed while they held more tokens than their memory.
    excused: HashMap<(GroupId, Epoch), Moment>,
    /// Rows of the store that are no longer needed.
    pub(crate) obsolete_rows: ObsoleteRows,
    decisions: Vec<CrashDecision>,
}

/// An attempt that ended without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// The group that ran the attempt.
    pub group: GroupId,
    /// The group's epoch.
    pub epoch: Epoch,
    /// When the attempt was started.
    pub started: Moment,
    /// How the attempt ended.
    pub evidence: Evidence,
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
            blame: Blame::default(),
            broken_attempts: VecDeque::new(),
            down_since: HashMap::new(),
            lost_at: HashMap::new(),
            excused: HashMap::new(),
            obsolete_rows: ObsoleteRows::new(0),
            decisions: Vec::new(),
        }
    }

    /// Sets the seed by which this node's deletions of rows differ in time from those of others.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.obsolete_rows = ObsoleteRows::new(seed);
        self
    }

    /// Sets the number of live nodes, which may all delete the same rows.
    pub const fn set_nodes(&mut self, nodes: u32) {
        self.obsolete_rows.set_nodes(nodes);
    }

    /// Records that an attempt ended without a complete response while the group ran the request.
    pub fn suspect(&mut self, now: Moment, attempt: FailedAttempt) {
        self.suspect_parts(now, attempt, &[]);
    }

    /// Records a failed attempt for its request; returns whether it is evidence of a crash.
    pub(crate) fn suspect_attempt(&mut self, now: Moment, attempt: FailedAttempt) -> bool {
        let FailedAttempt {
            fingerprint,
            group,
            epoch,
            started,
            evidence,
        } = attempt;
        self.down_since
            .retain(|_, since| now.since(*since) < DOWN_TIME);
        self.lost_at
            .retain(|_, at| now.since(*at) < CONFIRMATION_TIMEOUT);
        if evidence == Evidence::Broken {
            self.record_broken_attempt(now, group, epoch);
        }
        let lost_at = self.lost_at.get(&(group, epoch)).copied();
        let failed_at = self.down_since.get(&(group, epoch)).copied().or(lost_at);
        // An attempt that started after the group had failed can't be the cause.
        let is_late = failed_at.is_some_and(|at| started > at);
        if is_late || (evidence == Evidence::Interrupted && lost_at.is_none()) {
            return false;
        }
        let subject = CrashSubject::Request(fingerprint);
        let is_new = self.record_of(now, subject).suspect(now, &attempt);
        if is_new && evidence == Evidence::Broken {
            self.record(CrashDecision::Suspected {
                subject,
                group,
                epoch,
            });
        }
        self.confirm_known_loss(now, &attempt);
        true
    }

    /// Handles the failure of a group that held more tokens than its memory: no request or part is
    /// to blame, also where a node that saw less of the load has written a row.
    pub(crate) fn excuse(&mut self, now: Moment, group: GroupId, epoch: Epoch, evidence: Evidence) {
        if evidence == Evidence::Broken {
            self.record_broken_attempt(now, group, epoch);
        }
        self.excused
            .retain(|_, at| now.since(*at) < CONFIRMATION_TIMEOUT);
        if self.excused.insert((group, epoch), now).is_some() {
            return;
        }
        let is_excused =
            |event: &CrashEvent| !event.is_own && event.group == group && event.epoch == epoch;
        let mut removed = Vec::new();
        for (subject, record) in &mut self.records {
            let events = record.remove(is_excused);
            if !events.is_empty() {
                removed.push((*subject, events));
            }
        }
        for (subject, events) in removed {
            self.delete_rows_in_turn(now, subject, &events);
        }
        self.blame.is_outdated = true;
        self.record(CrashDecision::Excused { group, epoch });
        self.decide_blame(now);
    }

    /// Returns whether a group failed recently while it held more tokens than its memory.
    pub(crate) fn is_excused(&self, group: GroupId, epoch: Epoch) -> bool {
        self.excused.contains_key(&(group, epoch))
    }

    /// Confirms the crashes of a failed attempt whose group is known to have lost a member.
    pub(crate) fn confirm_known_loss(&mut self, now: Moment, attempt: &FailedAttempt) {
        let (group, epoch) = (attempt.group, attempt.epoch);
        if self.lost_at.contains_key(&(group, epoch)) {
            self.confirm_up_to(now, group, epoch, Evidence::Interrupted);
        }
    }

    /// Handles the withdrawal of a group: requests whose attempts broke there recently get a
    /// strike.
    pub fn confirm(&mut self, now: Moment, group: GroupId, epoch: Epoch) {
        self.confirm_up_to(now, group, epoch, Evidence::Broken);
    }

    /// Handles the loss of a member of a group: requests that recently got no response there get a
    /// strike.
    pub fn record_loss(&mut self, now: Moment, group: GroupId, epoch: Epoch) {
        self.lost_at.entry((group, epoch)).or_insert(now);
        self.confirm_up_to(now, group, epoch, Evidence::Interrupted);
    }

    fn confirm_up_to(&mut self, now: Moment, group: GroupId, epoch: Epoch, weakest: Evidence) {
        let mut struck = Vec::new();
        for (subject, record) in &mut self.records {
            if !record.confirm(now, group, epoch, weakest) {
                continue;
            }
            let is_part = matches!(subject, CrashSubject::Part(_));
            self.blame.is_outdated |= is_part && record.may_be_blamed();
            let strikes = record.strikes(now, self.quarantine);
            if !is_part || strikes > 1 {
                struck.push(CrashDecision::Struck {
                    subject: *subject,
                    group,
                    epoch,
                    strikes,
                });
            }
        }
        for decision in struck {
            self.record(decision);
        }
        self.decide_blame(now);
    }

    /// Records that a group began a response, so that it is up.
    pub(crate) fn record_response(&mut self, group: GroupId, epoch: Epoch) {
        self.down_since.remove(&(group, epoch));
        self.lost_at.remove(&(group, epoch));
    }

    /// Clears a request that a group has run without a crash.
    pub fn record_success(&mut self, now: Moment, fingerprint: u64) {
        let subject = CrashSubject::Request(fingerprint);
        if let Some(record) = self.records.remove(&subject) {
            self.delete_rows(subject, &record.events);
            let strikes = record.strikes(now, self.quarantine);
            if record.possible_strikes(now, self.quarantine) > 0 {
                self.record(CrashDecision::Cleared { subject, strikes });
            }
        }
    }

    /// Records that a request was refused because of its crashes.
    pub(crate) fn record_refusal(&mut self, now: Moment, fingerprint: u64) {
        let subject = CrashSubject::Request(fingerprint);
        let record = self.records.get(&subject);
        let strikes = record.map_or(0, |record| record.strikes(now, self.quarantine));
        self.record(CrashDecision::Refused { subject, strikes });
    }

    /// Returns the decisions since the last call, and clears them.
    pub fn take_decisions(&mut self) -> Vec<CrashDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the time for which the request is still refused, or `None` if it is accepted.
    ///
    /// Unless many groups fail at once, suspicions count until they are confirmed or their
    /// confirmation times out.
    #[must_use]
    pub fn refused_for(&self, now: Moment, fingerprint: u64) -> Option<Duration> {
        let record = self.records.get(&CrashSubject::Request(fingerprint))?;
        if record.strikes(now, self.quarantine) >= STRIKE_LIMIT {
            return Some(self.quarantine.saturating_sub(record.age(now)));
        }
        let is_suspected = record.own_possible_strikes(now, self.quarantine) >= STRIKE_LIMIT
            || record.possible_strikes(now, self.quarantine) >= SUSPICION_LIMIT;
        if !is_suspected || self.is_mass_failure(now) {
            return None;
        }
        record.confirmation_left(now)
    }

    /// Returns whether the request has a strike or a suspicion and no mass failure explains it.
    #[must_use]
    pub fn is_suspect(&self, now: Moment, fingerprint: u64) -> bool {
        let record = self.records.get(&CrashSubject::Request(fingerprint));
        record.is_some_and(|record| record.possible_strikes(now, self.quarantine) > 0)
            && !self.is_mass_failure(now)
    }

    /// Returns the active strikes to send to other nodes: newest first, at most `limit` facts.
    #[must_use]
    pub fn facts(&self, now: Moment, limit: usize) -> Vec<CrashFact> {
        let fact = |(subject, record): (&CrashSubject, &CrashRecord)| match subject {
            CrashSubject::Request(fingerprint) => Some(CrashFact {
                fingerprint: *fingerprint,
                strikes: record.strikes(now, self.quarantine),
                age: record.age(now),
            }),
            CrashSubject::Part(_) => None,
        };
        let mut facts: Vec<CrashFact> = self.records.iter().filter_map(fact).collect();
        facts.retain(|fact| fact.strikes > 0);
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
        let record = self.record_of(now, CrashSubject::Request(fact.fingerprint));
        record.report(fact.strikes, now.before(fact.age));
    }

    /// Clears a request on an operator's command; returns whether it was in the table.
    pub fn clear(&mut self, fingerprint: u64) -> bool {
        self.remove(CrashSubject::Request(fingerprint))
    }

    fn remove(&mut self, subject: CrashSubject) -> bool {
        let record = self.records.remove(&subject);
        if let Some(record) = &record {
            self.delete_rows(subject, &record.events);
        }
        record.is_some()
    }

    /// Returns the number of fingerprints and parts in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table has no fingerprints and no parts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn record_broken_attempt(&mut self, now: Moment, group: GroupId, epoch: Epoch) {
        if self.broken_attempts.len() >= MAX_BROKEN_ATTEMPTS {
            self.broken_attempts.pop_front();
        }
        self.broken_attempts.push_back((now, group));
        self.down_since.entry((group, epoch)).or_insert(now);
    }

    /// Returns whether attempts broke at many groups recently.
    fn is_mass_failure(&self, now: Moment) -> bool {
        let recent = self.broken_attempts.iter().rev();
        let groups: HashSet<GroupId> = recent
            .take_while(|(at, _)| now.since(*at) <= MASS_FAILURE_WINDOW)
            .map(|(_, group)| *group)
            .collect();
        groups.len() > MASS_FAILURE_GROUP_LIMIT
    }

    /// Records a decision. When the limit is reached, the older half is dropped.
    pub(crate) fn record(&mut self, decision: CrashDecision) {
        if self.decisions.len() >= MAX_DECISIONS {
            self.decisions.drain(..MAX_DECISIONS / 2);
        }
        self.decisions.push(decision);
    }

    /// Returns the record of a request or part, after making room for a new one.
    pub(crate) fn record_of(&mut self, now: Moment, subject: CrashSubject) -> &mut CrashRecord {
        if self.records.len() >= MAX_SUBJECTS && !self.records.contains_key(&subject) {
            self.make_room(now, subject);
        }
        let record = self.records.entry(subject);
        record.or_insert_with(|| CrashRecord::new(subject))
    }

    /// Evicts the requests or parts with the fewest strikes, and among equals those with the oldest
    /// strikes, if there are too many of the kind of `subject`. Parts to blame are kept.
    fn make_room(&mut self, now: Moment, subject: CrashSubject) {
        let is_same_kind = |other: &CrashSubject| match (subject, other) {
            (CrashSubject::Request(_), CrashSubject::Request(_))
            | (CrashSubject::Part(_), CrashSubject::Part(_)) => true,
            (CrashSubject::Request(_) | CrashSubject::Part(_), _) => false,
        };
        let count = |table: &Self| {
            let subjects = table.records.keys();
            subjects.filter(|it| is_same_kind(it)).count()
        };
        if count(self) < MAX_SUBJECTS {
            return;
        }
        self.expire_events(now, true);
        if count(self) < MAX_SUBJECTS {
            return;
        }
        let is_evictable = |other: &CrashSubject| match other {
            CrashSubject::Part(part) if self.blame.contains(*part) => false,
            _ => is_same_kind(other),
        };
        let evictable = self.records.iter().filter(|(it, _)| is_evictable(it));
        let mut evictable: Vec<_> = evictable
            .map(|(it, record)| (record.eviction_key(), *it))
            .collect();
        evictable.sort_unstable();
        for (_, evicted) in evictable.into_iter().take(EVICTION_COUNT) {
            self.remove(evicted);
        }
    }
}
