//! Joins without the number of orders: which VMs get them, and that a late one has no effect.

#[path = "support/simulation.rs"]
mod simulation;

use std::time::Duration;

use simulation::{Simulation, joined_count};
use tanagerhub_catalogue::{Epoch, VmId};
use tanagerhub_groups::{GroupsEvent, KnownBoots, Order, OrderResult};

const SECOND: Duration = Duration::from_secs(1);

/// Returns the joins that a VM was sent: the epochs, and the numbers of orders that they name.
fn joins(simulation: &Simulation, name: &str) -> Vec<(Epoch, Option<u64>)> {
    let vm = VmId::of(name);
    let orders = simulation.orders.iter().filter(|(to, _)| *to == vm);
    let joins = orders.filter_map(|(_, order)| match order {
        Order::Join { epoch, proof, .. } => Some((*epoch, joined_count(proof))),
        Order::Open { .. } | Order::Close { .. } | Order::Leave { .. } | Order::Stage { .. } => {
            None
        }
    });
    joins.collect()
}

/// Returns a VM's joins that were left unanswered.
fn held_joins(simulation: &Simulation, name: &str) -> Vec<Order> {
    let vm = VmId::of(name);
    let held = simulation.held_orders.iter().filter(|(to, _)| *to == vm);
    let orders = held.map(|(_, order)| order.clone());
    orders
        .filter(|order| matches!(order, Order::Join { .. }))
        .collect()
}

const fn names_number(order: &Order) -> bool {
    matches!(order, Order::Join { proof, .. } if joined_count(proof).is_some())
}

const fn is_join(order: &Order) -> bool {
    matches!(order, Order::Join { .. })
}

/// Returns a simulation of one domain in which the VMs have the model `small` and no group yet.
fn before_first_join() -> Simulation {
    let mut simulation = Simulation::new(1, 5);
    simulation.resize_big(8);
    for server in simulation.servers.values_mut() {
        server.report.staged = vec!["small".to_owned()];
    }
    simulation.list_all();
    simulation
}

/// Guards against a group that never serves (review/13): its head leaves each join unanswered that names
/// the number of orders, and there was no other join.
#[test]
fn vm_that_answers_no_number_serves() {
    let mut simulation = before_first_join();
    for index in 0..5 {
        simulation.hold_such_orders(&format!("vm-0-{index}"), names_number);
    }
    simulation.plan(0, KnownBoots::default());
    simulation.run(8 * SECOND);
    assert_eq!(simulation.open_heads("small").len(), 2);
    assert!(simulation.violations.is_empty());
}

/// Guards against late joins that bring a VM back: the sole join and those that name a number are
/// carried out after the VM has served and has left. It has seen a higher epoch than theirs.
#[test]
fn late_sole_join_is_refused() {
    let mut simulation = before_first_join();
    simulation.plan(0, KnownBoots::default());
    let held = |simulation: &Simulation| {
        let mut names = (0..5).map(|index| format!("vm-0-{index}"));
        names.find(|name| joins(simulation, name).iter().any(|join| join.1.is_none()))
    };
    for index in 0..5 {
        simulation.hold_such_orders(&format!("vm-0-{index}"), is_join);
    }
    simulation.run_until(8 * SECOND, "a sole join", |simulation| {
        held(simulation).is_some()
    });
    let name = held(&simulation).unwrap();
    simulation.order_holders.clear();
    simulation.run_until(8 * SECOND, "the VM joins", |simulation| {
        simulation.servers[&VmId::of(&name)].report.group.is_some()
    });
    let membership = simulation.server(&name).report.group.unwrap();
    let (group, epoch) = (membership.group, membership.epoch);
    simulation.run(3 * SECOND);
    let vm = VmId::of(&name);
    simulation.execute_order(vm, &Order::Leave { group, epoch });
    let late = held_joins(&simulation, &name);
    assert!(late.len() >= 4, "{late:?}");
    for order in late {
        let result = simulation.execute_order(vm, &order);
        assert_ne!(result, OrderResult::Accepted, "{order:?}");
        assert_eq!(simulation.server(&name).report.group, None);
    }
}

/// A VM gets one sole join at an epoch and no other join there, and each later join has a higher epoch.
#[test]
fn sole_join_is_alone_at_its_epoch() {
    let mut simulation = before_first_join();
    for index in 0..5 {
        simulation.hold_such_orders(&format!("vm-0-{index}"), is_join);
    }
    simulation.plan(0, KnownBoots::default());
    simulation.run(20 * SECOND);
    let mut count = 0;
    for index in 0..5 {
        let joins = joins(&simulation, &format!("vm-0-{index}"));
        for (place, (epoch, number)) in joins.iter().enumerate() {
            if number.is_none() {
                count += 1;
                assert!(joins[..place].iter().all(|earlier| earlier.0 < *epoch));
                assert!(joins[place + 1..].iter().all(|later| later.0 > *epoch));
            }
        }
    }
    assert!(count >= 2, "{:?}", simulation.orders);
}

