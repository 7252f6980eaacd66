//! Faults of nodes.

use tanagerhub_standins::{Event, StopCause};

use crate::harness::{NODES, run, run_fresh};

#[test]
fn stream_node_killed() {
    run(async |simulation| {
        let (request_id, stream) = simulation.start_stream(0, 2_000).await;
        simulation.nodes.kill(0).await;
        let result = stream.await;
        assert!(!result.is_complete());
        simulation
            .until("the engine cancels the request", async || {
                let cancelled = |event: &Event| {
                    matches!(event, Event::Stopped { request_id: stopped, cause: StopCause::Cancelled, .. }
                        if *stopped == request_id)
                };
                simulation.site.recorder.count(cancelled) == 1
            })
            .await;
        simulation.nodes.ensure_running(0).await.unwrap();
        simulation.wait_all_serving().await;
        simulation.wait_all_nodes_respond().await;
    });
}

#[test]
fn load_every_node_replaced() {
    run(async |simulation| {
        let load = simulation.load(4);
        for node in 0..NODES {
            let (_, stream) = simulation.start_stream(node, 600).await;
            simulation.nodes.stop(node).await;
            let result = stream.await;
            assert!(result.is_complete(), "node {node}: {result:?}");
            simulation.nodes.ensure_running(node).await.unwrap();
            simulation.wait_all_serving().await;
        }
        let tally = load.stop().await;
        assert_eq!((tally.truncated, tally.lost), (0, 0));
        simulation.wait_all_nodes_respond().await;
    });
}

#[test]
fn apply_at_once_counts_every_node() {
    run_fresh(async |simulation| {
        simulation
            .until("every node holds its slot", async || {
                simulation.site.platform.rows(SLOT_PREFIX).len() == NODES
            })
            .await;
        simulation.apply().await;
        let status = simulation.nodes.operator(0).status().await.unwrap();
        let listed = status["nodes"].as_array().map_or(0, Vec::len);
        assert_eq!(listed, NODES, "the status does not list every node");
    });
}

/// Prefix of the keys of node slots in the table.
const SLOT_PREFIX: &str = "node/";
