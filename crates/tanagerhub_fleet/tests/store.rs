//! The table: lost answers, outages, racing deciders.

#[path = "support/world.rs"]
mod world;

use std::time::Duration;

use tanagerhub_catalogue::{Vm, VmId};
use tanagerhub_fleet::{FleetEvent, Reason, Subject};
use world::{SECOND, Up, World, domains, models};
use yare::parameterized;

const FORMED: Duration = Duration::from_secs(140);

fn new_world(nodes: usize) -> World {
    World::new(nodes, domains(6, 5), models(&[("advisor", 4, 2, 3)]))
}

fn formed(nodes: usize) -> World {
    let mut world = new_world(nodes);
    world.run_until(FORMED, |world| world.serving(0) == 3);
    world
}

#[test]
fn answers_lost_while_forming() {
    let mut world = new_world(3);
    world.table.lose = 5;
    world.run_until(2 * FORMED, |world| world.serving(0) == 3);
    assert_eq!(world.table.groups().len(), 3);
    // Each is read back and recognised, so that none is formed twice.
    let formed = |node: &world::Node| node.fleet.counters().formed;
    assert_eq!(world.nodes.iter().map(formed).sum::<u64>(), 3);
}

#[test]
fn answers_lost_while_swapping() {
    let mut world = formed(3);
    let (id, row) = world.first();
    world.set_up(row.members[0], Up::Dead);
    world.table.lose = 1;
    world.run(3 * SECOND);
    world.run_until(FORMED, |world| world.serving(0) == 3);
    assert_eq!(world.table.groups()[&id].epoch, row.epoch.next());
}

#[test]
fn answers_lost_while_draining_and_dissolving() {
    let mut world = formed(3);
    world.catalogue.entries[0].limits.replicas_max = 1;
    world.spread();
    world.table.lose = 4;
    world.run_until(Duration::from_secs(90), |world| {
        world.table.groups().len() == 1
    });
    world.run(Duration::from_secs(30));
    assert_eq!(world.serving(0), 1);
    let row = world.first().1;
    let notes: Vec<_> = world
        .nodes
        .iter()
        .flat_map(|node| node.fleet.explain(Subject::Entry(row.entry)))
        .collect();
    assert!(notes.iter().any(|one| one.reason == Reason::AnswerLost));
}

#[test]
fn outage_stops_formation_and_nothing_else() {
    let mut world = formed(3);
    world.table.down = true;
    world.catalogue.entries[0].limits.replicas_max = 4;
    world.spread();
    let commits = world.table.commits;
    for _ in 0..60 {
        world.run(10 * SECOND);
        assert_eq!(world.eligible(0), 3);
    }
    assert_eq!(world.table.commits, commits);
    world.table.down = false;
    world.run_until(2 * FORMED, |world| world.serving(0) == 4);
}

#[test]
fn outage_lets_restarted_members_load_again() {
    let mut world = formed(3);
    let vm = world.first().1.members[1];
    world.table.down = true;
    world.run(Duration::from_mins(2));
    world.set_up(vm, Up::Refusing);
    world.run(5 * SECOND);
    world.set_up(vm, Up::Alive);
    world.run_until(FORMED, |world| world.serving(0) == 3);
}

#[test]
fn outage_is_not_hammered() {
    let mut world = formed(3);
    world.table.down = true;
    let before = world.nodes[0].fleet.counters().failed_reads;
    world.run(Duration::from_mins(10));
    let calls = world.nodes[0].fleet.counters().failed_reads - before;
    assert!(calls <= 30, "{calls} calls in ten minutes");
}

#[test]
fn node_that_starts_in_an_outage_learns_from_a_peer() {
    let mut world = formed(3);
    world.table.down = true;
    world.run(10 * SECOND);
    world.restart_node(2);
    world.run(3 * SECOND);
    assert_eq!(world.eligible(2), 0);
    let rows = world.nodes[0].fleet.rows();
    world.give(2, FleetEvent::PeerRows(rows));
    world.run(3 * SECOND);
    assert_eq!(world.eligible(2), 3);
}

#[parameterized(two = { 2 }, three = { 3 }, five = { 5 })]
fn deciders_that_know_nothing_of_each_other(nodes: usize) {
    let mut world = new_world(nodes);
    // Each node believes that it is alone, so that each plans and watches everything.
    for place in 0..nodes {
        let node = &world.nodes[place];
        let peer = tanagerhub_fleet::Peer {
            node: node.id,
            data_centre: node.data_centre,
        };
        world.give(place, FleetEvent::Peers(vec![peer]));
    }
    world.run_until(2 * FORMED, |world| world.serving(0) == 3);
    assert_eq!(world.table.groups().len(), 3);
    let vm = world.first().1.members[0];
    world.set_up(vm, Up::Dead);
    world.run(3 * SECOND);
    world.run_until(2 * FORMED, |world| world.serving(0) == 3);
    let conflicts: u64 = world
        .nodes
        .iter()
        .map(|node| node.fleet.counters().conflicts)
        .sum();
    assert!(conflicts > 0);
}

