//! Over many seeds, nodes refuse requests with a crashing part in time and keep serving those that
//! share only other parts with them.

#[path = "support/crash_simulation.rs"]
mod crash_simulation;

use crash_simulation::{Counts, CrashSimulation, Plan};
use yare::parameterized;

const SEEDS: u64 = 12;
/// Number of crashes after which requests with the part are limited.
const CRASH_LIMIT: usize = 5;
/// Time from the last of these crashes from which on requests with the part count.
const NOTICE_MS: u64 = 3_000;
/// Number of requests with the part that may reach groups after this time.
const ALLOWED: usize = 3;
/// Time from the last of these crashes from which on sound requests must be served again.
const RECOVERY_MS: u64 = 6_000;

const PLAN: Plan = Plan {
    seed: 0,
    nodes: 3,
    bad_rate: 4.0,
    bad_from_ms: 0,
    bad_firsts: 5,
    other_crash_rate: 0.0,
    restart_ms: None,
    power_loss_ms: None,
};

fn assert_bounds(plan: Plan, counts: &Counts) {
    let Some(fifth) = counts.crashes.get(CRASH_LIMIT - 1) else {
        return;
    };
    let reached = counts.bad_reached.iter();
    let late = reached.filter(|at| **at > fifth + NOTICE_MS).count();
    assert!(late <= ALLOWED, "{late} late requests: {plan:?}");
    let sound = counts.sound.iter();
    let later: Vec<_> = sound.filter(|(at, _)| *at > fifth + RECOVERY_MS).collect();
    let refused = later.iter().filter(|(_, refused)| *refused).count();
    assert!(
        refused * 10 < later.len(),
        "{refused} of {} sound requests refused: {plan:?}",
        later.len()
    );
}

#[parameterized(
    first_part = { Plan { bad_firsts: 0, ..PLAN } },
    first_part_slow = { Plan { bad_firsts: 0, bad_rate: 1.0, ..PLAN } },
    first_part_fast = { Plan { bad_firsts: 0, bad_rate: 10.0, ..PLAN } },
    under_one_first = { Plan { bad_firsts: 1, ..PLAN } },
    under_first_parts = { PLAN },
    slow = { Plan { bad_rate: 1.0, ..PLAN } },
    fast = { Plan { bad_rate: 10.0, ..PLAN } },
    six_nodes = { Plan { nodes: 6, ..PLAN } },
    six_nodes_fast = { Plan { nodes: 6, bad_rate: 10.0, ..PLAN } },
    sound_before = { Plan { bad_from_ms: 6_000, ..PLAN } },
    sound_before_fast = { Plan { bad_from_ms: 6_000, bad_rate: 10.0, ..PLAN } },
    sound_before_slow = { Plan { bad_from_ms: 6_000, bad_rate: 1.0, ..PLAN } },
    sound_before_first = { Plan { bad_from_ms: 6_000, bad_firsts: 0, ..PLAN } },
    sound_before_first_fast = { Plan {
        bad_from_ms: 6_000, bad_firsts: 0, bad_rate: 10.0, ..PLAN
    } },
    restart = { Plan { restart_ms: Some(12_000), ..PLAN } },
    beside_other_crashes = { Plan { other_crash_rate: 0.2, ..PLAN } },
    beside_power_loss = { Plan { power_loss_ms: Some(3_000), ..PLAN } },
)]
fn crashing_part_refused_in_time(plan: Plan) {
    for seed in 0..SEEDS {
        let plan = Plan { seed, ..plan };
        let counts = CrashSimulation::new(plan).run(20_000);
        assert!(counts.crashes.len() >= CRASH_LIMIT - 2, "{plan:?}");
        assert_bounds(plan, &counts);
    }
}

#[parameterized(
    few_crashes = { 0.2, None },
    power_loss = { 0.0, Some(3_000) },
)]
fn nobody_blamed_for_other_crashes(other_crash_rate: f64, power_loss_ms: Option<u64>) {
    for seed in 0..SEEDS {
        let plan = Plan {
            seed,
            bad_rate: 0.0,
            other_crash_rate,
            power_loss_ms,
            ..PLAN
        };
        let counts = CrashSimulation::new(plan).run(30_000);
        assert_eq!(counts.wrongly_blamed, 0, "{plan:?}");
    }
}

/// A group of 16 crashes each second.
#[test]
fn sound_requests_served_beside_many_crashes() {
    for seed in 0..SEEDS {
        let plan = Plan {
            seed,
            bad_rate: 0.0,
            other_crash_rate: 1.0,
            ..PLAN
        };
        let counts = CrashSimulation::new(plan).run(30_000);
        let refused = counts.sound.iter().filter(|(_, refused)| *refused).count();
        assert!(refused * 10 < counts.sound.len(), "{refused}: {plan:?}");
    }
}
