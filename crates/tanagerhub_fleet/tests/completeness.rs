//! Completeness of groups: attestations, missing members, pauses and partitions.

#[path = "support/simulation.rs"]
mod simulation;

use std::time::Duration;

use simulation::{Engine, SECOND, Simulation, VmCondition, domains, model_catalogue};
use tanagerhub_catalogue::{BootId, GroupId, VmId};
use tanagerhub_fleet::{FleetEvent, NotServing, Phase};
use yare::parameterized;

const FORM_TIMEOUT: Duration = Duration::from_secs(140);

/// Returns a simulation of three groups of four VMs on domains of five, so that each domain has a
/// spare.
fn formed_simulation(nodes: usize) -> Simulation {
    let mut simulation = Simulation::new(
        nodes,
        domains(6, 5),
        model_catalogue(&[("advisor", 4, 2, 3)]),
    );
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 3);
    simulation
}

fn sample_member(simulation: &Simulation) -> (GroupId, VmId) {
    let (id, row) = simulation.first_group();
    (id, row.members[2])
}

fn eligible_nowhere(simulation: &Simulation, id: GroupId) -> bool {
    (0..simulation.nodes.len())
        .all(|index| simulation.view(index, id).is_none_or(|view| !view.eligible))
}

#[test]
fn member_dead_stops_all_nodes_in_time() {
    let mut simulation = formed_simulation(5);
    let (id, vm) = sample_member(&simulation);
    simulation.set_condition(vm, VmCondition::Dead);
    let duration = simulation.run_until(5 * SECOND, |simulation| eligible_nowhere(simulation, id));
    assert!(
        duration <= Duration::from_millis(2_250),
        "took {duration:?}"
    );
}

#[test]
fn member_dead_is_replaced_in_its_domain() {
    let mut simulation = formed_simulation(3);
    let (id, vm) = sample_member(&simulation);
    let before = simulation.first_group().1;
    simulation.set_condition(vm, VmCondition::Dead);
    simulation.run(3 * SECOND);
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 3);
    let after = &simulation.table.groups()[&id];
    assert_eq!(after.domain, before.domain);
    assert!(!after.members.contains(&vm));
    assert!(after.epoch > before.epoch);
    assert_eq!(simulation.table.vm(vm).group, None);
}

#[test]
fn member_returns_after_its_replacement() {
    let mut simulation = formed_simulation(3);
    let (id, vm) = sample_member(&simulation);
    simulation.set_condition(vm, VmCondition::Paused);
    simulation.run(Duration::from_mins(1));
    simulation.set_condition(vm, VmCondition::Alive);
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 3);
    simulation.run(Duration::from_mins(1));
    assert!(!simulation.table.groups()[&id].members.contains(&vm));
}

#[test]
fn member_pause_keeps_the_group() {
    let mut simulation = formed_simulation(3);
    let (id, vm) = sample_member(&simulation);
    let before = simulation.first_group().1;
    simulation.set_condition(vm, VmCondition::Paused);
    simulation.run(10 * SECOND);
    assert!(eligible_nowhere(&simulation, id));
    simulation.set_condition(vm, VmCondition::Alive);
    simulation.run(3 * SECOND);
    assert_eq!(simulation.serving(0), 3);
    assert_eq!(simulation.table.groups()[&id], before);
}

#[test]
fn member_restart_reloads_at_its_rank_and_is_cold() {
    let mut simulation = formed_simulation(3);
    let (id, vm) = sample_member(&simulation);
    let before = simulation.first_group().1;
    simulation.set_condition(vm, VmCondition::Refusing);
    simulation.run(10 * SECOND);
    simulation.set_condition(vm, VmCondition::Alive);
    simulation.run_until(FORM_TIMEOUT, |simulation| {
        simulation
            .view(0, id)
            .is_some_and(|view| view.phase == Phase::Warming)
    });
    assert_eq!(simulation.table.groups()[&id], before);
    simulation.run_until(20 * SECOND, |simulation| simulation.serving(0) == 3);
}

