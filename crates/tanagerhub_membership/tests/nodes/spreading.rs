//! Tests of operators' changes: concurrent, lost, refused, accepted and never reverted.

use std::time::Duration;

use tanagerhub_catalogue::CatalogueVersion;
use tanagerhub_membership::ApplyOutcome;
use yare::parameterized;

use crate::simulation::Simulation;
use crate::simulation::store::Mode;

const SECOND: Duration = Duration::from_secs(1);
/// Time after the commit of a mark from which on every node must enforce it.
const MARK_LIMIT: Duration = Duration::from_secs(5);
/// Time after the commit of a change from which on it must be in force everywhere.
const CHANGE_LIMIT: Duration = Duration::from_secs(17);

#[test]
fn apply_adopted_by_all() {
    let mut simulation = Simulation::settled(1, 8, 1);
    simulation.apply(0, 1, 0);
    simulation.run(SECOND * 2);
    let in_force = ApplyOutcome::InForce {
        version: CatalogueVersion(1),
        stopped: Vec::new(),
    };
    assert_eq!(simulation.outcome(1), Some(&in_force));
    assert!((0..8).all(|node| simulation.version(node) == 1));
}

#[test]
fn apply_raced() {
    let mut simulation = Simulation::settled(2, 8, 1);
    simulation.apply(0, 1, 0);
    simulation.apply(1, 2, 0);
    simulation.run(SECOND * 3);
    let outcomes = [
        simulation.outcome(1).unwrap(),
        simulation.outcome(2).unwrap(),
    ];
    let winner = CatalogueVersion(1);
    let lost = ApplyOutcome::LostRace { winner };
    let losers = outcomes.iter().filter(|outcome| ***outcome == lost).count();
    assert_eq!(losers, 1, "{outcomes:?}");
    let documents = simulation
        .nodes
        .iter()
        .map(|node| node.membership.catalogue());
    let first = simulation.nodes[0].membership.catalogue();
    assert!(documents.into_iter().all(|other| other == first));
}

#[test]
fn apply_with_old_expectation() {
    let mut simulation = Simulation::settled(2, 3, 1);
    simulation.apply(0, 1, 0);
    simulation.run(SECOND * 3);
    simulation.apply(1, 2, 0);
    simulation.run(SECOND);
    let winner = CatalogueVersion(1);
    assert_eq!(
        simulation.outcome(2),
        Some(&ApplyOutcome::LostRace { winner })
    );
}

#[test]
fn apply_response_lost() {
    let mut simulation = Simulation::settled(3, 8, 1);
    simulation.store.mode = Mode::LosesResponses;
    simulation.apply(0, 1, 0);
    simulation.run(SECOND * 4);
    assert!(matches!(
        simulation.outcome(1),
        Some(ApplyOutcome::InForce { .. })
    ));
    assert_eq!(simulation.version(7), 1);
}

#[test]
fn apply_store_down() {
    let mut simulation = Simulation::settled(4, 8, 1);
    simulation.store.mode = Mode::Down;
    simulation.apply(0, 1, 0);
    simulation.run(SECOND * 16);
    assert!(matches!(
        simulation.outcome(1),
        Some(ApplyOutcome::NotCommitted { .. })
    ));
    simulation.store.mode = Mode::Up;
    simulation.run(SECOND * 15);
    assert!((0..8).all(|node| simulation.version(node) == 0 && simulation.is_fresh(node)));
}

#[test]
fn apply_response_lost_and_store_down() {
    let mut simulation = Simulation::settled(5, 8, 1);
    simulation.store.mode = Mode::LosesResponses;
    let before = simulation.store.commits;
    simulation.apply(0, 1, 0);
    while simulation.store.commits == before {
        simulation.run(Duration::from_millis(1));
    }
    simulation.store.mode = Mode::Down;
    simulation.run(SECOND * 16);
    let version = CatalogueVersion(1);
    assert_eq!(
        simulation.outcome(1),
        Some(&ApplyOutcome::Unknown { version })
    );
    simulation.store.mode = Mode::Up;
    simulation.run(SECOND * 20);
    assert!((0..8).all(|node| simulation.version(node) == 1 && simulation.is_fresh(node)));
}

#[test]
fn apply_with_node_paused() {
    let mut simulation = Simulation::settled(6, 8, 1);
    simulation.pause(6, SECOND * 60);
    let start = simulation.now;
    simulation.apply(0, 1, 0);
    simulation.run(CHANGE_LIMIT);
    let Some(ApplyOutcome::InForce { stopped, .. }) = simulation.outcome(1) else {
        panic!("not in force: {:?}", simulation.outcome(1));
    };
    assert_eq!(stopped.len(), 1);
    assert!(simulation.completed_at(1).since(start) <= CHANGE_LIMIT);
}

#[test]
fn apply_without_majority() {
    let mut simulation = Simulation::settled(7, 8, 1);
    for node in 4..8 {
        simulation.isolate(node);
        simulation.without_store.insert(node);
    }
    simulation.apply(0, 1, 0);
    simulation.run(SECOND * 16);
    let Some(ApplyOutcome::Committed { missing, .. }) = simulation.outcome(1) else {
        panic!("half of the slots accepted it: {:?}", simulation.outcome(1));
    };
    assert_eq!(missing.len(), 4);
    assert!((0..4).all(|node| simulation.version(node) == 1 && simulation.is_fresh(node)));
    assert!((4..8).all(|node| !simulation.is_fresh(node)));
}

