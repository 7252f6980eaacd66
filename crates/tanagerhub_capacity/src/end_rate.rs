//! The rate at which the requests of an entry end.

use std::time::Duration;

use tanagerhub_clock::Moment;

/// The time in which the weight of a measurement falls to 1/e.
const DECAY: Duration = Duration::from_secs(2);
/// The number of ends without which there is no measurement.
const MIN_ENDS: u32 = 8;

/// Estimates how many requests end per second, with exponentially falling weights.
///
/// The ends are measured for each running request, so that the estimate follows at once when groups
/// fill up or are lost.
///
/// # Examples
///
/// ```
/// use tanagerhub_capacity::EndRate;
/// use tanagerhub_clock::Moment;
///
/// let mut rate = EndRate::default();
/// for millis in 0..20 {
///     rate.advance(Moment::from_millis(millis * 100), 5);
///     rate.record_end();
/// }
/// let per_second = rate.per_second(10).unwrap();
/// assert!((19.0..23.0).contains(&per_second)); // 2 per second and request
/// ```
#[derive(Debug, Default)]
pub struct EndRate {
    at: Moment,
    running: u32,
    /// Weighted number of ends.
    ends: f64,
    /// Weighted time that requests have run, in seconds.
    busy: f64,
    count: u32,
}

impl EndRate {
    /// Advances to `now`, from which on `running` requests run.
    pub fn advance(&mut self, now: Moment, running: u32) {
        let elapsed = now.since(self.at).as_secs_f64();
        let weight = (-elapsed / DECAY.as_secs_f64()).exp();
        self.ends *= weight;
        self.busy =
            self.busy * weight + f64::from(self.running) * DECAY.as_secs_f64() * (1.0 - weight);
        self.at = now;
        self.running = running;
    }

    /// Counts the end of a request.
    pub fn record_end(&mut self) {
        self.ends += 1.0;
        self.count = self.count.saturating_add(1);
    }

    /// Returns how many requests end per second while `running` requests run, or `None` before
    /// enough requests have ended.
    #[must_use]
    pub fn per_second(&self, running: u32) -> Option<f64> {
        if self.count < MIN_ENDS || self.busy <= 0.0 {
            return None;
        }
        Some(self.ends / self.busy * f64::from(running))
    }
}
