//! Benchmarks of the processor time of control decisions, for fleets of 224 and of 10,000 VMs.

#[path = "../tests/support/measure.rs"]
mod measure;
#[path = "../tests/support/simulation.rs"]
mod simulation;
#[path = "../tests/support/single_node.rs"]
mod single_node;

use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use measure::{FLEET_10K_VMS, FLEET_224_VMS};
use tanagerhub_fleet::FleetEvent;

/// Measures one second of events (four ticks and all responses) at a planner and at a watcher.
fn bench_second(criterion: &mut Criterion) {
    for (name, size, nodes) in [("today", FLEET_224_VMS, 7), ("letter", FLEET_10K_VMS, 360)] {
        let formed = size.formed_simulation();
        for planner in [true, false] {
            let mut node = formed.single_node(nodes, planner);
            let role = if planner { "planner" } else { "watcher" };
            criterion.bench_function(&format!("second/{name}/{role}"), |bench| {
                bench.iter(|| node.run_second());
            });
        }
        let now = formed.now;
        let fleet = &formed.nodes[0].fleet;
        criterion.bench_function(&format!("groups/{name}"), |bench| {
            bench.iter(|| fleet.groups(now).filter(|view| view.eligible).count());
        });
        let mut simulation = size.formed_simulation();
        criterion.bench_function(&format!("tick/{name}"), |bench| {
            bench.iter(|| {
                simulation.now = simulation.now + Duration::from_millis(1);
                let now = simulation.now;
                simulation.nodes[0]
                    .fleet
                    .on_event(now, FleetEvent::Tick)
                    .len()
            });
        });
    }
}

criterion_group! {
    name = decisions;
    config = Criterion::default().sample_size(10).measurement_time(Duration::from_secs(2));
    targets = bench_second
}
criterion_main!(decisions);
