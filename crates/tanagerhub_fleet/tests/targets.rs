//! The targets of docs/design/groups.md that are held on logical time.

#[path = "support/measure.rs"]
mod measure;
#[path = "support/world.rs"]
mod world;

use std::time::Duration;

use measure::{Blow, LOAD, RESTART, Size};

/// Six replicas, with a spare in each domain and room for two more.
const SMALL: Size = Size {
    entries: &[("advisor", 4, 6)],
    domains: 8,
    vms_each: 5,
    loads_max: 64,
};

#[test]
fn downtime_member_death() {
    let span = measure::downtime(&SMALL, Blow::Death);
    assert!(span <= Blow::Death.floor().mul_f64(1.35), "{span:?}");
}

#[test]
fn downtime_pause() {
    for seconds in [4, 8, 15] {
        let pause = Duration::from_secs(seconds);
        let span = measure::downtime(&SMALL, Blow::Pause(pause));
        assert!(span <= pause + Duration::from_secs(4), "{span:?}");
    }
}

#[test]
fn downtime_restart() {
    let span = measure::downtime(&SMALL, Blow::Restart);
    assert!(span <= RESTART + LOAD + Duration::from_secs(10), "{span:?}");
}

#[test]
fn downtime_domain_dark() {
    let span = measure::domain_downtime(&SMALL);
    assert!(span <= Blow::Death.floor().mul_f64(1.35), "{span:?}");
}

#[test]
fn stranded_two_hours_of_today() {
    let span = Duration::from_hours(2);
    let blows = measure::day(&measure::TODAY, span, 1, 10, 7);
    let fleet = measure::run_fleet(&measure::TODAY, span, &blows);
    let naive = measure::run_naive(&measure::TODAY, span, &blows);
    assert!(2 * fleet.excess <= 3 * fleet.floor, "{fleet:?}");
    assert!(10 * fleet.excess <= 7 * naive.excess, "{fleet:?} {naive:?}");
}
