//! The number of requests that a group can serve in time.

use std::time::Duration;

use tanagerhub_clock::Moment;

use crate::decaying_mean::DecayingMean;

/// The factor of a reduction.
const REDUCTION: f64 = 0.8;
/// The minimum time between reductions.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(300);
/// The limit is not reduced below this number.
const MIN_LIMIT: f64 = 2.0;
/// The weight of a new response in the share of late ones. With 1/8, random variation reduced the
/// limits of healthy groups, where a fifth of the responses is late.
const LATE_WEIGHT: f64 = 1.0 / 16.0;
/// The share of late responses from which on the limit may be reduced. Below it, the rate of timely
/// responses is higher with more requests, although a larger part of the responses is late.
const MIN_LATE_SHARE: f64 = 0.5;
/// How much the share of late responses must exceed that of comparable groups before the limit is
/// reduced. Where all groups are late alike, their number of requests is not the cause.
const LATE_SHARE_MARGIN: f64 = 0.2;
/// Late responses count only while this part of the limit is used; below, load is not the cause.
const REDUCTION_USE: f64 = 0.5;
/// A late response leaves the limit at this part of the requests in use or above: while they drain,
/// responses are late that began under a higher limit.
const DRAINING: f64 = 2.0 / 3.0;
/// Timely responses count only while this part of the limit is used.
const INCREASE_USE: f64 = 0.8;
/// The increase with one timely response below [`FAST_PART`], in requests: 28 per second raise the
/// limit by 20 requests within 3 s.
const FAST_INCREASE: f64 = 0.35;
/// The limit rises fast up to this part of the limit at which responses were last late. Late
/// responses are reported seconds after the limit has become too high, so a fast rise beyond it
/// would overshoot again and again.
const FAST_PART: f64 = 0.85;

/// Learns the limit of a group from late and timely responses.
///
/// # Examples
///
/// ```
/// use tanagerhub_capacity::LearnedLimit;
/// use tanagerhub_clock::Moment;
///
/// let mut limit = LearnedLimit::new(48);
/// assert_eq!(limit.requests(), 48);
/// for _ in 0..10 {
///     limit.record_late(Moment::from_millis(1_000), 48, 0.0);
/// }
/// assert_eq!(limit.requests(), 48, "less than half of the recent responses");
/// limit.record_late(Moment::from_millis(1_001), 48, 0.0);
/// assert_eq!(limit.requests(), 38);
/// ```
#[derive(Debug, Clone)]
pub struct LearnedLimit {
    slots: u32,
    limit: f64,
    /// The limit, rounded down.
    requests: u32,
    /// The share of late responses.
    late_share: DecayingMean,
    /// The limit before the last run of reductions, at which responses were late.
    late_at: f64,
    reduced_at: Option<Moment>,
    /// The limit after the last reduction.
    reduced_to: Option<f64>,
}

impl LearnedLimit {
    /// Creates the limit of a group that has just been formed or become known.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let mut limit = Self {
            slots,
            limit: f64::from(slots),
            requests: 0,
            late_share: DecayingMean::default(),
            late_at: f64::from(slots),
            reduced_at: None,
            reduced_to: None,
        };
        limit.clamp();
        limit
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.late_at = f64::from(slots);
        self.clamp();
    }

    /// Records a late response while the group had `used` requests, which reduces the limit if
    /// most are late and more than usual. `usual` is the share of late responses at comparable
    /// groups; 0 without any.
    pub fn record_late(&mut self, now: Moment, used: u32, usual: f64) {
        if f64::from(used) < REDUCTION_USE * self.limit {
            return;
        }
        self.late_share.record(1.0, LATE_WEIGHT);
        if self.late_share.value() >= MIN_LATE_SHARE.max(usual + LATE_SHARE_MARGIN) {
            self.reduce(now, f64::from(used) * DRAINING);
        }
    }

    /// Reduces the limit after the backend server has refused or broken off a request.
    pub fn record_failure(&mut self, now: Moment) {
        self.reduce(now, MIN_LIMIT);
    }

    /// Raises the limit after a timely response while the group had `used` requests.
    pub fn record_timely(&mut self, used: u32) {
        self.late_share.record(0.0, LATE_WEIGHT);
        if f64::from(used) >= INCREASE_USE * self.limit {
            let is_fast = self.limit < FAST_PART * self.late_at;
            self.limit += if is_fast {
                FAST_INCREASE
            } else {
                1.0 / self.limit.max(1.0)
            };
            if self.limit >= self.late_at {
                self.late_at = f64::from(self.slots);
            }
            self.clamp();
        }
    }

    fn reduce(&mut self, now: Moment, min: f64) {
        if self
            .reduced_at
            .is_some_and(|at| now.since(at) < REDUCTION_INTERVAL)
        {
            return;
        }
        // A reduction of a limit that has not regained the last one belongs to the same run.
        let has_regained = self
            .reduced_to
            .is_none_or(|limit| self.limit * REDUCTION >= limit);
        if has_regained {
            self.late_at = self.limit;
        }
        self.reduced_at = Some(now);
        self.limit = (self.limit * REDUCTION).max(min.min(self.limit));
        self.reduced_to = Some(self.limit);
        self.clamp();
    }

    fn clamp(&mut self) {
        self.limit = self.limit.max(MIN_LIMIT).min(f64::from(self.slots));
        self.requests = (0..=self.slots)
            .rev()
            .find(|&count| f64::from(count) <= self.limit)
            .unwrap_or_default();
    }

    /// Returns the share of late responses, with exponentially falling weights.
    #[must_use]
    pub const fn late_share(&self) -> f64 {
        self.late_share.value()
    }

    /// Returns the number of requests that the group may have.
    #[must_use]
    pub const fn requests(&self) -> u32 {
        self.requests
    }
}
