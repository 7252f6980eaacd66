//! Reports of VMs with absurd figures, as another writer may leave them in a row.

#[path = "support/simulation.rs"]
mod simulation;

use std::time::Duration;

use simulation::Simulation;
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_groups::{GroupReport, GroupState};
use yare::parameterized;

const SETTLING_TIME: Duration = Duration::from_secs(20);

/// Neither a panic nor a group that isn't renewed may follow from it.
#[parameterized(
    highest = { u32::MAX, u64::MAX, Duration::MAX },
    lowest = { 0, 0, Duration::ZERO },
)]
fn absurd_report_ends_no_node(count: u32, number: u64, time: Duration) {
    let mut simulation = Simulation::serving(1);
    let heads = simulation.open_heads("small");
    let (odd, lost) = (heads[0].clone(), heads[1].clone());
    simulation.report(&odd, |report| {
        report.slots = count;
        report.started_ms = number;
        report.cold_remaining = time;
        report.vm.address.set_port(u16::MAX);
        report.group = Some(GroupReport {
            group: GroupId(number),
            epoch: Epoch(number),
            rank: count,
            state: GroupState::Open,
        });
    });
    simulation.run(SETTLING_TIME);
    let member = simulation.members(&lost)[1].clone();
    simulation.stop_server(&member);
    simulation.run(SETTLING_TIME);
    assert!(!simulation.open_heads("big").is_empty());
    assert!(!simulation.open_heads("small").is_empty());
    assert!(!simulation.assigned(0).contains(&member));
}
