//! Requests that crash backend servers are refused; requests that ran beside them are not.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{CrashDecision, CrashFact, CrashTable};

const QUARANTINE: Duration = Duration::from_mins(10);
const CRASHING: u64 = 7;
const HARMLESS: u64 = 8;

fn at(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

fn crash(table: &mut CrashTable, now: Moment, group: u64, requests: &[u64]) {
    for request in requests {
        table.suspect(now, *request, GroupId(group), Epoch(1));
    }
    table.confirm(now + Duration::from_secs(2), GroupId(group), Epoch(1));
}

#[test]
fn refused_for_two_crashes() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1, &[CRASHING, HARMLESS]);
    assert_eq!(table.refused_for(at(13), CRASHING), None);
    table.record_success(HARMLESS);
    crash(&mut table, at(20), 2, &[CRASHING]);
    assert_eq!(
        table.refused_for(at(23), CRASHING),
        Some(Duration::from_secs(599))
    );
    assert_eq!(table.refused_for(at(23), HARMLESS), None);
    assert_eq!(table.refused_for(at(23 + 600), CRASHING), None);
}

#[test]
fn refused_for_unconfirmed_crashes() {
    let mut table = CrashTable::new(QUARANTINE);
    table.suspect(at(10), CRASHING, GroupId(1), Epoch(1));
    table.suspect(at(11), CRASHING, GroupId(2), Epoch(1));
    assert!(
        table.refused_for(at(12), CRASHING).is_some(),
        "until the confirmation times out"
    );
    assert_eq!(
        table.refused_for(at(27), CRASHING),
        None,
        "no crash was confirmed"
    );
}

#[test]
fn refused_for_same_crash_counted_once() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1, &[CRASHING, CRASHING]);
    assert_eq!(table.refused_for(at(30), CRASHING), None);
}

#[test]
fn suspect_many_groups_at_once() {
    let mut table = CrashTable::new(QUARANTINE);
    for group in 1..=20 {
        table.suspect(at(10), CRASHING, GroupId(group), Epoch(1));
        table.suspect(at(10), HARMLESS, GroupId(group), Epoch(1));
    }
    for group in 1..=20 {
        table.confirm(at(12), GroupId(group), Epoch(1));
    }
    assert_eq!(table.refused_for(at(13), CRASHING), None);
    assert_eq!(table.refused_for(at(13), HARMLESS), None);
}

#[test]
fn apply_fact_from_peer() {
    let mut table = CrashTable::new(QUARANTINE);
    let fact = CrashFact {
        fingerprint: CRASHING,
        strikes: 2,
        age: Duration::from_mins(1),
    };
    table.apply_fact(at(100), fact);
    assert_eq!(
        table.refused_for(at(100), CRASHING),
        Some(Duration::from_mins(9))
    );
    assert_eq!(table.facts(at(100), 10), [fact]);
    table.apply_fact(
        at(100),
        CrashFact {
            age: QUARANTINE,
            fingerprint: 9,
            ..fact
        },
    );
    assert_eq!(table.refused_for(at(100), 9), None);
}

#[test]
fn clear_by_operator() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1, &[CRASHING]);
    crash(&mut table, at(20), 2, &[CRASHING]);
    assert!(table.clear(CRASHING));
    assert_eq!(table.refused_for(at(23), CRASHING), None);
    assert!(!table.clear(CRASHING));
}

#[test]
fn suspect_beyond_capacity() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1, &[CRASHING]);
    crash(&mut table, at(12), 2, &[CRASHING]);
    for fingerprint in 100..4_300 {
        table.suspect(at(13), fingerprint, GroupId(3), Epoch(1));
    }
    assert!(table.len() <= 4_096);
    assert!(
        table.refused_for(at(14), CRASHING).is_some(),
        "fingerprints without strikes are evicted first"
    );
}

#[test]
fn decisions_distinguish_causes() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1, &[CRASHING]);
    for group in 2..=5 {
        table.suspect(at(20), HARMLESS, GroupId(group), Epoch(1));
    }
    table.record_success(CRASHING);
    let labels: Vec<&str> = table
        .take_decisions()
        .iter()
        .map(CrashDecision::label)
        .collect();
    let expected = [
        "suspected",
        "struck",
        "suspected",
        "suspected",
        "suspected",
        "dropped",
        "cleared",
    ];
    assert_eq!(labels, expected);
    assert!(table.take_decisions().is_empty());
}
