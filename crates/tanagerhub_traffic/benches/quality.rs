//! Prints the quality of service under load and faults, compared with the baseline.
//!
//! Run `cargo bench -p tanagerhub_traffic --bench quality`.

#[path = "simulation/parts.rs"]
mod simulation;

use simulation::runner::run;
use simulation::scenario::{Fault, Outcomes, Scenario};

fn main() {
    println!(
        "{:<22} {:<10} {:>7} {:>7} {:>7} {:>6} {:>7} {:>7} {:>8} {:>7} {:>17} {:>17} {:>11} {:>5}",
        "scenario",
        "policy",
        "offered",
        "in time",
        "refused",
        "lost",
        "unknown",
        "doubled",
        "attempts",
        "overrun",
        "wait p50/95/99",
        "first p50/95/99",
        "gap p95/99",
        "hit %"
    );
    for (name, scenario) in scenarios() {
        print(name, "tanagerhub", &run(&scenario));
        print(name, "baseline", &run(&scenario.baseline()));
    }
}

fn scenarios() -> Vec<(&'static str, Scenario)> {
    let ordinary = Scenario::ordinary;
    let mut heavy = ordinary();
    heavy.first_organisation_load = Some(10.0);
    vec![
        ("ordinary 70 %", ordinary()),
        ("one replica lost", ordinary().fault(8, Fault::Crash(5))),
        (
            "one straggler, 10x",
            ordinary().fault(4, Fault::Slow(5, 10.0)),
        ),
        ("overload 2x", ordinary().load(2.0)),
        ("one at 10x its share", heavy),
        (
            "data centre, announced",
            ordinary()
                .load(0.6)
                .fault(4, Fault::DataCentreMarkedOut(1))
                .fault(9, Fault::DataCentreDown(1))
                .fault(12, Fault::DataCentreRestored(1))
                .fault(16, Fault::DataCentreWarm(1)),
        ),
        (
            "data centre, sudden",
            ordinary()
                .load(0.6)
                .fault(6, Fault::DataCentreDown(1))
                .fault(12, Fault::DataCentreRestored(1))
                .fault(16, Fault::DataCentreWarm(1)),
        ),
        ("all attempts break", retry_storm()),
    ]
}

/// Returns a short scenario, because the baseline retries without limit.
fn retry_storm() -> Scenario {
    let mut scenario = Scenario::ordinary()
        .load(0.05)
        .fault(1, Fault::AllAttemptsBreak);
    scenario.seconds = 4;
    scenario.deadline = std::time::Duration::from_secs(2);
    scenario
}

fn print(name: &str, policy: &str, outcomes: &Outcomes) {
    let percentiles = |histogram: &hdrhistogram::Histogram<u64>| {
        let at = |quantile| histogram.value_at_quantile(quantile);
        format!("{}/{}/{}", at(0.5), at(0.95), at(0.99))
    };
    let wait = if name.starts_with("one at") {
        &outcomes.wait_others
    } else {
        &outcomes.wait
    };
    let gap = format!(
        "{}/{}",
        outcomes.gap.value_at_quantile(0.95),
        outcomes.gap.value_at_quantile(0.99)
    );
    println!(
        "{name:<22} {policy:<10} {:>7} {:>7} {:>7} {:>6} {:>7} {:>7} {:>8} {:>7} {:>17} {:>17} {gap:>11} {:>5}",
        outcomes.offered,
        outcomes.in_time,
        outcomes.refused,
        outcomes.lost,
        outcomes.unknown,
        outcomes.duplicated,
        outcomes.attempts,
        outcomes.overrun,
        percentiles(wait),
        percentiles(&outcomes.first_token),
        outcomes.hit_rate()
    );
}
