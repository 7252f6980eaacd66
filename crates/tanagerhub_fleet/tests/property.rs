//! Random orders of failures: the promises hold at each step, and service returns.

#[path = "support/world.rs"]
mod world;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use tanagerhub_catalogue::{Mark, VmId, VmState};
use tanagerhub_fleet::FleetSettings;
use world::{Up, World, domains, models};

/// The seed of all cases, so that each run gives the same verdict.
const SEED: u64 = 0x7461_6e61;

#[derive(Debug, Clone, Copy)]
enum Fault {
    Vm(usize, Up),
    Domain(usize, Up),
    UnnoticedRestart(usize),
    TurnCold(usize),
    PauseNode(usize),
    WakeNode(usize),
    RestartNode(usize),
    CutPeers(usize, bool),
    CutStore(usize, bool),
    CutMember(usize, usize),
    HealMembers,
    StoreDown(bool),
    LoseAnswers(u32),
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
    let up = prop_oneof![
        3 => Just(Up::Alive),
        2 => Just(Up::Paused),
        1 => Just(Up::Dead),
        1 => Just(Up::Refusing),
    ];
    let mark = prop_oneof![Just(Mark::In), Just(Mark::Out)];
    let state = prop_oneof![Just(VmState::Live), Just(VmState::Leaving)];
    prop_oneof![
        8 => (1_u64..40).prop_map(Fault::Run),
        4 => (vm.clone(), up.clone()).prop_map(|(vm, up)| Fault::Vm(vm, up)),
        1 => (0..DOMAINS, up).prop_map(|(domain, up)| Fault::Domain(domain, up)),
        1 => vm.clone().prop_map(Fault::UnnoticedRestart),
        1 => vm.clone().prop_map(Fault::TurnCold),
        1 => (0..NODES).prop_map(Fault::PauseNode),
        2 => (0..NODES).prop_map(Fault::WakeNode),
        1 => (0..NODES).prop_map(Fault::RestartNode),
        1 => (0..NODES, any::<bool>()).prop_map(|(node, cut)| Fault::CutPeers(node, cut)),
        1 => (0..NODES, any::<bool>()).prop_map(|(node, cut)| Fault::CutStore(node, cut)),
        1 => (0..NODES, vm.clone()).prop_map(|(node, vm)| Fault::CutMember(node, vm)),
        1 => Just(Fault::HealMembers),
        1 => any::<bool>().prop_map(Fault::StoreDown),
        1 => (1_u32..4).prop_map(Fault::LoseAnswers),
        1 => (vm.clone(), mark.clone()).prop_map(|(vm, mark)| Fault::MarkVm(vm, mark)),
        1 => (0..3_usize, mark).prop_map(|(centre, mark)| Fault::MarkDataCentre(centre, mark)),
        1 => (vm, state).prop_map(|(vm, state)| Fault::VmState(vm, state)),
        1 => (0_u32..2, 2_u32..5).prop_map(|(min, max)| Fault::Limit(min, max)),
        1 => Just(Fault::HoldOrders),
        1 => Just(Fault::SendHeldOrders),
    ]
}

fn inject(world: &mut World, fault: Fault) {
    let vm = |world: &World, place: usize| world.vms[place].id();
    match fault {
        Fault::Run(seconds) => world.run(Duration::from_secs(seconds)),
        Fault::Vm(place, up) => {
            let vm = vm(world, place);
            world.set_up(vm, up);
        }
        Fault::Domain(domain, up) => {
            for place in domain * SIZE..(domain + 1) * SIZE {
                let vm = vm(world, place);
                world.set_up(vm, up);
            }
        }
        Fault::UnnoticedRestart(place) => {
            let vm = vm(world, place);
            world.set_up(vm, Up::Dead);
            world.set_up(vm, Up::Alive);
        }
        Fault::TurnCold(place) => {
            let vm = vm(world, place);
            let later = world.now + Duration::from_secs(20);
            world.engine(vm).warm_at = Some(later);
        }
        Fault::PauseNode(place) => world.pause_node(place),
        Fault::WakeNode(place) => world.wake_node(place),
        Fault::RestartNode(place) => world.restart_node(place),
        Fault::CutPeers(place, cut) => {
            world.nodes[place].peer_cut = cut;
            world.spread();
        }
        Fault::CutStore(place, cut) => world.nodes[place].store_cut = cut,
        Fault::CutMember(node, place) => {
            let vm = vm(world, place);
            world.cut.insert((node, vm));
        }
        Fault::HealMembers => world.cut.clear(),
        Fault::StoreDown(down) => world.table.down = down,
        Fault::LoseAnswers(count) => world.table.lose = count,
        Fault::MarkVm(place, mark) => {
            let name = world.vms[place].name.clone();
            world.catalogue.marks.mark_vm(&name, mark);
            world.catalogue.version = world.catalogue.version.next();
            world.spread();
        }
        Fault::MarkDataCentre(centre, mark) => {
            let name = format!("dc-{centre}");
            world.catalogue.marks.mark_data_centre(&name, mark);
            world.catalogue.version = world.catalogue.version.next();
            world.spread();
        }
        Fault::VmState(place, state) => {
            world.vms[place].state = state;
            world.spread();
        }
        Fault::Limit(entry, max) => {
            world.catalogue.entries[entry as usize].limits.replicas_max = max;
            world.catalogue.version = world.catalogue.version.next();
            world.spread();
        }
        Fault::HoldOrders => world.hold_orders = true,
        Fault::SendHeldOrders => send_held(world),
    }
}

/// Late orders reach their engines, whatever has happened since.
fn send_held(world: &mut World) {
    world.hold_orders = false;
    for (place, order) in std::mem::take(&mut world.kept_orders) {
        // Engines that are away lose it.
        let _answer = world.obey(place, order);
    }
}

/// Ends all faults.
fn heal(world: &mut World) {
    for place in 0..NODES {
        world.nodes[place].peer_cut = false;
        world.nodes[place].store_cut = false;
        world.wake_node(place);
    }
    send_held(world);
    world.cut.clear();
    world.table.down = false;
    world.table.lose = 0;
    world.catalogue.marks = tanagerhub_catalogue::Marks::default();
    world.catalogue.version = world.catalogue.version.next();
    let vms: Vec<VmId> = world.engines.keys().copied().collect();
    for vm in vms {
        world.set_up(vm, Up::Alive);
    }
    for vm in &mut world.vms {
        vm.state = VmState::Live;
    }
    world.spread();
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
    fn promises_hold_under_random_faults(faults in prop::collection::vec(fault(), 10..60)) {
        let entries = [("advisor", 4, 2, 3), ("small", 1, 1, 2)];
        let settings = FleetSettings::default();
        let mut world = World::with(NODES, domains(DOMAINS, SIZE), models(&entries), &settings);
        world.tick = Duration::from_millis(500);
        world.run(Duration::from_secs(110));
        for fault in faults {
            inject(&mut world, fault);
            world.run(Duration::from_secs(1));
        }
        heal(&mut world);
        let minimum = |world: &World| {
            let status = world.nodes[0].fleet.status(world.now);
            status.entries.iter().all(|entry| entry.eligible >= entry.min)
        };
        world.run_until(Duration::from_mins(30), minimum);
    }
}
