//! Tests of nodes that are replaced, paused, isolated, or started without the store.

use std::collections::BTreeSet;
use std::time::Duration;

use tanagerhub_catalogue::{CatalogueVersion, Epoch, GroupId, Health, NodeId};
use tanagerhub_clock::Moment;
use tanagerhub_membership::{
    AgedFact, Beacon, BeaconBody, Confirmer, DirectoryDigest, Fact, Freshness, MembershipAction,
    MembershipEvent, Probe, StaleReason, Standing, StoreState,
};
use yare::parameterized;

use crate::simulation::Simulation;
use crate::simulation::store::Mode;

const SECOND: Duration = Duration::from_secs(1);

fn freshness(simulation: &Simulation, node: usize) -> Freshness {
    simulation.nodes[node].membership.freshness(simulation.now)
}

/// Returns a simulation of `count` settled nodes that have all adopted version 1.
fn at_version_one(count: usize) -> Simulation {
    let mut simulation = Simulation::settled(7, count, 1);
    simulation.apply(0, 1, 0);
    simulation.run(SECOND * 3);
    assert!((0..count).all(|node| simulation.version(node) == 1));
    simulation
}

#[test]
fn start_with_store() {
    let simulation = Simulation::settled(1, 8, 1);
    for node in 0..8 {
        assert!(simulation.is_fresh(node), "node {node}");
        assert_eq!(
            simulation.nodes[node]
                .membership
                .peers(simulation.now)
                .len(),
            7
        );
    }
}

#[test]
fn restart_under_same_address() {
    let mut simulation = at_version_one(8);
    let old = simulation.nodes[3].membership.identity();
    simulation.kill(3);
    let new = simulation.start(3, 0);
    simulation.run(SECOND * 3);
    assert!(simulation.is_fresh(new));
    assert_eq!(simulation.version(new), 1);
    assert!(simulation.nodes[new].membership.identity() > old);
    let seen = simulation.nodes[0].membership.peers(simulation.now);
    let address = simulation.nodes[new].address;
    let peer = seen.iter().find(|peer| peer.address == address).unwrap();
    assert_eq!(peer.identity, simulation.nodes[new].membership.identity());
}

#[parameterized(
    no_loss = { 0.0 },
    heavy_loss = { 0.2 },
)]
fn store_outage_long(loss: f64) {
    let mut simulation = at_version_one(8);
    simulation.loss = loss;
    simulation.store.mode = Mode::Down;
    simulation.run(SECOND * 10);
    let (mut seen, mut fresh) = (0_u32, 0_u32);
    simulation.run_with(SECOND * 600, |simulation| {
        seen += 8;
        fresh += (0..8)
            .map(|node| u32::from(simulation.is_fresh(node)))
            .sum::<u32>();
    });
    assert!(f64::from(fresh) >= 0.99 * f64::from(seen), "{fresh}/{seen}");
    for node in 0..8 {
        let status = simulation.nodes[node].membership.status(simulation.now);
        assert_eq!(status.store, StoreState::Down);
        assert_eq!(simulation.version(node), 1);
    }
}

#[test]
fn store_outage_by_majority() {
    let mut simulation = at_version_one(8);
    simulation.store.mode = Mode::Down;
    simulation.run(SECOND * 10);
    let confirmed = freshness(&simulation, 2);
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
    let mut simulation = at_version_one(count);
    simulation.store.mode = Mode::Down;
    simulation.run(SECOND * 10);
    simulation.kill(count - 1);
    let new = simulation.start(count - 1, 0);
    simulation.run(SECOND * 10);
    assert_eq!(
        simulation.nodes[new].membership.standing(),
        Standing::Member
    );
    assert_eq!(simulation.version(new), 1);
    assert!(simulation.is_fresh(new));
}

#[test]
fn start_without_store_or_majority() {
    let mut simulation = at_version_one(3);
    simulation.store.mode = Mode::Down;
    simulation.run(SECOND * 10);
    simulation.kill(1);
    simulation.kill(2);
    let new = [simulation.start(1, 0), simulation.start(2, 0)];
    simulation.run(SECOND * 20);
    for node in [0, new[0], new[1]] {
        assert!(!simulation.is_fresh(node), "node {node} has no majority");
    }
    simulation.store.mode = Mode::Up;
    simulation.run(SECOND * 20);
    for node in [0, new[0], new[1]] {
        assert!(simulation.is_fresh(node), "node {node} can read the store");
        assert_eq!(simulation.version(node), 1);
    }
}

