//! Which parts of prompts are blamed for crashes, and what nodes tell each other of them.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{CrashKey, CrashRow, CrashSubject, CrashTable, Evidence, FailedAttempt};
use yare::parameterized;

const QUARANTINE: Duration = Duration::from_mins(10);
const FIRST: u64 = 1;
const BAD: u64 = 2;
const OTHER: u64 = 3;

fn ms(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn table() -> CrashTable {
    CrashTable::new(QUARANTINE)
}

/// Lets an attempt that was started 100 ms before fail.
fn fail(table: &mut CrashTable, at: u64, group: u64, evidence: Evidence, parts: &[u64]) {
    let attempt = FailedAttempt {
        fingerprint: at * 1_000 + group * 10 + parts.len() as u64,
        group: GroupId(group),
        epoch: Epoch(1),
        started: ms(at - 100),
        evidence,
    };
    table.suspect_parts(ms(at), attempt, parts);
}

fn lose(table: &mut CrashTable, at: u64, group: u64) {
    table.record_loss(ms(at), GroupId(group), Epoch(1));
}

/// Lets a group crash under requests with these parts.
fn crash(table: &mut CrashTable, at: u64, group: u64, requests: &[&[u64]]) {
    for parts in requests {
        fail(table, at, group, Evidence::Broken, parts);
    }
    lose(table, at + 60, group);
}

fn is_blamed(table: &mut CrashTable, at: u64, part: u64) -> bool {
    table.refuse_parts(ms(at), &[part]).is_some()
}

fn key(part: u64, group: u64) -> CrashKey {
    CrashKey {
        subject: CrashSubject::Part(part),
        group: GroupId(group),
        epoch: Epoch(1),
    }
}

fn row(age_ms: u64) -> CrashRow {
    CrashRow {
        age: Duration::from_millis(age_ms),
        duration: Duration::ZERO,
        confirmed: true,
    }
}

/// Returns a table in which the bad part has been blamed since three crashes.
fn blaming_table() -> CrashTable {
    let mut table = table();
    for (group, at) in [(1, 1_000), (2, 1_500), (3, 2_000)] {
        crash(&mut table, at, group, &[&[FIRST, BAD]]);
    }
    table
}

#[parameterized(
    first_part = { &[FIRST, BAD], &[FIRST, BAD] },
    bystander = { &[FIRST, BAD], &[FIRST, OTHER] },
    deeper_bystander = { &[BAD], &[FIRST, OTHER] },
)]
fn only_cause_blamed(crashing: &[u64], bystander: &[u64]) {
    let mut table = table();
    for (group, at) in [(1, 1_000), (2, 1_500), (3, 2_000)] {
        // The bystander ran in two of the groups.
        let requests: &[&[u64]] = &[crashing, bystander];
        crash(&mut table, at, group, &requests[..=usize::from(group > 1)]);
    }
    assert!(is_blamed(&mut table, 2_100, BAD));
    for part in [FIRST, OTHER] {
        assert!(!is_blamed(&mut table, 2_100, part), "{part}");
        assert!(!is_blamed(&mut table, 5_000, part), "{part}");
    }
}

#[test]
fn bad_first_part_blamed_whatever_follows() {
    let mut table = table();
    for (child, at) in [(10, 1_000), (11, 1_500), (10, 2_000), (12, 2_500)] {
        crash(&mut table, at, at, &[&[BAD, child]]);
    }
    assert!(is_blamed(&mut table, 2_600, BAD));
    assert!(!is_blamed(&mut table, 2_600, 10));
}

#[test]
fn two_bad_parts_blamed() {
    let mut table = table();
    for round in 0..4 {
        let at = ms(900 + round * 600);
        table.record_part_success(at, &[FIRST], at);
        crash(&mut table, 1_000 + round * 600, round * 2, &[&[FIRST, BAD]]);
        crash(
            &mut table,
            1_300 + round * 600,
            round * 2 + 1,
            &[&[FIRST, OTHER]],
        );
    }
    for part in [BAD, OTHER] {
        assert!(is_blamed(&mut table, 5_000, part), "{part}");
    }
}

