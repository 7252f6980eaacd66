//! Wholeness: attestations, missing members, pauses and partitions.

#[path = "support/world.rs"]
mod world;

use std::time::Duration;

use tanagerhub_catalogue::{BootId, GroupId, VmId};
use tanagerhub_fleet::{FleetEvent, NotServing, Phase};
use world::{Engine, SECOND, Up, World, domains, models};
use yare::parameterized;

const FORMED: Duration = Duration::from_secs(140);

/// Three groups of four on domains of five, so that each domain has a spare.
fn formed(nodes: usize) -> World {
    let mut world = World::new(nodes, domains(6, 5), models(&[("advisor", 4, 2, 3)]));
    world.run_until(FORMED, |world| world.serving(0) == 3);
    world
}

fn member(world: &World) -> (GroupId, VmId) {
    let (id, row) = world.first();
    (id, row.members[2])
}

fn nowhere(world: &World, id: GroupId) -> bool {
    (0..world.nodes.len()).all(|place| world.view(place, id).is_none_or(|view| !view.eligible))
}

#[test]
fn member_dead_stops_all_nodes_in_time() {
    let mut world = formed(5);
    let (id, vm) = member(&world);
    world.set_up(vm, Up::Dead);
    let span = world.run_until(5 * SECOND, |world| nowhere(world, id));
    assert!(span <= Duration::from_millis(2_250), "took {span:?}");
}

#[test]
fn member_dead_is_replaced_in_its_domain() {
    let mut world = formed(3);
    let (id, vm) = member(&world);
    let before = world.first().1;
    world.set_up(vm, Up::Dead);
    world.run(3 * SECOND);
    world.run_until(FORMED, |world| world.serving(0) == 3);
    let after = &world.table.groups()[&id];
    assert_eq!(after.domain, before.domain);
    assert!(!after.members.contains(&vm));
    assert!(after.epoch > before.epoch);
    assert_eq!(world.table.vm(vm).group, None);
}

#[test]
fn member_returns_after_its_replacement() {
    let mut world = formed(3);
    let (id, vm) = member(&world);
    world.set_up(vm, Up::Paused);
    world.run(Duration::from_mins(1));
    world.set_up(vm, Up::Alive);
    world.run_until(FORMED, |world| world.serving(0) == 3);
    world.run(Duration::from_mins(1));
    assert!(!world.table.groups()[&id].members.contains(&vm));
}

#[test]
fn member_pause_is_waited_for() {
    let mut world = formed(3);
    let (id, vm) = member(&world);
    let before = world.first().1;
    world.set_up(vm, Up::Paused);
    world.run(10 * SECOND);
    assert!(nowhere(&world, id));
    world.set_up(vm, Up::Alive);
    world.run(3 * SECOND);
    assert_eq!(world.serving(0), 3);
    assert_eq!(world.table.groups()[&id], before);
}

#[test]
fn member_restart_loads_in_its_place_and_is_cold() {
    let mut world = formed(3);
    let (id, vm) = member(&world);
    let before = world.first().1;
    world.set_up(vm, Up::Refusing);
    world.run(10 * SECOND);
    world.set_up(vm, Up::Alive);
    world.run_until(FORMED, |world| {
        world
            .view(0, id)
            .is_some_and(|view| view.phase == Phase::Warming)
    });
    assert_eq!(world.table.groups()[&id], before);
    world.run_until(20 * SECOND, |world| world.serving(0) == 3);
}

#[test]
fn member_restart_unnoticed_by_probes_is_cold() {
    let mut world = formed(1);
    let (id, vm) = member(&world);
    let orders = world.nodes[0].fleet.counters().orders;
    // The engine came back between two probes, and claims its place by itself.
    let boot = world.engine(vm).boot;
    world.engine(vm).boot = BootId(boot.0 + 1);
    world.engine(vm).warm_at = None;
    world.run(2 * SECOND);
    assert!(world.nodes[0].fleet.counters().orders > orders);
    world.run(2 * SECOND);
    assert_eq!(
        world.view(0, id).map(|view| view.phase),
        Some(Phase::Warming)
    );
}

#[parameterized(
    group = { |engine: &mut Engine| engine.group = Some(GroupId(1)) },
    no_group = { |engine: &mut Engine| engine.group = None },
    rank = { |engine: &mut Engine| engine.rank.0 += 1 },
    epoch = { |engine: &mut Engine| engine.epoch.0 -= 1 },
)]
fn member_in_another_place_is_missing(change: fn(&mut Engine)) {
    let mut world = formed(1);
    let (id, vm) = member(&world);
    world.hold_orders = true;
    change(world.engine(vm));
    world.run(Duration::from_millis(2_250));
    assert!(nowhere(&world, id));
    // Read back and ordered again, it returns without loading anew.
    world.hold_orders = false;
    world.run(5 * SECOND);
    assert_eq!(world.serving(0), 3);
}

#[test]
fn member_straggler_counts_as_missing() {
    let mut world = formed(1);
    let (id, vm) = member(&world);
    for _ in 0..20 {
        let report = world.engines[&vm].report(world.now);
        let sent = world.now.before(SECOND);
        world.cut.insert((0, vm));
        world.give(
            0,
            FleetEvent::Probed {
                vm,
                sent,
                result: Ok(report),
            },
        );
        world.checking = false;
        world.step();
    }
    assert!(nowhere(&world, id));
}

