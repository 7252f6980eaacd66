//! Random sequences of faults: the invariants hold at each step, and service recovers.

#[path = "support/simulation.rs"]
mod simulation;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use simulation::{Simulation, VmCondition, domains, model_catalogue};
use tanagerhub_catalogue::{Mark, VmId, VmState};
use tanagerhub_fleet::FleetSettings;

/// The seed of all cases, fixed so that each run has the same result.
const SEED: u64 = 0x7461_6e61;

#[derive(Debug, Clone, Copy)]
enum Fault {
    Vm(usize, VmCondition),
    Domain(usize, VmCondition),
    UnnoticedRestart(usize),
    TurnCold(usize),
    PauseNode(usize),
    ResumeNode(usize),
    RestartNode(usize),
    PartitionPeers(usize, bool),
    PartitionStore(usize, bool),
    PartitionMember(usize, usize),
    EndMemberPartitions,
    StoreDown(bool),
    LoseResponses(u32),
    MarkVm(usize, Mark),
    MarkDataCentre(usize, Mark),
    VmState(usize, VmState),
    Limit(u32, u32),
    HoldOrders,
    SendHeldOrders,
    Run(u64),
}

const NODES: usize = 4;
const DOMAINS: usize = 5;
const SIZE: usize = 5;

fn fault() -> impl Strategy<Value = Fault> {
    let vm = 0..DOMAINS * SIZE;
    let condition = prop_oneof![
        3 => Just(VmCondition::Alive),
        2 => Just(VmCondition::Paused),
        1 => Just(VmCondition::Dead),
        1 => Just(VmCondition::Refusing),
    ];
    let mark = prop_oneof![Just(Mark::In), Just(Mark::Out)];
    let state = prop_oneof![Just(VmState::Live), Just(VmState::Leaving)];
    prop_oneof![
        8 => (1_u64..40).prop_map(Fault::Run),
        4 => (vm.clone(), condition.clone())
            .prop_map(|(vm, condition)| Fault::Vm(vm, condition)),
        1 => (0..DOMAINS, condition)
            .prop_map(|(domain, condition)| Fault::Domain(domain, condition)),
        1 => vm.clone().prop_map(Fault::UnnoticedRestart),
        1 => vm.clone().prop_map(Fault::TurnCold),
        1 => (0..NODES).prop_map(Fault::PauseNode),
        2 => (0..NODES).prop_map(Fault::ResumeNode),
        1 => (0..NODES).prop_map(Fault::RestartNode),
        1 => (0..NODES, any::<bool>())
            .prop_map(|(node, active)| Fault::PartitionPeers(node, active)),
        1 => (0..NODES, any::<bool>())
            .prop_map(|(node, active)| Fault::PartitionStore(node, active)),
        1 => (0..NODES, vm.clone()).prop_map(|(node, vm)| Fault::PartitionMember(node, vm)),
        1 => Just(Fault::EndMemberPartitions),
        1 => any::<bool>().prop_map(Fault::StoreDown),
        1 => (1_u32..4).prop_map(Fault::LoseResponses),
        1 => (vm.clone(), mark.clone()).prop_map(|(vm, mark)| Fault::MarkVm(vm, mark)),
        1 => (0..3_usize, mark).prop_map(|(centre, mark)| Fault::MarkDataCentre(centre, mark)),
        1 => (vm, state).prop_map(|(vm, state)| Fault::VmState(vm, state)),
        1 => (0_u32..2, 2_u32..5).prop_map(|(entry, max)| Fault::Limit(entry, max)),
        1 => Just(Fault::HoldOrders),
        1 => Just(Fault::SendHeldOrders),
    ]
}

