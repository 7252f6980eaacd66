//! The expected wait for the first byte of a request.

use std::time::Duration;

use tanagerhub_clock::Moment;

/// The weight of a new measurement: a group with ten requests per second is known to be slow within
/// 1 s.
const WEIGHT: f64 = 1.0 / 8.0;
/// What was measured is forgotten after this time without new measurements.
const MAX_AGE: Duration = Duration::from_secs(10);
/// How many measurements the mean of the entry counts as in the estimate of a group.
const ENTRY_WEIGHT: f64 = 2.0;
/// The maximum wait, in seconds, that is measured and expected: one stalled request must not close
/// a group for long.
const MAX_WAIT_S: f64 = 4.0;
/// The minimum time to read a prompt, in seconds, that is expected.
const MIN_PROMPT_S: f64 = 1e-4;
/// How many times as long as usual a group may be expected to need to read a token; a base of one
/// stalled request must not close it.
const MAX_SLOWNESS: f64 = 8.0;
/// How many mean deviations are added to the mean wait. Without them, half of the requests whose
/// mean wait ends at their objective would be late.
const DEVIATIONS: f64 = 1.5;

/// The first byte waits of a group, less the time in which its engine reads the prompts, with
/// exponentially falling weights.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FirstByteWaits {
    at: Moment,
    sums: WaitSums,
}

/// Weighted sums in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WaitSums {
    weight: f64,
    base: f64,
    deviation: f64,
}

/// The expected first byte wait: a base, how far waits deviate from it, and a time per prompt
/// token, all in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ExpectedWait {
    base: f64,
    deviation: f64,
    per_token: f64,
}

impl FirstByteWaits {
    /// Records the wait of a request while the engine needed `reading` for the prompts ahead of it
    /// and its own.
    pub(crate) fn record(&mut self, now: Moment, wait: Duration, reading: Duration) {
        let base = wait.saturating_sub(reading).as_secs_f64().min(MAX_WAIT_S);
        let former = self.sums(now).unwrap_or_default();
        let deviation = if former.weight > 0.0 {
            (base - former.base / former.weight).abs()
        } else {
            0.0
        };
        self.at = now;
        self.sums = WaitSums {
            weight: 1.0,
            base,
            deviation,
        }
        .plus(former, 1.0 - WEIGHT);
    }

    /// Returns what was measured, if it is recent.
    pub(crate) fn sums(&self, now: Moment) -> Option<WaitSums> {
        let is_recent = self.sums.weight > 0.0 && now.since(self.at) < MAX_AGE;
        is_recent.then_some(self.sums)
    }
}

impl WaitSums {
    /// Adds other sums with a factor.
    fn plus(self, other: Self, factor: f64) -> Self {
        Self {
            weight: self.weight + factor * other.weight,
            base: self.base + factor * other.base,
            deviation: self.deviation + factor * other.deviation,
        }
    }

    /// Returns the sums of all groups of an entry, if there are any.
    pub(crate) fn total(groups: impl Iterator<Item = Self>) -> Option<Self> {
        groups.reduce(|total, sums| total.plus(sums, 1.0))
    }

    /// Returns the estimate for a group of which these sums are known; the mean of its entry counts
    /// as some measurements.
    ///
    /// `token_read_time` is that of an engine at its usual speed. A group that needs longer for the
    /// rest is taken to read more slowly by the same factor.
    pub(crate) fn estimate(self, entry: Self, token_read_time: Duration) -> ExpectedWait {
        let sums = self.plus(entry, ENTRY_WEIGHT / entry.weight);
        let base = sums.base / sums.weight;
        let usual = entry.base / entry.weight;
        let slowness = if usual > 0.0 {
            (base / usual).clamp(1.0, MAX_SLOWNESS)
        } else {
            1.0
        };
        ExpectedWait {
            base,
            deviation: sums.deviation / sums.weight,
            per_token: token_read_time.as_secs_f64() * slowness,
        }
    }
}

impl ExpectedWait {
    /// Returns the estimate before anything has been measured: a group without prompts needs a
    /// quarter of the objective.
    pub(crate) fn unmeasured(objective: Duration, token_read_time: Duration) -> Self {
        Self {
            base: objective.as_secs_f64() / 4.0,
            deviation: 0.0,
            per_token: token_read_time.as_secs_f64(),
        }
    }

    /// Returns how many prompts of this size a group reads per second.
    pub(crate) fn prompts_per_second(self, tokens: f64) -> f64 {
        1.0 / (self.per_token * tokens).max(MIN_PROMPT_S)
    }

    /// Returns the mean wait with these prompt tokens, those of the request itself included.
    pub(crate) fn with(self, tokens: f64) -> Duration {
        let seconds = self.base + self.per_token * tokens;
        Duration::from_secs_f64(seconds.clamp(0.0, MAX_WAIT_S))
    }

    /// Returns the wait that few requests exceed with these prompt tokens.
    pub(crate) fn at_most(self, tokens: f64) -> Duration {
        let deviation = Duration::from_secs_f64(DEVIATIONS * self.deviation);
        self.with(tokens) + deviation
    }
}
