//! The composition of groups follows the demand, while requests arrive.

#[path = "support/simulation.rs"]
mod simulation;

use std::time::Duration;

use simulation::Simulation;
use tanagerhub_catalogue::{DataCentreId, EntryId};
use tanagerhub_groups::{Demand, EntryDemand, GroupsEvent, KnownBoots, Order};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);
/// The shares of missed asks and of slots in use, in percent, of the models `big` and `small`.
type Load = [(u32, u32); 2];
const SHORT_OF_SMALL: Load = [(0, 40), (30, 100)];
const SHORT_OF_BIG: Load = [(30, 100), (0, 40)];
const CALM: Load = [(0, 40), (0, 40)];

fn demand([big, small]: Load) -> Demand {
    let entry = |name, (missed, running)| EntryDemand {
        entry: EntryId::of(name),
        asks: 100,
        missed,
        running,
        limit: 100,
    };
    Demand {
        centres: None,
        entries: vec![entry("big", big), entry("small", small)],
    }
}

fn run(simulation: &mut Simulation, seconds: u32, load: Load) {
    run_with(simulation, seconds, &demand(load));
}

fn run_with(simulation: &mut Simulation, seconds: u32, demand: &Demand) {
    for _ in 0..seconds {
        for node in 0..simulation.nodes.len() {
            simulation.send_event(node, GroupsEvent::Demand(demand.clone()));
        }
        simulation.run(SECOND);
    }
}

/// Returns the numbers of open groups of `big` and `small`.
fn groups(simulation: &Simulation) -> (usize, usize) {
    let count = |model| simulation.open_heads(model).len();
    (count("big"), count("small"))
}

fn closings(simulation: &Simulation) -> usize {
    let orders = simulation.orders.iter();
    let closing = orders.filter(|(_, order)| matches!(order, Order::Close { .. }));
    closing.count()
}

fn assert_sound(simulation: &Simulation) {
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
    assert!(
        simulation.max_concurrent_loads <= 7,
        "{} loads at once",
        simulation.max_concurrent_loads
    );
}

/// Guards against models that stay short while another one has unused groups.
#[parameterized(
    small = { SHORT_OF_SMALL, 20, (5, 14) },
    big = { SHORT_OF_BIG, 26, (7, 10) },
)]
fn lasting_shortage_moves_groups(load: Load, seconds: u32, expected: (usize, usize)) {
    let mut simulation = Simulation::serving(1);
    assert_eq!(groups(&simulation), (6, 12));
    run(&mut simulation, 6, load);
    assert_eq!(closings(&simulation), 0, "the shortage has not lasted");
    run(&mut simulation, seconds, load);
    assert_eq!(groups(&simulation), expected);
    assert_sound(&simulation);
    // The composition stays when the shortage has ended.
    run(&mut simulation, 60, CALM);
    assert_eq!(groups(&simulation), expected);
}

/// Guards against more changes than the bounds of the shares allow, and against overlapping ones.
#[test]
fn shares_stay_within_bounds() {
    let mut simulation = Simulation::serving(1);
    run(&mut simulation, 200, SHORT_OF_SMALL);
    // 12 of 48 VMs are half of the configured share.
    assert_eq!(groups(&simulation), (3, 18));
    assert_sound(&simulation);
}

/// Guards against changes that the demand does not justify.
#[parameterized(
    both_short = { [(30, 100), (30, 100)] },
    other_full = { [(0, 65), (30, 100)] },
    other_refuses = { [(5, 40), (30, 100)] },
    few_missed = { [(0, 40), (10, 100)] },
    calm = { CALM },
)]
fn composition_stays(load: Load) {
    let mut simulation = Simulation::serving(1);
    run(&mut simulation, 60, load);
    assert_eq!(groups(&simulation), (6, 12));
    assert_eq!(closings(&simulation), 0);
}

/// Guards against changes back and forth when the demand changes faster than groups can follow.
#[test]
fn flapping_demand_changes_nothing() {
    let mut simulation = Simulation::serving(1);
    for _ in 0..10 {
        run(&mut simulation, 6, SHORT_OF_SMALL);
        run(&mut simulation, 6, SHORT_OF_BIG);
    }
    assert_eq!(closings(&simulation), 0);
    assert_eq!(groups(&simulation), (6, 12));
}

/// Guards against decisions by demand that is no longer reported, or covers other data centres.
#[test]
fn missing_demand_changes_nothing() {
    let mut simulation = Simulation::serving(1);
    run(&mut simulation, 5, SHORT_OF_SMALL);
    simulation.run(30 * SECOND);
    run(&mut simulation, 5, SHORT_OF_SMALL);
    let elsewhere = Demand {
        centres: Some(vec![DataCentreId::of("elsewhere")]),
        ..demand(SHORT_OF_SMALL)
    };
    run_with(&mut simulation, 60, &elsewhere);
    assert_eq!(closings(&simulation), 0);
    assert_eq!(groups(&simulation), (6, 12));
}

