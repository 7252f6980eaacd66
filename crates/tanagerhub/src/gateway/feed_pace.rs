//! How often a node asks the store, by the size of the fleet.
//!
//! All nodes share the store, so what each may ask shrinks as they become more. What must be known
//! within a bound keeps it: the bounds are on the longest wait of a feed and the time between two.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tanagerhub_groups::SUCCESSORS;

/// The fleet from which on nodes ask more rarely.
const LARGE_FLEET: usize = 20;

/// How one table is followed; control changes it while the feed runs.
#[derive(Debug)]
pub(crate) struct FeedPace {
    wait: AtomicU64,
    interval: AtomicU64,
}

/// What the three feeds of a node share with control.
#[derive(Debug, Clone)]
pub(crate) struct FeedPaces {
    pub(crate) operators: Arc<FeedPace>,
    pub(crate) vms: Arc<FeedPace>,
    pub(crate) nodes: Arc<FeedPace>,
}

impl Default for FeedPaces {
    fn default() -> Self {
        let paces = paces(1, 0, false);
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
}

impl FeedPace {
    pub(crate) fn new(pace: Pace) -> Self {
        let shared = Self {
            wait: AtomicU64::new(0),
            interval: AtomicU64::new(0),
        };
        shared.set(pace);
        shared
    }

    pub(crate) fn set(&self, pace: Pace) {
        self.wait.store(millis(pace.wait), Ordering::Relaxed);
        self.interval
            .store(millis(pace.interval), Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> Pace {
        let load = |value: &AtomicU64| Duration::from_millis(value.load(Ordering::Relaxed));
        Pace {
            wait: load(&self.wait),
            interval: load(&self.interval),
        }
    }
}

/// The paces for a node of a fleet of `nodes`, which `place` others precede by name.
pub(crate) fn paces(nodes: usize, place: usize, plans: bool) -> Paces {
    let large = nodes >= LARGE_FLEET;
    let every = |wait, interval| Pace {
        wait: Duration::from_millis(wait),
        interval: Duration::from_millis(interval),
    };
    let operators = if large {
        every(2_000, 100)
    } else {
        every(1_000, 100)
    };
    // Short waits, so that a lost answer is noticed within the drain bound.
    let vms = match (plans, large) {
        (true, _) => every(1_000, 120),
        (false, false) => every(500, 600),
        (false, true) => every(500, 1_300),
    };
    let closely = plans || place < SUCCESSORS;
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

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
