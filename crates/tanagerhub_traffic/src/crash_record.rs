//! The crashes that are attributed to one request.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;

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

/// A failed attempt whose group has not been confirmed as crashed.
#[derive(Debug)]
struct Suspicion {
    group: GroupId,
    epoch: Epoch,
    period: AttemptPeriod,
}

impl CrashRecord {
    /// Adds a suspicion; returns `false` if there is one for this group and epoch.
    pub(crate) fn suspect(
        &mut self,
        now: Moment,
        group: GroupId,
        epoch: Epoch,
        started: Moment,
    ) -> bool {
        self.pending.retain(|it| it.is_active(now));
        if self.pending.iter().any(|it| it.concerns(group, epoch)) {
            return false;
        }
        let period = AttemptPeriod {
            from: started,
            until: now,
        };
        push_bounded(
            &mut self.pending,
            Suspicion {
                group,
                epoch,
                period,
            },
        );
        true
    }

    /// Turns the suspicion of a group into a confirmed crash; returns whether there was one.
    pub(crate) fn confirm(&mut self, now: Moment, group: GroupId, epoch: Epoch) -> bool {
        let suspicion = |it: &Suspicion| it.concerns(group, epoch) && it.is_active(now);
        let period = self
            .pending
            .iter()
            .find(|it| suspicion(it))
            .map(|it| it.period);
        self.pending
            .retain(|it| !it.concerns(group, epoch) && it.is_active(now));
        let Some(period) = period else {
            return false;
        };
        push_bounded(&mut self.crashes, period);
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

    /// Returns the number of strikes if all active suspicions were confirmed.
    pub(crate) fn possible_strikes(&self, now: Moment, quarantine: Duration) -> u32 {
        let pending = self.pending.iter().filter(|it| it.is_active(now));
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

    /// Returns the time until the last suspicion ends, or `None` without one.
    pub(crate) fn confirmation_left(&self, now: Moment) -> Option<Duration> {
        let newest = self.pending.iter().map(|it| it.period.until).max()?;
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