/// Guards against VMs that stay unused, or groups that are lost, after a new planner has taken over
/// at any time of a change.
#[parameterized(
    before = { 5 },
    closing = { 9 },
    dissolved = { 11 },
    loading = { 18 },
    joining = { 23 },
)]
fn new_planner_continues(after: u32) {
    let mut simulation = Simulation::serving(2);
    run(&mut simulation, after, SHORT_OF_SMALL);
    assert_eq!(closings(&simulation) > 0, after >= 8);
    simulation.nodes[0].alive = false;
    let boots = KnownBoots {
        live: Vec::new(),
        ended: vec![1],
        lapsed: Vec::new(),
    };
    simulation.plan(1, boots);
    run(&mut simulation, 60, CALM);
    let (big, small) = groups(&simulation);
    let unused = 60 - 4 * big - 2 * small;
    assert!(unused <= 15, "{big} and {small} groups");
    run(&mut simulation, 60, SHORT_OF_SMALL);
    let (big, more) = groups(&simulation);
    assert!(more > 12 && big >= 3, "{big} and {more} groups");
    assert_sound(&simulation);
}

/// Guards against reassignment while the store is away, and against groups that stay closed.
#[parameterized(
    before = { 5 },
    closing = { 8 },
    loading = { 18 },
)]
fn store_away_stops_changes(after: u32) {
    let mut simulation = Simulation::serving(1);
    run(&mut simulation, after, SHORT_OF_SMALL);
    assert_eq!(closings(&simulation) > 0, after >= 8);
    simulation.set_store_down(true);
    run(&mut simulation, 4, SHORT_OF_SMALL);
    let loads = |simulation: &Simulation| {
        let is_load = |order: &Order| matches!(order, Order::Stage { .. });
        let orders = simulation.orders.iter();
        orders.filter(|(_, order)| is_load(order)).count()
    };
    let before = (closings(&simulation), loads(&simulation));
    run(&mut simulation, 40, SHORT_OF_SMALL);
    assert_eq!((closings(&simulation), loads(&simulation)), before);
    simulation.set_store_down(false);
    run(&mut simulation, 60, CALM);
    let (big, small) = groups(&simulation);
    assert!(4 * big + 2 * small >= 44, "{big} and {small} groups");
    assert_sound(&simulation);
}

/// Guards against VMs that wait for a change which VMs lost meanwhile have made impossible.
#[test]
fn vms_lost_during_change() {
    let mut simulation = Simulation::serving(1);
    run(&mut simulation, 16, SHORT_OF_BIG);
    let order = simulation.orders.iter().rev();
    let mut loading = order.filter(|(_, order)| matches!(order, Order::Stage { .. }));
    let (vm, _) = loading.next().expect("a VM loads");
    let domain = simulation.servers[vm].report.vm.domain.clone();
    let in_domain = simulation.servers.values();
    let in_domain = in_domain.filter(|it| it.report.vm.domain == domain);
    let free: Vec<String> = in_domain
        .map(|it| it.report.vm.name.clone())
        .filter(|name| !simulation.assigned(0).contains(name))
        .collect();
    for name in free.iter().take(5) {
        simulation.stop_server(name);
        simulation.unlist(name);
    }
    run(&mut simulation, 60, CALM);
    let (big, small) = groups(&simulation);
    assert!(big >= 6 && small >= 10, "{big} and {small} groups");
    assert_sound(&simulation);
}

/// Guards against new VMs that load a model which has enough groups while another one is short.
#[parameterized(
    big = { SHORT_OF_BIG, "big" },
    small = { SHORT_OF_SMALL, "small" },
)]
fn new_vms_load_short_model(load: Load, expected: &str) {
    let mut simulation = Simulation::serving(1);
    run(&mut simulation, 2, load);
    for index in 10..14 {
        simulation.add_server(&format!("vm-0-{index}"), 0);
    }
    simulation.list_all();
    let before = simulation.orders.len();
    run(&mut simulation, 4, load);
    let orders = simulation.orders[before..].iter();
    let models: Vec<&str> = orders
        .filter_map(|(_, order)| match order {
            Order::Stage { model } => Some(&**model),
            _ => None,
        })
        .collect();
    assert!(
        !models.is_empty() && models.iter().all(|model| *model == expected),
        "{models:?}"
    );
}

/// Guards against changes that round to nothing in domains with few large groups.
#[parameterized(
    big = { SHORT_OF_BIG, 72, (7, 20) },
    small = { SHORT_OF_SMALL, 62, (5, 28) },
)]
fn large_groups_follow_demand(load: Load, seconds: u32, expected: (usize, usize)) {
    let mut simulation = Simulation::new(6, 37);
    simulation.resize_groups((16, 4));
    simulation.plan(0, KnownBoots::default());
    simulation.run(9 * SECOND);
    simulation.begin_traffic();
    let before = groups(&simulation);
    run(&mut simulation, seconds, load);
    let after = groups(&simulation);
    assert!(
        after.0 == expected.0 && after.1 >= expected.1,
        "{before:?} became {after:?}"
    );
    assert_sound(&simulation);
}
