use std::time::Duration;

use super::{FeedBounds, MARGIN, Pace, paces};
use yare::parameterized;

use crate::gateway::feed::{CALL_SLACK, relay_patience};
use crate::gateway::feed_source::RETRY_PAUSE;

/// Calls a second of a feed without any change.
fn idle_calls(pace: Pace) -> f64 {
    1.0 / pace.wait.max(pace.interval).as_secs_f64()
}

/// Calls a second of a feed that always has changes.
fn busy_calls(pace: Pace) -> f64 {
    1.0 / pace.interval.as_secs_f64()
}

#[test]
fn paces_of_large_fleet_are_slow() {
    let paces = paces(60, 30, false, bounds(3_000));
    let calls = idle_calls(paces.operators) + busy_calls(paces.vms) + busy_calls(paces.nodes);
    assert!(calls < 1.5, "{calls} calls a second");
}

fn bounds(millis: u64) -> FeedBounds {
    let bound = Duration::from_millis(millis);
    FeedBounds {
        drain: bound,
        configuration: bound,
    }
}

#[parameterized(
    small = { 6, false, 2_000 },
    large = { 60, false, 3_000 },
    large_fast = { 60, false, 2_000 },
    short = { 6, false, 1_500 },
    long = { 6, false, 10_000 },
    planner = { 6, true, 2_000 },
    large_planner = { 60, true, 2_000 },
    planner_short = { 6, true, 1_500 },
)]
fn paces_keep_bounds(nodes: usize, plans: bool, bound: u64) {
    let paces = paces(nodes, 4, plans, bounds(bound));
    let bound = Duration::from_millis(bound);
    // A change must be known within its bound, though one answer is lost.
    let lost = paces.vms.interval + paces.vms.wait + CALL_SLACK + RETRY_PAUSE;
    assert!(lost <= bound, "{lost:?}");
    let lost = paces.operators.interval + paces.operators.wait + CALL_SLACK + RETRY_PAUSE;
    assert!(lost <= bound, "{lost:?}");
    // Keys live for 4.25 s, and a call that goes silent is noticed 0.6 s after its wait.
    assert!(paces.operators.wait + CALL_SLACK < Duration::from_millis(4_250));
}

#[test]
fn paces_of_planner_are_quick() {
    for nodes in [6, 60] {
        assert!(paces(nodes, 40, true, bounds(2_000)).vms.interval <= Duration::from_millis(150));
        assert!(paces(nodes, 0, false, bounds(2_000)).nodes.interval <= Duration::from_secs(1));
    }
}

#[parameterized(
    small = { 6, 2_000 },
    large = { 60, 3_000 },
    short = { 6, 1_700 },
    long = { 6, 10_000 },
)]
fn paces_keep_bounds_by_way_of_peer(askers: usize, bound: u64) {
    let paces = paces(askers, 4, false, bounds(bound));
    let bound = Duration::from_millis(bound);
    for pace in [paces.operators, paces.vms] {
        // A change must be known within its bound, though the peer has gone silent.
        let late = relay_patience(pace) + MARGIN;
        assert!(late <= bound, "{late:?}");
    }
}