#[parameterized(
    broken = { Evidence::Broken },
    silent = { Evidence::Unanswered },
)]
fn crashes_at_one_moment_blame_nobody(evidence: Evidence) {
    let mut table = table();
    for group in 1..=20 {
        fail(&mut table, 1_000 + group, group, evidence, &[FIRST, BAD]);
    }
    for group in 1..=20 {
        lose(&mut table, 1_200 + group * 100, group);
    }
    for part in [FIRST, BAD] {
        assert!(!is_blamed(&mut table, 5_000, part), "{part}");
    }
}

#[test]
fn silent_crashes_blamed_once_confirmed() {
    let mut table = table();
    for (group, at) in [(1, 1_000), (2, 1_500), (3, 2_000)] {
        fail(&mut table, at, group, Evidence::Unanswered, &[BAD]);
    }
    assert!(!is_blamed(&mut table, 2_000, BAD));
    for group in 1..=3 {
        lose(&mut table, 2_100, group);
    }
    assert!(is_blamed(&mut table, 2_100, BAD));
}

#[parameterized(
    started_after = { 1_501, false },
    started_before = { 1_400, true },
)]
fn complete_response_clears_earlier_crashes(started: u64, blamed: bool) {
    let mut table = table();
    crash(&mut table, 1_000, 1, &[&[BAD]]);
    crash(&mut table, 1_500, 2, &[&[BAD]]);
    crash(&mut table, 1_800, 3, &[&[BAD]]);
    crash(&mut table, 2_100, 4, &[&[BAD]]);
    crash(&mut table, 2_400, 5, &[&[BAD]]);
    crash(&mut table, 2_700, 6, &[&[BAD]]);
    table.record_part_success(ms(2_800), &[BAD], ms(started));
    assert_eq!(is_blamed(&mut table, 2_900, BAD), blamed);
}

#[test]
fn part_that_ran_before_needs_more_crashes() {
    let mut table = table();
    table.record_part_success(ms(500), &[BAD], ms(200));
    for (group, at) in [(1, 1_000), (2, 1_500), (3, 2_000), (4, 2_500)] {
        crash(&mut table, at, group, &[&[BAD]]);
        assert!(!is_blamed(&mut table, at + 100, BAD));
    }
    crash(&mut table, 3_000, 5, &[&[BAD]]);
    assert!(is_blamed(&mut table, 3_100, BAD));
}

#[test]
fn part_that_still_runs_blamed_last() {
    let mut table = table();
    for part in [FIRST, BAD] {
        table.record_part_success(ms(500), &[part], ms(200));
    }
    for (group, at) in [(1, 1_000), (2, 1_300), (3, 1_600), (4, 1_900)] {
        crash(&mut table, at, group, &[&[BAD], &[BAD, FIRST]]);
    }
    // This run began before the crashes, so it clears none of them.
    table.record_part_success(ms(2_000), &[FIRST], ms(900));
    crash(&mut table, 2_200, 5, &[&[BAD], &[BAD, FIRST]]);
    assert!(is_blamed(&mut table, 2_300, BAD));
    assert!(!is_blamed(&mut table, 2_300, FIRST));
}

#[test]
fn crashes_at_other_nodes_counted() {
    let mut table = table();
    crash(&mut table, 1_000, 1, &[&[FIRST, BAD]]);
    table.apply_row(ms(1_800), key(BAD, 2), row(300));
    assert!(!is_blamed(&mut table, 1_800, BAD));
    table.apply_row(ms(2_400), key(BAD, 3), row(300));
    assert!(is_blamed(&mut table, 2_400, BAD));
    table.remove_row(key(BAD, 2));
    table.remove_row(key(BAD, 3));
    assert!(!is_blamed(&mut table, 2_500, BAD));
}

