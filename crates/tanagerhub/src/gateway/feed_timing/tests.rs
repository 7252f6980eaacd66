use std::time::Duration;

use super::{FeedBounds, FeedTiming, RESPONSE_MARGIN, feed_timings};
use yare::parameterized;

use crate::gateway::feed::{CALL_SLACK, relay_timeout};
use crate::gateway::feed_source::RETRY_DELAY;

/// Returns the calls per second of a feed without changes.
fn idle_calls(timing: FeedTiming) -> f64 {
    1.0 / timing.wait.max(timing.interval).as_secs_f64()
}

/// Returns the calls per second of a feed with constant changes.
fn busy_calls(timing: FeedTiming) -> f64 {
    1.0 / timing.interval.as_secs_f64()
}

#[test]
fn feed_timings_large_fleet_call_rate() {
    let timings = feed_timings(60, 30, false, bounds(3_000));
    let calls = idle_calls(timings.operators)
        + busy_calls(timings.vms)
        + busy_calls(timings.nodes)
        + idle_calls(timings.crashes);
    assert!(calls < 1.5, "{calls} calls per second");
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
fn feed_timings_keep_bounds(nodes: usize, planning: bool, bound: u64) {
    let timings = feed_timings(nodes, 4, planning, bounds(bound));
    let bound = Duration::from_millis(bound);
    // A change must arrive within its bound even if one response is lost.
    let delay = timings.vms.interval + timings.vms.wait + CALL_SLACK + RETRY_DELAY;
    assert!(delay <= bound, "{delay:?}");
    let delay = timings.operators.interval + timings.operators.wait + CALL_SLACK + RETRY_DELAY;
    assert!(delay <= bound, "{delay:?}");
    // Keys are valid for 4.25 s, and a call without a response times out 0.6 s after its wait.
    assert!(timings.operators.wait + CALL_SLACK < Duration::from_millis(4_250));
}

/// A crashing request may be repeated only for 3 s after its third crash.
#[test]
fn feed_timings_crashes() {
    let timing = feed_timings(6, 4, false, bounds(2_000)).crashes;
    let delay = timing.interval + timing.wait + CALL_SLACK + RETRY_DELAY;
    assert!(delay <= Duration::from_secs(3), "{delay:?}");
}

#[test]
fn feed_timings_planner_intervals() {
    for nodes in [6, 60] {
        assert!(
            feed_timings(nodes, 40, true, bounds(2_000)).vms.interval <= Duration::from_millis(150)
        );
        assert!(
            feed_timings(nodes, 0, false, bounds(2_000)).nodes.interval <= Duration::from_secs(1)
        );
    }
}

#[parameterized(
    small = { 6, 2_000 },
    large = { 60, 3_000 },
    short = { 6, 1_700 },
    long = { 6, 10_000 },
)]
fn feed_timings_keep_bounds_with_silent_peer(store_readers: usize, bound: u64) {
    let timings = feed_timings(store_readers, 4, false, bounds(bound));
    let bound = Duration::from_millis(bound);
    for timing in [timings.operators, timings.vms] {
        // A change must arrive within its bound even if the peer stops responding.
        let delay = relay_timeout(timing) + RESPONSE_MARGIN;
        assert!(delay <= bound, "{delay:?}");
    }
}
