//! Requests that are not repeatable.

use std::time::Duration;

use async_std::task::{self, JoinHandle};
use tanagerhub_standins::{CallResult, Outcome, SHOP_API, Verdict};

use crate::harness::{NODES, Simulation, run};

/// HTTP status of a request whose idempotency key is in use by one that is still running.
const IN_PROGRESS_STATUS: u16 = 409;

#[test]
fn book_same_key_at_every_node() {
    run(async |simulation| {
        for node in 0..NODES {
            complete_booking(simulation, node).await;
        }
        assert_eq!(simulation.runs("b-1"), 1);
    });
}

#[test]
fn book_service_crashes_after_running() {
    run(async |simulation| {
        for service in &simulation.site.services {
            service.standin.crash_after_running(1);
        }
        let first = simulation
            .caller(0)
            .book(SHOP_API, "b-1", Some("key-1"))
            .await;
        let verdict = first.unwrap().verdict;
        assert_ne!(verdict, Verdict::Complete);
        assert_ne!(verdict, Verdict::Refused(Outcome::NotRun));
        for node in 0..NODES {
            let caller = simulation.caller(node);
            let result = caller.book(SHOP_API, "b-1", Some("key-1")).await.unwrap();
            assert_ne!(result.verdict, Verdict::Refused(Outcome::NotRun));
        }
        assert_eq!(simulation.runs("b-1"), 1);
        for service in &simulation.site.services {
            service.standin.crash_after_running(0);
        }
    });
}

#[test]
fn book_connections_stalled() {
    run(async |simulation| {
        for number in 0..6 {
            let id = simulation.name("warm");
            let caller = simulation.caller(number % NODES);
            let result = caller.book(SHOP_API, &id, None).await.unwrap();
            assert!(result.is_complete(), "{result:?}");
        }
        for service in &simulation.site.services {
            service.standin.stall_open_connections();
        }
        for number in 0..6 {
            let id = simulation.name("silent");
            let caller = simulation.caller(number % NODES);
            let result = caller.book(SHOP_API, &id, None).await.unwrap();
            assert!(simulation.runs(&id) <= 1);
            if result.is_complete() {
                assert_eq!(simulation.runs(&id), 1);
            }
        }
    });
}

#[test]
fn book_node_stopped_in_flight() {
    run(async |simulation| {
        let booking = start_slow_booking(simulation).await;
        simulation.nodes.stop(0).await;
        let result = booking.await;
        assert!(result.is_complete(), "{result:?}");
        complete_booking(simulation, 1).await;
        assert_eq!(simulation.runs("b-1"), 1);
    });
}

#[test]
fn book_node_killed_in_flight() {
    run(async |simulation| {
        let booking = start_slow_booking(simulation).await;
        simulation.nodes.kill(0).await;
        assert!(!booking.await.is_complete());
        for _ in 0..3 {
            let caller = simulation.caller(1);
            let result = caller.book(SHOP_API, "b-1", Some("key-1")).await.unwrap();
            assert!(simulation.runs("b-1") <= 1, "{result:?}");
        }
        // The request that was cut off may still run at the service.
        simulation.site.clock.sleep(CALL_DELAY * 2).await;
        assert!(simulation.runs("b-1") <= 1);
    });
}

/// Time by which a slow service delays each request.
const CALL_DELAY: Duration = Duration::from_secs(1);

/// Starts a booking at the first node, and waits until it is probably in flight to the service.
async fn start_slow_booking(simulation: &Simulation) -> JoinHandle<CallResult> {
    for service in &simulation.site.services {
        service.standin.set_delay(CALL_DELAY);
    }
    let caller = simulation.caller(0);
    let booking = task::spawn(async move {
        let result = caller.book(SHOP_API, "b-1", Some("key-1")).await;
        result.unwrap()
    });
    simulation.site.clock.sleep(CALL_DELAY / 2).await;
    booking
}

/// Sends the booking to a node, and retries until the response is complete.
async fn complete_booking(simulation: &Simulation, node: usize) {
    let caller = simulation.caller(node);
    simulation
        .until("the booking has a complete response", async || {
            let result = caller.book(SHOP_API, "b-1", Some("key-1")).await.unwrap();
            // The outcome is recorded shortly after the first response.
            if result.status == Some(IN_PROGRESS_STATUS) {
                return false;
            }
            assert!(result.is_complete(), "node {node}: {result:?}");
            true
        })
        .await;
}
