//! Computes how often a node calls the store, depending on the size of the fleet.
//!
//! All nodes share the store, so each node calls it more rarely in a larger fleet. Data with a
//! propagation bound still arrives in time: the bound limits the longest wait of a call and the
//! interval between two calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tanagerhub_groups::SUCCESSOR_COUNT;

use crate::gateway::feed::CALL_SLACK;
use crate::gateway::feed_source::RETRY_DELAY;

/// The part of a bound that is reserved for transmitting and applying a response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// The longest wait of a call for the VMs' rows; it is short to detect a lost response soon.
const VM_FEED_WAIT: Duration = Duration::from_millis(500);
/// The minimum interval and the minimum wait of calls, however short the bound is.
const MIN_FEED_PERIOD: Duration = Duration::from_millis(100);
/// The number of nodes that read the store from which on each node calls it more rarely.
const LARGE_FLEET_NODES: usize = 20;

/// The timing of one feed, which control can change while the feed runs.
#[derive(Debug)]
pub(crate) struct SharedFeedTiming {
    /// [`FeedTiming::wait`] in milliseconds.
    wait: AtomicU64,
    /// [`FeedTiming::interval`] in milliseconds.
    interval: AtomicU64,
    direct: AtomicBool,
}

/// The timings of the feeds of a node, shared between the feeds and control.
#[derive(Debug, Clone)]
pub(crate) struct SharedFeedTimings {
    pub(crate) operators: Arc<SharedFeedTiming>,
    pub(crate) vms: Arc<SharedFeedTiming>,
    pub(crate) nodes: Arc<SharedFeedTiming>,
    pub(crate) crashes: Arc<SharedFeedTiming>,
}

/// Bounds for the propagation of changes, measured from the commit in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedBounds {
    /// The time after which a leaving VM must not receive requests.
    pub drain: Duration,
    /// The time after which a new configuration must be in force.
    pub configuration: Duration,
}

impl Default for FeedBounds {
    fn default() -> Self {
        Self {
            drain: Duration::from_secs(2),
            configuration: Duration::from_secs(2),
        }
    }
}

impl Default for SharedFeedTimings {
    fn default() -> Self {
        let timings = feed_timings(1, 0, false, FeedBounds::default());
        let handle = |timing| Arc::new(SharedFeedTiming::new(timing));
        Self {
            operators: handle(timings.operators),
            vms: handle(timings.vms),
            nodes: handle(timings.nodes),
            crashes: handle(timings.crashes),
        }
    }
}

impl SharedFeedTimings {
    pub(crate) fn set(&self, timings: &FeedTimings) {
        self.operators.set(timings.operators);
        self.vms.set(timings.vms);
        self.nodes.set(timings.nodes);
        self.crashes.set(timings.crashes);
    }
}

/// The timings of the feeds of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FeedTimings {
    pub(crate) operators: FeedTiming,
    pub(crate) vms: FeedTiming,
    pub(crate) nodes: FeedTiming,
    pub(crate) crashes: FeedTiming,
}

/// The timing of the calls for one table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FeedTiming {
    /// The maximum time that one call waits for a change.
    pub(crate) wait: Duration,
    /// The minimum time between two calls.
    pub(crate) interval: Duration,
    /// Whether the table is read from the store itself even if a peer could provide it.
    pub(crate) direct: bool,
}

impl SharedFeedTiming {
    pub(crate) fn new(timing: FeedTiming) -> Self {
        let shared = Self {
            wait: AtomicU64::new(0),
            interval: AtomicU64::new(0),
            direct: AtomicBool::new(false),
        };
        shared.set(timing);
        shared
    }

    pub(crate) fn set(&self, timing: FeedTiming) {
        self.wait.store(millis(timing.wait), Ordering::Relaxed);
        self.interval
            .store(millis(timing.interval), Ordering::Relaxed);
        self.direct.store(timing.direct, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> FeedTiming {
        let load = |value: &AtomicU64| Duration::from_millis(value.load(Ordering::Relaxed));
        FeedTiming {
            wait: load(&self.wait),
            interval: load(&self.interval),
            direct: self.direct.load(Ordering::Relaxed),
        }
    }
}

/// Returns the timings for a node with `rank` other nodes before it by name, in a fleet in which
/// `store_readers` nodes read the rows from the store.
///
/// The bounds hold even if one response is lost.
pub(crate) fn feed_timings(
    store_readers: usize,
    rank: usize,
    planning: bool,
    bounds: FeedBounds,
) -> FeedTimings {
    let large = store_readers >= LARGE_FLEET_NODES;
    let planner_candidate = planning || rank < SUCCESSOR_COUNT;
    let node_timing = |wait, interval| FeedTiming {
        wait: Duration::from_millis(wait),
        interval: Duration::from_millis(interval),
        direct: planner_candidate,
    };
    let operators = FeedTiming {
        wait: wait_within(
            bounds.configuration,
            RESPONSE_MARGIN,
            if large { 2_000 } else { 1_000 },
        ),
        interval: MIN_FEED_PERIOD,
        direct: false,
    };
    let vms = if planning {
        let interval = Duration::from_millis(120);
        FeedTiming {
            wait: wait_within(bounds.drain, interval, 1_000),
            interval,
            direct: true,
        }
    } else {
        FeedTiming {
            wait: VM_FEED_WAIT,
            interval: wait_within(
                bounds.drain,
                VM_FEED_WAIT + RESPONSE_MARGIN,
                if large { 1_300 } else { 600 },
            ),
            direct: false,
        }
    };
    let nodes = match (planner_candidate, large) {
        (true, _) => node_timing(2_000, 1_000),
        (false, false) => node_timing(4_000, 3_000),
        (false, true) => node_timing(10_000, 8_000),
    };
    let crashes = FeedTiming {
        wait: Duration::from_millis(if large { 10_000 } else { 1_500 }),
        interval: Duration::from_millis(if large { 1_000 } else { 500 }),
        direct: false,
    };
    FeedTimings {
        operators,
        vms,
        nodes,
        crashes,
    }
}

/// Returns the wait that fits into a bound even if one response is lost, up to `max_millis`.
fn wait_within(bound: Duration, reserved: Duration, max_millis: u64) -> Duration {
    let spent = reserved + CALL_SLACK + RETRY_DELAY;
    bound
        .saturating_sub(spent)
        .clamp(MIN_FEED_PERIOD, Duration::from_millis(max_millis))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
