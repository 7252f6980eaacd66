//! Nodes share the strikes of crashing requests through rows of the store.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{CrashRow, CrashRowChanges, CrashTable, Evidence, FailedAttempt};
use yare::parameterized;

const QUARANTINE: Duration = Duration::from_mins(10);
const CRASHING: u64 = 7;

fn at(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

fn row(strikes: u32) -> CrashRow {
    CrashRow {
        fingerprint: CRASHING,
        strikes,
    }
}

/// Lets an attempt break half a second before `now`, and its group be lost.
fn crash(table: &mut CrashTable, now: Moment, group: u64) {
    let attempt = FailedAttempt {
        fingerprint: CRASHING,
        group: GroupId(group),
        epoch: Epoch(1),
        started: now.before(Duration::from_millis(500)),
        evidence: Evidence::Broken,
    };
    table.suspect(now, attempt);
    table.record_loss(now, GroupId(group), Epoch(1));
}

#[test]
fn strikes_at_limit_shared_at_once() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1);
    assert!(table.take_row_changes(at(10)).is_empty());
    crash(&mut table, at(11), 2);
    assert_eq!(table.take_row_changes(at(11)).puts, [row(2)]);
    crash(&mut table, at(12), 3);
    assert!(table.take_row_changes(at(12)).is_empty());
}

#[test]
fn strike_of_other_node_counts_before_own() {
    let mut table = CrashTable::new(QUARANTINE);
    table.apply_row(at(9), row(1));
    assert_eq!(table.refused_for(at(10), CRASHING), None);
    crash(&mut table, at(10), 2);
    assert!(table.refused_for(at(10), CRASHING).is_some());
    assert_eq!(table.take_row_changes(at(10)).puts, [row(2)]);
}

#[test]
fn strike_of_other_node_during_own_counts_once() {
    let mut table = CrashTable::new(QUARANTINE);
    table.apply_row(Moment::from_millis(9_800), row(1));
    crash(&mut table, at(10), 2);
    assert_eq!(table.refused_for(at(10), CRASHING), None);
}

#[test]
fn unwritten_rows_returned_again() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1);
    crash(&mut table, at(11), 2);
    let changes = table.take_row_changes(at(11));
    table.restore_row_changes(changes.clone());
    assert_eq!(table.take_row_changes(at(12)), changes);
}

#[test]
fn success_deletes_rows() {
    let mut table = CrashTable::new(QUARANTINE);
    table.apply_row(at(9), row(1));
    table.record_success(at(10), CRASHING);
    let expected = CrashRowChanges {
        puts: Vec::new(),
        deletes: vec![row(1)],
    };
    assert_eq!(table.take_row_changes(at(10)), expected);
}

#[parameterized(
    deleted = { |table: &mut CrashTable| table.remove_row(row(2)) },
    no_longer_listed = { |table: &mut CrashTable| table.apply_all_rows(at(10), &[]) },
)]
fn deleted_row_clears_request(delete: fn(&mut CrashTable)) {
    let mut table = CrashTable::new(QUARANTINE);
    table.apply_row(at(9), row(2));
    assert!(table.refused_for(at(9), CRASHING).is_some());
    delete(&mut table);
    assert_eq!(table.refused_for(at(10), CRASHING), None);
}

#[test]
fn complete_list_keeps_unwritten_strikes() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1);
    crash(&mut table, at(11), 2);
    table.apply_all_rows(at(11), &[]);
    assert!(table.refused_for(at(12), CRASHING).is_some());
}

#[test]
fn complete_list_does_not_extend_quarantine() {
    let mut table = CrashTable::new(QUARANTINE);
    table.apply_row(at(10), row(2));
    table.apply_all_rows(at(300), &[row(2)]);
    assert_eq!(
        table.refused_for(at(310), CRASHING),
        Some(Duration::from_mins(5))
    );
}

#[parameterized(
    planner = { true, &[row(2)] },
    other_node = { false, &[] },
)]
fn planner_deletes_old_rows(deletes_rows: bool, expected: &[CrashRow]) {
    let mut table = CrashTable::new(QUARANTINE);
    table.apply_row(at(10), row(2));
    table.expire_rows(at(609), deletes_rows);
    assert!(table.refused_for(at(609), CRASHING).is_some());
    table.expire_rows(at(610), deletes_rows);
    assert!(table.is_empty());
    assert_eq!(table.take_row_changes(at(610)).deletes, expected);
}
