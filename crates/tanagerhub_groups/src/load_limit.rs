//! Rate limit on model loads from the store of weights.

use std::collections::VecDeque;
use std::time::Duration;

use tanagerhub_clock::Moment;

/// The window over which started loads are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The limit on loads from the store of weights.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadLimit {
    /// The number of loads that may start in a second.
    pub per_second: f64,
    /// The number of loads that run concurrently at full speed.
    pub concurrent: usize,
}

/// Counts the loads started in the last second.
#[derive(Debug, Default)]
pub(crate) struct LoadMeter {
    starts: VecDeque<Moment>,
}

impl LoadMeter {
    /// Returns whether another load may start while `running` loads are in progress.
    ///
    /// No limit applies before the first request, because loads that start before it are fast, even
    /// if they end later.
    pub(crate) fn allows(
        &mut self,
        now: Moment,
        limit: LoadLimit,
        running: usize,
        in_use: bool,
    ) -> bool {
        if !in_use {
            return true;
        }
        while self
            .starts
            .front()
            .is_some_and(|start| now.since(*start) >= RATE_WINDOW)
        {
            self.starts.pop_front();
        }
        let recent = u32::try_from(self.starts.len()).unwrap_or(u32::MAX);
        running < limit.concurrent && f64::from(recent) + 1.0 <= limit.per_second
    }

    pub(crate) fn record_start(&mut self, now: Moment) {
        self.starts.push_back(now);
    }
}
