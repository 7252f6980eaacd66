//! How often a node asks the store, by the size of the fleet.
//!
//! All nodes share the store, so what each may ask shrinks as they become more. What must be known
//! within a bound keeps it: the bounds are on the longest wait of a feed and the time between two.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tanagerhub_groups::SUCCESSORS;

use crate::gateway::feed::CALL_SLACK;
use crate::gateway::feed_source::RETRY_DELAY;

/// What is kept of a bound for the way of an answer, and for taking it in.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// The longest that a call for the VMs' rows waits: a lost answer is noticed soon.
const VM_FEED_WAIT: Duration = Duration::from_millis(500);
/// The least time between two calls, and the shortest wait, however short a bound is.
const MIN_FEED_PERIOD: Duration = Duration::from_millis(100);
/// The number of nodes that ask the store from which on they do so more rarely.
const LARGE_FLEET_NODES: usize = 20;

/// How one table is followed; control changes it while the feed runs.
#[derive(Debug)]
pub(crate) struct SharedFeedTiming {
    wait: AtomicU64,
    interval: AtomicU64,
    direct: AtomicBool,
}

/// What the three feeds of a node share with control.
#[derive(Debug, Clone)]
pub(crate) struct SharedFeedTimings {
    pub(crate) operators: Arc<SharedFeedTiming>,
    pub(crate) vms: Arc<SharedFeedTiming>,
    pub(crate) nodes: Arc<SharedFeedTiming>,
}

/// How soon a node must know of changes, counted from the store's word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedBounds {
    /// The time after which no request may reach a VM that leaves.
    pub drain: Duration,
    /// The time after which a new configuration holds.
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
        }
    }
}

impl SharedFeedTimings {
    pub(crate) fn set(&self, timings: &FeedTimings) {
        self.operators.set(timings.operators);
        self.vms.set(timings.vms);
        self.nodes.set(timings.nodes);
    }
}

/// The paces of the three feeds of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FeedTimings {
    pub(crate) operators: FeedTiming,
    pub(crate) vms: FeedTiming,
    pub(crate) nodes: FeedTiming,
}

/// How one table is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FeedTiming {
    /// The longest that one call waits for a change.
    pub(crate) wait: Duration,
    /// The least time between two calls.
    pub(crate) interval: Duration,
    /// Whether it is followed at the store itself, even where a peer would tell of it.
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

/// The paces for a node of a fleet in which `askers` nodes follow the rows at the store, and which
/// `place` others precede by name.
///
/// However one answer is lost, what the bounds speak of is known in time.
pub(crate) fn feed_timings(
    store_readers: usize,
    rank: usize,
    planning: bool,
    bounds: FeedBounds,
) -> FeedTimings {
    let large = store_readers >= LARGE_FLEET_NODES;
    let planner_candidate = planning || rank < SUCCESSORS;
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
    FeedTimings {
        operators,
        vms,
        nodes,
    }
}

/// What a bound leaves for waiting, at most so many milliseconds, if one answer is lost.
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
