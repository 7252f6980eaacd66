//! How many requests may wait for their first byte, by how late first bytes come.

use std::time::Duration;

use tanagerhub_clock::Moment;

/// The part of the objective that first bytes should come within.
const ON_TIME: f64 = 0.9;
/// The part that is kept when first bytes come late.
const CUT: f64 = 0.7;
/// Time between two cuts; late first bytes come in bunches.
const CUT_AGAIN: Duration = Duration::from_millis(200);
/// The longest pause between two requests of a pace below one.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// The bounds of a pace.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PaceBounds {
    pub(crate) first: f64,
    pub(crate) least: f64,
    pub(crate) most: f64,
    /// The most by which one first byte on time raises it: requests, or their part below one.
    pub(crate) gain: f64,
}

/// Requests that may wait for their first byte at the same time.
///
/// It grows slowly while first bytes come on time and shrinks at once when they come late. Below
/// one it is the part of the time in which one request may wait.
#[derive(Debug)]
pub(crate) struct Pace {
    limit: f64,
    bounds: PaceBounds,
    cut: Moment,
    /// No request may begin to wait before.
    rest_until: Moment,
}

impl Pace {
    pub(crate) const fn new(bounds: PaceBounds) -> Self {
        Self {
            limit: bounds.first,
            bounds,
            cut: Moment::ZERO,
            rest_until: Moment::ZERO,
        }
    }

    /// Whether one more request may wait beside so many; `least` may wait in any case.
    pub(crate) fn allows(&self, now: Moment, unanswered: u32, least: f64) -> bool {
        let limit = self.limit.max(least);
        f64::from(unanswered) < limit && (limit >= 1.0 || now >= self.rest_until)
    }

    /// Takes in how long a first byte took, against what it should.
    pub(crate) fn observe(&mut self, now: Moment, wait: Duration, objective: Duration) {
        if wait <= objective.mul_f64(ON_TIME) {
            let step = if self.limit < 1.0 {
                self.bounds.gain * self.limit
            } else {
                self.bounds.gain.min(1.0 / self.limit)
            };
            self.limit = (self.limit + step).min(self.bounds.most);
        } else if now.since(self.cut) >= CUT_AGAIN {
            self.cut = now;
            self.limit = (self.limit * CUT).max(self.bounds.least);
        }
        if self.limit < 1.0 {
            let pause = wait.mul_f64(1.0 / self.limit - 1.0).min(LONGEST_PAUSE);
            self.rest_until = now + pause;
        }
    }
}
