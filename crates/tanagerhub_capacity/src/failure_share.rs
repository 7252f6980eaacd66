//! The share of failures among the recent attempts at a group.

use std::time::Duration;

use tanagerhub_clock::Moment;

use crate::decaying_mean::DecayingMean;

/// The weight of a new attempt.
const WEIGHT: f64 = 0.125;
/// From this share on, a group gets only trial requests.
const FAILING: f64 = 0.5;
/// The time between trial requests. A server that refuses quickly always looks unused and would
/// otherwise get most requests.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// A share without new attempts is forgotten after this time.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Tells whether a group fails most of its attempts.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FailureShare {
    at: Moment,
    share: DecayingMean,
    trial_at: Moment,
}

impl FailureShare {
    /// Counts an attempt that has ended.
    pub(crate) fn record(&mut self, now: Moment, has_failed: bool) {
        if now.since(self.at) >= MAX_AGE {
            self.share = DecayingMean::default();
        }
        self.at = now;
        self.share.record(f64::from(u8::from(has_failed)), WEIGHT);
    }

    /// Counts a grant, which is a trial if the group is failing.
    pub(crate) fn record_grant(&mut self, now: Moment) {
        self.trial_at = now + TRIAL_INTERVAL;
    }

    /// Returns from when on a failing group gets its next trial request; `None` if it isn't
    /// failing.
    pub(crate) fn next_trial(&self, now: Moment) -> Option<Moment> {
        let is_failing = self.share.value() >= FAILING && now.since(self.at) < MAX_AGE;
        is_failing.then_some(self.trial_at)
    }
}
