//! Each wait of the planner ends, by an event or a time: a walk through what it waits for.

#[path = "support/simulation.rs"]
mod simulation;

use std::time::Duration;

use simulation::Simulation;
use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_groups::{GroupReport, GroupState, KnownBoots};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a domain of six VMs in which both groups serve.
fn serving_domain() -> Simulation {
    let mut simulation = Simulation::staged(6);
    simulation.plan(0, KnownBoots::default());
    simulation.run(6 * SECOND);
    assert!(simulation.serves_both());
    simulation.begin_traffic();
    simulation
}

fn names() -> impl Iterator<Item = String> {
    (0..6).map(|index| format!("vm-0-{index}"))
}

fn assert_sound(simulation: &Simulation) {
    let violations = &simulation.violations;
    assert!(violations.is_empty(), "{violations:?}");
}

/// `Unknown`: a VM whose reports can't be read is waited for 2 s, and then left out.
#[test]
fn report_that_never_comes() {
    for name in names() {
        let mut simulation = Simulation::staged(6);
        simulation.unreadable.insert(VmId::of(&name));
        simulation.plan(0, KnownBoots::default());
        simulation.run(8 * SECOND);
        assert!(simulation.serves_both(), "{name}");
        assert_sound(&simulation);
    }
}

/// The same for a member of a group that is renewed: a spare takes its place.
#[test]
fn report_of_member_that_never_comes() {
    let mut simulation = serving_domain();
    let head = simulation.open_heads("small").remove(0);
    let silent = simulation.members(&head)[1].clone();
    simulation.unreadable.insert(VmId::of(&silent));
    // What it has said before is too old by then.
    simulation.run(3 * SECOND);
    simulation.report(&silent, |report| {
        report.group = None;
        report.served_model = None;
    });
    simulation.run(6 * SECOND);
    assert!(simulation.serves_both());
    assert!(!simulation.assigned(0).contains(&silent));
    assert_sound(&simulation);
}

/// A join that doesn't end: another VM takes the place after three times what it may take.
#[test]
fn join_that_never_ends() {
    for name in names() {
        let mut simulation = Simulation::staged(6);
        simulation.join_for_ever(&name);
        simulation.plan(0, KnownBoots::default());
        simulation.run(62 * SECOND);
        assert!(simulation.serves_both(), "{name}");
        assert_sound(&simulation);
    }
}

/// `HeadMustLeave`: a spare whose head is ready in a group without a row, and begins no order, leaves
/// before it, and is used once the head must have broken off.
#[test]
fn head_that_never_leaves() {
    let mut simulation = Simulation::staged_for(9, (4, 3));
    simulation.plan(0, KnownBoots::default());
    simulation.run(6 * SECOND);
    assert!(simulation.serves_both());
    simulation.begin_traffic();
    let spares = simulation.spares();
    assert_eq!(spares.len(), 2);
    simulation.hold_orders(&spares[0]);
    for (rank, name) in (0..).zip(&spares) {
        let membership = GroupReport {
            group: GroupId(99),
            epoch: Epoch(1),
            rank,
            state: GroupState::Ready,
        };
        simulation
            .server(name)
            .set_group(membership, spares.clone());
        simulation.report(name, |_| {});
    }
    let big = simulation.open_heads("big").remove(0);
    let stopped = simulation.members(&big)[1].clone();
    simulation.stop_server(&stopped);
    simulation.suspect(0, &big);
    simulation.run(18 * SECOND);
    assert!(simulation.serves_both());
    assert!(simulation.members(&big).contains(&spares[1]));
    assert_sound(&simulation);
}

/// `Taken` by a group with a row ends with the group; one without a row is ended (`strays`). A head that
/// neither serves nor leaves is waited for until its members have left and it must have broken off.
#[test]
fn dissolution_that_never_ends() {
    let mut simulation = serving_domain();
    let head = simulation.open_heads("small").remove(0);
    let member = simulation.members(&head)[1].clone();
    let big = simulation.open_heads("big").remove(0);
    let spare = simulation.spares().remove(0);
    let stopped = [spare, simulation.members(&big)[1].clone()];
    for name in &stopped {
        simulation.stop_server(name);
        simulation.unlist(name);
    }
    simulation.suspect(0, &big);
    simulation.run_until(10 * SECOND, "the head closes", |simulation| {
        simulation.open_heads("small").is_empty()
    });
    // The member restarts, so the group can't go on, and the head begins no order any more.
    simulation.hold_orders(&head);
    simulation.server(&member).report.started_ms += 1;
    simulation.server(&member).order_count = 0;
    simulation.report(&member, |report| {
        report.group = None;
        report.served_model = None;
    });
    simulation.run(20 * SECOND);
    assert_eq!(simulation.open_heads("big").len(), 1);
    assert!(
        simulation
            .members(&simulation.open_heads("big")[0])
            .contains(&member)
    );
    assert_sound(&simulation);
}
