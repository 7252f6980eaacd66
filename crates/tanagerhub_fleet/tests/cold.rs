//! Cold start: the division of cold slots, groups that turn cold, and warm-up.

#[path = "support/simulation.rs"]
mod simulation;

use std::time::Duration;

use simulation::{SECOND, Simulation, domains, model_catalogue};
use tanagerhub_fleet::{FleetEvent, Health, NotServing, Phase};

const FORM_TIMEOUT: Duration = Duration::from_secs(140);

fn formed_simulation(nodes: usize) -> Simulation {
    let mut simulation = Simulation::new(
        nodes,
        domains(3, 4),
        model_catalogue(&[("advisor", 4, 1, 1)]),
    );
    simulation.run_until(FORM_TIMEOUT, |simulation| simulation.serving(0) == 1);
    simulation
}

fn cold_slots_by_node(simulation: &Simulation) -> Vec<u32> {
    let id = simulation.first_group().0;
    (0..simulation.nodes.len())
        .map(|index| simulation.view(index, id).map_or(0, |view| view.cold_slots))
        .collect()
}

/// Makes the first group cold, and returns the index of a node that holds slots of it.
fn turn_cold(simulation: &mut Simulation) -> usize {
    let row = simulation.first_group().1;
    for vm in &row.members {
        simulation.engine(*vm).warm_at = None;
    }
    simulation.run(2 * SECOND);
    let holder = cold_slots_by_node(simulation)
        .iter()
        .position(|own| *own > 0);
    holder.expect("no node holds cold slots")
}

#[test]
fn slots_add_up_to_the_limit() {
    let mut simulation =
        Simulation::new(5, domains(3, 4), model_catalogue(&[("advisor", 4, 1, 1)]));
    simulation.run_until(FORM_TIMEOUT, |simulation| {
        simulation.views(0).any(|view| view.phase == Phase::Warming)
    });
    simulation.run(SECOND);
    assert_eq!(cold_slots_by_node(&simulation).iter().sum::<u32>(), 2);
    let id = simulation.first_group().0;
    for (index, own) in cold_slots_by_node(&simulation).into_iter().enumerate() {
        let view = simulation
            .view(index, id)
            .expect("the group does not exist");
        assert_eq!(view.eligible, own > 0);
        assert!(view.eligible || view.why_not == Some(NotServing::NoColdSlots));
    }
}

#[test]
fn group_turns_cold_without_warning() {
    let mut simulation = formed_simulation(5);
    let (id, row) = simulation.first_group();
    for vm in &row.members {
        simulation.engine(*vm).warm_at = None;
    }
    simulation.run(Duration::from_millis(1_500));
    let cold = |index| simulation.view(index, id).map(|view| view.health) == Some(Health::Cold);
    assert!((0..5).all(cold));
    assert_eq!(cold_slots_by_node(&simulation).iter().sum::<u32>(), 2);
    let now = simulation.now;
    for vm in &row.members {
        simulation.engine(*vm).warm_at = Some(now);
    }
    simulation.run(2 * SECOND);
    assert_eq!(simulation.serving(4), 1);
}

#[test]
fn group_is_cold_at_once_on_traffic_signal() {
    let mut simulation = formed_simulation(2);
    let (id, row) = simulation.first_group();
    simulation.deliver(
        0,
        FleetEvent::TurnedCold {
            group: id,
            epoch: row.epoch,
        },
    );
    assert_eq!(
        simulation.view(0, id).map(|view| view.health),
        Some(Health::Cold)
    );
}

#[test]
fn slots_move_after_the_old_holder_stopped() {
    let mut simulation = formed_simulation(4);
    let holder = turn_cold(&mut simulation);
    // The holder keeps running without its peers and the table.
    simulation.nodes[holder].peers_partitioned = true;
    simulation.nodes[holder].store_partitioned = true;
    let others: Vec<usize> = (0..4).filter(|index| *index != holder).collect();
    simulation.send_state_to(&others);
    for _ in 0..(4 * 120) {
        simulation.step();
        // The sum includes the slots of the partitioned node.
        assert!(cold_slots_by_node(&simulation).iter().sum::<u32>() <= 2);
    }
    let slots = cold_slots_by_node(&simulation);
    assert_eq!(slots[holder], 0);
    assert_eq!(slots.iter().sum::<u32>(), 2);
}

#[test]
fn slots_of_a_slow_reader_and_a_new_holder_never_overlap() {
    let mut simulation = formed_simulation(4);
    let id = simulation.first_group().0;
    let holder = turn_cold(&mut simulation);
    // The holder is partitioned from its peers only: it still reads the rows at its usual interval.
    simulation.nodes[holder].peers_partitioned = true;
    let others: Vec<usize> = (0..4).filter(|index| *index != holder).collect();
    simulation.send_state_to(&others);
    for _ in 0..(4 * 120) {
        simulation.step();
        assert!(cold_slots_by_node(&simulation).iter().sum::<u32>() <= 2);
    }
    assert!(simulation.table.groups()[&id].moves > 0);
}

#[test]
fn slots_stop_when_rows_are_stale() {
    let mut simulation = formed_simulation(2);
    let (id, row) = simulation.first_group();
    simulation.table.down = true;
    for vm in &row.members {
        simulation.engine(*vm).warm_at = None;
    }
    simulation.run(20 * SECOND);
    assert_eq!(cold_slots_by_node(&simulation), [0, 0]);
    assert_eq!(
        simulation.view(0, id).and_then(|view| view.why_not),
        Some(NotServing::StaleSlots)
    );
}

#[test]
#[should_panic(expected = "cold slots")]
fn check_finds_too_many_slots() {
    let mut simulation = formed_simulation(2);
    simulation.catalogue.entries[0].limits.cold.concurrency = 3;
    simulation.catalogue.entries[0].limits.replicas_max = 2;
    simulation.send_state_to_all();
    simulation.run(FORM_TIMEOUT);
}
