//! The crashes that are attributed to one request or part of prompts.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;

use crate::crash_blame::BLAME_LIMIT;
use crate::{CrashSubject, FailedAttempt};

/// Maximum time from a failed attempt to the confirmation that the group crashed.
pub(crate) const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of failed attempts kept for one request.
const MAX_EVENTS: usize = 32;
/// Maximum number of failed attempts kept for one part. A part to blame must explain all crashes
/// that are known of the others.
const MAX_PART_EVENTS: usize = 256;
/// Time for which a crash counts for a part that is not blamed.
const PART_MEMORY: Duration = Duration::from_mins(1);

/// What a failed attempt says about its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Evidence {
    /// The connection or the response broke off, as it does when a backend server ends.
    Broken,
    /// No response came. Only the loss of a member shows that the group crashed.
    Unanswered,
    /// A response had begun. It is evidence only if a member was lost in the meantime.
    Interrupted,
}

/// The failed attempts of one request, or of all requests with one part.
///
/// Crashes under attempts that overlap in time count once, because they may have a common cause,
/// such as a data centre that loses power.
#[derive(Debug, Default)]
pub(crate) struct CrashRecord {
    pub(crate) events: Vec<CrashEvent>,
    reported: ReportedStrikes,
    /// When the newest crash was confirmed or reported.
    newest: Moment,
    /// Whether a request with these events has ended without a complete response. Until then its
    /// next attempt may clear it.
    pub(crate) is_settled: bool,
    /// The greatest number of parts that were seen before this one in a prompt.
    pub(crate) depth: usize,
    max_events: usize,
}

/// A failed attempt, and what is known about its group since then.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CrashEvent {
    pub(crate) group: GroupId,
    pub(crate) epoch: Epoch,
    pub(crate) evidence: Evidence,
    pub(crate) period: AttemptPeriod,
    /// Whether the group was confirmed as crashed.
    pub(crate) is_confirmed: bool,
    /// Whether this node sent the attempt.
    pub(crate) is_own: bool,
    /// Whether this node learned of it from the complete list of rows, as it does at its start.
    pub(crate) is_listed: bool,
    pub(crate) row: RowState,
}

/// The time in which an attempt ran, or in which a group crashed under a part.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptPeriod {
    pub(crate) from: Moment,
    pub(crate) until: Moment,
}

/// What the store holds of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) enum RowState {
    /// Nothing.
    #[default]
    Absent,
    /// Perhaps a row, as a write of it may have been applied.
    Unknown,
    /// A suspicion.
    Suspicion,
    /// A confirmed crash.
    Crash,
}

/// The strikes that other nodes have counted.
#[derive(Debug, Default, Clone, Copy)]
struct ReportedStrikes {
    count: u32,
    /// Since when this node has known the count.
    since: Moment,
}

impl CrashRecord {
    /// Creates a record without events.
    pub(crate) fn new(subject: CrashSubject) -> Self {
        let max_events = match subject {
            CrashSubject::Request(_) => MAX_EVENTS,
            CrashSubject::Part(_) => MAX_PART_EVENTS,
        };
        Self {
            max_events,
            ..Self::default()
        }
    }

    /// Adds a suspicion; returns `false` if there is an event of this group and epoch with the same
    /// or stronger evidence.
    pub(crate) fn suspect(&mut self, now: Moment, attempt: &FailedAttempt) -> bool {
        let period = AttemptPeriod {
            from: attempt.started,
            until: now,
        };
        self.suspect_in(period, attempt)
    }

    /// Adds a suspicion of a group that crashed within this period.
    pub(crate) fn suspect_in(&mut self, period: AttemptPeriod, attempt: &FailedAttempt) -> bool {
        self.insert(CrashEvent {
            group: attempt.group,
            epoch: attempt.epoch,
            evidence: attempt.evidence,
            period,
            is_confirmed: false,
            is_own: true,
            is_listed: false,
            row: RowState::Absent,
        })
    }

    /// Adds an event, or replaces a weaker suspicion of the same group and epoch; returns whether
    /// it did so.
    pub(crate) fn insert(&mut self, event: CrashEvent) -> bool {
        if let Some(known) = self.find(event.group, event.epoch) {
            let is_stronger = !known.is_confirmed && event.evidence < known.evidence;
            if is_stronger {
                *known = event;
            }
            return is_stronger;
        }
        let has_room = self.events.len() < self.max_events;
        if has_room {
            self.events.push(event);
        }
        has_room
    }

    /// Returns the event of a group and epoch.
    pub(crate) fn find(&mut self, group: GroupId, epoch: Epoch) -> Option<&mut CrashEvent> {
        let mut events = self.events.iter_mut();
        events.find(|event| event.group == group && event.epoch == epoch)
    }

    /// Turns the suspicion of a group into a confirmed crash if its evidence is at least as strong
    /// as `weakest`; returns whether there was one.
    pub(crate) fn confirm(
        &mut self,
        now: Moment,
        group: GroupId,
        epoch: Epoch,
        weakest: Evidence,
    ) -> bool {
        let event = self.find(group, epoch);
        event.is_some_and(|event| event.is_pending(now) && event.evidence <= weakest)
            && self.apply_confirmation(now, group, epoch)
    }

    /// Applies another node's word that a group crashed; returns whether it is news.
    pub(crate) fn apply_confirmation(&mut self, now: Moment, group: GroupId, epoch: Epoch) -> bool {
        let Some(event) = self.find(group, epoch) else {
            return false;
        };
        if event.is_confirmed {
            return false;
        }
        event.is_confirmed = true;
        self.newest = self.newest.max(now);
        true
    }

