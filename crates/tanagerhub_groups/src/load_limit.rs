//! Loads that the store of weights bears.

use std::collections::VecDeque;
use std::time::Duration;

use tanagerhub_clock::Moment;

/// The span over which starts of loads are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Loads that the store of weights bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadLimit {
    /// Loads that may start in a second.
    pub per_second: f64,
    /// Loads that go at full speed at once.
    pub concurrent: usize,
}

/// Counts the starts of loads.
#[derive(Debug, Default)]
pub(crate) struct LoadMeter {
    starts: VecDeque<Moment>,
}

impl LoadMeter {
    /// Whether one more load may start while `running` are under way.
    ///
    /// Before the first request no limit holds: loads are quick then, whenever they end.
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
