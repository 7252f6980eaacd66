//! Processor time of the decisions, at both sizes.

#[path = "../tests/support/lone_node.rs"]
mod lone_node;
#[path = "../tests/support/measure.rs"]
mod measure;
#[path = "../tests/support/world.rs"]
mod world;

use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use measure::{LETTER, TODAY};
use tanagerhub_fleet::FleetEvent;

/// One second of a planner that watches its share of the groups, four ticks and all answers.
fn second(criterion: &mut Criterion) {
    for (name, size, nodes) in [("today", TODAY, 7), ("letter", LETTER, 360)] {
        let formed = size.formed();
        for planner in [true, false] {
            let mut node = formed.lone_node(nodes, planner);
            let role = if planner { "planner" } else { "watcher" };
            criterion.bench_function(&format!("second/{name}/{role}"), |bench| {
                bench.iter(|| node.second());
            });
        }
        let now = formed.now;
        let fleet = &formed.nodes[0].fleet;
        criterion.bench_function(&format!("groups/{name}"), |bench| {
            bench.iter(|| fleet.groups(now).filter(|view| view.eligible).count());
        });
        let mut world = size.formed();
        criterion.bench_function(&format!("tick/{name}"), |bench| {
            bench.iter(|| {
                world.now = world.now + Duration::from_millis(1);
                let now = world.now;
                world.nodes[0].fleet.on_event(now, FleetEvent::Tick).len()
            });
        });
    }
}

criterion_group! {
    name = decisions;
    config = Criterion::default().sample_size(10).measurement_time(Duration::from_secs(2));
    targets = second
}
criterion_main!(decisions);
