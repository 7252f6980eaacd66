//! Standby groups: formed from spare VMs, promoted, and given up for replicas.

#[path = "support/world.rs"]
mod world;

use std::time::Duration;

use tanagerhub_catalogue::VmId;
use tanagerhub_fleet::{FleetSettings, NotServing};
use world::{SECOND, Up, World, domains, models};

const FORMED: Duration = Duration::from_mins(5);

/// Three replicas and one that stands by.
fn formed() -> World {
    let settings = FleetSettings::default();
    let mut world = World::with(3, domains(6, 4), models(&[("advisor", 4, 2, 3)]), &settings);
    world.run_until(FORMED, |world| {
        world.serving(0) == 3 && world.table.all_groups().len() == 4
    });
    world.run(Duration::from_mins(2));
    world
}

#[test]
fn standby_gets_no_work() {
    let world = formed();
    let standby = |view: &tanagerhub_fleet::GroupView| view.why_not == Some(NotServing::Standby);
    for place in 0..3 {
        assert_eq!(world.views(place).filter(standby).count(), 1);
        assert_eq!(world.eligible(place), 3);
    }
}

#[test]
fn standby_takes_the_place_of_a_broken_group_at_all_nodes() {
    let mut world = formed();
    let (id, row) = world.first();
    world.set_up(row.members[0], Up::Dead);
    world.run(3 * SECOND);
    let all = |world: &World| (0..3).all(|place| world.serving(place) == 3);
    let span = world.run_until(10 * SECOND, all);
    assert!(span <= 4 * SECOND, "{span:?}");
    assert!(!world.table.groups().contains_key(&id));
}

#[test]
fn standby_is_formed_again_after_a_promotion() {
    let mut world = formed();
    let row = world.first().1;
    world.set_up(row.members[0], Up::Dead);
    world.run(FORMED);
    assert_eq!(world.table.all_groups().len(), 4);
    assert_eq!(world.serving(0), 3);
}

#[test]
fn standby_yields_to_a_replica_without_place() {
    let mut world = formed();
    world.catalogue.entries[0].limits.replicas_max = 6;
    world.spread();
    world.run_until(FORMED, |world| world.serving(0) == 6);
    assert_eq!(world.table.all_groups().len(), 6);
}

#[test]
fn standby_yields_to_another_entry() {
    let mut world = formed();
    let mut other = models(&[("other", 4, 3, 3)]).entries.remove(0);
    other.name = "other".to_owned();
    world.catalogue.entries.push(other);
    world.catalogue.version = world.catalogue.version.next();
    world.spread();
    world.run_until(FORMED, |world| world.serving(0) == 6);
}

#[test]
fn standby_outlives_a_domain_that_goes_dark() {
    let mut world = formed();
    let domain = world.first().1.domain;
    let dark: Vec<VmId> = world
        .vms
        .iter()
        .filter(|vm| vm.domain_id() == domain)
        .map(tanagerhub_catalogue::Vm::id)
        .collect();
    for vm in dark {
        world.set_up(vm, Up::Dead);
    }
    world.run(3 * SECOND);
    world.run_until(5 * SECOND, |world| world.serving(0) == 3);
}

#[test]
fn standby_answers_lost_while_promoting() {
    let mut world = formed();
    let row = world.first().1;
    world.set_up(row.members[0], Up::Dead);
    world.table.lose = 3;
    world.run(3 * SECOND);
    world.run_until(10 * SECOND, |world| world.serving(0) == 3);
    assert_eq!(world.table.groups().len(), 3);
}
