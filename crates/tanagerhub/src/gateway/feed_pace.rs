//! How often a node asks the store, by the size of the fleet.
//!
//! All nodes share the store, so what each may ask shrinks as they become more. What must be known
//! within a bound keeps it: the bounds are on the longest wait of a feed and the time between two.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tanagerhub_groups::SUCCESSOR_COUNT;

use crate::gateway::feed::CALL_SLACK;
use crate::gateway::feed_source::RETRY_PAUSE;

/// What is kept of a bound for the way of an answer, and for taking it in.
const MARGIN: Duration = Duration::from_millis(150);
/// The longest that a call for the VMs' rows waits: a lost answer is noticed soon.
const VM_WAIT: Duration = Duration::from_millis(500);
/// The least time between two calls, and the shortest wait, however short a bound is.
const SHORTEST: Duration = Duration::from_millis(100);
/// The number of nodes that ask the store from which on they do so more rarely.
const LARGE_FLEET: usize = 20;

/// How one table is followed; control changes it while the feed runs.
#[derive(Debug)]
pub(crate) struct FeedPace {
    wait: AtomicU64,
    interval: AtomicU64,
    direct: AtomicBool,
}

/// What the three feeds of a node share with control.
#[derive(Debug, Clone)]
pub(crate) struct FeedPaces {
    pub(crate) operators: Arc<FeedPace>,
    pub(crate) vms: Arc<FeedPace>,
    pub(crate) nodes: Arc<FeedPace>,
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

impl Default for FeedPaces {
    fn default() -> Self {
        let paces = paces(1, 0, false, FeedBounds::default());
        let share = |pace| Arc::new(FeedPace::new(pace));
        Self {
            operators: share(paces.operators),
            vms: share(paces.vms),
            nodes: share(paces.nodes),
        }
    }
}

impl FeedPaces {
    pub(crate) fn set(&self, paces: &Paces) {
        self.operators.set(paces.operators);
        self.vms.set(paces.vms);
        self.nodes.set(paces.nodes);
    }
}

/// The paces of the three feeds of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Paces {
    pub(crate) operators: Pace,
    pub(crate) vms: Pace,
    pub(crate) nodes: Pace,
}

/// How one table is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Pace {
    /// The longest that one call waits for a change.
    pub(crate) wait: Duration,
    /// The least time between two calls.
    pub(crate) interval: Duration,
    /// Whether it is followed at the store itself, even where a peer would tell of it.
    pub(crate) direct: bool,
}

impl FeedPace {
    pub(crate) fn new(pace: Pace) -> Self {
        let shared = Self {
            wait: AtomicU64::new(0),
            interval: AtomicU64::new(0),
            direct: AtomicBool::new(false),
        };
        shared.set(pace);
        shared
    }

    pub(crate) fn set(&self, pace: Pace) {
        self.wait.store(millis(pace.wait), Ordering::Relaxed);
        self.interval
            .store(millis(pace.interval), Ordering::Relaxed);
        self.direct.store(pace.direct, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> Pace {
        let load = |value: &AtomicU64| Duration::from_millis(value.load(Ordering::Relaxed));
        Pace {
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
pub(crate) fn paces(askers: usize, place: usize, plans: bool, bounds: FeedBounds) -> Paces {
    let large = askers >= LARGE_FLEET;
    let closely = plans || place < SUCCESSOR_COUNT;
    let every = |wait, interval| Pace {
        wait: Duration::from_millis(wait),
        interval: Duration::from_millis(interval),
        direct: closely,
    };
    let operators = Pace {
        wait: within(
            bounds.configuration,
            MARGIN,
            if large { 2_000 } else { 1_000 },
        ),
        interval: SHORTEST,
        direct: false,
    };
    let vms = if plans {
        let interval = Duration::from_millis(120);
        Pace {
            wait: within(bounds.drain, interval, 1_000),
            interval,
            direct: true,
        }
    } else {
        Pace {
            wait: VM_WAIT,
            interval: within(
                bounds.drain,
                VM_WAIT + MARGIN,
                if large { 1_300 } else { 600 },
            ),
            direct: false,
        }
    };
    let nodes = match (closely, large) {
        (true, _) => every(2_000, 1_000),
        (false, false) => every(4_000, 3_000),
        (false, true) => every(10_000, 8_000),
    };
    Paces {
        operators,
        vms,
        nodes,
    }
}

/// What a bound leaves for waiting, at most so many milliseconds, if one answer is lost.
fn within(bound: Duration, other: Duration, most: u64) -> Duration {
    let used = other + CALL_SLACK + RETRY_PAUSE;
    bound
        .saturating_sub(used)
        .clamp(SHORTEST, Duration::from_millis(most))
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
