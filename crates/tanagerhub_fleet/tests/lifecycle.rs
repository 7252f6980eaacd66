//! Formation, replica limits, placement, draining and dissolution of groups.

#[path = "support/simulation.rs"]
mod simulation;

use std::sync::Arc;
use std::time::Duration;

use simulation::{SECOND, Simulation, domains, model_catalogue};
use tanagerhub_catalogue::{Mark, VmId, VmState};
use tanagerhub_fleet::{FleetEvent, NotServing, Phase, Reason, Subject};
use yare::parameterized;

const FORM_TIMEOUT: Duration = Duration::from_secs(140);

fn formed_simulation(count: u32) -> Simulation {
    let mut simulation = Simulation::new(
        3,
        domains(6, 4),
        model_catalogue(&[("advisor", 4, 2, count)]),
    );
    let wanted = count as usize;
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == wanted);
    simulation
}

#[test]
fn form_up_to_the_limit() {
    let mut simulation =
        Simulation::new(3, domains(6, 4), model_catalogue(&[("advisor", 4, 2, 5)]));
    let duration = simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 5);
    assert!(duration >= Duration::from_secs(90));
    simulation.run(Duration::from_secs(30));
    assert_eq!(simulation.table.groups().len(), 5);
    assert_eq!(simulation.eligible(1), 5);
    assert_eq!(simulation.eligible(2), 5);
}

#[test]
fn form_spread_over_data_centres() {
    let simulation = formed_simulation(3);
    let mut centres: Vec<_> = simulation.views(0).map(|view| view.data_centre).collect();
    centres.sort_unstable();
    centres.dedup();
    assert_eq!(centres.len(), 3);
}

#[test]
fn form_minimum_first() {
    let list = [("large", 4, 1, 6), ("small", 1, 4, 4)];
    let mut simulation = Simulation::new(1, domains(2, 4), model_catalogue(&list));
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 5);
    let status = simulation.nodes[0].fleet.status(simulation.now);
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
    let mut simulation = Simulation::new(2, domains(2, 16), model_catalogue(&list));
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 6);
    let free = simulation.nodes[0].fleet.status(simulation.now).free_vms;
    assert_eq!(free, 0);
}

#[test]
fn form_records_decisions() {
    let simulation = formed_simulation(3);
    let (id, row) = simulation.first_group();
    let count = |subject, reason: fn(&Reason) -> bool| {
        let of = |node: &simulation::Node| node.fleet.explain(subject);
        let all: Vec<_> = simulation.nodes.iter().flat_map(of).collect();
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
    let mut simulation = formed_simulation(3);
    simulation.catalogue.entries[0].limits.replicas_max = 1;
    simulation.send_state_to_all();
    simulation.run_until(Duration::from_mins(1), |simulation| {
        simulation.table.groups().len() == 1
    });
    assert_eq!(simulation.serving(0), 1);
}

#[test]
fn limit_raised_forms_more() {
    let mut simulation = formed_simulation(1);
    simulation.catalogue.entries[0].limits.replicas_max = 2;
    simulation.send_state_to_all();
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 2);
}

#[test]
fn entry_removed_dissolves_its_groups() {
    let mut simulation = formed_simulation(2);
    simulation.catalogue.entries.clear();
    simulation.send_state_to_all();
    assert_eq!(simulation.eligible(0), 0);
    simulation.run_until(Duration::from_mins(1), |simulation| {
        simulation.table.groups().is_empty()
    });
}

#[test]
fn mark_vm_out_replaces_its_group() {
    let mut simulation = formed_simulation(2);
    let (id, row) = simulation.first_group();
    let vm = simulation.vms.iter().find(|vm| vm.id() == row.members[1]);
    let name = vm.expect("the VM is not listed").name.clone();
    simulation.catalogue.marks.mark_vm(&name, Mark::Out);
    simulation.send_state_to_all();
    let view = simulation.view(0, id).expect("the group does not exist");
    assert_eq!(view.why_not, Some(NotServing::MarkedOut));
    // The replacement is formed while the old group is still draining.
    simulation.run_until(Duration::from_secs(5), |simulation| {
        simulation.table.groups().len() == 3
    });
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 2);
    simulation.run(Duration::from_mins(1));
    assert!(simulation.view(0, id).is_none());
}