#[test]
fn isolation_and_recovery() {
    let mut simulation = at_version_one(8);
    simulation.isolate(5);
    simulation.without_store.insert(5);
    simulation.run(SECOND * 4);
    assert!(!simulation.is_fresh(5));
    let reason = freshness(&simulation, 5);
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
    assert!((0..5).all(|node| simulation.is_fresh(node)));
    simulation.blocked_links.clear();
    simulation.without_store.clear();
    simulation.run(SECOND * 12);
    assert!(simulation.is_fresh(5));
}

#[parameterized(
    cannot_send = { true, false },
    cannot_receive = { false, true },
    both = { true, true },
)]
fn partition_one_way(out: bool, into: bool) {
    let mut simulation = at_version_one(8);
    simulation.without_store.insert(5);
    for other in (0..8).filter(|other| *other != 5) {
        if out {
            simulation.blocked_links.insert((5, other));
        }
        if into {
            simulation.blocked_links.insert((other, 5));
        }
    }
    simulation.apply(0, 2, 1);
    simulation.run(SECOND * 5);
    assert!(!simulation.is_fresh(5));
    simulation.blocked_links.clear();
    simulation.run(SECOND * 5);
    assert!(simulation.is_fresh(5), "by its peers alone");
    assert_eq!(simulation.version(5), 2);
}

#[test]
fn pause_and_resume_with_old_view() {
    let mut simulation = at_version_one(8);
    let fresh_until = simulation.nodes[4]
        .membership
        .fresh_until(simulation.now)
        .unwrap();
    simulation.pause(4, SECOND * 30);
    simulation.apply(0, 2, 1);
    simulation.run(SECOND * 29);
    // A resumed process checks its freshness before it handles any message.
    let resume_at: Moment = simulation.now + SECOND;
    assert!(resume_at > fresh_until);
    assert!(
        !simulation.nodes[4]
            .membership
            .freshness(resume_at)
            .is_fresh()
    );
    simulation.run_with(SECOND * 5, |simulation| {
        let old = simulation.version(4) == 1;
        assert!(
            !(old && simulation.is_fresh(4)),
            "fresh with an old view at {}",
            simulation.now
        );
    });
    assert!(simulation.is_fresh(4));
    assert_eq!(simulation.version(4), 2);
    assert_eq!(simulation.nodes[4].membership.counters().pauses, 1);
}

#[test]
fn pause_of_all_without_store() {
    let mut simulation = at_version_one(5);
    simulation.store.mode = Mode::Down;
    simulation.run(SECOND * 10);
    for node in 0..5 {
        simulation.pause(node, SECOND * 20);
    }
    simulation.run(SECOND * 30);
    assert!((0..5).all(|node| simulation.is_fresh(node)));
}

#[test]
fn resume_after_replacement() {
    let mut simulation = at_version_one(8);
    simulation.store.mode = Mode::Down;
    simulation.run(SECOND * 10);
    simulation.pause(3, SECOND * 20);
    let new = simulation.start(3, 0);
    simulation.run(SECOND * 19);
    assert!(simulation.is_fresh(new));
    // The replacement's VM is removed and the old process resumes under the same address.
    simulation.kill(new);
    simulation.route_to(3);
    simulation.run(SECOND * 8);
    let membership = &simulation.nodes[3].membership;
    assert!(membership.identity() > simulation.nodes[new].membership.identity());
    assert_eq!(membership.counters().takeovers, 1);
    assert!(simulation.is_fresh(3));
}

#[test]
fn resume_beside_replacement() {
    let mut simulation = at_version_one(8);
    simulation.store.mode = Mode::Down;
    simulation.run(SECOND * 10);
    simulation.pause(3, SECOND * 20);
    simulation.start(3, 0);
    // Messages to the address reach only the replacement.
    simulation.run_with(SECOND * 60, |simulation| {
        let resumed = simulation.nodes[3].paused_until <= simulation.now;
        let old = simulation.nodes[3].paused_until > Moment::from_millis(1);
        assert!(!(old && resumed && simulation.is_fresh(3)));
    });
}

