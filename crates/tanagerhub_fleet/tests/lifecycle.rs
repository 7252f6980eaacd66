//! Formation, limits, placement, draining and dissolving.

#[path = "support/world.rs"]
mod world;

use std::sync::Arc;
use std::time::Duration;

use tanagerhub_catalogue::{Mark, VmState};
use tanagerhub_fleet::{FleetEvent, NotServing, Phase, Reason, Subject};
use world::{SECOND, World, domains, models};

const FORMED: Duration = Duration::from_secs(140);

fn formed(count: u32) -> World {
    let mut world = World::new(3, domains(6, 4), models(&[("advisor", 4, 2, count)]));
    let wanted = count as usize;
    world.run_until(FORMED, |world| world.serving(0) == wanted);
    world
}

#[test]
fn form_up_to_the_limit() {
    let mut world = World::new(3, domains(6, 4), models(&[("advisor", 4, 2, 5)]));
    let span = world.run_until(FORMED, |world| world.serving(0) == 5);
    assert!(span >= Duration::from_secs(90));
    world.run(Duration::from_secs(30));
    assert_eq!(world.table.groups().len(), 5);
    assert_eq!(world.eligible(1), 5);
    assert_eq!(world.eligible(2), 5);
}

#[test]
fn form_spread_over_data_centres() {
    let world = formed(3);
    let mut centres: Vec<_> = world.views(0).map(|view| view.data_centre).collect();
    centres.sort_unstable();
    centres.dedup();
    assert_eq!(centres.len(), 3);
}

#[test]
fn form_minimum_first() {
    let list = [("large", 4, 1, 6), ("small", 1, 4, 4)];
    let mut world = World::new(1, domains(2, 4), models(&list));
    world.run_until(FORMED, |world| world.serving(0) == 5);
    let status = world.nodes[0].fleet.status(world.now);
    let held: Vec<u32> = status.entries.iter().map(|entry| entry.held).collect();
    assert_eq!(held, [1, 4]);
}

#[test]
fn form_mixed_spans_best_fit() {
    let list = [
        ("a", 16, 1, 1),
        ("b", 8, 1, 1),
        ("c", 4, 1, 1),
        ("d", 2, 1, 1),
        ("e", 1, 2, 2),
    ];
    let mut world = World::new(2, domains(2, 16), models(&list));
    world.run_until(FORMED, |world| world.serving(0) == 6);
    let free = world.nodes[0].fleet.status(world.now).free_vms;
    assert_eq!(free, 0);
}

#[test]
fn form_explains_itself() {
    let world = formed(3);
    let (id, row) = world.first();
    let count = |subject, reason: fn(&Reason) -> bool| {
        let of = |node: &world::Node| node.fleet.explain(subject);
        let all: Vec<_> = world.nodes.iter().flat_map(of).collect();
        all.iter().filter(|one| reason(&one.reason)).count()
    };
    let formed = |reason: &Reason| matches!(reason, Reason::Formed { .. });
    let ordered = |reason: &Reason| matches!(reason, Reason::Ordered { .. });
    assert!(count(Subject::Entry(row.entry), formed) > 0);
    assert!(count(Subject::Group(id), |reason| *reason == Reason::Whole) > 0);
    assert!(count(Subject::Vm(row.members[0]), ordered) > 0);
}

#[test]
fn limit_lowered_drains_the_excess() {
    let mut world = formed(3);
    world.catalogue.entries[0].limits.replicas_max = 1;
    world.spread();
    world.run_until(Duration::from_mins(1), |world| {
        world.table.groups().len() == 1
    });
    assert_eq!(world.serving(0), 1);
}

#[test]
fn limit_raised_forms_more() {
    let mut world = formed(1);
    world.catalogue.entries[0].limits.replicas_max = 2;
    world.spread();
    world.run_until(FORMED, |world| world.serving(0) == 2);
}

#[test]
fn entry_removed_dissolves_its_groups() {
    let mut world = formed(2);
    world.catalogue.entries.clear();
    world.spread();
    assert_eq!(world.eligible(0), 0);
    world.run_until(Duration::from_mins(1), |world| {
        world.table.groups().is_empty()
    });
}

