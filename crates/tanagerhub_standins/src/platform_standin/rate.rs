//! Rate limits of the platform.

use std::time::Duration;

use tanagerhub_clock::Moment;

/// The maximum number of calls in each second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimits {
    /// Transactions and stored objects per second.
    pub writes: u32,
    /// Reads of rows, objects and the list of VMs per second.
    pub reads: u32,
}

impl Default for RateLimits {
    fn default() -> Self {
        Self {
            writes: 400,
            reads: 2_000,
        }
    }
}

/// Counts calls in windows of one second.
#[derive(Debug, Default)]
pub(crate) struct RateCounter {
    limits: RateLimits,
    window_start: Moment,
    writes: u32,
    reads: u32,
}

impl RateCounter {
    const WINDOW: Duration = Duration::from_secs(1);

    pub(crate) fn new(limits: RateLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    pub(crate) fn allow_write(&mut self, now: Moment) -> bool {
        self.roll_window(now);
        self.writes += 1;
        self.writes <= self.limits.writes
    }

    pub(crate) fn allow_read(&mut self, now: Moment) -> bool {
        self.roll_window(now);
        self.reads += 1;
        self.reads <= self.limits.reads
    }

    fn roll_window(&mut self, now: Moment) {
        if now.since(self.window_start) >= Self::WINDOW {
            self.window_start = now;
            self.writes = 0;
            self.reads = 0;
        }
    }
}