/// A VM that refuses the number of orders understands it, and gets no join without it.
#[test]
fn refused_number_stays() {
    let mut simulation = before_first_join();
    for index in 0..5 {
        simulation.refuse_joins(&format!("vm-0-{index}"));
    }
    simulation.plan(0, KnownBoots::default());
    simulation.run(12 * SECOND);
    for index in 0..5 {
        let joins = joins(&simulation, &format!("vm-0-{index}"));
        assert!(joins.iter().all(|join| join.1.is_some()), "{joins:?}");
    }
    assert!(!simulation.orders.is_empty());
}

/// Guards against a late join that follows a newer one: a new planner went on with a group at the epoch
/// of the one before it, which may be lower than that of a join that is still under way.
#[test]
fn epoch_of_earlier_planner_is_not_joined() {
    let mut simulation = before_first_join();
    simulation.add_node(2);
    for index in 0..5 {
        simulation.hold_such_orders(&format!("vm-0-{index}"), is_join);
    }
    simulation.plan(0, KnownBoots::default());
    simulation.run(2 * SECOND);
    simulation.nodes[0].alive = false;
    let earlier = simulation.orders.drain(..);
    let earlier = earlier.filter_map(|(_, order)| match order {
        Order::Join { epoch, .. } => Some(epoch),
        _ => None,
    });
    let newest = earlier.max().unwrap();
    simulation.order_holders.clear();
    let boots = KnownBoots {
        ended: vec![1],
        ..KnownBoots::default()
    };
    simulation.plan(1, boots);
    simulation.run(6 * SECOND);
    assert_eq!(simulation.open_heads("small").len(), 2);
    for index in 0..5 {
        let joins = joins(&simulation, &format!("vm-0-{index}"));
        assert!(joins.iter().all(|join| join.0 > newest), "{joins:?}");
    }
}

/// A new planner renews no group whose members are all there, and none whose rows lag behind.
#[test]
fn complete_group_keeps_its_epoch() {
    let mut simulation = before_first_join();
    simulation.add_node(2);
    simulation.plan(0, KnownBoots::default());
    simulation.run(6 * SECOND);
    assert_eq!(simulation.open_heads("small").len(), 2);
    simulation.nodes[0].alive = false;
    simulation.orders.clear();
    let mut lagging = simulation.server("vm-0-0").report.clone();
    lagging.group = None;
    simulation.send_event(1, GroupsEvent::VmChanged(lagging));
    let boots = KnownBoots {
        ended: vec![1],
        ..KnownBoots::default()
    };
    simulation.plan(1, boots);
    simulation.run(3 * SECOND);
    assert!(simulation.nodes[1].groups.is_planning());
    let joins = simulation.orders.iter().filter(|(_, order)| is_join(order));
    assert_eq!(joins.count(), 0, "{:?}", simulation.orders);
}

/// Guards against a group that is never renewed: a member of its last epoch answers no join with a number,
/// and only a VM in no group gets one without. It is led out first.
#[test]
fn member_that_answers_no_number_is_renewed() {
    let mut simulation = before_first_join();
    simulation.plan(0, KnownBoots::default());
    simulation.run(6 * SECOND);
    simulation.begin_traffic();
    let head = simulation.open_heads("small").remove(0);
    let stopped = simulation.members(&head)[1].clone();
    simulation.hold_such_orders(&head, names_number);
    simulation.stop_server(&stopped);
    simulation.suspect(0, &head);
    simulation.run(10 * SECOND);
    assert_eq!(simulation.open_heads("small").len(), 2);
    let last = joins(&simulation, &head).pop().unwrap();
    assert_eq!(last.1, None);
    assert!(simulation.violations.is_empty());
}

/// A VM that took part by a join without a number gets the next one with it.
#[test]
fn join_after_sole_one_names_number() {
    let mut simulation = before_first_join();
    for index in 0..5 {
        simulation.hold_such_orders(&format!("vm-0-{index}"), names_number);
    }
    simulation.plan(0, KnownBoots::default());
    simulation.run(8 * SECOND);
    simulation.begin_traffic();
    simulation.order_holders.clear();
    let head = simulation.open_heads("small").remove(0);
    assert_eq!(joins(&simulation, &head).pop().unwrap().1, None);
    let stopped = simulation.members(&head)[1].clone();
    simulation.stop_server(&stopped);
    simulation.suspect(0, &head);
    simulation.run(3 * SECOND);
    assert!(joins(&simulation, &head).pop().unwrap().1.is_some());
    assert_eq!(simulation.open_heads("small").len(), 2);
}
