//! Operators' changes: raced, lost, refused, accepted and never reverted.

use std::time::Duration;

use tanagerhub_catalogue::CatalogueVersion;
use tanagerhub_membership::ApplyOutcome;
use yare::parameterized;

use crate::world::World;
use crate::world::store::Mode;

const SECOND: Duration = Duration::from_secs(1);
/// How long after its commit a mark must be obeyed everywhere.
const MARK_LIMIT: Duration = Duration::from_secs(5);
/// How long after its commit a change must be in force everywhere.
const CHANGE_LIMIT: Duration = Duration::from_secs(17);

#[test]
fn apply_and_follow() {
    let mut world = World::settled(1, 8, 1);
    world.apply(0, 1, 0);
    world.run(SECOND * 2);
    let in_force = ApplyOutcome::InForce {
        version: CatalogueVersion(1),
        stopped: Vec::new(),
    };
    assert_eq!(world.answer(1), Some(&in_force));
    assert!((0..8).all(|node| world.version(node) == 1));
}

#[test]
fn apply_raced() {
    let mut world = World::settled(2, 8, 1);
    world.apply(0, 1, 0);
    world.apply(1, 2, 0);
    world.run(SECOND * 3);
    let outcomes = [world.answer(1).unwrap(), world.answer(2).unwrap()];
    let winner = CatalogueVersion(1);
    let lost = ApplyOutcome::LostRace { winner };
    let losers = outcomes.iter().filter(|outcome| ***outcome == lost).count();
    assert_eq!(losers, 1, "{outcomes:?}");
    let documents = world.nodes.iter().map(|node| node.membership.catalogue());
    let first = world.nodes[0].membership.catalogue();
    assert!(documents.into_iter().all(|other| other == first));
}

#[test]
fn apply_with_old_expectation() {
    let mut world = World::settled(2, 3, 1);
    world.apply(0, 1, 0);
    world.run(SECOND * 3);
    world.apply(1, 2, 0);
    world.run(SECOND);
    let winner = CatalogueVersion(1);
    assert_eq!(world.answer(2), Some(&ApplyOutcome::LostRace { winner }));
}

#[test]
fn apply_answer_lost() {
    let mut world = World::settled(3, 8, 1);
    world.store.mode = Mode::LosesAnswers;
    world.apply(0, 1, 0);
    world.run(SECOND * 4);
    assert!(matches!(
        world.answer(1),
        Some(ApplyOutcome::InForce { .. })
    ));
    assert_eq!(world.version(7), 1);
}

#[test]
fn apply_store_down() {
    let mut world = World::settled(4, 8, 1);
    world.store.mode = Mode::Down;
    world.apply(0, 1, 0);
    world.run(SECOND * 16);
    assert!(matches!(
        world.answer(1),
        Some(ApplyOutcome::NotCommitted { .. })
    ));
    world.store.mode = Mode::Up;
    world.run(SECOND * 15);
    assert!((0..8).all(|node| world.version(node) == 0 && world.is_fresh(node)));
}

#[test]
fn apply_answer_lost_and_store_down() {
    let mut world = World::settled(5, 8, 1);
    world.store.mode = Mode::LosesAnswers;
    let before = world.store.commits;
    world.apply(0, 1, 0);
    while world.store.commits == before {
        world.run(Duration::from_millis(1));
    }
    world.store.mode = Mode::Down;
    world.run(SECOND * 16);
    let version = CatalogueVersion(1);
    assert_eq!(world.answer(1), Some(&ApplyOutcome::Unknown { version }));
    world.store.mode = Mode::Up;
    world.run(SECOND * 20);
    assert!((0..8).all(|node| world.version(node) == 1 && world.is_fresh(node)));
}

#[test]
fn apply_with_node_paused() {
    let mut world = World::settled(6, 8, 1);
    world.pause(6, SECOND * 60);
    let start = world.now;
    world.apply(0, 1, 0);
    world.run(CHANGE_LIMIT);
    let Some(ApplyOutcome::InForce { stopped, .. }) = world.answer(1) else {
        panic!("not in force: {:?}", world.answer(1));
    };
    assert_eq!(stopped.len(), 1);
    assert!(world.answered_at(1).since(start) <= CHANGE_LIMIT);
}

#[test]
fn apply_without_majority() {
    let mut world = World::settled(7, 8, 1);
    for node in 4..8 {
        world.isolate(node);
        world.storeless.insert(node);
    }
    world.apply(0, 1, 0);
    world.run(SECOND * 16);
    let Some(ApplyOutcome::Committed { missing, .. }) = world.answer(1) else {
        panic!("half of the slots accepted it: {:?}", world.answer(1));
    };
    assert_eq!(missing.len(), 4);
    assert!((0..4).all(|node| world.version(node) == 1 && world.is_fresh(node)));
    assert!((4..8).all(|node| !world.is_fresh(node)));
}