    /// Applies the strikes that another node has counted, the last one at `at`.
    pub(crate) fn report(&mut self, count: u32, at: Moment) {
        if count > self.reported.count {
            self.reported = ReportedStrikes { count, since: at };
        }
        self.newest = self.newest.max(at);
    }

    /// Removes and returns the events that are too old to count.
    pub(crate) fn expire(&mut self, now: Moment, quarantine: Duration) -> Vec<CrashEvent> {
        let is_quarantined = self.is_quarantined(now, quarantine);
        let counts = |event: &CrashEvent| {
            if event.is_confirmed {
                is_quarantined
            } else {
                event.is_pending(now)
            }
        };
        let (kept, expired) = self.events.drain(..).partition(counts);
        self.events = kept;
        expired
    }

    /// Removes and returns the events of a part that are too old to count.
    pub(crate) fn expire_part(
        &mut self,
        now: Moment,
        quarantine: Duration,
        is_blamed: bool,
    ) -> Vec<CrashEvent> {
        let keeps_all = is_blamed && self.is_quarantined(now, quarantine);
        let counts = |event: &CrashEvent| {
            if event.is_confirmed {
                keeps_all || now.since(event.period.until) < PART_MEMORY
            } else {
                event.is_pending(now)
            }
        };
        let (kept, expired) = self.events.drain(..).partition(counts);
        self.events = kept;
        expired
    }

    /// Returns whether a part with these crashes may be blamed.
    pub(crate) fn may_be_blamed(&self) -> bool {
        self.events.len() >= BLAME_LIMIT
    }

    /// Removes and returns the crashes that ended before `started`.
    pub(crate) fn clear_before(&mut self, started: Moment) -> Vec<CrashEvent> {
        self.remove(|event| event.period.until <= started)
    }

    /// Removes and returns the events for which `is_removed` returns true.
    pub(crate) fn remove(&mut self, is_removed: impl Fn(&CrashEvent) -> bool) -> Vec<CrashEvent> {
        let (removed, kept) = self.events.drain(..).partition(is_removed);
        self.events = kept;
        removed
    }

    /// Returns whether there is neither an active crash nor a suspicion.
    pub(crate) fn is_empty(&self, now: Moment, quarantine: Duration) -> bool {
        !self.is_quarantined(now, quarantine)
            && !self.events.iter().any(|event| event.is_pending(now))
    }

    /// Returns the number of confirmed crashes, or zero if the newest is older than the quarantine.
    pub(crate) fn strikes(&self, now: Moment, quarantine: Duration) -> u32 {
        self.count(now, quarantine, |_| false)
    }

    /// Returns the number of strikes if the broken attempts of this node were confirmed as crashes.
    pub(crate) fn own_possible_strikes(&self, now: Moment, quarantine: Duration) -> u32 {
        self.count(now, quarantine, |event| {
            event.is_own && event.is_broken(now)
        })
    }

    /// Returns the number of strikes if the broken attempts of all nodes were confirmed as crashes.
    pub(crate) fn possible_strikes(&self, now: Moment, quarantine: Duration) -> u32 {
        self.count(now, quarantine, |event| event.is_broken(now))
    }

    /// Returns the time since the newest crash was confirmed or reported.
    pub(crate) fn age(&self, now: Moment) -> Duration {
        now.since(self.newest)
    }

    /// Returns the time until the last suspicion of a broken attempt ends, or `None` without one.
    pub(crate) fn confirmation_left(&self, now: Moment) -> Option<Duration> {
        let broken = self.events.iter().filter(|event| event.is_broken(now));
        let newest = broken.map(|event| event.period.until).max()?;
        Some(CONFIRMATION_TIMEOUT.saturating_sub(now.since(newest)))
    }

    /// Returns the key by which records are evicted, the least first.
    pub(crate) fn eviction_key(&self) -> (u32, Moment) {
        (self.strikes(self.newest, Duration::MAX), self.newest)
    }

    fn is_quarantined(&self, now: Moment, quarantine: Duration) -> bool {
        self.newest > Moment::ZERO && now.since(self.newest) < quarantine
    }

    /// Counts attempts that ran one after the other, among the confirmed crashes and the
    /// suspicions for which `counts` returns true.
    fn count(
        &self,
        now: Moment,
        quarantine: Duration,
        counts: impl Fn(&CrashEvent) -> bool,
    ) -> u32 {
        let is_quarantined = self.is_quarantined(now, quarantine);
        let events = self
            .events
            .iter()
            .filter(|event| (is_quarantined && event.is_confirmed) || counts(event));
        let mut periods: Vec<AttemptPeriod> = events.map(|event| event.period).collect();
        periods.sort_unstable_by_key(|period| period.until);
        let known = chain_length(&periods, Moment::ZERO);
        if !is_quarantined {
            return known;
        }
        known.max(self.reported.count + chain_length(&periods, self.reported.since))
    }
}

impl CrashEvent {
    /// Returns whether the event is an unconfirmed suspicion that may still be confirmed.
    pub(crate) fn is_pending(&self, now: Moment) -> bool {
        !self.is_confirmed && now.since(self.period.until) < CONFIRMATION_TIMEOUT
    }

    /// Returns whether the event is a suspicion of a broken attempt that may still be confirmed.
    pub(crate) fn is_broken(&self, now: Moment) -> bool {
        self.evidence == Evidence::Broken && self.is_pending(now)
    }
}

/// Returns the greatest number of periods from `start` on that don't overlap. The periods must be
/// ordered by their end.
fn chain_length(periods: &[AttemptPeriod], start: Moment) -> u32 {
    let mut end = start;
    let mut count = 0;
    for period in periods {
        if period.from >= end {
            end = period.until;
            count += 1;
        }
    }
    count
}
