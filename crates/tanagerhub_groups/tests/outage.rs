//! The store is away while members are lost.

#[path = "support/world.rs"]
mod world;

use std::collections::BTreeSet;
use std::time::Duration;

use tanagerhub_catalogue::VmId;
use tanagerhub_groups::{GroupsEvent, KnownBoots};
use world::{Fate, World};
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

/// The node of this start is known to be gone.
fn without(boot: u64) -> KnownBoots {
    KnownBoots {
        live: Vec::new(),
        gone: vec![boot],
    }
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
    world.plan(1, without(1));
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
    world.plan(1, without(1));
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

/// The change that tells the store of a renewal gets no answer, and the rows are as before.
#[test]
fn epochs_rise_after_unknown_change() {
    let mut world = served();
    let (heads, free) = neighbours(&world);
    let head = heads[0].clone();
    for name in &free {
        world.report(name, |report| report.staged = vec!["small".to_owned()]);
    }
    world.set_store_down(true);
    world.silence(&world.members(&head)[1].clone());
    world.suspect(0, &head);
    world.run(4 * SECOND);
    let before = world.machine(&head).report.group.unwrap().epoch;
    world.fates.extend([Fate::Late, Fate::Refused]);
    world.set_store_down(false);
    world.run(Duration::from_millis(200));
    // Another member is lost before the store knows of the first renewal.
    let lost = world.members(&head)[1].clone();
    world.silence(&lost);
    world.suspect(0, &head);
    world.run(4 * SECOND);
    assert!(!world.members(&head).contains(&lost));
    assert!(world.machine(&head).report.group.unwrap().epoch > before);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Small groups of one domain by their heads, at least two, and the domain's free VMs.
fn neighbours(world: &World) -> (Vec<String>, Vec<String>) {
    let domain = |name: &str| name.rsplit_once('-').unwrap().0.to_owned();
    let heads = world.open_heads("small");
    let place = heads
        .iter()
        .map(|head| domain(head))
        .find(|place| heads.iter().filter(|head| domain(head) == *place).count() > 1)
        .unwrap();
    let heads = heads.into_iter().filter(|head| domain(head) == place);
    let held: BTreeSet<String> = world.held(0).into_iter().collect();
    let all = (0..10).map(|number| format!("{place}-{number}"));
    (
        heads.collect(),
        all.filter(|name| !held.contains(name)).collect(),
    )
}

/// Lets a planner without the store renew a group that lost a member; gives the spare it took.
fn take_spare(world: &mut World, head: &str, free: &[String], span: Duration) -> String {
    world.tell(0, GroupsEvent::StoreLost);
    world.silence(&world.members(head)[1].clone());
    world.suspect(0, head);
    world.run(span);
    let members = world.held(0).into_iter();
    let mut taken: Vec<String> = members.filter(|name| free.contains(name)).collect();
    assert_eq!(taken.len(), 1);
    taken.remove(0)
}

/// A spare that a planner without the store took was given to another group meanwhile.
#[test]
fn give_up_spare_taken_meanwhile() {
    let mut world = served();
    let (heads, free) = neighbours(&world);
    for name in &free {
        world.mute(name);
    }
    let taken = take_spare(&mut world, &heads[0], &free, SECOND);
    // The joins never arrive, the planner freezes, and only the taken spare is left.
    world.nodes[0].alive = false;
    world.late_orders.clear();
    world.deliver_orders();
    for name in free.iter().filter(|name| **name != taken) {
        world.silence(name);
    }
    world.silence(&heads[0]);
    world.silence(&world.members(&heads[1])[1].clone());
    world.plan(1, without(1));
    world.run(4 * SECOND);
    assert!(world.members(&heads[1]).contains(&taken));
    world.nodes[1].alive = false;
    world.nodes[0].alive = true;
    world.tell(0, GroupsEvent::StoreReturned);
    world.run(SECOND);
    world.plan(0, without(2));
    world.run(2 * SECOND);
    assert!(world.nodes[0].groups.is_planning());
    let held = world.held(0);
    let distinct: BTreeSet<&String> = held.iter().collect();
    assert_eq!(distinct.len(), held.len());
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// A VM that joined a group before the store knew is no spare for another group.
#[parameterized(
    first = { 0 },
    second = { 1 },
)]
fn leave_spare_to_its_group(renewed: usize) {
    let mut world = served();
    let (mut heads, free) = neighbours(&world);
    heads.rotate_left(renewed);
    let span = Duration::from_millis(700);
    let taken = take_spare(&mut world, &heads[0], &free, span);
    // The planner freezes before the group serves, and only the taken spare is left.
    world.nodes[0].alive = false;
    world.run(2 * SECOND);
    for name in free.iter().filter(|name| **name != taken) {
        world.silence(name);
    }
    let lost = world.members(&heads[1])[1].clone();
    world.silence(&lost);
    world.suspect(1, &heads[1]);
    world.plan(1, without(1));
    world.run(6 * SECOND);
    assert!(world.members(&heads[0]).contains(&taken));
    assert!(world.open_heads("small").contains(&heads[0]));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// VMs that vanish in an outage may be listed again soon after it; those that are not, are gone.
#[parameterized(
    at_once = { 0, 1_500, true },
    at_once_and_late = { 0, 2_000, false },
    later = { 1_500, 600, false },
)]
fn vanish_after_outage(at: u64, wait: u64, listed: bool) {
    let mut world = served();
    let head = world.open_heads("big").remove(0);
    world.set_store_down(true);
    world.run(SECOND);
    world.set_store_down(false);
    world.run(Duration::from_millis(at + 100));
    world.unlist(&head);
    world.run(Duration::from_millis(wait));
    let heads = world.nodes[1].groups.heads();
    assert_eq!(heads.iter().any(|other| other.name == head), listed);
}

/// In a large fleet the nodes without the store don't overrun the VMs with probes.
#[parameterized(
    small_fleet = { 6, 960, 1_230 },
    large_fleet = { 78, 180, 260 },
)]
fn probe_without_store(nodes: usize, least: usize, most: usize) {
    let mut world = World::new(20, 10);
    world.add_node(2);
    world.plan(0, KnownBoots::default());
    world.run(9 * SECOND);
    world.begin_traffic();
    for node in 0..2 {
        world.tell(node, GroupsEvent::Nodes(nodes));
    }
    world.run(SECOND);
    world.set_store_down(true);
    let before = [0, 1].map(|node| world.nodes[node].probes.len());
    world.run(10 * SECOND);
    let probes = [0, 1].map(|node| world.nodes[node].probes.len() - before[node]);
    assert!((least..=most).contains(&probes[1]), "{probes:?}");
    // The node that plans must know of each member.
    assert!(probes[0] >= 960, "{probes:?}");
    let heads = world.open_heads("small").len() + world.open_heads("big").len();
    let heads_probed = world.nodes[1].probes[before[1]..]
        .iter()
        .filter(|vm| world.is_open_head(**vm))
        .count();
    assert!(heads_probed >= 2 * heads, "{heads_probed} of {probes:?}");
}

#[test]
fn leave_gone_vm_alone() {
    let mut world = served();
    let head = world.open_heads("small").remove(0);
    world.silence(&head);
    world.unlist(&head);
    world.run(SECOND);
    let vm = VmId::of(&head);
    let probes = |world: &World| world.nodes[1].probes.iter().filter(|it| **it == vm).count();
    let before = probes(&world);
    world.run(4 * SECOND);
    assert_eq!(probes(&world), before);
}
