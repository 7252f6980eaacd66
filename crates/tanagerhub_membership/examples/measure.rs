//! Prints the figures of docs/design/nodes.md, measured in simulated time.
//!
//! Run it with `cargo run --release -p tanagerhub_membership --example measure`.

use std::time::{Duration, Instant};

#[path = "../tests/nodes/measure.rs"]
#[expect(dead_code, reason = "some figures are only printed as a whole")]
mod measure;
#[path = "../tests/nodes/simulation.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod simulation;

use measure::{steady, store_down, time_to_adopt};
use simulation::Simulation;

const SEED: u64 = 11;

fn main() {
    println!("time to adopt a change");
    for (count, regions) in [(8, 1), (72, 1), (360, 5)] {
        for loss in [0.0, 0.05, 0.2] {
            let mut simulation = Simulation::settled(SEED, count, regions);
            simulation.loss = loss;
            let changes = if count == 8 { 40 } else { 5 };
            let (adoption, completion) = time_to_adopt(&mut simulation, changes);
            println!("nodes {count} loss {loss}: adopted {adoption:?} completed {completion:?}");
        }
    }
    println!("steady state");
    for (count, regions, groups) in [
        (8, 1, 0),
        (8, 1, 60),
        (8, 1, 240),
        (24, 1, 240),
        (72, 1, 0),
        (72, 1, 120),
        (72, 1, 240),
        (72, 3, 240),
        (216, 3, 720),
        (360, 5, 1_200),
    ] {
        for loss in [0.0, 0.05, 0.2] {
            for outage in [false, true] {
                let began = Instant::now();
                let mut simulation = Simulation::settled(SEED, count, regions);
                simulation.loss = loss;
                if outage {
                    store_down(&mut simulation);
                }
                let figures = steady(&mut simulation, regions, groups, Duration::from_secs(20));
                let took = began.elapsed();
                println!(
                    "nodes {count} regions {regions} groups {groups} loss {loss} \
                     outage {outage}: {figures:?} ({took:.1?})"
                );
            }
        }
    }
}
