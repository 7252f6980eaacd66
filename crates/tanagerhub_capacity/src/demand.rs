//! The demand of an entry, from which the planner decides on the composition of groups.

use std::collections::VecDeque;
use std::time::Duration;

use tanagerhub_clock::Moment;

/// The period over which asks are counted. A burst of under a second is a small part of it.
const PERIOD: Duration = Duration::from_secs(3);
/// The resolution of the period.
const BUCKET: Duration = Duration::from_millis(500);

/// Counts the asks of an entry over the last 3 s, and those that more capacity would have served.
///
/// They show a shortage of groups that lasts, not one within a burst.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    buckets: VecDeque<(Moment, DemandCounts)>,
}

/// Numbers of asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct DemandCounts {
    /// Asks that a group could have served.
    pub(crate) asks: u32,
    /// Asks that were overdue, or were refused for want of capacity.
    pub(crate) missed: u32,
}

impl Demand {
    /// Counts an ask.
    pub(crate) fn record_ask(&mut self, now: Moment, is_overdue: bool) {
        let counts = self.bucket(now);
        counts.asks += 1;
        counts.missed += u32::from(is_overdue);
    }

    /// Counts the refusal of an ask that was not overdue.
    pub(crate) fn record_refusal(&mut self, now: Moment) {
        self.bucket(now).missed += 1;
    }

    /// Returns the numbers over the last 3 s.
    ///
    /// An ask may be refused after it has left the period, so the refusals are bounded by the asks.
    pub(crate) fn counts(&self, now: Moment) -> DemandCounts {
        let is_recent = |(start, _): &&(Moment, DemandCounts)| now.since(*start) < PERIOD;
        let recent = self.buckets.iter().filter(is_recent);
        let mut sum = recent.fold(DemandCounts::default(), |sum, (_, counts)| DemandCounts {
            asks: sum.asks + counts.asks,
            missed: sum.missed + counts.missed,
        });
        sum.missed = sum.missed.min(sum.asks);
        sum
    }

    fn bucket(&mut self, now: Moment) -> &mut DemandCounts {
        while let Some((start, _)) = self.buckets.front()
            && now.since(*start) >= PERIOD
        {
            self.buckets.pop_front();
        }
        let newest = self.buckets.back();
        if newest.is_none_or(|(start, _)| now.since(*start) >= BUCKET) {
            self.buckets.push_back((now, DemandCounts::default()));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last].1
    }
}

#[cfg(test)]
mod tests;