#[test]
fn store_recovery_read_rate() {
    let mut simulation = Simulation::settled(3, 72, 1);
    simulation.store.mode = Mode::Down;
    simulation.run(SECOND * 120);
    simulation.store.mode = Mode::Up;
    let mut worst = 0;
    for _ in 0..20 {
        let before = simulation.store.reads;
        simulation.run(SECOND);
        worst = worst.max(simulation.store.reads - before);
    }
    assert!(worst <= 50, "{worst} reads in one second");
    assert!((0..72).all(|node| simulation.is_fresh(node)));
}

#[test]
fn retire_slot() {
    let mut simulation = at_version_one(8);
    simulation.kill(7);
    let retired = tanagerhub_catalogue::NodeId::of(&simulation.nodes[7].address.to_string());
    simulation.event(0, MembershipEvent::Retire { node: retired });
    simulation.run(SECOND * 40);
    for node in 0..7 {
        assert_eq!(
            simulation.nodes[node]
                .membership
                .status(simulation.now)
                .slots,
            7
        );
    }
}

#[test]
fn leaving_is_seen_by_all() {
    let mut simulation = at_version_one(8);
    simulation.loss = 0.2;
    simulation.event(6, MembershipEvent::Leaving);
    simulation.run(SECOND * 5);
    let address = simulation.nodes[6].address;
    for node in (0..8).filter(|node| *node != 6) {
        let peers = simulation.nodes[node].membership.peers(simulation.now);
        let leaving = peers
            .iter()
            .any(|peer| peer.address == address && peer.leaving);
        assert!(leaving, "node {node}");
    }
}

#[test]
fn newer_version_without_document() {
    let mut simulation = at_version_one(8);
    simulation.without_documents.insert(5);
    simulation.apply(0, 2, 1);
    simulation.run(SECOND * 2);
    let reason = freshness(&simulation, 5);
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
    simulation.without_documents.clear();
    simulation.run(SECOND * 4);
    assert!(simulation.is_fresh(5));
    assert_eq!(simulation.version(5), 2);
}

#[test]
fn resume_response_standing() {
    let mut simulation = at_version_one(3);
    simulation.store.mode = Mode::Down;
    simulation.run(SECOND * 10);
    let probe = Probe {
        nonce: 1,
        region: 0,
        version: CatalogueVersion(1),
        digest: DirectoryDigest::default(),
        slots: 0,
    };
    let event = MembershipEvent::Beacon {
        from: simulation.nodes[0].address,
        beacon: Beacon {
            node: NodeId::of(&simulation.nodes[0].address.to_string()),
            identity: simulation.nodes[0].membership.identity(),
            body: BeaconBody::Probe(probe),
        },
    };
    let resume_at = simulation.now + SECOND * 30;
    let actions = simulation.nodes[1].membership.on_event(resume_at, event);
    let standing = actions.iter().find_map(|action| match action {
        MembershipAction::SendBeacon { beacon, .. } => match &beacon.body {
            BeaconBody::Response(response) => Some(response.standing),
            _ => None,
        },
        _ => None,
    });
    assert_eq!(standing, Some(Standing::Paused));
}

#[test]
fn facts_never_younger_on_slow_links() {
    let mut simulation = at_version_one(8);
    simulation.delay = Duration::from_millis(400);
    let seen = simulation.now;
    let fact = Fact::Attested {
        group: GroupId(77),
        epoch: Epoch(1),
        health: Health::Warm,
    };
    let age = Duration::ZERO;
    let event = MembershipEvent::LocalFacts(vec![AgedFact { fact, age }]);
    simulation.event(0, event);
    let mut reached = BTreeSet::new();
    simulation.run_with(SECOND * 4, |simulation| {
        for node in 0..8 {
            for known in simulation.nodes[node].membership.facts(simulation.now) {
                reached.insert(node);
                assert!(
                    known.age >= simulation.now.since(seen),
                    "node {node}: {known:?}"
                );
            }
        }
    });
    assert_eq!(reached.len(), 8);
}
