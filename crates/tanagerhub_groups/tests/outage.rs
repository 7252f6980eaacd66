//! The store is away while members are lost.

#[path = "support/world.rs"]
mod world;

use std::collections::BTreeSet;
use std::time::Duration;

use tanagerhub_groups::{GroupsEvent, KnownBoots};
use world::World;
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

/// Six domains in service, with a second node that only looks on.
fn served() -> World {
    let mut world = World::new(6, 10);
    world.add_node(2);
    world.plan(0, KnownBoots::default());
    world.run(9 * SECOND);
    world.begin_traffic();
    world
}

fn lose_member(world: &mut World, model: &str) -> String {
    let head = world.open_heads(model).remove(0);
    let lost = world.members(&head)[1].clone();
    world.silence(&lost);
    world.suspect(0, &head);
    world.suspect(1, &head);
    head
}

#[parameterized(
    big = { "big" },
    small = { "small" },
)]
fn renew_during_outage(model: &str) {
    let mut world = served();
    let groups = world.open_heads(model).len();
    world.set_store_down(true);
    world.run(SECOND);
    let head = lose_member(&mut world, model);
    world.run(4 * SECOND);
    assert_eq!(world.open_heads(model).len(), groups);
    // Nodes that don't plan learn of it from the VMs themselves.
    let listed = world.nodes[1].groups.heads();
    assert!(listed.iter().any(|listed| listed.name == head));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    // The store learns of it without another epoch.
    let before = world.machine(&head).report.group.unwrap().epoch;
    world.set_store_down(false);
    world.run(3 * SECOND);
    assert_eq!(world.machine(&head).report.group.unwrap().epoch, before);
    assert_eq!(world.open_heads(model).len(), groups);
}

#[test]
fn next_planner_knows_what_was_renewed() {
    let mut world = served();
    world.set_store_down(true);
    lose_member(&mut world, "small");
    world.run(4 * SECOND);
    world.set_store_down(false);
    world.run(2 * SECOND);
    let held: BTreeSet<String> = world.held(0).into_iter().collect();
    world.nodes[0].alive = false;
    let gone = vec![1];
    world.plan(
        1,
        KnownBoots {
            live: Vec::new(),
            gone,
        },
    );
    world.run(2 * SECOND);
    let known: BTreeSet<String> = world.held(1).into_iter().collect();
    assert_eq!(known, held);
}

/// The store turns the planner away, and another node plans meanwhile.
#[test]
fn two_planners_do_no_harm() {
    let mut world = served();
    world.tell(0, GroupsEvent::StoreLost);
    world.run(SECOND);
    let gone = vec![1];
    world.plan(
        1,
        KnownBoots {
            live: Vec::new(),
            gone,
        },
    );
    world.run(SECOND);
    for model in ["big", "small", "small"] {
        lose_member(&mut world, model);
        world.run(Duration::from_millis(700));
    }
    world.run(6 * SECOND);
    world.tell(0, GroupsEvent::StoreReturned);
    world.run(6 * SECOND);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let planning = world.nodes.iter().filter(|node| node.groups.is_planning());
    assert_eq!(planning.count(), 1);
    let held = world.held(1);
    let distinct: BTreeSet<&String> = held.iter().collect();
    assert_eq!(distinct.len(), held.len());
}
