//! Work that may not be repeated.

use std::time::Duration;

use async_std::task::{self, JoinHandle};
use tanagerhub_standins::{Outcome, Reply, SHOP_API, Verdict};

use crate::harness::{NODES, World, run};

/// The status of a request whose key is in use by one that still runs.
const IN_PROGRESS: u16 = 409;

#[test]
fn book_same_key_everywhere() {
    run(async |world| {
        for node in 0..NODES {
            whole_booking(world, node).await;
        }
        assert_eq!(world.runs("b-1"), 1);
    });
}

#[test]
fn book_service_dies_after_running() {
    run(async |world| {
        for service in &world.site.services {
            service.standin.die_after_running(1);
        }
        let first = world.caller(0).book(SHOP_API, "b-1", Some("key-1")).await;
        let verdict = first.unwrap().verdict;
        assert_ne!(verdict, Verdict::Whole);
        assert_ne!(verdict, Verdict::Refused(Outcome::NotRun));
        for node in 0..NODES {
            let caller = world.caller(node);
            let reply = caller.book(SHOP_API, "b-1", Some("key-1")).await.unwrap();
            assert_ne!(reply.verdict, Verdict::Refused(Outcome::NotRun));
        }
        assert_eq!(world.runs("b-1"), 1);
        for service in &world.site.services {
            service.standin.die_after_running(0);
        }
    });
}

#[test]
fn book_connections_silent() {
    run(async |world| {
        for number in 0..6 {
            let id = world.name("warm");
            let caller = world.caller(number % NODES);
            let reply = caller.book(SHOP_API, &id, None).await.unwrap();
            assert!(reply.is_whole(), "{reply:?}");
        }
        for service in &world.site.services {
            service.standin.silence_open();
        }
        for number in 0..6 {
            let id = world.name("silent");
            let caller = world.caller(number % NODES);
            let reply = caller.book(SHOP_API, &id, None).await.unwrap();
            assert!(world.runs(&id) <= 1);
            if reply.is_whole() {
                assert_eq!(world.runs(&id), 1);
            }
        }
    });
}

#[test]
fn book_node_stopped_in_flight() {
    run(async |world| {
        let booking = slow_booking(world).await;
        world.nodes.stop(0).await;
        let reply = booking.await;
        assert!(reply.is_whole(), "{reply:?}");
        whole_booking(world, 1).await;
        assert_eq!(world.runs("b-1"), 1);
    });
}

#[test]
fn book_node_killed_in_flight() {
    run(async |world| {
        let booking = slow_booking(world).await;
        world.nodes.kill(0).await;
        assert!(!booking.await.is_whole());
        for _ in 0..3 {
            let caller = world.caller(1);
            let reply = caller.book(SHOP_API, "b-1", Some("key-1")).await.unwrap();
            assert!(world.runs("b-1") <= 1, "{reply:?}");
        }
        // The call that was cut may still run at the service.
        world.site.clock.sleep(SLOW * 2).await;
        assert!(world.runs("b-1") <= 1);
    });
}

/// The time that a slow call takes.
const SLOW: Duration = Duration::from_secs(1);

/// Starts a booking at the first node, and waits until it is probably on its way.
async fn slow_booking(world: &World) -> JoinHandle<Reply> {
    for service in &world.site.services {
        service.standin.slow(SLOW);
    }
    let caller = world.caller(0);
    let booking = task::spawn(async move {
        let reply = caller.book(SHOP_API, "b-1", Some("key-1")).await;
        reply.unwrap()
    });
    world.site.clock.sleep(SLOW / 2).await;
    booking
}

/// Makes the booking at a node, and comes back until the answer is known.
async fn whole_booking(world: &World, node: usize) {
    let caller = world.caller(node);
    world
        .until("the booking's answer is known", async || {
            let reply = caller.book(SHOP_API, "b-1", Some("key-1")).await.unwrap();
            // The outcome is recorded a little after the first answer.
            if reply.status == Some(IN_PROGRESS) {
                return false;
            }
            assert!(reply.is_whole(), "node {node}: {reply:?}");
            true
        })
        .await;
}
