//! Standby groups: formed from spare VMs, promoted, and dissolved for replicas.

#[path = "support/simulation.rs"]
mod simulation;

use std::time::Duration;

use simulation::{SECOND, Simulation, VmCondition, domains, model_catalogue};
use tanagerhub_catalogue::VmId;
use tanagerhub_fleet::{FleetSettings, NotServing};

const FORM_TIMEOUT: Duration = Duration::from_mins(5);

/// Returns a simulation with three replicas and one standby group.
fn formed_simulation() -> Simulation {
    let settings = FleetSettings::default();
    let mut simulation = Simulation::with_settings(
        3,
        domains(6, 4),
        model_catalogue(&[("advisor", 4, 2, 3)]),
        &settings,
    );
    simulation.run_until(FORM_TIMEOUT, |simulation| {
        simulation.serving(0) == 3 && simulation.table.all_groups().len() == 4
    });
    simulation.run(Duration::from_mins(2));
    simulation
}

#[test]
fn standby_gets_no_requests() {
    let simulation = formed_simulation();
    let standby = |view: &tanagerhub_fleet::GroupView| view.why_not == Some(NotServing::Standby);
    for index in 0..3 {
        assert_eq!(simulation.views(index).filter(standby).count(), 1);
        assert_eq!(simulation.eligible(index), 3);
    }
}

#[test]
fn standby_replaces_a_broken_group_at_all_nodes() {
    let mut simulation = formed_simulation();
    let (id, row) = simulation.first_group();
    simulation.set_condition(row.members[0], VmCondition::Dead);
    simulation.run(3 * SECOND);
    let replaced_everywhere =
        |simulation: &Simulation| (0..3).all(|index| simulation.serving(index) == 3);
    let duration = simulation.run_until(10 * SECOND, replaced_everywhere);
    assert!(duration <= 4 * SECOND, "{duration:?}");
    assert!(!simulation.table.groups().contains_key(&id));
}

#[test]
fn standby_is_formed_again_after_a_promotion() {
    let mut simulation = formed_simulation();
    let row = simulation.first_group().1;
    simulation.set_condition(row.members[0], VmCondition::Dead);
    simulation.run(FORM_TIMEOUT);
    assert_eq!(simulation.table.all_groups().len(), 4);
    assert_eq!(simulation.serving(0), 3);
}

#[test]
fn standby_yields_to_an_unplaced_replica() {
    let mut simulation = formed_simulation();
    simulation.catalogue.entries[0].limits.replicas_max = 6;
    simulation.send_state_to_all();
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 6);
    assert_eq!(simulation.table.all_groups().len(), 6);
}

#[test]
fn standby_yields_to_another_entry() {
    let mut simulation = formed_simulation();
    let mut other = model_catalogue(&[("other", 4, 3, 3)]).entries.remove(0);
    other.name = "other".to_owned();
    simulation.catalogue.entries.push(other);
    simulation.catalogue.version = simulation.catalogue.version.next();
    simulation.send_state_to_all();
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 6);
}

#[test]
fn standby_is_promoted_after_a_domain_failure() {
    let mut simulation = formed_simulation();
    let domain = simulation.first_group().1.domain;
    let failed: Vec<VmId> = simulation
        .vms
        .iter()
        .filter(|vm| vm.domain_id() == domain)
        .map(tanagerhub_catalogue::Vm::id)
        .collect();
    for vm in failed {
        simulation.set_condition(vm, VmCondition::Dead);
    }
    simulation.run(3 * SECOND);
    simulation.run_until(5 * SECOND, |simulation| simulation.serving(0) == 3);
}

#[test]
fn standby_promotion_with_lost_responses() {
    let mut simulation = formed_simulation();
    let row = simulation.first_group().1;
    simulation.set_condition(row.members[0], VmCondition::Dead);
    simulation.table.lost_responses = 3;
    simulation.run(3 * SECOND);
    simulation.run_until(10 * SECOND, |simulation| simulation.serving(0) == 3);
    assert_eq!(simulation.table.groups().len(), 3);
}
