//! Nodes that are replaced, paused, cut off, or start without the store.

use std::collections::BTreeSet;
use std::time::Duration;

use tanagerhub_catalogue::{CatalogueVersion, Epoch, GroupId, Health, NodeId};
use tanagerhub_clock::Moment;
use tanagerhub_membership::{
    AgedFact, Beacon, BeaconBody, Confirmer, DirectoryDigest, Fact, Freshness, MembershipAction,
    MembershipEvent, Probe, StaleReason, Standing, StoreState,
};
use yare::parameterized;

use crate::world::World;
use crate::world::store::Mode;

const SECOND: Duration = Duration::from_secs(1);

fn freshness(world: &World, node: usize) -> Freshness {
    world.nodes[node].membership.freshness(world.now)
}

/// Eight settled nodes that all follow version 1.
fn at_version_one(count: usize) -> World {
    let mut world = World::settled(7, count, 1);
    world.apply(0, 1, 0);
    world.run(SECOND * 3);
    assert!((0..count).all(|node| world.version(node) == 1));
    world
}

#[test]
fn start_with_store() {
    let world = World::settled(1, 8, 1);
    for node in 0..8 {
        assert!(world.is_fresh(node), "node {node}");
        assert_eq!(world.nodes[node].membership.peers(world.now).len(), 7);
    }
}

#[test]
fn restart_under_same_address() {
    let mut world = at_version_one(8);
    let old = world.nodes[3].membership.identity();
    world.kill(3);
    let new = world.start(3, 0);
    world.run(SECOND * 3);
    assert!(world.is_fresh(new));
    assert_eq!(world.version(new), 1);
    assert!(world.nodes[new].membership.identity() > old);
    let seen = world.nodes[0].membership.peers(world.now);
    let address = world.nodes[new].address;
    let peer = seen.iter().find(|peer| peer.address == address).unwrap();
    assert_eq!(peer.identity, world.nodes[new].membership.identity());
}

#[parameterized(
    no_loss = { 0.0 },
    heavy_loss = { 0.2 },
)]
fn store_outage_long(loss: f64) {
    let mut world = at_version_one(8);
    world.loss = loss;
    world.store.mode = Mode::Down;
    world.run(SECOND * 10);
    let (mut seen, mut fresh) = (0_u32, 0_u32);
    world.run_with(SECOND * 600, |world| {
        seen += 8;
        fresh += (0..8)
            .map(|node| u32::from(world.is_fresh(node)))
            .sum::<u32>();
    });
    assert!(f64::from(fresh) >= 0.99 * f64::from(seen), "{fresh}/{seen}");
    for node in 0..8 {
        let status = world.nodes[node].membership.status(world.now);
        assert_eq!(status.store, StoreState::Down);
        assert_eq!(world.version(node), 1);
    }
}

#[test]
fn store_outage_by_majority() {
    let mut world = at_version_one(8);
    world.store.mode = Mode::Down;
    world.run(SECOND * 10);
    let confirmed = freshness(&world, 2);
    assert!(
        matches!(
            confirmed,
            Freshness::Fresh {
                by: Confirmer::Majority,
                ..
            }
        ),
        "{confirmed:?}"
    );
}

#[parameterized(
    three_nodes = { 3 },
    eight_nodes = { 8 },
)]
fn start_without_store(count: usize) {
    let mut world = at_version_one(count);
    world.store.mode = Mode::Down;
    world.run(SECOND * 10);
    world.kill(count - 1);
    let new = world.start(count - 1, 0);
    world.run(SECOND * 10);
    assert_eq!(world.nodes[new].membership.standing(), Standing::Member);
    assert_eq!(world.version(new), 1);
    assert!(world.is_fresh(new));
}

