//! One node is the planner at a time, and two concurrent planners keep the groups disjoint.

#[path = "support/simulation.rs"]
mod simulation;

use std::collections::BTreeSet;
use std::time::Duration;

use simulation::{CommitFault, Simulation};
use tanagerhub_groups::KnownBoots;
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

fn known_boots(live: &[u64], ended: &[u64]) -> KnownBoots {
    KnownBoots {
        live: live.to_vec(),
        ended: ended.to_vec(),
        lapsed: Vec::new(),
    }
}

fn assert_disjoint(simulation: &Simulation, node: usize) {
    let assigned = simulation.assigned(node);
    let distinct: BTreeSet<&String> = assigned.iter().collect();
    assert_eq!(
        distinct.len(),
        assigned.len(),
        "a VM is in two groups: {assigned:?}"
    );
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

#[test]
fn become_planner_once_for_two_nodes() {
    let mut simulation = Simulation::new(6, 10);
    simulation.add_node(2);
    simulation.plan(0, known_boots(&[2], &[]));
    simulation.plan(1, known_boots(&[1], &[]));
    simulation.run(9 * SECOND);
    let planning = simulation
        .nodes
        .iter()
        .filter(|node| node.groups.is_planning());
    assert_eq!(planning.count(), 1);
    assert_disjoint(&simulation, 0);
}

#[test]
fn take_over_from_live_planner_keeps_groups_disjoint() {
    let mut simulation = Simulation::new(6, 10);
    simulation.add_node(2);
    simulation.plan(0, known_boots(&[], &[2]));
    simulation.run(Duration::from_millis(1_500));
    // The second node wrongly considers the first one ended.
    simulation.plan(1, known_boots(&[], &[1]));
    simulation.run(9 * SECOND);
    assert!(simulation.nodes[1].groups.is_planning());
    assert!(!simulation.nodes[0].groups.is_planning());
    assert_disjoint(&simulation, 1);
}

#[parameterized(
    live = { &[1], &[], false },
    ended = { &[], &[1], true },
)]
fn take_over_by_known_boot(live: &[u64], ended: &[u64], taken_over: bool) {
    let mut simulation = Simulation::new(1, 4);
    simulation.add_node(2);
    simulation.plan(0, KnownBoots::default());
    simulation.run(SECOND);
    simulation.nodes[0].alive = false;
    simulation.plan(1, known_boots(live, ended));
    simulation.run(SECOND);
    assert_eq!(simulation.nodes[1].groups.is_planning(), taken_over);
}

#[test]
fn take_over_unknown_planner_after_timeout() {
    let mut simulation = Simulation::new(1, 4);
    simulation.add_node(2);
    simulation.plan(0, KnownBoots::default());
    simulation.run(SECOND);
    simulation.nodes[0].alive = false;
    simulation.plan(1, KnownBoots::default());
    simulation.run(2 * SECOND);
    simulation.plan(1, KnownBoots::default());
    simulation.run(Duration::from_millis(500));
    assert!(!simulation.nodes[1].groups.is_planning());
    simulation.run(SECOND);
    simulation.plan(1, KnownBoots::default());
    simulation.run(SECOND);
    assert!(simulation.nodes[1].groups.is_planning());
}

#[test]
fn refused_change_is_retried_after_delay() {
    let mut simulation = Simulation::new(6, 10);
    simulation.plan(0, KnownBoots::default());
    simulation.run(9 * SECOND);
    simulation.begin_traffic();
    simulation.commit_faults.extend([CommitFault::Refused; 100]);
    let stopped = simulation.open_heads("small").remove(0);
    simulation.stop_server(&stopped);
    simulation.suspect(0, &stopped);
    let before = simulation.commits;
    simulation.run(4 * SECOND);
    let sent = simulation.commits - before;
    assert!((4..=9).contains(&sent), "{sent}");
}

#[parameterized(
    response_lost = { CommitFault::ResponseLost },
    delayed = { CommitFault::Delayed },
    refused = { CommitFault::Refused },
)]
fn form_groups_despite_commit_fault(fault: CommitFault) {
    let mut simulation = Simulation::new(6, 10);
    simulation.plan(0, KnownBoots::default());
    simulation.run(Duration::from_millis(300));
    simulation.commit_faults.extend([fault; 3]);
    simulation.run(3 * SECOND);
    simulation.apply_delayed();
    simulation.run(9 * SECOND);
    assert!(simulation.open_heads("big").len() >= 6);
    assert_disjoint(&simulation, 0);
}
