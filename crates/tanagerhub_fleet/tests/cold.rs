//! Cold start: slots, turning cold and warming up.

#[path = "support/world.rs"]
mod world;

use std::time::Duration;

use tanagerhub_fleet::{FleetEvent, Health, NotServing, Phase};
use world::{SECOND, World, domains, models};

const FORMED: Duration = Duration::from_secs(140);

fn formed(nodes: usize) -> World {
    let mut world = World::new(nodes, domains(3, 4), models(&[("advisor", 4, 1, 1)]));
    world.run_until(FORMED, |world| world.serving(0) == 1);
    world
}

fn slots(world: &World) -> Vec<u32> {
    let id = world.first().0;
    (0..world.nodes.len())
        .map(|place| world.view(place, id).map_or(0, |view| view.cold_slots))
        .collect()
}

#[test]
fn slots_add_up_to_the_limit() {
    let mut world = World::new(5, domains(3, 4), models(&[("advisor", 4, 1, 1)]));
    world.run_until(FORMED, |world| {
        world.views(0).any(|view| view.phase == Phase::Warming)
    });
    world.run(SECOND);
    assert_eq!(slots(&world).iter().sum::<u32>(), 2);
    let id = world.first().0;
    for (place, own) in slots(&world).into_iter().enumerate() {
        let view = world.view(place, id).expect("a group");
        assert_eq!(view.eligible, own > 0);
        assert!(view.eligible || view.why_not == Some(NotServing::NoColdSlots));
    }
}

#[test]
fn group_turns_cold_without_warning() {
    let mut world = formed(5);
    let (id, row) = world.first();
    for vm in &row.members {
        world.engine(*vm).warm_at = None;
    }
    world.run(Duration::from_millis(1_500));
    let cold = |place| world.view(place, id).map(|view| view.health) == Some(Health::Cold);
    assert!((0..5).all(cold));
    assert_eq!(slots(&world).iter().sum::<u32>(), 2);
    let now = world.now;
    for vm in &row.members {
        world.engine(*vm).warm_at = Some(now);
    }
    world.run(2 * SECOND);
    assert_eq!(world.serving(4), 1);
}

#[test]
fn group_is_cold_at_once_where_traffic_sees_it() {
    let mut world = formed(2);
    let (id, row) = world.first();
    world.give(
        0,
        FleetEvent::TurnedCold {
            group: id,
            epoch: row.epoch,
        },
    );
    assert_eq!(
        world.view(0, id).map(|view| view.health),
        Some(Health::Cold)
    );
}

#[test]
fn slots_move_only_after_the_old_holder_stopped() {
    let mut world = formed(4);
    let row = world.first().1;
    for vm in &row.members {
        world.engine(*vm).warm_at = None;
    }
    world.run(2 * SECOND);
    let holder = slots(&world).iter().position(|own| *own > 0);
    let holder = holder.expect("a holder");
    // The holder loses its peers and the table, and goes on.
    world.nodes[holder].peer_cut = true;
    world.nodes[holder].store_cut = true;
    let others: Vec<usize> = (0..4).filter(|place| *place != holder).collect();
    world.spread_to(&others);
    for _ in 0..(4 * 120) {
        world.step();
        // `check` counts the slots of all nodes, with the one that is cut off.
        assert!(slots(&world).iter().sum::<u32>() <= 2);
    }
    let now = slots(&world);
    assert_eq!(now[holder], 0);
    assert_eq!(now.iter().sum::<u32>(), 2);
}

#[test]
fn slots_of_a_slow_reader_and_a_new_holder_never_overlap() {
    let mut world = formed(4);
    let (id, row) = world.first();
    for vm in &row.members {
        world.engine(*vm).warm_at = None;
    }
    world.run(2 * SECOND);
    let holder = slots(&world).iter().position(|own| *own > 0);
    let holder = holder.expect("a holder");
    // The holder is only cut off from its peers: it still reads rows, now and then.
    world.nodes[holder].peer_cut = true;
    let others: Vec<usize> = (0..4).filter(|place| *place != holder).collect();
    world.spread_to(&others);
    for _ in 0..(4 * 120) {
        world.step();
        assert!(slots(&world).iter().sum::<u32>() <= 2);
    }
    assert!(world.table.groups()[&id].moves > 0);
}

#[test]
fn slots_stop_when_the_rows_grow_old() {
    let mut world = formed(2);
    let (id, row) = world.first();
    world.table.down = true;
    for vm in &row.members {
        world.engine(*vm).warm_at = None;
    }
    world.run(20 * SECOND);
    assert_eq!(slots(&world), [0, 0]);
    assert_eq!(
        world.view(0, id).and_then(|view| view.why_not),
        Some(NotServing::StaleSlots)
    );
}

#[test]
#[should_panic(expected = "cold slots")]
fn check_finds_too_many_slots() {
    let mut world = formed(2);
    world.catalogue.entries[0].limits.cold.concurrency = 3;
    world.catalogue.entries[0].limits.replicas_max = 2;
    world.spread();
    world.run(FORMED);
}
