//! A VM whose reports are fine and which begins no order, or none of a kind, stops no group.

#[path = "support/simulation.rs"]
mod simulation;

use std::collections::BTreeSet;
use std::time::Duration;

use simulation::Simulation;
use tanagerhub_catalogue::VmId;
use tanagerhub_groups::{Decision, GroupState, KnownBoots, Order};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);
/// The time within which another VM takes the place of one that begins no order, and the group serves:
/// five tries, a second apart, and the joins and the open of the renewed group.
const REPLACE_TIME: Duration = Duration::from_secs(9);

type IsHeld = fn(&Order) -> bool;

const fn is_any(_: &Order) -> bool {
    true
}

const fn is_join(order: &Order) -> bool {
    matches!(order, Order::Join { .. })
}

const fn is_open(order: &Order) -> bool {
    matches!(order, Order::Open { .. })
}

const fn is_close(order: &Order) -> bool {
    matches!(order, Order::Close { .. })
}

const fn is_leave(order: &Order) -> bool {
    matches!(order, Order::Leave { .. })
}

const fn is_load(order: &Order) -> bool {
    matches!(order, Order::Stage { .. })
}

fn names(simulation: &Simulation) -> Vec<String> {
    let servers = simulation.servers.values();
    servers
        .map(|server| server.report.vm.name.clone())
        .collect()
}

/// Stops a member of a group that is not its head, which the planner notices.
fn stop_member(simulation: &mut Simulation, head: &str) {
    let stopped = simulation.members(head)[1].clone();
    simulation.stop_server(&stopped);
    simulation.unlist(&stopped);
    simulation.suspect(0, head);
}

fn assert_sound(simulation: &Simulation) {
    let violations = &simulation.violations;
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against a group that waits for ever for one of its members, beside a spare: whichever VM it is,
/// both groups serve without it, or with it where it isn't needed for the order.
#[parameterized(
    any_order = { is_any },
    joins = { is_join },
    opens = { is_open },
)]
fn forming_groups_serve(is_held: IsHeld) {
    let all = names(&Simulation::staged(6));
    for name in &all {
        let mut simulation = Simulation::staged(6);
        simulation.hold_such_orders(name, is_held);
        simulation.plan(0, KnownBoots::default());
        simulation.run(REPLACE_TIME);
        assert!(simulation.serves_both(), "{name} {:?}", simulation.orders);
        assert_sound(&simulation);
    }
}

/// The same while the store is away.
#[parameterized(
    any_order = { is_any },
    joins = { is_join },
    opens = { is_open },
)]
fn renewed_group_serves_in_outage(is_held: IsHeld) {
    // A head that ignores its join stays open at the former epoch here; it isn't counted.
    let open = |simulation: &Simulation, besides: &str| {
        ["big", "small"].map(|model| {
            let mut heads = simulation.open_heads(model);
            heads.retain(|head| head != besides);
            heads.len()
        })
    };
    let all = names(&Simulation::staged(20));
    for name in &all {
        let mut simulation = Simulation::staged(20);
        simulation.add_node(2);
        simulation.plan(0, KnownBoots::default());
        simulation.run(8 * SECOND);
        let before = open(&simulation, "");
        assert!(before.iter().all(|count| *count > 0));
        simulation.begin_traffic();
        simulation.hold_such_orders(name, is_held);
        simulation.set_store_down(true);
        let head = simulation.open_heads("big").remove(0);
        let members = simulation.members(&head);
        let stopped = members.iter().find(|it| *it != name).unwrap();
        simulation.stop_server(stopped);
        simulation.suspect(0, &head);
        simulation.run(REPLACE_TIME + 3 * SECOND);
        let is_in_place = simulation.assigned(0).contains(name);
        let besides = if is_in_place { "" } else { name };
        assert_eq!(open(&simulation, besides), before, "{name}");
        assert_sound(&simulation);
    }
}

