//! The targets of docs/design/groups.md that are checked in simulated time.

#[path = "support/measure.rs"]
mod measure;
#[path = "support/simulation.rs"]
mod simulation;

use std::time::Duration;

use measure::{LOAD_TIME, RESTART_TIME, Size, VmFault};

/// Six replicas, with a spare VM in each domain and room for two more replicas.
const SMALL: Size = Size {
    entries: &[("advisor", 4, 6)],
    domains: 8,
    vms_each: 5,
    loads_max: 64,
};

#[test]
fn downtime_member_death() {
    let duration = measure::downtime(&SMALL, VmFault::Death);
    assert!(
        duration <= VmFault::Death.floor().mul_f64(1.35),
        "{duration:?}"
    );
}

#[test]
fn downtime_pause() {
    for seconds in [4, 8, 15] {
        let pause = Duration::from_secs(seconds);
        let duration = measure::downtime(&SMALL, VmFault::Pause(pause));
        assert!(duration <= pause + Duration::from_secs(4), "{duration:?}");
    }
}

#[test]
fn downtime_restart() {
    let duration = measure::downtime(&SMALL, VmFault::Restart);
    assert!(
        duration <= RESTART_TIME + LOAD_TIME + Duration::from_secs(10),
        "{duration:?}"
    );
}

#[test]
fn downtime_domain_failure() {
    let duration = measure::domain_downtime(&SMALL);
    assert!(
        duration <= VmFault::Death.floor().mul_f64(1.35),
        "{duration:?}"
    );
}

#[test]
fn stranded_two_hours_of_224_vms() {
    let duration = Duration::from_hours(2);
    let faults = measure::random_faults(&measure::FLEET_224_VMS, duration, 1, 10, 7);
    let fleet = measure::run_fleet(&measure::FLEET_224_VMS, duration, &faults);
    let naive = measure::naive::run_naive(&measure::FLEET_224_VMS, duration, &faults);
    assert!(2 * fleet.excess <= 3 * fleet.floor, "{fleet:?}");
    assert!(10 * fleet.excess <= 7 * naive.excess, "{fleet:?} {naive:?}");
}
