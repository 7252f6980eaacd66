//! Data centres and VMs that are marked out or leave, and return.

use std::time::Duration;

use tanagerhub_catalogue::{Mark, VmId};
use tanagerhub_standins::Event;

use crate::harness::{Simulation, run};

/// Longer than the time for which a data centre or VM that is marked out may get new requests.
const MARK_WAIT: Duration = Duration::from_secs(7);

#[test]
fn load_data_centre_out_and_in() {
    run(async |simulation| {
        let load = simulation.load(4);
        mark(simulation, "tbs-b", Mark::Out).await;
        simulation.site.clock.sleep(MARK_WAIT).await;
        simulation.wait_all_nodes_respond().await;
        mark(simulation, "tbs-b", Mark::In).await;
        simulation.wait_all_serving().await;
        let tally = load.stop().await;
        assert!(tally.complete > 0);
        assert_eq!((tally.truncated, tally.lost), (0, 0));
    });
}

#[test]
fn load_servers_leave() {
    run(async |simulation| {
        let load = simulation.load(4);
        let [first, second, third] = simulation.site.fabric.serving()[..3] else {
            panic!("fewer than three engines serve");
        };
        simulation
            .site
            .engine(first)
            .unwrap()
            .announce_leaving(true);
        let listed = vm_name(simulation, second);
        simulation.site.platform.announce_leaving(&listed);
        simulation
            .site
            .recorder
            .record(Event::Leaving { vm: second });
        let marked = vm_name(simulation, third);
        let operator = simulation.nodes.operator(1);
        operator.mark_vm(&marked, Mark::Out).await.unwrap();
        simulation.site.clock.sleep(MARK_WAIT).await;
        simulation.wait_all_serving().await;
        let tally = load.stop().await;
        assert!(tally.complete > 0);
        assert_eq!((tally.truncated, tally.lost), (0, 0));
    });
}

fn vm_name(simulation: &Simulation, vm: VmId) -> String {
    let mut backend_servers = simulation.site.engines.iter();
    let backend_server = backend_servers
        .find(|backend_server| backend_server.vm.id() == vm)
        .unwrap();
    backend_server.vm.name.clone()
}

async fn mark(simulation: &Simulation, name: &str, mark: Mark) {
    let operator = simulation.nodes.operator(0);
    simulation
        .until("the mark is in force", async || {
            let change = operator.mark_data_centre(name, mark).await;
            matches!(change, Ok(change) if change.in_force)
        })
        .await;
}
