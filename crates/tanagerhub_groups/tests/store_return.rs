//! The store returns from a copy that is older than groups in service.

#[path = "support/simulation.rs"]
mod simulation;

use std::collections::BTreeMap;
use std::time::Duration;

use simulation::{CommitFault, Simulation};
use tanagerhub_catalogue::{Epoch, VmId};
use tanagerhub_groups::{GroupsEvent, KnownBoots, Order};
use tanagerhub_table::{CommitResult, RowKey, StoreEra};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

fn known_boots(live: &[u64], ended: &[u64]) -> KnownBoots {
    KnownBoots {
        live: live.to_vec(),
        ended: ended.to_vec(),
        lapsed: Vec::new(),
    }
}

/// Returns a simulation whose store names its first era, and whose first node has just become the
/// planner.
fn planner_before_groups() -> Simulation {
    let mut simulation = Simulation::new(2, 10);
    simulation.store.era = Some(StoreEra(1));
    simulation.add_node(2);
    simulation.plan(0, known_boots(&[], &[]));
    simulation.run(Duration::from_millis(300));
    assert!(simulation.nodes[0].groups.is_planning());
    simulation
}

/// The members of each group in service, by its head, and the highest epoch that VMs report.
fn groups_in_service(simulation: &Simulation) -> BTreeMap<String, Vec<String>> {
    let models = ["big", "small"].into_iter();
    let heads = models.flat_map(|model| simulation.open_heads(model));
    heads
        .map(|head| (head.clone(), simulation.members(&head)))
        .collect()
}

fn highest_epoch(simulation: &Simulation) -> Epoch {
    let reports = simulation.servers.values().map(|server| &server.report);
    let epochs = reports.filter_map(|report| Some(report.group?.epoch));
    epochs.max().unwrap()
}

fn group_rows(simulation: &Simulation) -> usize {
    let keys = simulation.store.rows.keys();
    keys.filter(|key| key.name().starts_with("g/")).count()
}

/// Guards against joins of other groups at the members of open ones, whose rows the store has lost:
/// the planner keeps its groups, and a new planner takes up those that VMs report.
#[parameterized(
    same_planner = { false },
    new_planner = { true },
)]
fn open_groups_stay(planner_ends: bool) {
    let mut simulation = planner_before_groups();
    let copy = simulation.store.clone();
    simulation.run(40 * SECOND);
    let before = groups_in_service(&simulation);
    assert!(before.len() >= 4, "{before:?}");
    simulation.orders.clear();
    simulation.return_store(copy);
    if planner_ends {
        simulation.nodes[0].alive = false;
        simulation.run(4 * SECOND);
        simulation.plan(1, known_boots(&[], &[1]));
    }
    simulation.run(10 * SECOND);
    let planner = usize::from(planner_ends);
    assert!(simulation.nodes[planner].groups.is_planning());
    assert_eq!(groups_in_service(&simulation), before);
    let joins = simulation.orders.iter();
    let joins: Vec<_> = joins
        .filter(|(_, order)| matches!(order, Order::Join { .. }))
        .collect();
    assert!(joins.is_empty(), "{joins:?}");
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
    assert_eq!(group_rows(&simulation), before.len());
}

/// Guards against epochs that are issued again, since the versions that they come from fell.
#[test]
fn epochs_rise_over_return() {
    let mut simulation = planner_before_groups();
    let copy = simulation.store.clone();
    simulation.run(40 * SECOND);
    let before = highest_epoch(&simulation);
    simulation.return_store(copy);
    simulation.run(4 * SECOND);
    let (head, members) = groups_in_service(&simulation).pop_first().unwrap();
    simulation.stop_server(&members[1]);
    simulation.run(20 * SECOND);
    let head = simulation.servers[&VmId::of(&head)].report.group.unwrap();
    assert!(head.epoch > before, "{head:?} after {before:?}");
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// A planner waits until the rows are complete, and until the VMs have reported again.
#[test]
fn no_change_before_rows_are_complete() {
    let mut simulation = planner_before_groups();
    simulation.run(40 * SECOND);
    let copy = simulation.store.clone();
    let commits = simulation.commits;
    simulation.return_store(copy);
    simulation.run(2 * SECOND);
    assert_eq!(simulation.commits, commits);
    assert!(simulation.nodes[0].groups.is_planning());
    simulation.run(2 * SECOND);
    assert!(simulation.commits > commits);
}

/// Guards against a transaction of an earlier era that is carried out late: its condition holds
/// again once the same version is given to another row.
#[parameterized(
    next_era = { 1 },
    after_two_returns = { 2 },
)]
fn late_transaction_of_earlier_era(returns: usize) {
    let mut simulation = planner_before_groups();
    let copy = simulation.store.clone();
    simulation.commit_faults.push_back(CommitFault::Delayed);
    simulation.run_until(40 * SECOND, "a delayed change", |it| !it.delayed.is_empty());
    let late = simulation.delayed.remove(0);
    for _ in 0..returns {
        simulation.return_store(copy.clone());
        simulation.run(5 * SECOND);
    }
    // The planner's row gets the version that the transaction requires.
    let required = late
        .conditions
        .iter()
        .find_map(|condition| match condition {
            tanagerhub_table::Condition::Version { version, .. } => Some(*version),
            tanagerhub_table::Condition::Absent { .. } => None,
        });
    let key = RowKey::in_table("groups", "planner");
    let row = simulation.store.rows.get_mut(&key).unwrap();
    row.version = required.unwrap();
    assert_eq!(simulation.apply(&late), CommitResult::Conflict);
}

