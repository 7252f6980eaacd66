//! Data centres and servers that leave and return.

use std::time::Duration;

use tanagerhub_catalogue::{Mark, VmId};
use tanagerhub_standins::Fact;

use crate::harness::{World, run};

/// Longer than a place that was taken out may get new work.
const OUT: Duration = Duration::from_secs(7);

#[test]
fn load_data_centre_out_and_in() {
    run(async |world| {
        let load = world.load(4);
        mark(world, "tbs-b", Mark::Out).await;
        world.site.clock.sleep(OUT).await;
        world.answers_everywhere().await;
        mark(world, "tbs-b", Mark::In).await;
        world.all_serve().await;
        let tally = load.stop().await;
        assert!(tally.whole > 0);
        assert_eq!((tally.cut, tally.lost), (0, 0));
    });
}

#[test]
fn load_servers_leave() {
    run(async |world| {
        let load = world.load(4);
        let [first, second, third] = world.site.fabric.serving()[..3] else {
            panic!("fewer than three engines serve");
        };
        world.site.engine(first).unwrap().announce_leaving(true);
        let listed = name_of(world, second);
        world.site.platform.announce_leaving(&listed);
        world.site.recorder.note(Fact::Leaving { vm: second });
        let marked = name_of(world, third);
        let operator = world.nodes.operator(1);
        operator.mark_vm(&marked, Mark::Out).await.unwrap();
        world.site.clock.sleep(OUT).await;
        world.all_serve().await;
        let tally = load.stop().await;
        assert!(tally.whole > 0);
        assert_eq!((tally.cut, tally.lost), (0, 0));
    });
}

fn name_of(world: &World, vm: VmId) -> String {
    let mut backends = world.site.engines.iter();
    let backend = backends.find(|backend| backend.vm.id() == vm).unwrap();
    backend.vm.name.clone()
}

async fn mark(world: &World, name: &str, mark: Mark) {
    let operator = world.nodes.operator(0);
    world
        .until("the mark is in force", async || {
            let change = operator.mark_data_centre(name, mark).await;
            matches!(change, Ok(change) if change.in_force)
        })
        .await;
}