/// Guards against a group that is dissolved for ever: its head serves, and begins no order to close or to
/// leave. It goes on, and another group gives way.
#[parameterized(
    any_order = { is_any },
    closes = { is_close },
    leaves = { is_leave },
)]
fn other_group_gives_way(is_held: IsHeld) {
    let mut simulation = Simulation::staged_for(9, (4, 2));
    simulation.plan(0, KnownBoots::default());
    simulation.run_until(10 * SECOND, "three groups serve", |simulation| {
        simulation.open_heads("big").len() == 1 && simulation.open_heads("small").len() == 2
    });
    simulation.begin_traffic();
    let first = simulation.nodes[0].groups.group_statuses(simulation.now);
    let first = first.iter().find(|group| group.model == "small").unwrap();
    let deaf = first.members[0].clone();
    simulation.hold_such_orders(&deaf, is_held);
    let spare = simulation.spares().pop();
    let big = simulation.open_heads("big").remove(0);
    let stopped = [simulation.members(&big)[2].clone(), spare.unwrap()];
    for name in &stopped {
        simulation.stop_server(name);
        simulation.unlist(name);
    }
    simulation.suspect(0, &big);
    simulation.run(REPLACE_TIME + 12 * SECOND);
    assert_eq!(simulation.open_heads("big").len(), 1);
    assert_eq!(simulation.open_heads("small").len(), 1);
    assert_sound(&simulation);
}

/// Guards against a place that waits for a VM which begins no load: another VM gets the model.
#[parameterized(
    any_order = { is_any },
    loads = { is_load },
)]
fn other_vm_loads(is_held: IsHeld) {
    for name in names(&Simulation::staged(6)) {
        let mut simulation = Simulation::new(1, 6);
        simulation.engine.models[0].share = 0.75;
        simulation.engine.models[1].share = 0.25;
        simulation.resize_groups((3, 2));
        simulation.hold_such_orders(&name, is_held);
        simulation.plan(0, KnownBoots::default());
        simulation.run(20 * SECOND);
        assert!(simulation.serves_both(), "{name} {:?}", simulation.orders);
        assert_sound(&simulation);
    }
}

/// A VM that has begun no order is tried again later, and less often. Operators are told.
#[test]
fn deaf_vm_is_tried_again() {
    let mut simulation = Simulation::staged(5);
    // There is no spare, so it is needed.
    simulation.stop_server("vm-0-4");
    simulation.unlist("vm-0-4");
    for name in names(&simulation) {
        simulation.hold_orders(&name);
    }
    simulation.plan(0, KnownBoots::default());
    simulation.run(8 * SECOND);
    let told = simulation.decisions.iter();
    let told = told.filter(|it| matches!(it, Decision::VmIgnoresOrders { .. }));
    let told = told.count();
    assert!(told >= 2, "{:?}", simulation.decisions);
    let groups = &simulation.nodes[0].groups;
    assert_eq!(groups.vms_ignoring_orders(), told);
    let statuses = groups.vm_statuses();
    let ignoring = statuses.iter().filter(|status| status.ignores_orders);
    assert_eq!(ignoring.count(), told);
    simulation.orders.clear();
    simulation.run(20 * SECOND);
    let asked: BTreeSet<VmId> = simulation.orders.iter().map(|(vm, _)| *vm).collect();
    assert!(!asked.is_empty());
    let per_vm = simulation.orders.len() / asked.len();
    assert!((2..=6).contains(&per_vm), "{per_vm}");
    simulation.order_holders.clear();
    simulation.run(9 * SECOND);
    assert!(!simulation.open_heads("small").is_empty() || !simulation.open_heads("big").is_empty());
    let told = simulation.decisions.iter();
    let mut told = told.filter(|it| matches!(it, Decision::VmFollowsOrders { .. }));
    assert!(told.next().is_some());
    assert_sound(&simulation);
}

