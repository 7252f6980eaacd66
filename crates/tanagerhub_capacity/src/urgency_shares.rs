//! The shares of urgencies in the asks and in the grants of an entry.

use std::collections::VecDeque;
use std::time::Duration;

use tanagerhub_clock::Moment;

use crate::wait_queue::URGENCIES;

/// The period over which shares are compared.
const PERIOD: Duration = Duration::from_secs(5);
/// The resolution of the period.
const BUCKET: Duration = Duration::from_millis(500);
/// An urgency gets at least this part of its share of the asks.
const FLOOR: f64 = 0.3;

/// Counts asks and grants of each urgency over the last 5 s.
#[derive(Debug, Default)]
pub(crate) struct UrgencyShares {
    buckets: VecDeque<(Moment, Counts)>,
    sums: Counts,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    asks: [u32; URGENCIES],
    grants: [u32; URGENCIES],
}

impl UrgencyShares {
    /// Counts an ask.
    pub(crate) fn record_ask(&mut self, now: Moment, urgency: u8) {
        let index = usize::from(urgency);
        self.bucket(now).asks[index] += 1;
        self.sums.asks[index] += 1;
    }

    /// Counts a grant.
    pub(crate) fn record_grant(&mut self, now: Moment, urgency: u8) {
        let index = usize::from(urgency);
        self.bucket(now).grants[index] += 1;
        self.sums.grants[index] += 1;
    }

    /// Returns the waiting urgency that got the smallest part of its floor, if any is below it.
    ///
    /// Its floor is at least one whole grant, so that the order stays strict while there are few
    /// asks.
    pub(crate) fn below_floor(&mut self, now: Moment, waiting: &[u32; URGENCIES]) -> Option<u8> {
        self.advance(now);
        let asks: u32 = self.sums.asks.iter().sum();
        let grants: u32 = self.sums.grants.iter().sum();
        let grants_per_ask = FLOOR * f64::from(grants) / f64::from(asks.max(1));
        (0_u8..)
            .zip(waiting)
            .filter(|&(_, &count)| count > 0)
            .map(|(urgency, _)| {
                let index = usize::from(urgency);
                let due = grants_per_ask * f64::from(self.sums.asks[index]);
                (urgency, f64::from(self.sums.grants[index]), due)
            })
            .filter(|&(_, granted, due)| due >= 1.0 && granted < due)
            .min_by(|a, b| (a.1 * b.2).total_cmp(&(b.1 * a.2)))
            .map(|(urgency, ..)| urgency)
    }

    fn bucket(&mut self, now: Moment) -> &mut Counts {
        self.advance(now);
        let is_current = self
            .buckets
            .back()
            .is_some_and(|&(start, _)| now.since(start) < BUCKET);
        if !is_current {
            self.buckets.push_back((now, Counts::default()));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last].1
    }

    fn advance(&mut self, now: Moment) {
        while let Some(&(start, counts)) = self.buckets.front() {
            if now.since(start) < PERIOD {
                break;
            }
            for index in 0..URGENCIES {
                self.sums.asks[index] -= counts.asks[index];
                self.sums.grants[index] -= counts.grants[index];
            }
            self.buckets.pop_front();
        }
    }
}
