//! One node plans at a time, and two that do so at once do no harm.

#[path = "support/world.rs"]
mod world;

use std::collections::BTreeSet;
use std::time::Duration;

use tanagerhub_groups::KnownBoots;
use world::{Fate, World};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

fn known(live: &[u64], gone: &[u64]) -> KnownBoots {
    KnownBoots {
        live: live.to_vec(),
        gone: gone.to_vec(),
    }
}

fn assert_disjoint(world: &World, node: usize) {
    let held = world.held(node);
    let distinct: BTreeSet<&String> = held.iter().collect();
    assert_eq!(
        distinct.len(),
        held.len(),
        "a VM is in two groups: {held:?}"
    );
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

#[test]
fn plan_once_when_two_try() {
    let mut world = World::new(6, 10);
    world.add_node(2);
    world.plan(0, known(&[2], &[]));
    world.plan(1, known(&[1], &[]));
    world.run(9 * SECOND);
    let planning = world.nodes.iter().filter(|node| node.groups.is_planning());
    assert_eq!(planning.count(), 1);
    assert_disjoint(&world, 0);
}

#[test]
fn plan_twice_without_harm() {
    let mut world = World::new(6, 10);
    world.add_node(2);
    world.plan(0, known(&[], &[2]));
    world.run(Duration::from_millis(1_500));
    // The second node wrongly believes that the first is gone.
    world.plan(1, known(&[], &[1]));
    world.run(9 * SECOND);
    assert!(world.nodes[1].groups.is_planning());
    assert!(!world.nodes[0].groups.is_planning());
    assert_disjoint(&world, 1);
}

#[parameterized(
    live = { &[1], &[], false },
    gone = { &[], &[1], true },
)]
fn take_row_of_other(live: &[u64], gone: &[u64], taken: bool) {
    let mut world = World::new(1, 4);
    world.add_node(2);
    world.plan(0, KnownBoots::default());
    world.run(SECOND);
    world.nodes[0].alive = false;
    world.plan(1, known(live, gone));
    world.run(SECOND);
    assert_eq!(world.nodes[1].groups.is_planning(), taken);
}

#[test]
fn take_row_of_unknown_after_wait() {
    let mut world = World::new(1, 4);
    world.add_node(2);
    world.plan(0, KnownBoots::default());
    world.run(SECOND);
    world.nodes[0].alive = false;
    world.plan(1, KnownBoots::default());
    world.run(SECOND);
    assert!(!world.nodes[1].groups.is_planning());
    world.run(SECOND);
    world.plan(1, KnownBoots::default());
    world.run(SECOND);
    assert!(world.nodes[1].groups.is_planning());
}

#[test]
fn refused_change_is_not_sent_at_once() {
    let mut world = World::new(6, 10);
    world.plan(0, KnownBoots::default());
    world.run(9 * SECOND);
    world.begin_traffic();
    world.fates.extend([Fate::Refused; 100]);
    let lost = world.open_heads("small").remove(0);
    world.silence(&lost);
    world.suspect(0, &lost);
    let before = world.commits;
    world.run(4 * SECOND);
    let sent = world.commits - before;
    assert!((4..=9).contains(&sent), "{sent}");
}

#[parameterized(
    answer_lost = { Fate::AnswerLost },
    late = { Fate::Late },
    refused = { Fate::Refused },
)]
fn form_despite(fate: Fate) {
    let mut world = World::new(6, 10);
    world.plan(0, KnownBoots::default());
    world.run(Duration::from_millis(300));
    world.fates.extend([fate; 3]);
    world.run(3 * SECOND);
    world.deliver_late();
    world.run(9 * SECOND);
    assert!(world.open_heads("big").len() >= 6);
    assert_disjoint(&world, 0);
}
