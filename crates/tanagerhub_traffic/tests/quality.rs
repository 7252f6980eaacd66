//! What callers get under load and faults, held to the targets of docs/design/traffic.md.

#[path = "../benches/simulation/parts.rs"]
mod simulation;

use simulation::runner::run;
use simulation::scenario::{CAPACITY_PER_GROUP, Fault, Outcomes, Scenario};

/// Milliseconds until the first token, for 95 in 100.
const FIRST_TOKEN_MS: u64 = 420;
/// Milliseconds between tokens, for 95 in 100.
const TOKEN_GAP_MS: u64 = 80;
/// Milliseconds that 95 in 100 requests of a small organisation wait beside a large one.
const FAIR_WAIT_MS: u64 = 250;
/// Per cent of capacity that is used in an overload.
const OVERLOAD_CAPACITY: f64 = 0.9;
/// Extra attempts per request, and at once per node.
const RETRY_RATIO: u64 = 10;
const RETRY_BURST: u64 = 64;

/// Per cent of prompt blocks found in a cache; the workload shares 44 in 100 at most.
const HIT_RATE: u64 = 35;

fn assert_prompt(outcomes: &Outcomes) {
    let first = outcomes.first_token.value_at_quantile(0.95);
    let gap = outcomes.gap.value_at_quantile(0.95);
    assert!(
        first <= FIRST_TOKEN_MS,
        "first token after {first} ms at p95"
    );
    assert!(gap <= TOKEN_GAP_MS, "{gap} ms between tokens at p95");
}

fn assert_kept(outcomes: &Outcomes) {
    let kept = (outcomes.lost, outcomes.duplicated, outcomes.overrun);
    assert_eq!(kept, (0, 0, 0), "lost, doubled, overrun");
}

#[test]
fn run_ordinary() {
    let outcomes = run(&Scenario::ordinary());
    assert_kept(&outcomes);
    assert_eq!((outcomes.refused, outcomes.unknown), (0, 0));
    assert_prompt(&outcomes);
    assert!(outcomes.hit_rate() >= HIT_RATE, "{} %", outcomes.hit_rate());
}

#[test]
fn run_replica_lost() {
    let outcomes = run(&Scenario::ordinary().fault(8, Fault::Crash(5)));
    assert_kept(&outcomes);
    assert_prompt(&outcomes);
}

#[test]
fn run_straggler() {
    let outcomes = run(&Scenario::ordinary().fault(4, Fault::Slow(5, 10.0)));
    assert_eq!(outcomes.duplicated, 0);
    assert_prompt(&outcomes);
}

#[test]
fn run_data_centre_announced() {
    let scenario = Scenario::ordinary()
        .load(0.6)
        .fault(4, Fault::DataCentreMarkedOut(1))
        .fault(9, Fault::DataCentreDown(1))
        .fault(12, Fault::DataCentreRestored(1))
        .fault(16, Fault::DataCentreWarm(1));
    let outcomes = run(&scenario);
    assert_kept(&outcomes);
    assert_eq!(outcomes.unknown, 0);
}

#[test]
fn run_data_centre_sudden() {
    let scenario = Scenario::ordinary()
        .load(0.6)
        .fault(6, Fault::DataCentreDown(1))
        .fault(12, Fault::DataCentreRestored(1))
        .fault(16, Fault::DataCentreWarm(1));
    assert_kept(&run(&scenario));
}

#[test]
fn run_overload() {
    let scenario = Scenario::ordinary().load(2.0);
    let outcomes = run(&scenario);
    let groups = f64::from(u32::try_from(scenario.groups).unwrap());
    let seconds = f64::from(u32::try_from(scenario.seconds).unwrap());
    let least = CAPACITY_PER_GROUP * groups * seconds * OVERLOAD_CAPACITY;
    let in_time = f64::from(u32::try_from(outcomes.in_time).unwrap());
    assert!(in_time >= least, "{in_time} answers in time, of {least}");
    assert_eq!(
        (outcomes.duplicated, outcomes.refused_without_retry_after),
        (0, 0)
    );
}

#[test]
fn run_heavy_organisation() {
    let mut scenario = Scenario::ordinary();
    scenario.first_organisation_load = Some(10.0);
    let outcomes = run(&scenario);
    let wait = outcomes.wait_others.value_at_quantile(0.95);
    assert!(wait <= FAIR_WAIT_MS, "others wait {wait} ms at p95");
    assert_eq!(outcomes.duplicated, 0);
}

#[test]
fn run_retry_storm() {
    let mut scenario = Scenario::ordinary().fault(1, Fault::AllAttemptsBreak);
    scenario.seconds = 5;
    let outcomes = run(&scenario);
    let nodes = u64::try_from(scenario.nodes).unwrap();
    let bound = outcomes.offered + outcomes.offered / RETRY_RATIO + RETRY_BURST * nodes;
    assert!(outcomes.attempts <= bound, "{} attempts", outcomes.attempts);
    assert_eq!(outcomes.duplicated, 0);
}

#[test]
fn run_baseline_misses_targets() {
    let outcomes = run(&Scenario::ordinary().fault(8, Fault::Crash(5)).baseline());
    assert!(outcomes.lost > 0, "the simulation can show a loss");
}