/// A member that is in place stays, whatever it does with orders.
#[test]
fn deaf_member_in_place_stays() {
    let mut simulation = Simulation::staged(6);
    simulation.plan(0, KnownBoots::default());
    simulation.run_until(10 * SECOND, "both groups serve", Simulation::serves_both);
    simulation.begin_traffic();
    let before = simulation.assigned(0);
    for name in names(&simulation) {
        simulation.hold_orders(&name);
    }
    simulation.orders.clear();
    simulation.run(20 * SECOND);
    assert_eq!(simulation.assigned(0), before);
    assert!(simulation.orders.is_empty(), "{:?}", simulation.orders);
}

/// A spare that ignored orders comes last, also once it may be tried again.
#[test]
fn deaf_spare_comes_last() {
    let mut simulation = Simulation::staged(20);
    simulation.plan(0, KnownBoots::default());
    simulation.run(8 * SECOND);
    simulation.begin_traffic();
    let spares = simulation.spares();
    assert_eq!(spares.len(), 2);
    // Whichever spare is chosen first ignores its orders.
    for spare in &spares {
        simulation.hold_orders(spare);
    }
    let head = simulation.open_heads("small").remove(0);
    stop_member(&mut simulation, &head);
    simulation.run_until(8 * SECOND, "a spare ignores orders", |simulation| {
        simulation.nodes[0].groups.vms_ignoring_orders() > 0
    });
    let statuses = simulation.nodes[0].groups.vm_statuses();
    let deaf = statuses
        .iter()
        .find(|status| status.ignores_orders)
        .unwrap();
    let deaf = deaf.name.clone();
    for spare in spares.iter().filter(|spare| **spare != deaf) {
        simulation.order_holders.remove(&VmId::of(spare));
    }
    simulation.run(7 * SECOND);
    // Another spare, which comes after that one by its id.
    let names = (0..).map(|index| format!("new-{index}"));
    let mut names = names.filter(|name| VmId::of(name) > VmId::of(&deaf));
    let added = names.next().unwrap();
    simulation.add_server(&added, 0);
    simulation.server(&added).report.staged = vec!["big".to_owned(), "small".to_owned()];
    simulation.list_all();
    simulation.run(SECOND);
    let other = simulation.open_heads("small").pop().unwrap();
    simulation.orders.clear();
    stop_member(&mut simulation, &other);
    simulation.run(3 * SECOND);
    let asked = simulation
        .orders
        .iter()
        .any(|(vm, _)| *vm == VmId::of(&deaf));
    assert!(!asked, "{deaf}");
    assert!(simulation.assigned(0).contains(&added));
}

/// Guards against a group that waits for a spare which ignores orders: a smaller group gives way, and the
/// group is not renewed with that spare again and again.
#[test]
fn smaller_group_gives_way_beside_deaf_spare() {
    let mut simulation = Simulation::staged(6);
    simulation.plan(0, KnownBoots::default());
    simulation.run_until(10 * SECOND, "both groups serve", Simulation::serves_both);
    simulation.begin_traffic();
    let spare = simulation.spares().remove(0);
    simulation.hold_orders(&spare);
    let big = simulation.open_heads("big").remove(0);
    stop_member(&mut simulation, &big);
    let commits = simulation.commits;
    simulation.run(20 * SECOND);
    assert_eq!(simulation.open_heads("big").len(), 1);
    assert!(!simulation.assigned(0).contains(&spare));
    assert!(
        simulation.commits - commits < 12,
        "{}",
        simulation.commits - commits
    );
    assert_sound(&simulation);
}

/// A head that breaks off by itself has begun no order.
#[test]
fn deaf_head_that_breaks_off_stays_deaf() {
    let mut simulation = Simulation::staged(6);
    simulation.plan(0, KnownBoots::default());
    simulation.run_until(10 * SECOND, "both groups serve", Simulation::serves_both);
    simulation.begin_traffic();
    let head = simulation.open_heads("big").remove(0);
    simulation.hold_orders(&head);
    stop_member(&mut simulation, &head);
    simulation.run(3 * SECOND);
    simulation.report(&head, |report| {
        let membership = report.group.as_mut().unwrap();
        membership.state = GroupState::Broken;
    });
    simulation.run(3 * SECOND);
    assert_eq!(simulation.nodes[0].groups.vms_ignoring_orders(), 1);
}
