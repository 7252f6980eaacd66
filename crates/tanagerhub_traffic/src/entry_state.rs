//! State of one catalogue entry at this node.

use std::time::Duration;

use tanagerhub_catalogue::{Class, Entry, Limits};
use tanagerhub_clock::Moment;

use crate::average::Average;
use crate::in_flight::RequestKey;
use crate::{FairQueue, RetryBudget, TrafficSettings};

/// Queue, retry budget and averages of one entry.
#[derive(Debug)]
pub(crate) struct EntryState {
    pub(crate) limits: Limits,
    pub(crate) class: Class,
    pub(crate) queue: FairQueue<RequestKey>,
    pub(crate) budget: RetryBudget,
    /// Tokens of a request: the prompt and the longest response.
    pub(crate) tokens: Average,
    /// Time from dispatch to the first byte, in seconds.
    pub(crate) first_byte: Average,
    /// Time from dispatch to the end of the response, in seconds.
    pub(crate) service: Average,
    /// Time between two tokens, in seconds.
    pub(crate) token: Average,
    /// Number of running attempts.
    pub(crate) running: u32,
}

/// Delay of a hedge, as a multiple of the usual wait for a first byte.
const HEDGE_FACTOR: f64 = 3.0;

impl EntryState {
    pub(crate) fn new(entry: &Entry, settings: &TrafficSettings) -> Self {
        Self {
            limits: entry.limits.clone(),
            class: entry.class,
            queue: FairQueue::default(),
            budget: new_retry_budget(settings),
            tokens: Average::default(),
            first_byte: Average::default(),
            service: Average::default(),
            token: Average::default(),
            running: 0,
        }
    }

    /// Estimates how long a request waits behind `ahead` others.
    pub(crate) fn expected_wait(&self, ahead: f64) -> Duration {
        let Some(service) = self.service.get() else {
            return Duration::ZERO;
        };
        let seconds = (ahead + 1.0) * service / f64::from(self.running.max(1));
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the usual time from dispatch to the end of the response; zero if unknown.
    pub(crate) fn service_time(&self) -> Duration {
        let seconds = self.service.get().unwrap_or(0.0);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the moment after which a waiting request could no longer get a complete response by
    /// its deadline.
    ///
    /// At least half of the time left is allowed for waiting.
    pub(crate) fn latest_start(&self, now: Moment, deadline: Moment, tokens: u32) -> Moment {
        let left = deadline.since(now);
        deadline.before(self.response_time_bound(tokens).min(left / 2))
    }

    /// Returns an upper bound of the usual time for a response of at most this many tokens; zero if
    /// unknown.
    pub(crate) fn response_time_bound(&self, tokens: u32) -> Duration {
        let Some(longest) = self.service.upper_estimate() else {
            return Duration::ZERO;
        };
        let first = self.first_byte.upper_estimate().unwrap_or(0.0);
        let rest = self
            .token
            .upper_estimate()
            .map(|token| token * f64::from(tokens));
        let seconds = rest.map_or(longest, |rest| (first + rest).min(longest));
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Records the times of a complete response.
    pub(crate) fn finished(&mut self, elapsed: Duration, first: Duration, tokens: Option<u32>) {
        self.service.observe(elapsed.as_secs_f64());
        if let Some(tokens) = tokens.filter(|it| *it > 1) {
            let rest = elapsed.saturating_sub(first).as_secs_f64();
            self.token.observe(rest / f64::from(tokens - 1));
        }
    }

    /// Returns the time after dispatch at which a hedge is started: at least `floor`, at most the
    /// timeout of the first byte.
    pub(crate) fn hedge_delay(&self, floor: Duration) -> Duration {
        let usual = self.first_byte.get().unwrap_or(0.0) * HEDGE_FACTOR;
        Duration::try_from_secs_f64(usual)
            .unwrap_or(Duration::MAX)
            .max(floor)
            .min(self.limits.first_byte_timeout)
    }
}

fn new_retry_budget(settings: &TrafficSettings) -> RetryBudget {
    let budget = RetryBudget::new(settings.retry_ratio, settings.retry_burst);
    if settings.filled {
        budget
    } else {
        budget.emptied()
    }
}
