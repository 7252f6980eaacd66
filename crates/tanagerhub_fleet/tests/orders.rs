//! Orders: stale, late, repeated and lost.

#[path = "support/world.rs"]
mod world;

use std::time::Duration;

use tanagerhub_catalogue::VmId;
use tanagerhub_fleet::{FleetEvent, Order, OrderAnswer, OrderKind};
use world::{SECOND, Up, World, domains, models};
use yare::parameterized;

const FORMED: Duration = Duration::from_secs(140);

fn formed(checks: bool) -> World {
    let mut world = World::new(3, domains(3, 5), models(&[("advisor", 4, 1, 2)]));
    for engine in world.engines.values_mut() {
        engine.checks = checks;
    }
    world.run_until(FORMED, |world| world.serving(0) == 2);
    world
}

/// The orders that formed the first group, as a paused sender would still hold them.
fn old_orders(world: &World) -> Vec<Order> {
    let (id, row) = world.first();
    let address = |vm: &VmId| {
        let found = world.vms.iter().find(|one| one.id() == *vm);
        found.expect("a known VM").address
    };
    let members: Vec<_> = row.members.iter().map(address).collect();
    let join = |(rank, vm): (u16, &VmId)| Order {
        vm: *vm,
        group: id,
        epoch: row.epoch,
        kind: OrderKind::Join {
            rank: tanagerhub_catalogue::Rank(rank),
            weights: "advisor-weights".to_owned(),
            members: members.clone(),
        },
    };
    (0..).zip(&row.members).map(join).collect()
}

#[parameterized(checked = { true }, ignored = { false })]
fn order_from_before_a_swap_arrives_late(checks: bool) {
    let mut world = formed(checks);
    let orders = old_orders(&world);
    let (id, row) = world.first();
    world.set_up(row.members[3], Up::Dead);
    world.run(3 * SECOND);
    world.run_until(FORMED, |world| world.serving(0) == 2);
    for order in orders {
        let answer = world.obey(0, order);
        assert!(!checks || !matches!(answer, Ok(OrderAnswer::Accepted)));
    }
    // Engines that obeyed are found by the next probes, and ordered back.
    world.run(2 * FORMED);
    assert_eq!(world.serving(0), 2);
    assert!(world.table.groups()[&id].epoch > row.epoch);
}

#[parameterized(checked = { true }, ignored = { false })]
fn order_arrives_after_its_group_is_gone(checks: bool) {
    let mut world = formed(checks);
    let orders = old_orders(&world);
    let old = world.first();
    world.catalogue.entries[0].limits.replicas_max = 1;
    world.catalogue.entries[0].limits.replicas_min = 0;
    world.spread();
    world.run(Duration::from_mins(1));
    let gone = !world.table.groups().contains_key(&old.0);
    for order in orders {
        let stale = matches!(world.obey(0, order), Ok(OrderAnswer::Stale { .. }));
        assert_eq!(stale, checks && gone);
    }
    world.catalogue.entries[0].limits.replicas_max = 2;
    world.spread();
    world.run_until(2 * FORMED, |world| world.serving(0) == 2);
}

#[test]
fn sender_paused_with_all_orders_of_a_dissolved_group() {
    let mut world = formed(false);
    let orders = old_orders(&world);
    let (id, row) = world.first();
    world.pause_node(0);
    for vm in &row.members {
        world.set_up(*vm, Up::Paused);
    }
    world.run(Duration::from_mins(3));
    for vm in &row.members {
        world.set_up(*vm, Up::Alive);
    }
    // The sender wakes and sends what it held; every member obeys.
    world.nodes[0].store_cut = true;
    for order in orders {
        let _answer = world.obey(0, order);
    }
    world.wake_node(0);
    for _ in 0..400 {
        world.step();
        let known = world.table.groups().contains_key(&id);
        let view = world.view(0, id);
        assert!(known || view.is_none_or(|view| !view.eligible));
    }
}

#[test]
fn order_lost_is_sent_again() {
    let mut world = World::new(2, domains(1, 4), models(&[("advisor", 4, 1, 1)]));
    world.hold_orders = true;
    world.run(10 * SECOND);
    assert!(!world.kept_orders.is_empty());
    world.hold_orders = false;
    let lost = std::mem::take(&mut world.kept_orders);
    for (place, order) in lost {
        let event = FleetEvent::Ordered {
            vm: order.vm,
            group: order.group,
            epoch: order.epoch,
            result: Err(tanagerhub_fleet::OrderFailure::Lost),
        };
        world.give(place, event);
    }
    world.run_until(FORMED, |world| world.serving(0) == 1);
}

#[test]
fn order_obeyed_twice_loads_once() {
    let mut world = formed(false);
    for order in old_orders(&world) {
        let vm = order.vm;
        assert_eq!(world.obey(0, order), Ok(OrderAnswer::Accepted));
        assert_eq!(world.engine(vm).loads, 1);
    }
    world.run(5 * SECOND);
    assert_eq!(world.serving(0), 2);
}

#[test]
fn release_reaches_members_of_a_dissolved_group() {
    let mut world = formed(true);
    world.catalogue.entries.clear();
    world.spread();
    world.run(Duration::from_mins(1));
    assert!(world.table.groups().is_empty());
    assert!(world.engines.values().all(|engine| engine.group.is_none()));
}

#[test]
fn member_in_a_newer_group_is_left_alone() {
    let mut world = World::new(1, domains(1, 4), models(&[("advisor", 4, 1, 1)]));
    world.run_until(FORMED, |world| world.serving(0) == 1);
    let row = world.first().1;
    // This node reads nothing more, while a newer epoch is given out.
    world.nodes[0].store_cut = true;
    world.run(3 * SECOND);
    let orders = world.nodes[0].fleet.counters().orders;
    let epoch = tanagerhub_catalogue::Epoch(row.epoch.0 + 5);
    for vm in &row.members {
        world.engine(*vm).epoch = epoch;
    }
    world.run(10 * SECOND);
    assert_eq!(world.nodes[0].fleet.counters().orders, orders);
    assert_eq!(world.eligible(0), 0);
}