/// The rows tell how long before their writing a group crashed, which is the same for all.
#[test]
fn crashes_before_start_counted() {
    let mut table = table();
    let rows: Vec<_> = (1..=3).map(|group| (key(BAD, group), row(450))).collect();
    table.apply_all_rows(ms(60_000), &rows);
    assert!(is_blamed(&mut table, 60_000, BAD));
}

#[test]
fn blamed_without_store() {
    let mut table = blaming_table();
    let changes = table.take_row_changes(ms(2_100));
    assert_eq!(changes.puts.len(), 6, "two parts, three groups");
    table.restore_row_changes(changes);
    assert!(is_blamed(&mut table, 2_200, BAD));
    assert_eq!(table.take_row_changes(ms(2_300)).puts.len(), 6);
}

#[test]
fn only_crash_shared_unless_cleared_soon() {
    let mut table = table();
    crash(&mut table, 1_000, 1, &[&[FIRST, BAD]]);
    assert!(table.take_row_changes(ms(1_300)).is_empty());
    table.record_part_success(ms(1_350), &[FIRST], ms(1_050));
    let puts = table.take_row_changes(ms(1_400)).puts;
    assert_eq!(puts, [(key(BAD, 1), row(400))]);
    table.record_part_success(ms(1_500), &[BAD], ms(1_050));
    assert_eq!(table.take_row_changes(ms(1_600)).deletes, [key(BAD, 1)]);
}

#[test]
fn unconfirmed_crash_not_shared() {
    let mut table = table();
    for (group, at) in [(1, 1_000), (2, 1_500)] {
        fail(&mut table, at, group, Evidence::Broken, &[BAD]);
    }
    let puts = table.take_row_changes(ms(3_000)).puts;
    let is_part = |key: &CrashKey| matches!(key.subject, CrashSubject::Part(_));
    assert!(!puts.iter().any(|(key, _)| is_part(key)), "{puts:?}");
}

/// Earlier versions parse a row's name as a hexadecimal fingerprint, a group and an epoch.
#[test]
fn row_of_part_ignored_by_earlier_versions() {
    let row_key = key(BAD, 1).row_key();
    assert_eq!(row_key.name(), "part-0000000000000002/0000000000000001/1");
    assert_eq!(CrashKey::parse(row_key.name()), Some(key(BAD, 1)));
    let fingerprint = row_key.name().split('/').next().unwrap();
    u64::from_str_radix(fingerprint, 16).unwrap_err();
}

#[test]
fn unrelated_crashes_forgotten() {
    let mut table = table();
    for (group, at) in [(1, 10_000), (2, 50_000), (3, 90_000), (4, 130_000)] {
        table.expire_events(ms(at), true);
        crash(&mut table, at, group, &[&[BAD]]);
        assert!(!is_blamed(&mut table, at + 100, BAD));
    }
    table.expire_events(ms(900_000), true);
    assert!(table.is_empty());
}

#[test]
fn blamed_for_quarantine() {
    let mut table = blaming_table();
    table.expire_events(ms(601_000), true);
    assert!(is_blamed(&mut table, 601_000, BAD));
    assert!(!is_blamed(&mut table, 602_100, BAD));
    table.expire_events(ms(602_100), true);
    assert!(table.is_empty());
}

#[test]
fn blamed_part_survives_flood_of_parts() {
    let mut table = blaming_table();
    for index in 0..6_000 {
        let parts = [1_000 + index];
        crash(&mut table, 3_000 + index / 10, 100 + index, &[&parts]);
    }
    assert!(table.len() < 10_000, "{}", table.len());
    assert!(is_blamed(&mut table, 5_000, BAD));
}

#[test]
fn decision_names_part() {
    let mut table = blaming_table();
    let decisions = table.take_decisions();
    let texts: Vec<String> = decisions
        .iter()
        .map(|decision| serde_json::to_string(decision).unwrap())
        .collect();
    let blamed = r#"{"decision":"blamed","part":"0000000000000002","strikes":3}"#;
    assert!(texts.iter().any(|text| text == blamed), "{texts:?}");
    assert!(texts.iter().any(|text| text.contains("\"fingerprint\":")));
}
