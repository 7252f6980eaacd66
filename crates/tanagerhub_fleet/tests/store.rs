//! The table: lost responses, outages, and planners that race each other.

#[path = "support/simulation.rs"]
mod simulation;

use std::time::Duration;

use simulation::{SECOND, Simulation, VmCondition, domains, model_catalogue};
use tanagerhub_catalogue::{Vm, VmId};
use tanagerhub_fleet::{FleetEvent, Reason, Subject};
use yare::parameterized;

const FORM_TIMEOUT: Duration = Duration::from_secs(140);

fn new_simulation(nodes: usize) -> Simulation {
    Simulation::new(
        nodes,
        domains(6, 5),
        model_catalogue(&[("advisor", 4, 2, 3)]),
    )
}

fn formed_simulation(nodes: usize) -> Simulation {
    let mut simulation = new_simulation(nodes);
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 3);
    simulation
}

#[test]
fn forming_lost_responses() {
    let mut simulation = new_simulation(3);
    simulation.table.lost_responses = 5;
    simulation.run_until(2 * FORM_TIMEOUT, |simulation| simulation.serving(0) == 3);
    assert_eq!(simulation.table.groups().len(), 3);
    // Each commit with a lost response is read back and found applied, so that no group is formed
    // twice.
    let formed = |node: &simulation::Node| node.fleet.counters().formed;
    assert_eq!(simulation.nodes.iter().map(formed).sum::<u64>(), 3);
}

#[test]
fn swapping_lost_responses() {
    let mut simulation = formed_simulation(3);
    let (id, row) = simulation.first_group();
    simulation.set_condition(row.members[0], VmCondition::Dead);
    simulation.table.lost_responses = 1;
    simulation.run(3 * SECOND);
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 3);
    assert_eq!(simulation.table.groups()[&id].epoch, row.epoch.next());
}

#[test]
fn draining_and_dissolving_lost_responses() {
    let mut simulation = formed_simulation(3);
    simulation.catalogue.entries[0].limits.replicas_max = 1;
    simulation.send_state_to_all();
    simulation.table.lost_responses = 4;
    simulation.run_until(Duration::from_secs(90), |simulation| {
        simulation.table.groups().len() == 1
    });
    simulation.run(Duration::from_secs(30));
    assert_eq!(simulation.serving(0), 1);
    let row = simulation.first_group().1;
    let decisions: Vec<_> = simulation
        .nodes
        .iter()
        .flat_map(|node| node.fleet.explain(Subject::Entry(row.entry)))
        .collect();
    assert!(decisions.iter().any(|one| one.reason == Reason::AnswerLost));
}

#[test]
fn outage_stops_formation_and_nothing_else() {
    let mut simulation = formed_simulation(3);
    simulation.table.down = true;
    simulation.catalogue.entries[0].limits.replicas_max = 4;
    simulation.send_state_to_all();
    let commits = simulation.table.commits;
    for _ in 0..60 {
        simulation.run(10 * SECOND);
        assert_eq!(simulation.eligible(0), 3);
    }
    assert_eq!(simulation.table.commits, commits);
    simulation.table.down = false;
    simulation.run_until(2 * FORM_TIMEOUT, |simulation| simulation.serving(0) == 4);
}

#[test]
fn outage_lets_restarted_members_load_again() {
    let mut simulation = formed_simulation(3);
    let vm = simulation.first_group().1.members[1];
    simulation.table.down = true;
    simulation.run(Duration::from_mins(2));
    simulation.set_condition(vm, VmCondition::Refusing);
    simulation.run(5 * SECOND);
    simulation.set_condition(vm, VmCondition::Alive);
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 3);
}

#[test]
fn outage_limits_retries() {
    let mut simulation = formed_simulation(3);
    simulation.table.down = true;
    let before = simulation.nodes[0].fleet.counters().failed_reads;
    simulation.run(Duration::from_mins(10));
    let calls = simulation.nodes[0].fleet.counters().failed_reads - before;
    assert!(calls <= 30, "{calls} calls in ten minutes");
}

