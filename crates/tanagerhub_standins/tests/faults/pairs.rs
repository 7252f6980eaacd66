//! Combinations of two faults.

use std::time::Duration;

use tanagerhub_catalogue::Mark;

use crate::harness::run;

#[test]
fn stream_member_and_node_killed() {
    run(async |simulation| {
        let (request_id, stream) = simulation.start_stream(0, 800).await;
        let head = simulation.starts(&request_id)[0].vm;
        let member = simulation.group_engines(head)[1].clone();
        member.kill().await;
        simulation.nodes.kill(1).await;
        let result = stream.await;
        assert!(result.is_complete(), "{result:?}");
        simulation.nodes.ensure_running(1).await.unwrap();
        member.restart().await.unwrap();
        simulation.wait_all_serving().await;
    });
}

#[test]
fn load_member_killed_store_down() {
    run(async |simulation| {
        simulation.site.platform.stop().await;
        let (request_id, stream) = simulation.start_stream(0, 400).await;
        let head = simulation.starts(&request_id)[0].vm;
        simulation.group_engines(head)[1].clone().kill().await;
        let result = stream.await;
        assert!(result.is_complete(), "{result:?}");
        simulation.wait_all_nodes_respond().await;
        simulation.site.platform.restart().await.unwrap();
        simulation.wait_all_serving().await;
    });
}

#[test]
fn load_data_centre_out_responses_lost() {
    run(async |simulation| {
        let load = simulation.load(2);
        simulation.site.platform.lose_responses(6);
        let operator = simulation.nodes.operator(1);
        simulation
            .until("the mark is in force", async || {
                let change = operator.mark_data_centre("tbs-a", Mark::Out).await;
                matches!(change, Ok(change) if change.in_force)
            })
            .await;
        simulation.site.clock.sleep(Duration::from_secs(7)).await;
        simulation.wait_all_nodes_respond().await;
        let tally = load.stop().await;
        assert_eq!((tally.truncated, tally.lost), (0, 0));
    });
}