#[test]
fn drained_recorded_once_the_group_has_drained() {
    let mut simulation = formed_simulation(2);
    let (id, row) = simulation.first_group();
    let vm = simulation.vms.iter().find(|vm| vm.id() == row.members[1]);
    let name = vm.expect("the VM is not listed").name.clone();
    simulation.catalogue.marks.mark_vm(&name, Mark::Out);
    simulation.send_state_to_all();
    let drained = |simulation: &Simulation| {
        let of = |node: &simulation::Node| node.fleet.explain(Subject::Group(id));
        let all = simulation.nodes.iter().flat_map(of);
        all.filter(|one| one.reason == Reason::Drained).count()
    };
    simulation.run_until(Duration::from_secs(5), |simulation| {
        simulation.table.groups()[&id].draining
    });
    simulation.run(SECOND / 2);
    assert!(simulation.table.groups().contains_key(&id));
    assert_eq!(drained(&simulation), 0);
    simulation.run_until(Duration::from_mins(1), |simulation| {
        !simulation.table.groups().contains_key(&id)
    });
    assert_eq!(drained(&simulation), 1);
}

#[test]
fn data_centre_marked_out_and_in() {
    let mut simulation = formed_simulation(3);
    simulation
        .catalogue
        .marks
        .mark_data_centre("dc-1", Mark::Out);
    simulation.send_state_to_all();
    assert_eq!(simulation.eligible(0), 2);
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 3);
    simulation
        .catalogue
        .marks
        .mark_data_centre("dc-1", Mark::In);
    simulation.send_state_to_all();
    simulation.run(Duration::from_mins(1));
    // Serving groups stay where they are when the data centre returns.
    assert_eq!(simulation.serving(0), 3);
}

#[test]
fn marks_received_at_different_times() {
    let mut simulation = formed_simulation(3);
    for round in 0..6 {
        let mark = if round % 2 == 0 { Mark::Out } else { Mark::In };
        simulation.catalogue.marks.mark_data_centre("dc-2", mark);
        simulation.catalogue.marks.mark_vm("vm-0-0", mark);
        let catalogue = Arc::new(simulation.catalogue.clone());
        let index = round % 3;
        simulation.deliver(index, FleetEvent::Catalogue(Arc::clone(&catalogue)));
        simulation.run(Duration::from_millis(1_500));
    }
    simulation.send_state_to_all();
    simulation.run_until(2 * FORM_TIMEOUT, |simulation| simulation.serving(0) == 3);
}

#[test]
fn leaving_listed_by_the_platform() {
    let mut simulation = formed_simulation(2);
    let (id, row) = simulation.first_group();
    for vm in &mut simulation.vms {
        if vm.id() == row.members[3] {
            vm.state = VmState::Leaving;
        }
    }
    simulation.send_state_to_all();
    assert_eq!(
        simulation.view(0, id).and_then(|view| view.why_not),
        Some(NotServing::Leaving)
    );
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 2);
}

#[test]
fn leaving_reported_by_the_engine_stops_all_nodes() {
    let mut simulation = formed_simulation(2);
    let (id, row) = simulation.first_group();
    simulation.engine(row.members[2]).leaving = true;
    let stopped = |simulation: &Simulation| {
        (0..3).all(|index| simulation.view(index, id).is_none_or(|view| !view.eligible))
    };
    simulation.run_until(Duration::from_secs(5), stopped);
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 2);
}