/// Guards against a node that accepts a change alone because it has read no slot but its own.
#[test]
fn apply_before_slots_known() {
    let mut simulation = Simulation::new(6);
    simulation.start(0, 0);
    simulation.run(SECOND * 3);
    for index in [1, 2] {
        simulation.start(index, 0);
        simulation.blocked_links.extend([(0, index), (index, 0)]);
    }
    simulation.run(SECOND);
    simulation.apply(0, 1, 0);
    simulation.run(CHANGE_LIMIT);
    let outcome = simulation.outcome(1);
    let missing = match outcome {
        Some(ApplyOutcome::Committed { missing, .. }) => missing.len(),
        _ => panic!("two nodes are unreachable, but the outcome is {outcome:?}"),
    };
    assert_eq!(missing, 2);
}

#[test]
fn apply_after_slot_added_elsewhere() {
    let mut simulation = Simulation::settled(8, 40, 2);
    let new = simulation.start(41, 1);
    simulation.run(SECOND * 3);
    assert!(simulation.is_fresh(new));
    let known = simulation.nodes[0]
        .membership
        .status(simulation.now)
        .all_slots;
    assert_eq!(known, 40, "node 0 has not recorded the new slot");
    // The next scheduled read of all slots is later than this.
    simulation.apply(0, 1, 0);
    simulation.run(SECOND * 6);
    let in_force = ApplyOutcome::InForce {
        version: CatalogueVersion(1),
        stopped: Vec::new(),
    };
    assert_eq!(simulation.outcome(1), Some(&in_force));
    assert_eq!(simulation.version(new), 1);
}

/// A fault that occurs while a mark is propagated.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    SlowStore,
    StoreDownAfterCommit,
    Pause,
    Partition,
    OneWay,
}

#[parameterized(
    no_loss = { Fault::None, 0.0 },
    loss = { Fault::None, 0.2 },
    slow_store = { Fault::SlowStore, 0.2 },
    store_down = { Fault::StoreDownAfterCommit, 0.2 },
    pause = { Fault::Pause, 0.2 },
    partition = { Fault::Partition, 0.2 },
    one_way = { Fault::OneWay, 0.2 },
)]
fn mark_enforced_everywhere(fault: Fault, loss: f64) {
    for seed in 0..8 {
        check_mark(fault, loss, seed);
    }
}

/// Applies a mark and checks that no node works under the old version after the limit.
fn check_mark(fault: Fault, loss: f64, seed: u64) {
    let mut simulation = Simulation::settled(seed, 8, 1);
    simulation.loss = loss;
    match fault {
        Fault::None | Fault::StoreDownAfterCommit => {}
        Fault::SlowStore => simulation.store_delay = Duration::from_millis(1_500),
        Fault::Pause => simulation.pause(6, SECOND * 7),
        Fault::Partition => {
            for node in 5..8 {
                simulation.isolate(node);
            }
        }
        Fault::OneWay => {
            simulation
                .blocked_links
                .extend((0..8).map(|other| (other, 6)));
            simulation.without_store.insert(6);
        }
    }
    let before = simulation.store.commits;
    simulation.apply(0, 1, 0);
    while simulation.store.commits == before {
        simulation.run(Duration::from_millis(1));
    }
    let committed = simulation.now;
    if matches!(fault, Fault::StoreDownAfterCommit) {
        // The response to the commit still arrives; the other nodes can't read the head any more.
        simulation.run(simulation.store_delay);
        simulation.store.mode = Mode::Down;
    }
    simulation.run_with(SECOND * 30, |simulation| {
        if simulation.now.since(committed) < MARK_LIMIT {
            return;
        }
        for node in 0..8 {
            let old = simulation.version(node) == 0 && simulation.is_fresh(node);
            assert!(
                !old,
                "{fault:?}, seed {seed}: node {node} at {}",
                simulation.now
            );
        }
    });
    let outcome = simulation.outcome(1);
    assert!(
        matches!(outcome, Some(ApplyOutcome::InForce { .. })),
        "{outcome:?}"
    );
    assert!(simulation.completed_at(1).since(committed) <= CHANGE_LIMIT);
}

#[test]
fn accepted_never_reverts() {
    for seed in 0..10 {
        let mut simulation = Simulation::settled(seed, 5, 1);
        simulation.loss = 0.2;
        simulation.apply(0, 1, 0);
        simulation.run(SECOND * 6);
        assert!(matches!(
            simulation.outcome(1),
            Some(ApplyOutcome::InForce { .. })
        ));
        simulation.store.mode = Mode::Down;
        for index in [1, 3, 0, 4, 2, 1] {
            let old = simulation.nodes.len() - 1;
            let address = crate::simulation::address(index);
            let running = (0..=old).filter(|node| simulation.nodes[*node].address == address);
            let running: Vec<_> = running.collect();
            for node in running {
                simulation.kill(node);
            }
            simulation.start(index, 0);
            simulation.run_with(SECOND * 8, |simulation| {
                for node in 0..simulation.nodes.len() {
                    let old = simulation.version(node) == 0 && simulation.is_fresh(node);
                    assert!(
                        !old,
                        "seed {seed}: node {node} reverted at {}",
                        simulation.now
                    );
                }
            });
        }
        let alive = simulation.nodes.iter().filter(|node| node.alive);
        assert!(
            alive
                .into_iter()
                .all(|node| node.membership.version().0 == 1)
        );
    }
}
