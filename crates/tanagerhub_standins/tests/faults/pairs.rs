//! Two faults at once.

use std::time::Duration;

use tanagerhub_catalogue::Mark;

use crate::harness::run;

#[test]
fn stream_member_and_node_killed() {
    run(async |world| {
        let (work, stream) = world.start_stream(0, 800).await;
        let first = world.starts(&work)[0].vm;
        let member = world.group(first)[1].clone();
        member.kill().await;
        world.nodes.kill(1).await;
        let reply = stream.await;
        assert!(reply.is_whole(), "{reply:?}");
        world.nodes.revive(1).await.unwrap();
        member.restart().await.unwrap();
        world.all_serve().await;
    });
}

#[test]
fn load_member_killed_store_down() {
    run(async |world| {
        world.site.platform.stop().await;
        let (work, stream) = world.start_stream(0, 400).await;
        let first = world.starts(&work)[0].vm;
        world.group(first)[1].clone().kill().await;
        let reply = stream.await;
        assert!(reply.is_whole(), "{reply:?}");
        world.answers_everywhere().await;
        world.site.platform.restart().await.unwrap();
        world.all_serve().await;
    });
}

#[test]
fn load_data_centre_out_answers_lost() {
    run(async |world| {
        let load = world.load(2);
        world.site.platform.lose_answers(6);
        let operator = world.nodes.operator(1);
        world
            .until("the mark is in force", async || {
                let change = operator.mark_data_centre("tbs-a", Mark::Out).await;
                matches!(change, Ok(change) if change.in_force)
            })
            .await;
        world.site.clock.sleep(Duration::from_secs(7)).await;
        world.answers_everywhere().await;
        let tally = load.stop().await;
        assert_eq!((tally.cut, tally.lost), (0, 0));
    });
}