#[test]
fn start_without_store_or_majority() {
    let mut world = at_version_one(3);
    world.store.mode = Mode::Down;
    world.run(SECOND * 10);
    world.kill(1);
    world.kill(2);
    let new = [world.start(1, 0), world.start(2, 0)];
    world.run(SECOND * 20);
    for node in [0, new[0], new[1]] {
        assert!(!world.is_fresh(node), "node {node} has no majority");
    }
    world.store.mode = Mode::Up;
    world.run(SECOND * 20);
    for node in [0, new[0], new[1]] {
        assert!(world.is_fresh(node), "node {node} can read the store");
        assert_eq!(world.version(node), 1);
    }
}

#[test]
fn cut_off_and_back() {
    let mut world = at_version_one(8);
    world.isolate(5);
    world.storeless.insert(5);
    world.run(SECOND * 4);
    assert!(!world.is_fresh(5));
    let reason = freshness(&world, 5);
    assert!(
        matches!(
            reason,
            Freshness::Stale {
                reason: StaleReason::Unconfirmed,
                ..
            }
        ),
        "{reason:?}"
    );
    assert!((0..5).all(|node| world.is_fresh(node)));
    world.cuts.clear();
    world.storeless.clear();
    world.run(SECOND * 12);
    assert!(world.is_fresh(5));
}

#[parameterized(
    cannot_send = { true, false },
    cannot_receive = { false, true },
    both = { true, true },
)]
fn partition_one_way(out: bool, into: bool) {
    let mut world = at_version_one(8);
    world.storeless.insert(5);
    for other in (0..8).filter(|other| *other != 5) {
        if out {
            world.cuts.insert((5, other));
        }
        if into {
            world.cuts.insert((other, 5));
        }
    }
    world.apply(0, 2, 1);
    world.run(SECOND * 5);
    assert!(!world.is_fresh(5));
    world.cuts.clear();
    world.run(SECOND * 5);
    assert!(world.is_fresh(5), "by its peers alone");
    assert_eq!(world.version(5), 2);
}

#[test]
fn pause_and_wake_with_old_view() {
    let mut world = at_version_one(8);
    let fresh_until = world.nodes[4].membership.fresh_until(world.now).unwrap();
    world.pause(4, SECOND * 30);
    world.apply(0, 2, 1);
    world.run(SECOND * 29);
    // The first thing that a woken process asks is the time, before any message is read.
    let wake: Moment = world.now + SECOND;
    assert!(wake > fresh_until);
    assert!(!world.nodes[4].membership.freshness(wake).is_fresh());
    world.run_with(SECOND * 5, |world| {
        let old = world.version(4) == 1;
        assert!(
            !(old && world.is_fresh(4)),
            "fresh with an old view at {}",
            world.now
        );
    });
    assert!(world.is_fresh(4));
    assert_eq!(world.version(4), 2);
    assert_eq!(world.nodes[4].membership.counters().pauses, 1);
}

#[test]
fn pause_of_all_without_store() {
    let mut world = at_version_one(5);
    world.store.mode = Mode::Down;
    world.run(SECOND * 10);
    for node in 0..5 {
        world.pause(node, SECOND * 20);
    }
    world.run(SECOND * 30);
    assert!((0..5).all(|node| world.is_fresh(node)));
}

#[test]
fn wake_after_replacement() {
    let mut world = at_version_one(8);
    world.store.mode = Mode::Down;
    world.run(SECOND * 10);
    world.pause(3, SECOND * 20);
    let new = world.start(3, 0);
    world.run(SECOND * 19);
    assert!(world.is_fresh(new));
    // The replacement's VM goes away and the old one wakes under the same address.
    world.kill(new);
    world.route_to(3);
    world.run(SECOND * 8);
    let membership = &world.nodes[3].membership;
    assert!(membership.identity() > world.nodes[new].membership.identity());
    assert_eq!(membership.counters().takeovers, 1);
    assert!(world.is_fresh(3));
}

#[test]
fn wake_beside_replacement() {
    let mut world = at_version_one(8);
    world.store.mode = Mode::Down;
    world.run(SECOND * 10);
    world.pause(3, SECOND * 20);
    world.start(3, 0);
    // What is sent to the address reaches the replacement only.
    world.run_with(SECOND * 60, |world| {
        let woken = world.nodes[3].paused_until <= world.now;
        let old = world.nodes[3].paused_until > Moment::from_millis(1);
        assert!(!(old && woken && world.is_fresh(3)));
    });
}

