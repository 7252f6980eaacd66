//! Requests that crash backend servers are refused; requests that ran beside them are not.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{CrashDecision, CrashFact, CrashTable, Evidence, FailedAttempt};
use yare::parameterized;

const QUARANTINE: Duration = Duration::from_mins(10);
const CRASHING: u64 = 7;
const HARMLESS: u64 = 8;

fn at(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

/// Adds a suspicion for an attempt that ran for the last half second.
fn suspect(table: &mut CrashTable, now: Moment, fingerprint: u64, group: u64) {
    let attempt = FailedAttempt {
        fingerprint,
        group: GroupId(group),
        epoch: Epoch(1),
        started: now.before(Duration::from_millis(500)),
        evidence: Evidence::Broken,
    };
    table.suspect(now, attempt);
}

fn crash(table: &mut CrashTable, now: Moment, group: u64, requests: &[u64]) {
    for request in requests {
        suspect(table, now, *request, group);
    }
    table.confirm(now + Duration::from_secs(2), GroupId(group), Epoch(1));
}

#[test]
fn refused_for_two_crashes() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1, &[CRASHING, HARMLESS]);
    assert_eq!(table.refused_for(at(13), CRASHING), None);
    table.record_success(at(13), HARMLESS);
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
    suspect(&mut table, at(10), CRASHING, 1);
    suspect(&mut table, at(11), CRASHING, 2);
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
        suspect(&mut table, at(10), CRASHING, group);
        suspect(&mut table, at(10), HARMLESS, group);
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
        suspect(&mut table, at(13), fingerprint, 3);
    }
    assert!(table.len() <= 4_096);
    assert!(
        table.refused_for(at(14), CRASHING).is_some(),
        "fingerprints without strikes are evicted first"
    );
}

#[test]
fn decisions_tell_evidence() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1, &[CRASHING]);
    table.record_success(at(13), CRASHING);
    let labels: Vec<&str> = table
        .take_decisions()
        .iter()
        .map(CrashDecision::label)
        .collect();
    assert_eq!(labels, ["suspected", "struck", "cleared"]);
    assert!(table.take_decisions().is_empty());
}

#[test]
fn crashes_counted_while_many_groups_fail() {
    let mut table = CrashTable::new(QUARANTINE);
    for second in 10..16 {
        suspect(&mut table, at(second), HARMLESS + second, second);
    }
    crash(&mut table, at(16), 31, &[CRASHING]);
    for second in 17..20 {
        suspect(&mut table, at(second), HARMLESS + second, second);
    }
    crash(&mut table, at(20), 32, &[CRASHING]);
    assert!(table.refused_for(at(23), CRASHING).is_some());
}

#[test]
fn attempts_after_failure_not_blamed() {
    let mut table = CrashTable::new(QUARANTINE);
    for (now, group) in [(10_000, 1), (20_000, 2)] {
        suspect(&mut table, Moment::from_millis(now), CRASHING, group);
        let later = Moment::from_millis(now + 600);
        suspect(&mut table, later, HARMLESS, group);
        table.confirm(later, GroupId(group), Epoch(1));
    }
    assert!(table.refused_for(at(21), CRASHING).is_some());
    assert!(!table.is_suspect(at(21), HARMLESS));
}

#[test]
fn crashes_of_overlapping_attempts_count_once() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, Moment::from_millis(10_000), 1, &[HARMLESS]);
    crash(&mut table, Moment::from_millis(10_400), 2, &[HARMLESS]);
    assert_eq!(table.refused_for(at(13), HARMLESS), None);
}

#[parameterized(
    before_loss = { Evidence::Unanswered, 10_000, 11_000, true },
    after_loss = { Evidence::Unanswered, 11_000, 10_000, true },
    mid_response_after_loss = { Evidence::Interrupted, 11_000, 10_000, true },
    mid_response_before_loss = { Evidence::Interrupted, 10_000, 11_000, false },
    long_before_loss = { Evidence::Unanswered, 10_000, 26_000, false },
)]
fn attempts_without_response_counted(evidence: Evidence, end: u64, loss: u64, is_struck: bool) {
    let mut table = CrashTable::new(QUARANTINE);
    let (group, epoch) = (GroupId(1), Epoch(1));
    let attempt = FailedAttempt {
        fingerprint: CRASHING,
        group,
        epoch,
        started: Moment::from_millis(9_500),
        evidence,
    };
    let (end, loss) = (Moment::from_millis(end), Moment::from_millis(loss));
    if end < loss {
        table.suspect(end, attempt);
        assert!(!table.is_suspect(end, CRASHING));
    }
    table.record_loss(loss, group, epoch);
    if end > loss {
        table.suspect(end, attempt);
    }
    assert_eq!(table.is_suspect(end.max(loss), CRASHING), is_struck);
}

#[test]
fn withdrawal_without_loss_confirms_no_silence() {
    let mut table = CrashTable::new(QUARANTINE);
    let attempt = FailedAttempt {
        fingerprint: HARMLESS,
        group: GroupId(1),
        epoch: Epoch(1),
        started: at(9),
        evidence: Evidence::Unanswered,
    };
    table.suspect(at(10), attempt);
    table.confirm(at(11), GroupId(1), Epoch(1));
    assert!(!table.is_suspect(at(11), HARMLESS));
}
