//! Prints what callers get under load and faults, beside the baseline.
//!
//! `cargo bench -p tanagerhub_traffic --bench quality`

#[path = "simulation/parts.rs"]
mod simulation;

use simulation::plan::{Fault, Outcomes, Plan};
use simulation::world::run;

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
    for (name, plan) in scenarios() {
        print(name, "tanagerhub", &run(&plan));
        print(name, "baseline", &run(&plan.baseline()));
    }
}

fn scenarios() -> Vec<(&'static str, Plan)> {
    let ordinary = Plan::ordinary;
    let mut heavy = ordinary();
    heavy.heavy = Some(10.0);
    vec![
        ("ordinary 70 %", ordinary()),
        ("one replica lost", ordinary().fault(8, Fault::Kill(5))),
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
                .fault(4, Fault::CentreOut(1))
                .fault(9, Fault::CentreGone(1))
                .fault(12, Fault::CentreBack(1))
                .fault(16, Fault::CentreWarm(1)),
        ),
        (
            "data centre, sudden",
            ordinary()
                .load(0.6)
                .fault(6, Fault::CentreGone(1))
                .fault(12, Fault::CentreBack(1))
                .fault(16, Fault::CentreWarm(1)),
        ),
        ("all attempts break", storm()),
    ]
}

/// A short run, because the baseline tries without end.
fn storm() -> Plan {
    let mut plan = Plan::ordinary().load(0.05).fault(1, Fault::AllBreak);
    plan.seconds = 4;
    plan.deadline = std::time::Duration::from_secs(2);
    plan
}

fn print(name: &str, policy: &str, it: &Outcomes) {
    let three = |histogram: &hdrhistogram::Histogram<u64>| {
        let at = |quantile| histogram.value_at_quantile(quantile);
        format!("{}/{}/{}", at(0.5), at(0.95), at(0.99))
    };
    let wait = if name.starts_with("one at") {
        &it.wait_others
    } else {
        &it.wait
    };
    let gap = format!(
        "{}/{}",
        it.gap.value_at_quantile(0.95),
        it.gap.value_at_quantile(0.99)
    );
    println!(
        "{name:<22} {policy:<10} {:>7} {:>7} {:>7} {:>6} {:>7} {:>7} {:>8} {:>7} {:>17} {:>17} {gap:>11} {:>5}",
        it.offered,
        it.in_time,
        it.refused,
        it.lost,
        it.unknown,
        it.doubled,
        it.attempts,
        it.overrun,
        three(wait),
        three(&it.first_token),
        it.hit_rate()
    );
}
