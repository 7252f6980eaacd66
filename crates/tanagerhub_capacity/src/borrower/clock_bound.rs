//! Bound on the age of messages from a process with another clock.

use std::time::Duration;

use tanagerhub_clock::Moment;

/// Period after which older measurements are dropped, so that clocks that run at different speeds
/// make the bound at most a few milliseconds wrong.
const PERIOD: Duration = Duration::from_secs(10);

/// A lower bound of the difference between the own clock and that of another process.
///
/// A reply took at most the round trip since the request that it answers. Its receipt on the own
/// clock, less that round trip and its time on the other clock, is therefore at most the
/// difference of the clocks. The highest such bound of the last one to two periods is used.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ClockBound {
    since: Moment,
    current: Option<i128>,
    previous: Option<i128>,
}

impl ClockBound {
    /// Records a reply that was sent at `sent_at` on the other clock.
    pub(super) fn record(&mut self, now: Moment, sent_at: Moment, round_trip: Duration) {
        if now.since(self.since) >= PERIOD {
            self.previous = self.current.take();
            self.since = now;
        }
        let bound = difference(now, sent_at) - signed(round_trip);
        self.current = Some(self.current.map_or(bound, |current| current.max(bound)));
    }

    /// Returns the maximum age of a message, or `None` if the difference of the clocks is unknown.
    pub(super) fn max_age(&self, now: Moment, sent_at: Moment) -> Option<Duration> {
        let bound = self.current.max(self.previous)?;
        let nanos = (difference(now, sent_at) - bound).max(0);
        Some(Duration::from_nanos(
            u64::try_from(nanos).unwrap_or(u64::MAX),
        ))
    }
}

fn difference(now: Moment, sent_at: Moment) -> i128 {
    i128::from(now.as_nanos()) - i128::from(sent_at.as_nanos())
}

fn signed(duration: Duration) -> i128 {
    i128::try_from(duration.as_nanos()).unwrap_or(i128::MAX)
}