/// Two nodes that know nothing of each other, and of one domain that fits one group.
fn rivals() -> World {
    let mut world = World::new(2, domains(1, 4), models(&[("a", 4, 1, 1), ("b", 4, 1, 1)]));
    for place in 0..2 {
        world.give(place, FleetEvent::Catalogue(std::sync::Arc::default()));
        let node = &world.nodes[place];
        let peer = tanagerhub_fleet::Peer {
            node: node.id,
            data_centre: node.data_centre,
        };
        world.give(place, FleetEvent::Peers(vec![peer]));
    }
    world
}

/// Lets one node serve one entry, or none.
fn want(world: &mut World, place: usize, entry: Option<usize>) {
    let mut catalogue = world.catalogue.clone();
    catalogue.version = catalogue.version.next();
    world.catalogue.version = catalogue.version;
    let kept = entry.map(|entry| catalogue.entries[entry].clone());
    catalogue.entries = kept.into_iter().collect();
    world.give(place, FleetEvent::Catalogue(std::sync::Arc::new(catalogue)));
}

fn conflicts(world: &World) -> u64 {
    let nodes = world.nodes.iter();
    nodes.map(|node| node.fleet.counters().conflicts).sum()
}

#[test]
fn deciders_that_want_the_same_vms_at_once() {
    let mut world = rivals();
    for round in 1..=3 {
        // Both wake from a pause, so that both plan at the same tick.
        for place in 0..2 {
            world.pause_node(place);
        }
        world.run(2 * SECOND);
        for place in 0..2 {
            world.wake_node(place);
        }
        want(&mut world, 0, Some(0));
        want(&mut world, 1, Some(1));
        world.run_until(10 * SECOND, |world| !world.table.groups().is_empty());
        world.run(SECOND);
        assert_eq!(world.table.groups().len(), 1);
        assert_eq!(conflicts(&world), round);
        want(&mut world, 0, None);
        want(&mut world, 1, None);
        world.run_until(FORMED, |world| world.table.groups().is_empty());
        world.run(20 * SECOND);
    }
}

#[test]
fn vm_taken_by_an_unknown_group_is_not_enlisted() {
    let mut world = new_world(1);
    let taken: Vec<VmId> = world.vms.iter().take(20).map(Vm::id).collect();
    for vm in &taken {
        world.table.put(
            tanagerhub_fleet::rows::vm_key(*vm),
            &tanagerhub_fleet::rows::VmRow {
                epoch: tanagerhub_catalogue::Epoch(7),
                group: Some(tanagerhub_catalogue::GroupId(1)),
            },
        );
    }
    world.run(FORMED);
    let groups = world.table.groups();
    assert!(
        groups
            .values()
            .all(|row| row.members.iter().all(|vm| !taken.contains(vm)))
    );
    assert!(world.nodes[0].fleet.counters().commits < 10);
}

#[test]
fn planner_cut_off_from_the_table_is_replaced() {
    let mut world = new_world(3);
    let planner = |node: &world::Node| node.fleet.status(tanagerhub_clock::Moment::ZERO).planner;
    let first = world.nodes.iter().position(|node| planner(node) == Some(0));
    world.nodes[first.expect("a planner")].store_cut = true;
    world.run_until(2 * FORMED, |world| {
        (0..3).all(|place| Some(place) == first || world.serving(place) == 3)
    });
}

#[test]
fn planner_paused_between_read_and_commit_loses_the_race() {
    let mut world = new_world(3);
    let planner = |node: &world::Node| node.fleet.status(tanagerhub_clock::Moment::ZERO).planner;
    let place = world.nodes.iter().position(|node| planner(node) == Some(0));
    let place = place.expect("a planner");
    // Its probes are answered and its rows are read, and then it stands still.
    world.run(Duration::from_millis(500));
    world.pause_node(place);
    world.run_until(2 * FORMED, |world| {
        (0..3).all(|other| other == place || world.serving(other) == 3)
    });
    world.wake_node(place);
    world.run(Duration::from_secs(30));
    assert_eq!(world.table.groups().len(), 3);
    assert_eq!(world.eligible(place), 3);
}

#[test]
fn quiet_node_reads_little() {
    let mut world = formed(3);
    let before = world.table.reads;
    world.run(Duration::from_mins(5));
    let reads = world.table.reads - before;
    // A quarter of a read each second and node.
    assert!(reads <= 3 * 75, "{reads} reads");
}

#[test]
fn bad_row_is_counted_and_left_alone() {
    let mut world = formed(1);
    let mut rows: Vec<_> = world.nodes[0].fleet.rows();
    rows[0].value = vec![0xff; 3];
    world.give(0, FleetEvent::PeerRows(rows));
    assert_eq!(world.nodes[0].fleet.counters().bad_rows, 1);
    assert_eq!(world.serving(0), 3);
}

#[test]
fn vm_without_answer_is_not_enlisted() {
    let mut world = new_world(2);
    let dead: Vec<VmId> = world.vms.iter().step_by(5).map(Vm::id).collect();
    for vm in &dead {
        world.set_up(*vm, Up::Dead);
    }
    world.run_until(2 * FORMED, |world| world.serving(0) == 3);
    for row in world.table.groups().values() {
        assert!(row.members.iter().all(|vm| !dead.contains(vm)));
    }
}