#[test]
fn outage_start_uses_peer_rows() {
    let mut simulation = formed_simulation(3);
    simulation.table.down = true;
    simulation.run(10 * SECOND);
    simulation.restart_node(2);
    simulation.run(3 * SECOND);
    assert_eq!(simulation.eligible(2), 0);
    let rows = simulation.nodes[0].fleet.rows();
    simulation.deliver(2, FleetEvent::PeerRows(rows));
    simulation.run(3 * SECOND);
    assert_eq!(simulation.eligible(2), 3);
}

#[parameterized(two = { 2 }, three = { 3 }, five = { 5 })]
fn planners_isolated_from_each_other(nodes: usize) {
    let mut simulation = new_simulation(nodes);
    // Each node's peer list contains only itself, so that each plans and watches everything.
    for index in 0..nodes {
        let node = &simulation.nodes[index];
        let peer = tanagerhub_fleet::Peer {
            node: node.id,
            data_centre: node.data_centre,
        };
        simulation.deliver(index, FleetEvent::Peers(vec![peer]));
    }
    simulation.run_until(2 * FORM_TIMEOUT, |simulation| simulation.serving(0) == 3);
    assert_eq!(simulation.table.groups().len(), 3);
    let vm = simulation.first_group().1.members[0];
    simulation.set_condition(vm, VmCondition::Dead);
    simulation.run(3 * SECOND);
    simulation.run_until(2 * FORM_TIMEOUT, |simulation| simulation.serving(0) == 3);
    let conflicts: u64 = simulation
        .nodes
        .iter()
        .map(|node| node.fleet.counters().conflicts)
        .sum();
    assert!(conflicts > 0);
}

/// Returns a simulation of two nodes without each other in their peer lists, and of one domain that
/// fits one group.
fn isolated_nodes() -> Simulation {
    let mut simulation = Simulation::new(
        2,
        domains(1, 4),
        model_catalogue(&[("a", 4, 1, 1), ("b", 4, 1, 1)]),
    );
    for index in 0..2 {
        simulation.deliver(index, FleetEvent::Catalogue(std::sync::Arc::default()));
        let node = &simulation.nodes[index];
        let peer = tanagerhub_fleet::Peer {
            node: node.id,
            data_centre: node.data_centre,
        };
        simulation.deliver(index, FleetEvent::Peers(vec![peer]));
    }
    simulation
}

/// Gives one node a catalogue with one entry, or none.
fn set_entry(simulation: &mut Simulation, index: usize, entry: Option<usize>) {
    let mut catalogue = simulation.catalogue.clone();
    catalogue.version = catalogue.version.next();
    simulation.catalogue.version = catalogue.version;
    let kept = entry.map(|entry| catalogue.entries[entry].clone());
    catalogue.entries = kept.into_iter().collect();
    simulation.deliver(index, FleetEvent::Catalogue(std::sync::Arc::new(catalogue)));
}

fn conflicts(simulation: &Simulation) -> u64 {
    let nodes = simulation.nodes.iter();
    nodes.map(|node| node.fleet.counters().conflicts).sum()
}

#[test]
fn planners_racing_for_the_same_vms() {
    let mut simulation = isolated_nodes();
    for round in 1..=3 {
        // Both resume from a pause, so that both plan at the same tick.
        for index in 0..2 {
            simulation.pause_node(index);
        }
        simulation.run(2 * SECOND);
        for index in 0..2 {
            simulation.resume_node(index);
        }
        set_entry(&mut simulation, 0, Some(0));
        set_entry(&mut simulation, 1, Some(1));
        simulation.run_until(10 * SECOND, |simulation| {
            !simulation.table.groups().is_empty()
        });
        simulation.run(SECOND);
        assert_eq!(simulation.table.groups().len(), 1);
        assert_eq!(conflicts(&simulation), round);
        set_entry(&mut simulation, 0, None);
        set_entry(&mut simulation, 1, None);
        simulation.run_until(FORM_TIMEOUT, |simulation| {
            simulation.table.groups().is_empty()
        });
        simulation.run(20 * SECOND);
    }
}

