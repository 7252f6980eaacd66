//! Checks the simulated service quality under load and faults against the targets of
//! docs/design/traffic.md.

#[path = "../benches/simulation/parts.rs"]
mod simulation;

use simulation::runner::run;
use simulation::scenario::{CAPACITY_PER_GROUP, Fault, Outcomes, Scenario};

/// Time to the first token, 95th percentile.
const MAX_FIRST_TOKEN_MS: u64 = 420;
/// Time between tokens, 95th percentile.
const MAX_TOKEN_GAP_MS: u64 = 80;
/// Wait of requests of small organisations beside a large one, 95th percentile.
const MAX_OTHERS_WAIT_MS: u64 = 250;
/// Minimum fraction of the capacity that is used in an overload.
const MIN_OVERLOAD_UTILISATION: f64 = 0.9;
/// Retry budget: requests per extra attempt, and extra attempts at once per node.
const REQUESTS_PER_RETRY: u64 = 10;
const RETRY_BURST: u64 = 64;

/// Minimum percentage of prompt blocks found in a cache; at most 44 % are shared in the workload.
const MIN_HIT_RATE_PERCENT: u64 = 35;

fn assert_latency(outcomes: &Outcomes) {
    let first = outcomes.first_token.value_at_quantile(0.95);
    let gap = outcomes.gap.value_at_quantile(0.95);
    assert!(
        first <= MAX_FIRST_TOKEN_MS,
        "first token after {first} ms at p95"
    );
    assert!(gap <= MAX_TOKEN_GAP_MS, "{gap} ms between tokens at p95");
}

fn assert_no_violations(outcomes: &Outcomes) {
    let violations = (outcomes.lost, outcomes.duplicated, outcomes.overrun);
    assert_eq!(violations, (0, 0, 0), "lost, duplicated, overrun");
}

#[test]
fn run_ordinary() {
    let outcomes = run(&Scenario::ordinary());
    assert_no_violations(&outcomes);
    assert_eq!((outcomes.refused, outcomes.unknown), (0, 0));
    assert_latency(&outcomes);
    assert!(
        outcomes.hit_rate() >= MIN_HIT_RATE_PERCENT,
        "{} %",
        outcomes.hit_rate()
    );
}

#[test]
fn run_replica_killed() {
    let outcomes = run(&Scenario::ordinary().fault(8, Fault::Crash(5)));
    assert_no_violations(&outcomes);
    assert_latency(&outcomes);
}

#[test]
fn run_straggler() {
    let outcomes = run(&Scenario::ordinary().fault(4, Fault::Slow(5, 10.0)));
    assert_eq!(outcomes.duplicated, 0);
    assert_latency(&outcomes);
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
    assert_no_violations(&outcomes);
    assert_eq!(outcomes.unknown, 0);
}

#[test]
fn run_data_centre_sudden() {
    let scenario = Scenario::ordinary()
        .load(0.6)
        .fault(6, Fault::DataCentreDown(1))
        .fault(12, Fault::DataCentreRestored(1))
        .fault(16, Fault::DataCentreWarm(1));
    assert_no_violations(&run(&scenario));
}

#[test]
fn run_overload() {
    let scenario = Scenario::ordinary().load(2.0);
    let outcomes = run(&scenario);
    let groups = f64::from(u32::try_from(scenario.groups).unwrap());
    let seconds = f64::from(u32::try_from(scenario.seconds).unwrap());
    let least = CAPACITY_PER_GROUP * groups * seconds * MIN_OVERLOAD_UTILISATION;
    let in_time = f64::from(u32::try_from(outcomes.in_time).unwrap());
    assert!(in_time >= least, "{in_time} responses in time, of {least}");
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
    assert!(wait <= MAX_OTHERS_WAIT_MS, "others wait {wait} ms at p95");
    assert_eq!(outcomes.duplicated, 0);
}

#[test]
fn run_retry_storm() {
    let mut scenario = Scenario::ordinary().fault(1, Fault::AllAttemptsBreak);
    scenario.seconds = 5;
    let outcomes = run(&scenario);
    let nodes = u64::try_from(scenario.nodes).unwrap();
    let bound = outcomes.offered + outcomes.offered / REQUESTS_PER_RETRY + RETRY_BURST * nodes;
    assert!(outcomes.attempts <= bound, "{} attempts", outcomes.attempts);
    assert_eq!(outcomes.duplicated, 0);
}

#[test]
fn run_baseline_misses_targets() {
    let outcomes = run(&Scenario::ordinary().fault(8, Fault::Crash(5)).baseline());
    assert!(outcomes.lost > 0, "the simulation can show a loss");
}