#[test]
fn domain_dark_is_reformed_elsewhere() {
    let mut world = formed(3);
    let (id, row) = world.first();
    let dark: Vec<VmId> = world
        .vms
        .iter()
        .filter(|vm| vm.domain_id() == row.domain)
        .map(tanagerhub_catalogue::Vm::id)
        .collect();
    for vm in &dark {
        world.set_up(*vm, Up::Dead);
    }
    world.run(3 * SECOND);
    world.run_until(FORMED, |world| world.serving(0) == 3);
    assert!(!world.table.groups().contains_key(&id));
    let in_use = |row: &tanagerhub_fleet::rows::GroupRow| row.domain == dark_domain(&world, &dark);
    assert!(!world.table.groups().values().any(in_use));
}

fn dark_domain(world: &World, dark: &[VmId]) -> tanagerhub_catalogue::DomainId {
    let vm = world.vms.iter().find(|vm| vm.id() == dark[0]);
    vm.expect("a known VM").domain_id()
}

#[test]
fn partition_of_one_watcher_from_a_member_changes_nothing() {
    for place in 0..5 {
        let mut world = formed(5);
        let (id, vm) = member(&world);
        let before = world.first().1;
        world.cut.insert((place, vm));
        for _ in 0..120 {
            world.step();
            let others = (0..5).filter(|other| *other != place);
            for other in others {
                assert!(world.view(other, id).is_some_and(|view| view.eligible));
            }
        }
        assert_eq!(world.table.groups()[&id], before);
    }
}

#[test]
fn partition_of_a_node_from_members_is_seen_by_its_traffic() {
    let mut world = formed(5);
    let (id, row) = world.first();
    for _ in 0..4 {
        let event = FleetEvent::BackendFailed {
            group: id,
            epoch: row.epoch,
        };
        world.give(0, event);
        let view = world.view(0, id).expect("a group");
        assert!(!view.eligible);
        world.run(Duration::from_millis(900));
    }
    // Watchers attest it, and yet this node avoids it longer each time.
    assert_eq!(
        world.view(0, id).and_then(|view| view.why_not),
        Some(NotServing::Suspected)
    );
    assert!(world.view(1, id).is_some_and(|view| view.eligible));
    world.run(10 * SECOND);
    assert!(world.view(0, id).is_some_and(|view| view.eligible));
}

#[test]
fn partition_of_a_node_from_its_peers_fails_closed() {
    let mut world = formed(5);
    world.nodes[1].peer_cut = true;
    let members: Vec<VmId> = world.engines.keys().copied().collect();
    world.cut.extend(members.into_iter().map(|vm| (1, vm)));
    world.run(3 * SECOND);
    assert_eq!(world.eligible(1), 0);
    assert_eq!(world.eligible(0), 3);
}

#[test]
fn token_keeps_a_group_attested() {
    let mut world = formed(1);
    let (id, row) = world.first();
    world.run(SECOND);
    let probes = world.nodes[0].fleet.counters().probes;
    for _ in 0..40 {
        for view in world.views(0).collect::<Vec<_>>() {
            let event = FleetEvent::TokenStreamed {
                group: view.id,
                epoch: view.epoch,
                at: world.now,
            };
            world.give(0, event);
        }
        world.step();
    }
    // Ten seconds with one report of each of 12 members every 2.5 s, instead of every second.
    let used = world.nodes[0].fleet.counters().probes - probes;
    assert!(used <= 5 * 12, "{used} probes");
    assert!(
        world
            .view(0, id)
            .is_some_and(|view| view.eligible && view.epoch == row.epoch)
    );
}

#[test]
fn token_of_an_old_epoch_proves_nothing() {
    let mut world = formed(1);
    let (id, vm) = member(&world);
    let old = world.first().1.epoch;
    world.set_up(vm, Up::Dead);
    world.run(Duration::from_secs(30));
    assert!(world.first().1.epoch > old);
    let at = world.now;
    world.give(
        0,
        FleetEvent::TokenStreamed {
            group: id,
            epoch: old,
            at,
        },
    );
    assert!(nowhere(&world, id));
}

#[test]
fn node_that_wakes_sends_nothing_on_its_old_view() {
    let mut world = formed(3);
    let (id, vm) = member(&world);
    world.pause_node(0);
    world.run(SECOND);
    world.set_up(vm, Up::Dead);
    world.run(40 * SECOND);
    // Buffered attestations from before the failure state ages that are too low.
    world.wake_node(0);
    assert!(world.view(0, id).is_none_or(|view| !view.eligible));
    for _ in 0..40 {
        world.step();
    }
    assert_eq!(world.nodes[0].fleet.counters().pauses, 1);
}

#[test]
fn attestation_older_than_the_clock_is_ignored() {
    let mut world = formed(1);
    let (id, row) = world.first();
    world.cut.extend(row.members.iter().map(|vm| (0, *vm)));
    world.run(3 * SECOND);
    let event = FleetEvent::Attested {
        from: world.nodes[0].id,
        group: id,
        epoch: row.epoch,
        age: Duration::from_hours(1),
        health: tanagerhub_fleet::Health::Warm,
    };
    world.give(0, event);
    assert!(nowhere(&world, id));
}

#[test]
#[should_panic(expected = "is missing since")]
fn check_finds_a_false_attestation() {
    let mut world = formed(1);
    let (id, row) = world.first();
    world.set_up(row.members[1], Up::Dead);
    for _ in 0..40 {
        let event = FleetEvent::Attested {
            from: world.nodes[0].id,
            group: id,
            epoch: row.epoch,
            age: Duration::ZERO,
            health: tanagerhub_fleet::Health::Warm,
        };
        world.give(0, event);
        world.step();
    }
}
