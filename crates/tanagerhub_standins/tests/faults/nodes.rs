//! Faults of nodes.

use tanagerhub_standins::{Fact, StopCause};

use crate::harness::{NODES, run, run_fresh};

#[test]
fn stream_node_killed() {
    run(async |world| {
        let (work, stream) = world.start_stream(0, 2_000).await;
        world.nodes.kill(0).await;
        let reply = stream.await;
        assert!(!reply.is_whole());
        world
            .until("the engine cancels the request", async || {
                let cancelled = |fact: &Fact| {
                    matches!(fact, Fact::Stopped { work: stopped, cause: StopCause::Cancelled, .. }
                        if *stopped == work)
                };
                world.site.recorder.count(cancelled) == 1
            })
            .await;
        world.nodes.revive(0).await.unwrap();
        world.all_serve().await;
        world.answers_everywhere().await;
    });
}

#[test]
fn load_every_node_replaced() {
    run(async |world| {
        let load = world.load(4);
        for node in 0..NODES {
            let (_, stream) = world.start_stream(node, 600).await;
            world.nodes.stop(node).await;
            let reply = stream.await;
            assert!(reply.is_whole(), "node {node}: {reply:?}");
            world.nodes.revive(node).await.unwrap();
            world.all_serve().await;
        }
        let tally = load.stop().await;
        assert_eq!((tally.cut, tally.lost), (0, 0));
        world.answers_everywhere().await;
    });
}

#[test]
fn apply_at_once_counts_every_node() {
    run_fresh(async |world| {
        world
            .until("every node holds its slot", async || {
                world.site.platform.rows(SLOTS).len() == NODES
            })
            .await;
        world.apply().await;
        let status = world.nodes.operator(0).status().await.unwrap();
        let known = status["nodes"].as_array().map_or(0, Vec::len);
        assert_eq!(known, NODES, "in force at nodes that are not known");
    });
}

/// The start of the names of node slots in the table.
const SLOTS: &str = "node/";
