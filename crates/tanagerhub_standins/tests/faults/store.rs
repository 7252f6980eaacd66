//! Outages of the platform's store.

use std::time::Duration;

use tanagerhub_catalogue::Mark;
use tanagerhub_standins::{Outcome, SHOP_API, Verdict};

use crate::harness::{NODES, run, run_empty};

#[test]
fn load_store_down() {
    run(async |world| {
        world.site.platform.stop().await;
        let load = world.load(4);
        // Longer than any confirmation by the store may count.
        world.site.clock.sleep(Duration::from_secs(10)).await;
        world.answers_everywhere().await;
        let tally = load.stop().await;
        assert!(tally.whole > 0);
        assert_eq!((tally.cut, tally.lost), (0, 0));
        world.site.platform.restart().await.unwrap();
        world.all_serve().await;
    });
}

#[test]
fn book_store_down_is_not_run() {
    run(async |world| {
        world.site.platform.stop().await;
        let reply = world
            .caller(0)
            .book(SHOP_API, "b-1", Some("key-1"))
            .await
            .unwrap();
        assert_eq!(
            reply.verdict,
            Verdict::Refused(Outcome::NotRun),
            "{reply:?}"
        );
        assert_eq!(world.runs("b-1"), 0);
        world.site.platform.restart().await.unwrap();
        world
            .until("the booking is made", async || {
                let caller = world.caller(1);
                let reply = caller.book(SHOP_API, "b-1", Some("key-1")).await;
                reply.unwrap().is_whole()
            })
            .await;
        assert_eq!(world.runs("b-1"), 1);
    });
}

#[test]
fn apply_answers_lost() {
    run_empty(async |world| {
        world.site.platform.lose_answers(4);
        world.apply().await;
        world.site.platform.lose_answers(4);
        world.all_serve().await;
        world.answers_everywhere().await;
    });
}

#[test]
fn book_answers_lost() {
    run(async |world| {
        for number in 0..6 {
            world.site.platform.lose_answers(2);
            let id = world.name("b");
            for node in [number % NODES, (number + 1) % NODES] {
                let caller = world.caller(node);
                let reply = caller.book(SHOP_API, &id, Some(&id)).await.unwrap();
                assert!(world.runs(&id) <= 1, "{reply:?}");
            }
        }
    });
}

#[test]
fn mark_store_slow() {
    run(async |world| {
        world.site.platform.slow(Duration::from_millis(300));
        let load = world.load(2);
        let operator = world.nodes.operator(0);
        world
            .until("the mark is in force", async || {
                let change = operator.mark_data_centre("tbs-c", Mark::Out).await;
                matches!(change, Ok(change) if change.in_force)
            })
            .await;
        world.site.clock.sleep(Duration::from_secs(6)).await;
        world.answers_everywhere().await;
        load.stop().await;
    });
}
