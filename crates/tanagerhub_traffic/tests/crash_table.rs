//! Requests that crash back ends are found, and their neighbours are not blamed.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{CrashFact, CrashTable};

const QUARANTINE: Duration = Duration::from_mins(10);
const CULPRIT: u64 = 7;
const NEIGHBOUR: u64 = 8;

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
fn refused_after_two_crashes() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1, &[CULPRIT, NEIGHBOUR]);
    assert_eq!(table.refused(at(13), CULPRIT), None);
    table.acquit(NEIGHBOUR);
    crash(&mut table, at(20), 2, &[CULPRIT]);
    assert_eq!(
        table.refused(at(23), CULPRIT),
        Some(Duration::from_secs(599))
    );
    assert_eq!(table.refused(at(23), NEIGHBOUR), None);
    assert_eq!(table.refused(at(23 + 600), CULPRIT), None);
}

#[test]
fn refused_network_cut() {
    let mut table = CrashTable::new(QUARANTINE);
    table.suspect(at(10), CULPRIT, GroupId(1), Epoch(1));
    table.suspect(at(11), CULPRIT, GroupId(2), Epoch(1));
    assert!(
        table.refused(at(12), CULPRIT).is_some(),
        "until control has judged"
    );
    assert_eq!(
        table.refused(at(27), CULPRIT),
        None,
        "the groups stayed whole"
    );
}

#[test]
fn refused_same_crash_counted_once() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1, &[CULPRIT, CULPRIT]);
    assert_eq!(table.refused(at(30), CULPRIT), None);
}

#[test]
fn suspect_many_groups_at_once() {
    let mut table = CrashTable::new(QUARANTINE);
    for group in 1..=20 {
        table.suspect(at(10), CULPRIT, GroupId(group), Epoch(1));
        table.suspect(at(10), NEIGHBOUR, GroupId(group), Epoch(1));
    }
    for group in 1..=20 {
        table.confirm(at(12), GroupId(group), Epoch(1));
    }
    assert_eq!(table.refused(at(13), CULPRIT), None);
    assert_eq!(table.refused(at(13), NEIGHBOUR), None);
}

#[test]
fn learn_from_peer() {
    let mut table = CrashTable::new(QUARANTINE);
    let fact = CrashFact {
        fingerprint: CULPRIT,
        strikes: 2,
        age: Duration::from_mins(1),
    };
    table.learn(at(100), fact);
    assert_eq!(
        table.refused(at(100), CULPRIT),
        Some(Duration::from_mins(9))
    );
    assert_eq!(table.facts(at(100), 10), [fact]);
    table.learn(
        at(100),
        CrashFact {
            age: QUARANTINE,
            fingerprint: 9,
            ..fact
        },
    );
    assert_eq!(table.refused(at(100), 9), None);
}

#[test]
fn clear_by_operator() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1, &[CULPRIT]);
    crash(&mut table, at(20), 2, &[CULPRIT]);
    assert!(table.clear(CULPRIT));
    assert_eq!(table.refused(at(23), CULPRIT), None);
    assert!(!table.clear(CULPRIT));
}

#[test]
fn suspect_beyond_capacity() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1, &[CULPRIT]);
    crash(&mut table, at(12), 2, &[CULPRIT]);
    for fingerprint in 100..4_300 {
        table.suspect(at(13), fingerprint, GroupId(3), Epoch(1));
    }
    assert!(table.len() <= 4_096);
    assert!(
        table.refused(at(14), CULPRIT).is_some(),
        "strikes outlast suspicions"
    );
}