/// Returns a simulation of two nodes in which a service runs on the VM.
fn service_simulation() -> (Simulation, VmId) {
    let mut vms = domains(3, 1);
    vms[0].service = Some("shop".to_owned());
    let mut simulation = Simulation::new(2, vms, model_catalogue(&[("shop", 1, 0, 0)]));
    let vm = simulation.vms[0].id();
    simulation.engine(vm).ready_at = Some(simulation.now);
    simulation.checking = false;
    simulation.run(3 * SECOND);
    (simulation, vm)
}

#[test]
fn service_vm_is_watched() {
    let (mut simulation, vm) = service_simulation();
    let view = simulation
        .views(1)
        .next()
        .expect("the service has no group");
    assert_eq!(view.phase, Phase::Warming);
    for _ in 0..8 {
        let event = FleetEvent::TokenStreamed {
            group: view.id,
            epoch: view.epoch,
            at: simulation.now,
        };
        simulation.deliver(1, event);
    }
    assert_eq!(
        simulation.views(1).next().map(|view| view.eligible),
        Some(true)
    );
    simulation.run(3 * SECOND);
    assert!(simulation.table.groups().is_empty());
    simulation.set_condition(vm, simulation::VmCondition::Dead);
    simulation.run(3 * SECOND);
    assert_eq!(simulation.eligible(0) + simulation.eligible(1), 0);
}

#[test]
fn service_vm_is_cold_after_restart() {
    let (mut simulation, vm) = service_simulation();
    let view = simulation.views(0).next();
    let view = view.expect("the service has no group");
    let answer = |simulation: &mut Simulation, count| {
        for _ in 0..count {
            let event = FleetEvent::TokenStreamed {
                group: view.id,
                epoch: view.epoch,
                at: simulation.now,
            };
            simulation.deliver(0, event.clone());
            simulation.deliver(1, event);
            simulation.step();
        }
        simulation.run(SECOND);
    };
    let phases = |simulation: &Simulation| {
        let phase = |index| simulation.view(index, view.id).map(|view| view.phase);
        [phase(0), phase(1)]
    };
    answer(&mut simulation, 8);
    assert_eq!(phases(&simulation), [Some(Phase::Serving); 2]);
    simulation.set_condition(vm, simulation::VmCondition::Refusing);
    simulation.run(3 * SECOND);
    assert_eq!(phases(&simulation), [Some(Phase::Broken); 2]);
    simulation.set_condition(vm, simulation::VmCondition::Alive);
    simulation.engine(vm).ready_at = Some(simulation.now);
    simulation.run(3 * SECOND);
    assert_eq!(phases(&simulation), [Some(Phase::Warming); 2]);
    answer(&mut simulation, 8);
    assert_eq!(phases(&simulation), [Some(Phase::Serving); 2]);
}

#[parameterized(first_watcher = { 0 }, other_node = { 1 })]
fn service_stays_warm_beside_node_without_traffic(busy: usize) {
    let (mut simulation, _) = service_simulation();
    let view = simulation.views(busy).next();
    let view = view.expect("the service has no group");
    for answers in 1..=60 {
        let event = FleetEvent::TokenStreamed {
            group: view.id,
            epoch: view.epoch,
            at: simulation.now,
        };
        simulation.deliver(busy, event);
        simulation.step();
        let phase = simulation.view(busy, view.id).map(|view| view.phase);
        let expected = if answers < 8 {
            Phase::Warming
        } else {
            Phase::Serving
        };
        assert_eq!(phase, Some(expected), "after {answers} answers");
    }
}

#[test]
fn service_found_warm_is_warm_at_other_node() {
    let (mut simulation, _) = service_simulation();
    let view = simulation.views(1).next();
    let view = view.expect("the service has no group");
    for _ in 0..8 {
        let event = FleetEvent::TokenStreamed {
            group: view.id,
            epoch: view.epoch,
            at: simulation.now,
        };
        simulation.deliver(1, event);
    }
    simulation.step();
    let phase = |index| simulation.view(index, view.id).map(|view| view.phase);
    assert_eq!([phase(0), phase(1)], [Some(Phase::Serving); 2]);
}
