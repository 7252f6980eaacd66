//! Prints downtime, stranded VM-seconds and memory for fleets of 224 and of 10,000 VMs.
//!
//! `cargo run --release -p tanagerhub_fleet --example fleet_measure -- downtime|today|letter|memory`

#[path = "../tests/support/measure.rs"]
mod measure;
#[path = "../tests/support/simulation.rs"]
mod simulation;
#[path = "../tests/support/single_node.rs"]
mod single_node;

use std::time::{Duration, Instant};

use measure::{FLEET_10K_VMS, FLEET_224_VMS, Size, VmFault};

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("downtime") => downtime(),
        Some("today") => stranded(&FLEET_224_VMS, Duration::from_hours(24), 11, 120),
        Some("letter") => stranded(&FLEET_10K_VMS, Duration::from_hours(1), 1, 5),
        Some("memory") => memory(),
        _ => println!("usage: fleet_measure downtime|today|letter|memory"),
    }
}

fn downtime() {
    let pause = Duration::from_secs(10);
    for fault in [VmFault::Death, VmFault::Restart, VmFault::Pause(pause)] {
        for (name, standbys) in [("standby", 5), ("no standby", 0)] {
            let duration = measure::downtime_with(&FLEET_224_VMS, fault, standbys);
            println!("{fault:?}, {name}: {duration:?}, floor {:?}", fault.floor());
        }
    }
    for (name, standbys) in [("standby", 5), ("no standby", 0)] {
        let duration = measure::domain_downtime_with(&FLEET_224_VMS, standbys);
        println!("domain failure, {name}: {duration:?}");
    }
}

fn stranded(size: &Size, duration: Duration, deaths: usize, restarts: usize) {
    let faults = measure::random_faults(size, duration, deaths, restarts, 7);
    let start = Instant::now();
    let fleet = measure::run_fleet(size, duration, &faults);
    println!("fleet {fleet:?} (ran {:?})", start.elapsed());
    println!(
        "naive {:?}",
        measure::naive::run_naive(size, duration, &faults)
    );
}

fn memory() {
    for (name, size) in [("today", FLEET_224_VMS), ("letter", FLEET_10K_VMS)] {
        let simulation = size.formed_simulation();
        let before = resident();
        let mut copies = Vec::new();
        for seed in 0..4 {
            copies.push(simulation.copy_of_node(seed));
        }
        let each = resident().saturating_sub(before) / 4;
        println!(
            "{name}: {each} KB a node ({} groups)",
            simulation.table.all_groups().len()
        );
        drop(copies);
    }
}

/// Returns the resident memory of this process in kilobytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}