#[test]
fn member_restart_unnoticed_by_probes_is_cold() {
    let mut simulation = formed_simulation(1);
    let (id, vm) = sample_member(&simulation);
    let orders = simulation.nodes[0].fleet.counters().orders;
    // The engine restarted between two probes and reports its former group and rank without an
    // order.
    let boot = simulation.engine(vm).boot;
    simulation.engine(vm).boot = BootId(boot.0 + 1);
    simulation.engine(vm).warm_at = None;
    simulation.run(2 * SECOND);
    assert!(simulation.nodes[0].fleet.counters().orders > orders);
    simulation.run(2 * SECOND);
    assert_eq!(
        simulation.view(0, id).map(|view| view.phase),
        Some(Phase::Warming)
    );
}

#[parameterized(
    group = { |engine: &mut Engine| engine.group = Some(GroupId(1)) },
    no_group = { |engine: &mut Engine| engine.group = None },
    rank = { |engine: &mut Engine| engine.rank.0 += 1 },
    epoch = { |engine: &mut Engine| engine.epoch.0 -= 1 },
)]
fn member_with_other_assignment_is_missing(change: fn(&mut Engine)) {
    let mut simulation = formed_simulation(1);
    let (id, vm) = sample_member(&simulation);
    simulation.hold_orders = true;
    change(simulation.engine(vm));
    simulation.run(Duration::from_millis(2_250));
    assert!(eligible_nowhere(&simulation, id));
    // Ordered again, the member returns without loading its weights again.
    simulation.hold_orders = false;
    simulation.run(5 * SECOND);
    assert_eq!(simulation.serving(0), 3);
}

#[test]
fn member_late_report_counts_as_missing() {
    let mut simulation = formed_simulation(1);
    let (id, vm) = sample_member(&simulation);
    for _ in 0..20 {
        let report = simulation.engines[&vm].report(simulation.now);
        let sent = simulation.now.before(SECOND);
        simulation.partitioned.insert((0, vm));
        simulation.deliver(
            0,
            FleetEvent::Probed {
                vm,
                sent,
                result: Ok(report),
            },
        );
        simulation.checking = false;
        simulation.step();
    }
    assert!(eligible_nowhere(&simulation, id));
}

#[test]
fn domain_failure_reforms_elsewhere() {
    let mut simulation = formed_simulation(3);
    let (id, row) = simulation.first_group();
    let failed: Vec<VmId> = simulation
        .vms
        .iter()
        .filter(|vm| vm.domain_id() == row.domain)
        .map(tanagerhub_catalogue::Vm::id)
        .collect();
    for vm in &failed {
        simulation.set_condition(*vm, VmCondition::Dead);
    }
    simulation.run(3 * SECOND);
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 3);
    assert!(!simulation.table.groups().contains_key(&id));
    let in_use =
        |row: &tanagerhub_fleet::rows::GroupRow| row.domain == domain_of(&simulation, &failed);
    assert!(!simulation.table.groups().values().any(in_use));
}

fn domain_of(simulation: &Simulation, failed: &[VmId]) -> tanagerhub_catalogue::DomainId {
    let vm = simulation.vms.iter().find(|vm| vm.id() == failed[0]);
    vm.expect("the VM is not listed").domain_id()
}

#[test]
fn partition_of_one_watcher_from_a_member_changes_nothing() {
    for index in 0..5 {
        let mut simulation = formed_simulation(5);
        let (id, vm) = sample_member(&simulation);
        let before = simulation.first_group().1;
        simulation.partitioned.insert((index, vm));
        for _ in 0..120 {
            simulation.step();
            let others = (0..5).filter(|other| *other != index);
            for other in others {
                assert!(simulation.view(other, id).is_some_and(|view| view.eligible));
            }
        }
        assert_eq!(simulation.table.groups()[&id], before);
    }
}

#[test]
fn partition_of_a_node_from_members_is_detected_by_traffic() {
    let mut simulation = formed_simulation(5);
    let (id, row) = simulation.first_group();
    for _ in 0..4 {
        let event = FleetEvent::BackendFailed {
            group: id,
            epoch: row.epoch,
        };
        simulation.deliver(0, event);
        let view = simulation.view(0, id).expect("the group does not exist");
        assert!(!view.eligible);
        simulation.run(Duration::from_millis(900));
    }
    // Watchers attest the group, but this node avoids it for longer after each failure.
    assert_eq!(
        simulation.view(0, id).and_then(|view| view.why_not),
        Some(NotServing::Suspected)
    );
    assert!(simulation.view(1, id).is_some_and(|view| view.eligible));
    simulation.run(10 * SECOND);
    assert!(simulation.view(0, id).is_some_and(|view| view.eligible));
}