#[test]
fn mark_vm_out_replaces_its_group() {
    let mut world = formed(2);
    let (id, row) = world.first();
    let vm = world.vms.iter().find(|vm| vm.id() == row.members[1]);
    let name = vm.expect("a known VM").name.clone();
    world.catalogue.marks.mark_vm(&name, Mark::Out);
    world.spread();
    let view = world.view(0, id).expect("a group");
    assert_eq!(view.why_not, Some(NotServing::MarkedOut));
    // The replacement is formed while the old group still drains.
    world.run_until(Duration::from_secs(5), |world| {
        world.table.groups().len() == 3
    });
    world.run_until(FORMED, |world| world.serving(0) == 2);
    world.run(Duration::from_mins(1));
    assert!(world.view(0, id).is_none());
}

#[test]
fn data_centre_out_and_back() {
    let mut world = formed(3);
    world.catalogue.marks.mark_data_centre("dc-1", Mark::Out);
    world.spread();
    assert_eq!(world.eligible(0), 2);
    world.run_until(FORMED, |world| world.serving(0) == 3);
    world.catalogue.marks.mark_data_centre("dc-1", Mark::In);
    world.spread();
    world.run(Duration::from_mins(1));
    // What serves is left alone when the data centre returns.
    assert_eq!(world.serving(0), 3);
}

#[test]
fn marks_in_and_out_race() {
    let mut world = formed(3);
    for round in 0..6 {
        let mark = if round % 2 == 0 { Mark::Out } else { Mark::In };
        world.catalogue.marks.mark_data_centre("dc-2", mark);
        world.catalogue.marks.mark_vm("vm-0-0", mark);
        let catalogue = Arc::new(world.catalogue.clone());
        let place = round % 3;
        world.give(place, FleetEvent::Catalogue(Arc::clone(&catalogue)));
        world.run(Duration::from_millis(1_500));
    }
    world.spread();
    world.run_until(2 * FORMED, |world| world.serving(0) == 3);
}

#[test]
fn leaving_by_the_platform() {
    let mut world = formed(2);
    let (id, row) = world.first();
    for vm in &mut world.vms {
        if vm.id() == row.members[3] {
            vm.state = VmState::Leaving;
        }
    }
    world.spread();
    assert_eq!(
        world.view(0, id).and_then(|view| view.why_not),
        Some(NotServing::Leaving)
    );
    world.run_until(FORMED, |world| world.serving(0) == 2);
}

#[test]
fn leaving_by_the_engine_stops_all_nodes() {
    let mut world = formed(2);
    let (id, row) = world.first();
    world.engine(row.members[2]).leaving = true;
    let stopped =
        |world: &World| (0..3).all(|place| world.view(place, id).is_none_or(|view| !view.eligible));
    world.run_until(Duration::from_secs(5), stopped);
    world.run_until(FORMED, |world| world.serving(0) == 2);
}

#[test]
fn service_vm_is_watched() {
    let mut vms = domains(3, 1);
    vms[0].service = Some("shop".to_owned());
    let mut world = World::new(2, vms, models(&[("shop", 1, 0, 0)]));
    let vm = world.vms[0].id();
    world.engine(vm).ready_at = Some(world.now);
    world.checking = false;
    world.run(3 * SECOND);
    let view = world.views(1).next().expect("the service");
    assert_eq!(view.phase, Phase::Warming);
    for _ in 0..8 {
        let event = FleetEvent::TokenStreamed {
            group: view.id,
            epoch: view.epoch,
            at: world.now,
        };
        world.give(1, event);
    }
    assert_eq!(world.views(1).next().map(|view| view.eligible), Some(true));
    world.run(3 * SECOND);
    assert!(world.table.groups().is_empty());
    world.set_up(vm, world::Up::Dead);
    world.run(3 * SECOND);
    assert_eq!(world.eligible(0) + world.eligible(1), 0);
}