fn inject(simulation: &mut Simulation, fault: Fault) {
    let vm = |simulation: &Simulation, index: usize| simulation.vms[index].id();
    match fault {
        Fault::Run(seconds) => simulation.run(Duration::from_secs(seconds)),
        Fault::Vm(index, condition) => {
            let vm = vm(simulation, index);
            simulation.set_condition(vm, condition);
        }
        Fault::Domain(domain, condition) => {
            for index in domain * SIZE..(domain + 1) * SIZE {
                let vm = vm(simulation, index);
                simulation.set_condition(vm, condition);
            }
        }
        Fault::UnnoticedRestart(index) => {
            let vm = vm(simulation, index);
            simulation.set_condition(vm, VmCondition::Dead);
            simulation.set_condition(vm, VmCondition::Alive);
        }
        Fault::TurnCold(index) => {
            let vm = vm(simulation, index);
            let later = simulation.now + Duration::from_secs(20);
            simulation.engine(vm).warm_at = Some(later);
        }
        Fault::PauseNode(index) => simulation.pause_node(index),
        Fault::ResumeNode(index) => simulation.resume_node(index),
        Fault::RestartNode(index) => simulation.restart_node(index),
        Fault::PartitionPeers(index, active) => {
            simulation.nodes[index].peers_partitioned = active;
            simulation.send_state_to_all();
        }
        Fault::PartitionStore(index, active) => simulation.nodes[index].store_partitioned = active,
        Fault::PartitionMember(node, index) => {
            let vm = vm(simulation, index);
            simulation.partitioned.insert((node, vm));
        }
        Fault::EndMemberPartitions => simulation.partitioned.clear(),
        Fault::StoreDown(down) => simulation.table.down = down,
        Fault::LoseResponses(count) => simulation.table.lost_responses = count,
        Fault::MarkVm(index, mark) => {
            let name = simulation.vms[index].name.clone();
            simulation.catalogue.marks.mark_vm(&name, mark);
            simulation.catalogue.version = simulation.catalogue.version.next();
            simulation.send_state_to_all();
        }
        Fault::MarkDataCentre(centre, mark) => {
            let name = format!("dc-{centre}");
            simulation.catalogue.marks.mark_data_centre(&name, mark);
            simulation.catalogue.version = simulation.catalogue.version.next();
            simulation.send_state_to_all();
        }
        Fault::VmState(index, state) => {
            simulation.vms[index].state = state;
            simulation.send_state_to_all();
        }
        Fault::Limit(entry, max) => {
            simulation.catalogue.entries[entry as usize]
                .limits
                .replicas_max = max;
            simulation.catalogue.version = simulation.catalogue.version.next();
            simulation.send_state_to_all();
        }
        Fault::HoldOrders => simulation.hold_orders = true,
        Fault::SendHeldOrders => send_held_orders(simulation),
    }
}

/// Delivers the held orders to their engines, however old they are.
fn send_held_orders(simulation: &mut Simulation) {
    simulation.hold_orders = false;
    for (index, order) in std::mem::take(&mut simulation.held_orders) {
        // The order is lost if its engine is unreachable.
        let _response = simulation.apply_order(index, order);
    }
}

/// Ends all faults.
fn end_faults(simulation: &mut Simulation) {
    for index in 0..NODES {
        simulation.nodes[index].peers_partitioned = false;
        simulation.nodes[index].store_partitioned = false;
        simulation.resume_node(index);
    }
    send_held_orders(simulation);
    simulation.partitioned.clear();
    simulation.table.down = false;
    simulation.table.lost_responses = 0;
    simulation.catalogue.marks = tanagerhub_catalogue::Marks::default();
    simulation.catalogue.version = simulation.catalogue.version.next();
    let vms: Vec<VmId> = simulation.engines.keys().copied().collect();
    for vm in vms {
        simulation.set_condition(vm, VmCondition::Alive);
    }
    for vm in &mut simulation.vms {
        vm.state = VmState::Live;
    }
    simulation.send_state_to_all();
}

proptest! {
    #![proptest_config(Config {
        cases: 32,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    })]

    #[test]
    fn invariants_hold_under_random_faults(faults in prop::collection::vec(fault(), 10..60)) {
        let entries = [("advisor", 4, 2, 3), ("small", 1, 1, 2)];
        let settings = FleetSettings::default();
        let mut simulation = Simulation::with_settings(
            NODES,
            domains(DOMAINS, SIZE),
            model_catalogue(&entries),
            &settings,
        );
        simulation.tick = Duration::from_millis(500);
        simulation.run(Duration::from_secs(110));
        for fault in faults {
            inject(&mut simulation, fault);
            simulation.run(Duration::from_secs(1));
        }
        end_faults(&mut simulation);
        let minimum = |simulation: &Simulation| {
            let status = simulation.nodes[0].fleet.status(simulation.now);
            status.entries.iter().all(|entry| entry.eligible >= entry.min)
        };
        simulation.run_until(Duration::from_mins(30), minimum);
    }
}