#[test]
fn vm_of_an_unknown_group_is_not_claimed() {
    let mut simulation = new_simulation(1);
    let allocated: Vec<VmId> = simulation.vms.iter().take(20).map(Vm::id).collect();
    for vm in &allocated {
        simulation.table.put(
            tanagerhub_fleet::rows::vm_key(*vm),
            &tanagerhub_fleet::rows::VmRow {
                epoch: tanagerhub_catalogue::Epoch(7),
                group: Some(tanagerhub_catalogue::GroupId(1)),
            },
        );
    }
    simulation.run(FORM_TIMEOUT);
    let groups = simulation.table.groups();
    assert!(
        groups
            .values()
            .all(|row| row.members.iter().all(|vm| !allocated.contains(vm)))
    );
    assert!(simulation.nodes[0].fleet.counters().commits < 10);
}

#[test]
fn planner_partitioned_from_the_table_is_replaced() {
    let mut simulation = new_simulation(3);
    let planner =
        |node: &simulation::Node| node.fleet.status(tanagerhub_clock::Moment::ZERO).planner;
    let first = simulation
        .nodes
        .iter()
        .position(|node| planner(node) == Some(0));
    simulation.nodes[first.expect("no node is the first planner")].store_partitioned = true;
    simulation.run_until(2 * FORM_TIMEOUT, |simulation| {
        (0..3).all(|index| Some(index) == first || simulation.serving(index) == 3)
    });
}

#[test]
fn planner_paused_between_read_and_commit_conflicts() {
    let mut simulation = new_simulation(3);
    let planner =
        |node: &simulation::Node| node.fleet.status(tanagerhub_clock::Moment::ZERO).planner;
    let index = simulation
        .nodes
        .iter()
        .position(|node| planner(node) == Some(0));
    let index = index.expect("no node is the first planner");
    // The planner has received its reports and rows when it is paused.
    simulation.run(Duration::from_millis(500));
    simulation.pause_node(index);
    simulation.run_until(2 * FORM_TIMEOUT, |simulation| {
        (0..3).all(|other| other == index || simulation.serving(other) == 3)
    });
    simulation.resume_node(index);
    simulation.run(Duration::from_secs(30));
    assert_eq!(simulation.table.groups().len(), 3);
    assert_eq!(simulation.eligible(index), 3);
}

#[test]
fn idle_node_limits_reads() {
    let mut simulation = formed_simulation(3);
    let before = simulation.table.reads;
    simulation.run(Duration::from_mins(5));
    let reads = simulation.table.reads - before;
    // The limit is a quarter of a read per second and node.
    assert!(reads <= 3 * 75, "{reads} reads");
}

#[test]
fn bad_row_is_counted_and_ignored() {
    let mut simulation = formed_simulation(1);
    let mut rows: Vec<_> = simulation.nodes[0].fleet.rows();
    rows[0].value = vec![0xff; 3];
    simulation.deliver(0, FleetEvent::PeerRows(rows));
    assert_eq!(simulation.nodes[0].fleet.counters().bad_rows, 1);
    assert_eq!(simulation.serving(0), 3);
}

#[test]
fn vm_without_response_is_not_claimed() {
    let mut simulation = new_simulation(2);
    let dead: Vec<VmId> = simulation.vms.iter().step_by(5).map(Vm::id).collect();
    for vm in &dead {
        simulation.set_condition(*vm, VmCondition::Dead);
    }
    simulation.run_until(2 * FORM_TIMEOUT, |simulation| simulation.serving(0) == 3);
    for row in simulation.table.groups().values() {
        assert!(row.members.iter().all(|vm| !dead.contains(vm)));
    }
}
