use std::time::Duration;

use super::{Pace, paces};

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
    for (nodes, bound) in [(6, 2_000), (60, 3_000)] {
        let paces = paces(nodes, 4, false);
        // A change of the VMs must be known within the drain bound.
        assert!(paces.vms.interval * 2 < Duration::from_millis(bound));
        // Keys live for 4.25 s, and a call that goes silent is noticed 0.6 s after its wait.
        assert!(paces.operators.wait + Duration::from_millis(600) < Duration::from_millis(4_250));
    }
}

#[test]
fn paces_of_planner_are_quick() {
    for nodes in [6, 60] {
        assert!(paces(nodes, 40, true).vms.interval <= Duration::from_millis(150));
        assert!(paces(nodes, 0, false).nodes.interval <= Duration::from_secs(1));
    }
}