/// A planner that another one has replaced in the new era yields to it.
#[test]
fn planner_of_new_era_is_obeyed() {
    let mut simulation = planner_before_groups();
    simulation.run(40 * SECOND);
    let copy = simulation.store.clone();
    simulation.return_store(copy);
    simulation.set_store_down(true);
    simulation.run(4 * SECOND);
    simulation.nodes[0].alive = false;
    simulation.set_store_down(false);
    simulation.plan(1, known_boots(&[], &[1]));
    simulation.run(SECOND);
    assert!(simulation.nodes[1].groups.is_planning());
    simulation.nodes[0].alive = true;
    simulation.run(2 * SECOND);
    assert!(!simulation.nodes[0].groups.is_planning());
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// Guards against a next planner whose epochs are lower than those that were issued after the
/// return, since they come from versions that fell.
#[test]
fn epochs_rise_for_next_planner() {
    let mut simulation = planner_before_groups();
    let copy = simulation.store.clone();
    simulation.run(40 * SECOND);
    simulation.return_store(copy);
    simulation.run(4 * SECOND);
    let stop_member = |simulation: &mut Simulation| {
        let (_, members) = groups_in_service(simulation).pop_first().unwrap();
        simulation.stop_server(&members[1]);
        simulation.run(20 * SECOND);
    };
    stop_member(&mut simulation);
    let before = highest_epoch(&simulation);
    let groups = groups_in_service(&simulation).len();
    simulation.nodes[0].alive = false;
    simulation.plan(1, known_boots(&[], &[1]));
    simulation.run(SECOND);
    assert!(simulation.nodes[1].groups.is_planning());
    stop_member(&mut simulation);
    assert!(highest_epoch(&simulation) > before);
    assert_eq!(groups_in_service(&simulation).len(), groups);
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// Guards against a planner that starts while the store returns from a copy: it took the copy's rows
/// for the present, and joined VMs of groups that the copy lacks.
#[test]
fn starting_planner_waits_for_complete_rows() {
    let mut simulation = planner_before_groups();
    simulation.run(40 * SECOND);
    simulation.begin_traffic();
    let copy = simulation.store.clone();
    simulation.nodes[0].alive = false;
    simulation.return_store(copy);
    simulation.add_node(3);
    let restored_at = simulation.now + Duration::from_millis(2_500);
    simulation.send_event(2, GroupsEvent::EraObserved(restored_at));
    let orders = simulation.orders.len();
    for _ in 0..28 {
        simulation.plan(2, known_boots(&[], &[1]));
        simulation.run(Duration::from_millis(100));
        assert!(!simulation.nodes[2].groups.is_planning());
    }
    assert_eq!(simulation.orders.len(), orders);
    simulation.run(Duration::from_millis(300));
    simulation.plan(2, known_boots(&[], &[1]));
    simulation.run(SECOND);
    assert!(simulation.nodes[2].groups.is_planning());
}

/// Guards against a late join that follows a newer one: a node that started after the return took over, and
/// issued epochs below one that no VM had told of, since its join was still under way.
#[test]
fn epochs_rise_for_planner_that_saw_no_return() {
    let mut simulation = planner_before_groups();
    let copy = simulation.store.clone();
    let names: Vec<String> = simulation
        .servers
        .values()
        .map(|server| server.report.vm.name.clone())
        .collect();
    for name in &names {
        simulation.hold_such_orders(name, |order| matches!(order, Order::Join { .. }));
    }
    simulation.run(20 * SECOND);
    let joined = |simulation: &Simulation| -> Vec<Epoch> {
        let orders = simulation.orders.iter();
        let epochs = orders.filter_map(|(_, order)| match order {
            Order::Join { epoch, .. } => Some(*epoch),
            _ => None,
        });
        epochs.collect()
    };
    let before = joined(&simulation).into_iter().max().unwrap();
    simulation.nodes[0].alive = false;
    simulation.return_store(copy);
    simulation.add_node(3);
    let restored_at = simulation.now + Duration::from_millis(2_500);
    simulation.send_event(2, GroupsEvent::EraObserved(restored_at));
    simulation.run(4 * SECOND);
    simulation.orders.clear();
    simulation.order_holders.clear();
    simulation.plan(2, known_boots(&[], &[1]));
    simulation.run(10 * SECOND);
    assert!(simulation.nodes[2].groups.is_planning());
    let after = joined(&simulation);
    assert!(!after.is_empty());
    assert!(after.iter().all(|epoch| *epoch > before), "{before:?}");
}