#[test]
fn partition_of_a_node_from_its_peers_fails_closed() {
    let mut simulation = formed_simulation(5);
    simulation.nodes[1].peers_partitioned = true;
    let members: Vec<VmId> = simulation.engines.keys().copied().collect();
    simulation
        .partitioned
        .extend(members.into_iter().map(|vm| (1, vm)));
    simulation.run(3 * SECOND);
    assert_eq!(simulation.eligible(1), 0);
    assert_eq!(simulation.eligible(0), 3);
}

#[test]
fn token_keeps_a_group_attested() {
    let mut simulation = formed_simulation(1);
    let (id, row) = simulation.first_group();
    simulation.run(SECOND);
    let probes = simulation.nodes[0].fleet.counters().probes;
    for _ in 0..40 {
        for view in simulation.views(0).collect::<Vec<_>>() {
            let event = FleetEvent::TokenStreamed {
                group: view.id,
                epoch: view.epoch,
                at: simulation.now,
            };
            simulation.deliver(0, event);
        }
        simulation.step();
    }
    // In ten seconds each of the 12 members is probed every 2.5 s instead of every second.
    let used = simulation.nodes[0].fleet.counters().probes - probes;
    assert!(used <= 5 * 12, "{used} probes");
    assert!(
        simulation
            .view(0, id)
            .is_some_and(|view| view.eligible && view.epoch == row.epoch)
    );
}

#[test]
fn token_of_an_old_epoch_is_ignored() {
    let mut simulation = formed_simulation(1);
    let (id, vm) = sample_member(&simulation);
    let old = simulation.first_group().1.epoch;
    simulation.set_condition(vm, VmCondition::Dead);
    simulation.run(Duration::from_secs(30));
    assert!(simulation.first_group().1.epoch > old);
    let at = simulation.now;
    simulation.deliver(
        0,
        FleetEvent::TokenStreamed {
            group: id,
            epoch: old,
            at,
        },
    );
    assert!(eligible_nowhere(&simulation, id));
}

#[test]
fn node_resumed_does_not_use_stale_state() {
    let mut simulation = formed_simulation(3);
    let (id, vm) = sample_member(&simulation);
    simulation.pause_node(0);
    simulation.run(SECOND);
    simulation.set_condition(vm, VmCondition::Dead);
    simulation.run(40 * SECOND);
    // Attestations buffered since before the failure state ages that are too low.
    simulation.resume_node(0);
    assert!(simulation.view(0, id).is_none_or(|view| !view.eligible));
    for _ in 0..40 {
        simulation.step();
    }
    assert_eq!(simulation.nodes[0].fleet.counters().pauses, 1);
}

#[test]
fn attestation_older_than_the_clock_is_ignored() {
    let mut simulation = formed_simulation(1);
    let (id, row) = simulation.first_group();
    simulation
        .partitioned
        .extend(row.members.iter().map(|vm| (0, *vm)));
    simulation.run(3 * SECOND);
    let event = FleetEvent::Attested {
        from: simulation.nodes[0].id,
        group: id,
        epoch: row.epoch,
        age: Duration::from_hours(1),
        health: tanagerhub_fleet::Health::Warm,
    };
    simulation.deliver(0, event);
    assert!(eligible_nowhere(&simulation, id));
}

#[test]
#[should_panic(expected = "is missing since")]
fn check_finds_a_false_attestation() {
    let mut simulation = formed_simulation(1);
    let (id, row) = simulation.first_group();
    simulation.set_condition(row.members[1], VmCondition::Dead);
    for _ in 0..40 {
        let event = FleetEvent::Attested {
            from: simulation.nodes[0].id,
            group: id,
            epoch: row.epoch,
            age: Duration::ZERO,
            health: tanagerhub_fleet::Health::Warm,
        };
        simulation.deliver(0, event);
        simulation.step();
    }
}