#[test]
fn store_return_without_stampede() {
    let mut world = World::settled(3, 72, 1);
    world.store.mode = Mode::Down;
    world.run(SECOND * 120);
    world.store.mode = Mode::Up;
    let mut worst = 0;
    for _ in 0..20 {
        let before = world.store.reads;
        world.run(SECOND);
        worst = worst.max(world.store.reads - before);
    }
    assert!(worst <= 50, "{worst} reads in one second");
    assert!((0..72).all(|node| world.is_fresh(node)));
}

#[test]
fn retire_slot() {
    let mut world = at_version_one(8);
    world.kill(7);
    let gone = tanagerhub_catalogue::NodeId::of(&world.nodes[7].address.to_string());
    world.event(0, MembershipEvent::Retire { node: gone });
    world.run(SECOND * 40);
    for node in 0..7 {
        assert_eq!(world.nodes[node].membership.status(world.now).slots, 7);
    }
}

#[test]
fn leaving_is_seen_by_all() {
    let mut world = at_version_one(8);
    world.loss = 0.2;
    world.event(6, MembershipEvent::Leaving);
    world.run(SECOND * 5);
    let address = world.nodes[6].address;
    for node in (0..8).filter(|node| *node != 6) {
        let peers = world.nodes[node].membership.peers(world.now);
        let leaving = peers
            .iter()
            .any(|peer| peer.address == address && peer.leaving);
        assert!(leaving, "node {node}");
    }
}

#[test]
fn newer_version_without_document() {
    let mut world = at_version_one(8);
    world.documentless.insert(5);
    world.apply(0, 2, 1);
    world.run(SECOND * 2);
    let reason = freshness(&world, 5);
    assert!(
        matches!(
            reason,
            Freshness::Stale {
                reason: StaleReason::NewerVersion,
                ..
            }
        ),
        "{reason:?}"
    );
    world.documentless.clear();
    world.run(SECOND * 4);
    assert!(world.is_fresh(5));
    assert_eq!(world.version(5), 2);
}

#[test]
fn wake_and_answer_uncounted() {
    let mut world = at_version_one(3);
    world.store.mode = Mode::Down;
    world.run(SECOND * 10);
    let probe = Probe {
        nonce: 1,
        region: 0,
        version: CatalogueVersion(1),
        digest: DirectoryDigest::default(),
        slots: 0,
    };
    let event = MembershipEvent::Beacon {
        from: world.nodes[0].address,
        beacon: Beacon {
            node: NodeId::of(&world.nodes[0].address.to_string()),
            identity: world.nodes[0].membership.identity(),
            body: BeaconBody::Probe(probe),
        },
    };
    let wake = world.now + SECOND * 30;
    let actions = world.nodes[1].membership.on_event(wake, event);
    let standing = actions.iter().find_map(|action| match action {
        MembershipAction::SendBeacon { beacon, .. } => match &beacon.body {
            BeaconBody::Answer(answer) => Some(answer.standing),
            _ => None,
        },
        _ => None,
    });
    assert_eq!(standing, Some(Standing::Paused));
}

#[test]
fn facts_never_younger_on_slow_links() {
    let mut world = at_version_one(8);
    world.delay = Duration::from_millis(400);
    let seen = world.now;
    let fact = Fact::Attested {
        group: GroupId(77),
        epoch: Epoch(1),
        health: Health::Warm,
    };
    let age = Duration::ZERO;
    let event = MembershipEvent::LocalFacts(vec![AgedFact { fact, age }]);
    world.event(0, event);
    let mut reached = BTreeSet::new();
    world.run_with(SECOND * 4, |world| {
        for node in 0..8 {
            for known in world.nodes[node].membership.facts(world.now) {
                reached.insert(node);
                assert!(known.age >= world.now.since(seen), "node {node}: {known:?}");
            }
        }
    });
    assert_eq!(reached.len(), 8);
}
