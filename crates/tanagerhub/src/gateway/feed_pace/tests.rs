use std::time::Duration;

use super::{Pace, paces};
use crate::gateway::feed::{CALL_SLACK, RETRY_PAUSE};

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
    let paces = paces(60, 30, false);
    let calls = idle_calls(paces.operators) + busy_calls(paces.vms) + busy_calls(paces.nodes);
    assert!(calls < 1.5, "{calls} calls a second");
}

#[test]
fn paces_keep_the_bounds() {
    for (nodes, plans, bound) in [
        (6, false, 2_000),
        (60, false, 3_000),
        (6, true, 2_000),
        (60, true, 2_000),
    ] {
        let paces = paces(nodes, 4, plans);
        // A change of the VMs must be known within the drain bound, though one answer is lost.
        let lost = paces.vms.interval + paces.vms.wait + CALL_SLACK + RETRY_PAUSE;
        assert!(lost < Duration::from_millis(bound), "{lost:?}");
        // Keys live for 4.25 s, and a call that goes silent is noticed 0.6 s after its wait.
        assert!(paces.operators.wait + CALL_SLACK < Duration::from_millis(4_250));
    }
}

#[test]
fn paces_of_planner_are_quick() {
    for nodes in [6, 60] {
        assert!(paces(nodes, 40, true).vms.interval <= Duration::from_millis(150));
        assert!(paces(nodes, 0, false).nodes.interval <= Duration::from_secs(1));
    }
}
