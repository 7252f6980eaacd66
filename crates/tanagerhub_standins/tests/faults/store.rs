//! Outages of the platform's store.

use std::time::Duration;

use tanagerhub_catalogue::Mark;
use tanagerhub_standins::{Outcome, SHOP_API, Verdict};

use crate::harness::{NODES, run, run_empty};

#[test]
fn load_store_down() {
    run(async |simulation| {
        simulation.site.platform.stop().await;
        let load = simulation.load(4);
        // Longer than any confirmation by the store stays valid.
        simulation.site.clock.sleep(Duration::from_secs(10)).await;
        simulation.wait_all_nodes_respond().await;
        let tally = load.stop().await;
        assert!(tally.complete > 0);
        assert_eq!((tally.truncated, tally.lost), (0, 0));
        simulation.site.platform.restart().await.unwrap();
        simulation.wait_all_serving().await;
    });
}

#[test]
fn book_store_down_is_not_run() {
    run(async |simulation| {
        simulation.site.platform.stop().await;
        let result = simulation
            .caller(0)
            .book(SHOP_API, "b-1", Some("key-1"))
            .await
            .unwrap();
        assert_eq!(
            result.verdict,
            Verdict::Refused(Outcome::NotRun),
            "{result:?}"
        );
        assert_eq!(simulation.runs("b-1"), 0);
        simulation.site.platform.restart().await.unwrap();
        simulation
            .until("the booking is made", async || {
                let caller = simulation.caller(1);
                let result = caller.book(SHOP_API, "b-1", Some("key-1")).await;
                result.unwrap().is_complete()
            })
            .await;
        assert_eq!(simulation.runs("b-1"), 1);
    });
}

#[test]
fn apply_responses_lost() {
    run_empty(async |simulation| {
        simulation.site.platform.lose_responses(4);
        simulation.apply().await;
        simulation.site.platform.lose_responses(4);
        simulation.wait_all_serving().await;
        simulation.wait_all_nodes_respond().await;
    });
}

#[test]
fn book_responses_lost() {
    run(async |simulation| {
        for number in 0..6 {
            simulation.site.platform.lose_responses(2);
            let id = simulation.name("b");
            for node in [number % NODES, (number + 1) % NODES] {
                let caller = simulation.caller(node);
                let result = caller.book(SHOP_API, &id, Some(&id)).await.unwrap();
                assert!(simulation.runs(&id) <= 1, "{result:?}");
            }
        }
    });
}

#[test]
fn mark_store_slow() {
    run(async |simulation| {
        simulation
            .site
            .platform
            .set_delay(Duration::from_millis(300));
        let load = simulation.load(2);
        let operator = simulation.nodes.operator(0);
        simulation
            .until("the mark is in force", async || {
                let change = operator.mark_data_centre("tbs-c", Mark::Out).await;
                matches!(change, Ok(change) if change.in_force)
            })
            .await;
        simulation.site.clock.sleep(Duration::from_secs(6)).await;
        simulation.wait_all_nodes_respond().await;
        load.stop().await;
    });
}