/// A node that knows only itself must not take its own word for a majority.
#[test]
fn apply_before_slots_known() {
    let mut world = World::new(6);
    world.start(0, 0);
    world.run(SECOND * 3);
    for place in [1, 2] {
        world.start(place, 0);
        world.cuts.extend([(0, place), (place, 0)]);
    }
    world.run(SECOND);
    world.apply(0, 1, 0);
    world.run(CHANGE_LIMIT);
    let outcome = world.answer(1);
    let missing = match outcome {
        Some(ApplyOutcome::Committed { missing, .. }) => missing.len(),
        _ => panic!("two nodes can't be asked, but the answer is {outcome:?}"),
    };
    assert_eq!(missing, 2);
}

#[test]
fn apply_after_slot_added_elsewhere() {
    let mut world = World::settled(8, 40, 2);
    let new = world.start(41, 1);
    world.run(SECOND * 3);
    assert!(world.is_fresh(new));
    let known = world.nodes[0].membership.status(world.now).all_slots;
    assert_eq!(known, 40, "the asked node has not heard of the new slot");
    // The next read of all slots is further away than this.
    world.apply(0, 1, 0);
    world.run(SECOND * 6);
    let in_force = ApplyOutcome::InForce {
        version: CatalogueVersion(1),
        stopped: Vec::new(),
    };
    assert_eq!(world.answer(1), Some(&in_force));
    assert_eq!(world.version(new), 1);
}

/// What else goes wrong while a mark spreads.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    None,
    SlowStore,
    StoreLostAfterCommit,
    Pause,
    Partition,
    OneWay,
}

#[parameterized(
    no_loss = { Trouble::None, 0.0 },
    loss = { Trouble::None, 0.2 },
    slow_store = { Trouble::SlowStore, 0.2 },
    store_lost = { Trouble::StoreLostAfterCommit, 0.2 },
    pause = { Trouble::Pause, 0.2 },
    partition = { Trouble::Partition, 0.2 },
    one_way = { Trouble::OneWay, 0.2 },
)]
fn mark_obeyed_everywhere(trouble: Trouble, loss: f64) {
    for seed in 0..8 {
        mark_under(trouble, loss, seed);
    }
}

/// Applies a mark and checks that nobody works under the old version after the limit.
fn mark_under(trouble: Trouble, loss: f64, seed: u64) {
    let mut world = World::settled(seed, 8, 1);
    world.loss = loss;
    match trouble {
        Trouble::None | Trouble::StoreLostAfterCommit => {}
        Trouble::SlowStore => world.store_delay = Duration::from_millis(1_500),
        Trouble::Pause => world.pause(6, SECOND * 7),
        Trouble::Partition => {
            for node in 5..8 {
                world.isolate(node);
            }
        }
        Trouble::OneWay => {
            world.cuts.extend((0..8).map(|other| (other, 6)));
            world.storeless.insert(6);
        }
    }
    let before = world.store.commits;
    world.apply(0, 1, 0);
    while world.store.commits == before {
        world.run(Duration::from_millis(1));
    }
    let committed = world.now;
    if matches!(trouble, Trouble::StoreLostAfterCommit) {
        // Its answer is on its way; the others can't read the head any more.
        world.run(world.store_delay);
        world.store.mode = Mode::Down;
    }
    world.run_with(SECOND * 30, |world| {
        if world.now.since(committed) < MARK_LIMIT {
            return;
        }
        for node in 0..8 {
            let old = world.version(node) == 0 && world.is_fresh(node);
            assert!(
                !old,
                "{trouble:?}, seed {seed}: node {node} at {}",
                world.now
            );
        }
    });
    let outcome = world.answer(1);
    assert!(
        matches!(outcome, Some(ApplyOutcome::InForce { .. })),
        "{outcome:?}"
    );
    assert!(world.answered_at(1).since(committed) <= CHANGE_LIMIT);
}

#[test]
fn accepted_never_reverts() {
    for seed in 0..10 {
        let mut world = World::settled(seed, 5, 1);
        world.loss = 0.2;
        world.apply(0, 1, 0);
        world.run(SECOND * 6);
        assert!(matches!(
            world.answer(1),
            Some(ApplyOutcome::InForce { .. })
        ));
        world.store.mode = Mode::Down;
        for place in [1, 3, 0, 4, 2, 1] {
            let old = world.nodes.len() - 1;
            let address = crate::world::address(place);
            let running = (0..=old).filter(|node| world.nodes[*node].address == address);
            let running: Vec<_> = running.collect();
            for node in running {
                world.kill(node);
            }
            world.start(place, 0);
            world.run_with(SECOND * 8, |world| {
                for node in 0..world.nodes.len() {
                    let old = world.version(node) == 0 && world.is_fresh(node);
                    assert!(!old, "seed {seed}: node {node} reverted at {}", world.now);
                }
            });
        }
        let alive = world.nodes.iter().filter(|node| node.alive);
        assert!(
            alive
                .into_iter()
                .all(|node| node.membership.version().0 == 1)
        );
    }
}
