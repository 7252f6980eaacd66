//! Stale, late, repeated and lost orders.

#[path = "support/simulation.rs"]
mod simulation;

use std::time::Duration;

use simulation::{SECOND, Simulation, VmCondition, domains, model_catalogue};
use tanagerhub_catalogue::VmId;
use tanagerhub_fleet::{FleetEvent, Order, OrderKind, OrderResponse};
use yare::parameterized;

const FORM_TIMEOUT: Duration = Duration::from_secs(140);

fn formed_simulation(checks_fencing: bool) -> Simulation {
    let mut simulation =
        Simulation::new(3, domains(3, 5), model_catalogue(&[("advisor", 4, 1, 2)]));
    for engine in simulation.engines.values_mut() {
        engine.checks_fencing = checks_fencing;
    }
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 2);
    simulation
}

/// Returns the join orders of the first group, as a paused sender may still hold them.
fn join_orders(simulation: &Simulation) -> Vec<Order> {
    let (id, row) = simulation.first_group();
    let address = |vm: &VmId| {
        let found = simulation.vms.iter().find(|one| one.id() == *vm);
        found.expect("the VM is not listed").address
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
fn order_from_before_a_swap_arrives_late(checks_fencing: bool) {
    let mut simulation = formed_simulation(checks_fencing);
    let orders = join_orders(&simulation);
    let (id, row) = simulation.first_group();
    simulation.set_condition(row.members[3], VmCondition::Dead);
    simulation.run(3 * SECOND);
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 2);
    for order in orders {
        let response = simulation.apply_order(0, order);
        assert!(!checks_fencing || !matches!(response, Ok(OrderResponse::Accepted)));
    }
    // The next probes find engines that applied a late order, and order them back.
    simulation.run(2 * FORM_TIMEOUT);
    assert_eq!(simulation.serving(0), 2);
    assert!(simulation.table.groups()[&id].epoch > row.epoch);
}

#[parameterized(checked = { true }, ignored = { false })]
fn order_arrives_after_its_group_is_dissolved(checks_fencing: bool) {
    let mut simulation = formed_simulation(checks_fencing);
    let orders = join_orders(&simulation);
    let old_group = simulation.first_group();
    simulation.catalogue.entries[0].limits.replicas_max = 1;
    simulation.catalogue.entries[0].limits.replicas_min = 0;
    simulation.send_state_to_all();
    simulation.run(Duration::from_mins(1));
    let dissolved = !simulation.table.groups().contains_key(&old_group.0);
    for order in orders {
        let stale = matches!(
            simulation.apply_order(0, order),
            Ok(OrderResponse::Stale { .. })
        );
        assert_eq!(stale, checks_fencing && dissolved);
    }
    simulation.catalogue.entries[0].limits.replicas_max = 2;
    simulation.send_state_to_all();
    simulation.run_until(2 * FORM_TIMEOUT, |simulation| simulation.serving(0) == 2);
}

#[test]
fn order_sent_late_by_a_paused_node() {
    let mut simulation = formed_simulation(false);
    let orders = join_orders(&simulation);
    let (id, row) = simulation.first_group();
    simulation.pause_node(0);
    for vm in &row.members {
        simulation.set_condition(*vm, VmCondition::Paused);
    }
    simulation.run(Duration::from_mins(3));
    for vm in &row.members {
        simulation.set_condition(*vm, VmCondition::Alive);
    }
    // The sender resumes and sends its held orders, which every member applies.
    simulation.nodes[0].store_partitioned = true;
    for order in orders {
        let _response = simulation.apply_order(0, order);
    }
    simulation.resume_node(0);
    for _ in 0..400 {
        simulation.step();
        let group_exists = simulation.table.groups().contains_key(&id);
        let view = simulation.view(0, id);
        assert!(group_exists || view.is_none_or(|view| !view.eligible));
    }
}

#[test]
fn order_lost_is_sent_again() {
    let mut simulation =
        Simulation::new(2, domains(1, 4), model_catalogue(&[("advisor", 4, 1, 1)]));
    simulation.hold_orders = true;
    simulation.run(10 * SECOND);
    assert!(!simulation.held_orders.is_empty());
    simulation.hold_orders = false;
    let lost = std::mem::take(&mut simulation.held_orders);
    for (index, order) in lost {
        let event = FleetEvent::Ordered {
            vm: order.vm,
            group: order.group,
            epoch: order.epoch,
            result: Err(tanagerhub_fleet::OrderFailure::Lost),
        };
        simulation.deliver(index, event);
    }
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 1);
}

#[test]
fn order_applied_twice_loads_once() {
    let mut simulation = formed_simulation(false);
    for order in join_orders(&simulation) {
        let vm = order.vm;
        assert_eq!(
            simulation.apply_order(0, order),
            Ok(OrderResponse::Accepted)
        );
        assert_eq!(simulation.engine(vm).loads, 1);
    }
    simulation.run(5 * SECOND);
    assert_eq!(simulation.serving(0), 2);
}

#[test]
fn release_reaches_members_of_a_dissolved_group() {
    let mut simulation = formed_simulation(true);
    simulation.catalogue.entries.clear();
    simulation.send_state_to_all();
    simulation.run(Duration::from_mins(1));
    assert!(simulation.table.groups().is_empty());
    assert!(
        simulation
            .engines
            .values()
            .all(|engine| engine.group.is_none())
    );
}

#[test]
fn member_with_a_newer_epoch_is_not_ordered() {
    let mut simulation =
        Simulation::new(1, domains(1, 4), model_catalogue(&[("advisor", 4, 1, 1)]));
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 1);
    let row = simulation.first_group().1;
    // This node can no longer read rows while a newer epoch is issued.
    simulation.nodes[0].store_partitioned = true;
    simulation.run(3 * SECOND);
    let orders = simulation.nodes[0].fleet.counters().orders;
    let epoch = tanagerhub_catalogue::Epoch(row.epoch.0 + 5);
    for vm in &row.members {
        simulation.engine(*vm).epoch = epoch;
    }
    simulation.run(10 * SECOND);
    assert_eq!(simulation.nodes[0].fleet.counters().orders, orders);
    assert_eq!(simulation.eligible(0), 0);
}
