//! A rate limit whose last admission may exceed the available units.

use std::time::Duration;

use tanagerhub_clock::Moment;

/// Time for which unused rate accumulates.
const BURST_DURATION: Duration = Duration::from_secs(1);

/// A token bucket that admits while its level is positive.
///
/// An admission may exceed the level, so that work larger than the burst is possible. The next
/// admission must then wait until the level is positive again.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerhub_clock::Moment;
/// use tanagerhub_traffic::RateLimit;
///
/// let mut limit = RateLimit::new(Moment::ZERO, 10.0);
/// assert!(limit.take(Moment::ZERO, 30.0).is_ok());
/// let wait = limit.take(Moment::ZERO, 1.0).unwrap_err();
/// assert_eq!(wait, Duration::from_secs(2));
/// ```
#[derive(Debug, Clone)]
pub struct RateLimit {
    rate: f64,
    level: f64,
    filled_at: Moment,
}

impl RateLimit {
    /// Creates a limit of `rate` units per second that starts with a full burst.
    #[must_use]
    pub fn new(now: Moment, rate: f64) -> Self {
        Self {
            rate,
            level: burst(rate),
            filled_at: now,
        }
    }

    /// Changes the rate, in units per second, and caps the level at the new burst.
    pub fn set_rate(&mut self, now: Moment, rate: f64) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(burst(rate));
    }

    /// Checks whether an admission is possible now.
    ///
    /// # Errors
    ///
    /// Returns the time until the level is no longer negative.
    pub fn check(&mut self, now: Moment) -> Result<(), Duration> {
        self.fill(now);
        if self.level > 0.0 {
            return Ok(());
        }
        if self.rate <= 0.0 {
            return Err(Duration::MAX);
        }
        Err(Duration::try_from_secs_f64(-self.level / self.rate).unwrap_or(Duration::MAX))
    }

    /// Admits `cost` units, also if they exceed the level.
    ///
    /// # Errors
    ///
    /// Returns the time until the level is no longer negative.
    pub fn take(&mut self, now: Moment, cost: f64) -> Result<(), Duration> {
        self.check(now)?;
        self.level -= cost;
        Ok(())
    }

    /// Adds back units that were admitted but not used, up to a full burst.
    pub fn refund(&mut self, cost: f64) {
        self.level = (self.level + cost).min(burst(self.rate));
    }

    fn fill(&mut self, now: Moment) {
        let gained = now.since(self.filled_at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(burst(self.rate));
        self.filled_at = self.filled_at.max(now);
    }
}

fn burst(rate: f64) -> f64 {
    rate * BURST_DURATION.as_secs_f64()
}
