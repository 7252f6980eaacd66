//! A node that is cut off from all VMs takes none of them for lost.

#[path = "support/simulation.rs"]
mod simulation;

use std::collections::BTreeSet;
use std::time::Duration;

use simulation::{Simulation, TICK};
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_groups::{Decision, KnownBoots, ProbeFailure};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

/// Runs two nodes until groups serve and nothing changes any more.
fn serving_simulation() -> Simulation {
    let mut simulation = Simulation::serving(2);
    simulation.run(3 * SECOND);
    simulation
}

/// Returns the epochs that the heads of groups serve at.
fn served(simulation: &Simulation) -> BTreeSet<(GroupId, Epoch)> {
    let heads = simulation.nodes[1].groups.heads().into_iter();
    heads.map(|head| (head.group, head.epoch)).collect()
}

/// Lets the requests of a node at each group fall silent.
fn suspect_all(simulation: &mut Simulation, node: usize) {
    for head in simulation.nodes[1].groups.heads() {
        simulation.suspect(node, &head.name);
    }
}

#[parameterized(
    unanswered = { ProbeFailure::Unanswered },
    refused = { ProbeFailure::Refused },
    turned_away = { ProbeFailure::TurnedAway },
)]
fn cut_off_planner_keeps_groups(failure: ProbeFailure) {
    for suspects in [false, true] {
        let mut simulation = serving_simulation();
        let before = served(&simulation);
        assert!(!before.is_empty());
        simulation.cut_off.insert(0, failure);
        for _ in 0..120 {
            if suspects {
                suspect_all(&mut simulation, 0);
            }
            simulation.run(TICK);
        }
        assert_eq!(served(&simulation), before);
        simulation.cut_off.clear();
        for _ in 0..50 {
            simulation.run(TICK);
            let lost = simulation.nodes[0].groups.take_lost_groups();
            assert!(lost.is_empty(), "{lost:?}");
        }
        assert_eq!(served(&simulation), before);
        assert!(
            simulation.violations.is_empty(),
            "{:?}",
            simulation.violations
        );
    }
}

/// Otherwise nobody repairs groups while the planner is cut off.
#[test]
fn cut_off_planner_resigns() {
    let mut simulation = serving_simulation();
    simulation.cut_off.insert(0, ProbeFailure::Unanswered);
    simulation.run(5 * SECOND);
    assert!(!simulation.nodes[0].groups.is_planning());
    simulation.plan(1, KnownBoots::default());
    simulation.run(SECOND);
    assert!(simulation.nodes[1].groups.is_planning());
}

/// Several VMs that end at once are still replaced at once.
#[test]
fn planner_repairs_several_losses() {
    let mut simulation = serving_simulation();
    let before = served(&simulation);
    let heads = simulation.open_heads("small");
    for head in &heads[..4] {
        simulation.stop_server(head);
        simulation.suspect(0, head);
    }
    simulation.run(2 * SECOND);
    let renewed = served(&simulation);
    assert_eq!(renewed.difference(&before).count(), 4, "{renewed:?}");
}

/// Guards against a planner that resigns and takes over ten times a second, and repairs nothing, while the
/// rows of crashed heads are still listed: it reaches other VMs.
#[test]
fn planner_that_reaches_spares_stays() {
    let mut simulation = Simulation::new(1, 20);
    simulation.resize_groups((4, 2));
    for server in simulation.servers.values_mut() {
        server.report.staged = vec!["big".to_owned(), "small".to_owned()];
    }
    simulation.list_all();
    simulation.plan(0, KnownBoots::default());
    simulation.run(8 * SECOND);
    simulation.begin_traffic();
    let before = simulation.open_heads("big").len();
    let heads = ["big", "small"].map(|model| simulation.open_heads(model));
    let lost = heads[1].iter().chain(&heads[0][..1]);
    for head in lost.take(heads.concat().len() / 2 + 1) {
        simulation.stop_server(head);
        simulation.suspect(0, head);
    }
    let reads = simulation.reads;
    simulation.decisions.clear();
    simulation.run(4 * SECOND);
    let yields = simulation.decisions.iter();
    let yields = yields.filter(|it| matches!(it, Decision::PlannerYielded));
    assert_eq!(yields.count(), 0, "{reads}");
    assert!(simulation.nodes[0].groups.is_planning());
    assert_eq!(simulation.open_heads("big").len(), before);
}
