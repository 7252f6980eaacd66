//! The crashes that are attributed to one request.

use std::collections::BTreeSet;
use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;

use crate::FailedAttempt;

/// Maximum time from a failed attempt to the confirmation that the group crashed.
pub(crate) const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of confirmed crashes, and of suspicions, kept for one request.
const MAX_ENTRIES: usize = 8;

/// The crashes that are attributed to one request, and the suspected ones.
///
/// Crashes under attempts that overlap in time count once, because they may have a common cause,
/// such as a data centre that loses power.
#[derive(Debug, Default)]
pub(crate) struct CrashRecord {
    crashes: Vec<AttemptPeriod>,
    reported: ReportedStrikes,
    pending: Vec<Suspicion>,
    /// When the newest crash was confirmed or reported.
    newest: Moment,
    /// Whether a request with these strikes has ended without a complete response. Until then its
    /// next attempt may clear it.
    pub(crate) is_settled: bool,
    /// The greatest number of strikes that this node has given to the store.
    pub(crate) shared: u32,
    /// The numbers of strikes in the rows of the store, as far as this node has seen them.
    pub(crate) rows: BTreeSet<u32>,
}

/// The time in which an attempt ran.
#[derive(Debug, Clone, Copy)]
struct AttemptPeriod {
    from: Moment,
    until: Moment,
}

/// The strikes that other nodes have counted.
#[derive(Debug, Default, Clone, Copy)]
struct ReportedStrikes {
    count: u32,
    /// Since when this node has known the count.
    since: Moment,
}

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

/// A failed attempt whose group has not been confirmed as crashed.
#[derive(Debug)]
struct Suspicion {
    group: GroupId,
    epoch: Epoch,
    evidence: Evidence,
    period: AttemptPeriod,
}

impl CrashRecord {
    /// Adds a suspicion; returns `false` if there is one of this group and epoch with the same or
    /// stronger evidence.
    pub(crate) fn suspect(&mut self, now: Moment, attempt: &FailedAttempt) -> bool {
        let FailedAttempt {
            group,
            epoch,
            evidence,
            ..
        } = *attempt;
        self.pending.retain(|it| it.is_active(now));
        let stronger = |it: &Suspicion| it.concerns(group, epoch) && it.evidence <= evidence;
        if self.pending.iter().any(stronger) {
            return false;
        }
        self.pending.retain(|it| !it.concerns(group, epoch));
        let suspicion = Suspicion {
            group,
            epoch,
            evidence,
            period: AttemptPeriod {
                from: attempt.started,
                until: now,
            },
        };
        push_bounded(&mut self.pending, suspicion);
        true
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
        self.pending.retain(|it| it.is_active(now));
        let confirmed = |it: &Suspicion| it.concerns(group, epoch) && it.evidence <= weakest;
        let Some(index) = self.pending.iter().position(confirmed) else {
            return false;
        };
        push_bounded(&mut self.crashes, self.pending.remove(index).period);
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

    /// Returns the number of strikes, or zero if the newest is older than the quarantine.
    pub(crate) fn strikes(&self, now: Moment, quarantine: Duration) -> u32 {
        if now.since(self.newest) < quarantine {
            self.count(self.crashes.clone())
        } else {
            0
        }
    }

    /// Returns whether there is neither a crash nor a suspicion.
    pub(crate) fn is_empty(&self, now: Moment, quarantine: Duration) -> bool {
        now.since(self.newest) >= quarantine && !self.pending.iter().any(|it| it.is_active(now))
    }

    /// Returns the number of strikes if all broken attempts were confirmed as crashes.
    pub(crate) fn possible_strikes(&self, now: Moment, quarantine: Duration) -> u32 {
        let pending = self.pending.iter().filter(|it| it.is_broken(now));
        let mut periods: Vec<AttemptPeriod> = pending.map(|it| it.period).collect();
        if now.since(self.newest) >= quarantine {
            return chain_length(&periods, Moment::ZERO);
        }
        periods.extend(&self.crashes);
        self.count(periods)
    }

    /// Returns the time since the newest crash was confirmed or reported.
    pub(crate) fn age(&self, now: Moment) -> Duration {
        now.since(self.newest)
    }

    /// Returns the time until the last suspicion of a broken attempt ends, or `None` without one.
    pub(crate) fn confirmation_left(&self, now: Moment) -> Option<Duration> {
        let broken = self.pending.iter().filter(|it| it.is_broken(now));
        let newest = broken.map(|it| it.period.until).max()?;
        Some(CONFIRMATION_TIMEOUT.saturating_sub(now.since(newest)))
    }

    /// Returns the key by which records are evicted, the least first.
    pub(crate) fn eviction_key(&self) -> (u32, Moment) {
        (self.count(self.crashes.clone()), self.newest)
    }

    /// Counts attempts that ran one after the other, and those after the reported strikes.
    fn count(&self, mut periods: Vec<AttemptPeriod>) -> u32 {
        periods.sort_unstable_by_key(|it| it.until);
        let own = chain_length(&periods, Moment::ZERO);
        own.max(self.reported.count + chain_length(&periods, self.reported.since))
    }
}

impl Suspicion {
    fn concerns(&self, group: GroupId, epoch: Epoch) -> bool {
        self.group == group && self.epoch == epoch
    }

    fn is_broken(&self, now: Moment) -> bool {
        self.evidence == Evidence::Broken && self.is_active(now)
    }

    fn is_active(&self, now: Moment) -> bool {
        now.since(self.period.until) < CONFIRMATION_TIMEOUT
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

/// Adds an entry and drops the oldest one beyond the limit.
fn push_bounded<T>(entries: &mut Vec<T>, entry: T) {
    if entries.len() >= MAX_ENTRIES {
        entries.remove(0);
    }
    entries.push(entry);
}
