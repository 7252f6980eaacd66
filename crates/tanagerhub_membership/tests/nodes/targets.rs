//! Checks of the targets of docs/design/nodes.md, in simulated time.

use std::time::Duration;

use yare::parameterized;

use crate::measure::{steady, store_down, time_to_adopt};
use crate::simulation::Simulation;

const SEED: u64 = 5;
const CHANGE_LIMIT: Duration = Duration::from_secs(17);
/// Maximum bytes of datagrams that a node may send per second.
const MAX_BYTES_PER_S: f64 = 5_000.0;
/// Minimum share of node-seconds in which a connected node is fresh.
const MIN_FRESH_SHARE: f64 = 0.99;
/// Maximum 95th percentile of the age of attestations at other nodes.
const MAX_ATTESTATION_AGE: Duration = Duration::from_secs(2);
/// Maximum reads of the table per second by one region of 72 nodes, a fifth of all nodes.
const MAX_READS_PER_S: f64 = 10.0;

#[parameterized(
    eight_nodes = { 8, 1, 0.0, 1 },
    eight_nodes_little_loss = { 8, 1, 0.05, 1 },
    eight_nodes_heavy_loss = { 8, 1, 0.2, 1 },
    three_regions_heavy_loss = { 72, 3, 0.2, 3 },
)]
fn change_adopted(count: usize, regions: usize, loss: f64, limit: u64) {
    let mut simulation = Simulation::settled(SEED, count, regions);
    simulation.loss = loss;
    let (adoption, completion) = time_to_adopt(&mut simulation, 10);
    assert!(adoption.p95 <= Duration::from_secs(limit), "{adoption:?}");
    assert!(completion.max <= CHANGE_LIMIT, "{completion:?}");
}

#[parameterized(
    eight_nodes = { 8, 60, 0.05 },
    region = { 72, 240, 0.05 },
    region_without_loss = { 72, 240, 0.0 },
)]
fn control_within_budget(count: usize, groups: u64, loss: f64) {
    let mut simulation = Simulation::settled(SEED, count, 1);
    simulation.loss = loss;
    let figures = steady(&mut simulation, 1, groups, Duration::from_secs(10));
    assert!(figures.bytes_max <= MAX_BYTES_PER_S, "{figures:?}");
    assert!(figures.ages.p95 <= MAX_ATTESTATION_AGE, "{figures:?}");
    assert!(figures.reads <= MAX_READS_PER_S, "{figures:?}");
}

#[parameterized(
    up = { false },
    down = { true },
)]
fn fresh_under_loss(outage: bool) {
    let mut simulation = Simulation::settled(SEED, 72, 1);
    simulation.loss = 0.2;
    if outage {
        store_down(&mut simulation);
    }
    let figures = steady(&mut simulation, 1, 60, Duration::from_secs(10));
    assert!(figures.fresh >= MIN_FRESH_SHARE, "{figures:?}");
}

#[test]
fn bytes_with_more_regions() {
    let sent = |regions: usize| {
        let mut simulation = Simulation::settled(SEED, 8 * regions, regions);
        let groups = 30 * regions as u64;
        steady(&mut simulation, regions, groups, Duration::from_secs(10)).bytes
    };
    let (two, four) = (sent(2), sent(4));
    assert!(
        four <= two * 1.02,
        "{two} bytes with 2 regions, {four} with 4"
    );
}
