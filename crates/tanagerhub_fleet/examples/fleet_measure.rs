//! Prints downtime, stranded VM-seconds and memory at both sizes.
//!
//! `cargo run --release -p tanagerhub_fleet --example fleet_measure -- downtime|today|letter|memory`

#[path = "../tests/support/lone_node.rs"]
mod lone_node;
#[path = "../tests/support/measure.rs"]
mod measure;
#[path = "../tests/support/world.rs"]
mod world;

use std::time::{Duration, Instant};

use measure::{Blow, LETTER, Size, TODAY};

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("downtime") => downtime(),
        Some("today") => stranded(&TODAY, Duration::from_hours(24), 11, 120),
        Some("letter") => stranded(&LETTER, Duration::from_hours(1), 1, 5),
        Some("memory") => memory(),
        _ => println!("usage: fleet_measure downtime|today|letter|memory"),
    }
}

fn downtime() {
    let minute = Duration::from_secs(10);
    for blow in [Blow::Death, Blow::Restart, Blow::Pause(minute)] {
        for (name, standbys) in [("standby", 5), ("no standby", 0)] {
            let span = measure::downtime_with(&TODAY, blow, standbys);
            println!("{blow:?}, {name}: {span:?}, floor {:?}", blow.floor());
        }
    }
    for (name, standbys) in [("standby", 5), ("no standby", 0)] {
        let span = measure::domain_downtime_with(&TODAY, standbys);
        println!("domain dark, {name}: {span:?}");
    }
}

fn stranded(size: &Size, span: Duration, deaths: usize, restarts: usize) {
    let blows = measure::day(size, span, deaths, restarts, 7);
    let start = Instant::now();
    let fleet = measure::run_fleet(size, span, &blows);
    println!("fleet {fleet:?} (ran {:?})", start.elapsed());
    println!("naive {:?}", measure::run_naive(size, span, &blows));
}

fn memory() {
    for (name, size) in [("today", TODAY), ("letter", LETTER)] {
        let world = size.formed();
        let before = resident();
        let mut copies = Vec::new();
        for seed in 0..4 {
            copies.push(world.copy_of_node(seed));
        }
        let each = resident().saturating_sub(before) / 4;
        println!(
            "{name}: {each} KB a node ({} groups)",
            world.table.all_groups().len()
        );
        drop(copies);
    }
}

/// The resident memory of this process, in kilobytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}
