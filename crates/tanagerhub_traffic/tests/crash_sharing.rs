//! Nodes share the crashes under requests through rows of the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{PageKind, RowVersion, VersionedRow};
use tanagerhub_traffic::{
    CrashKey, CrashRow, CrashRowChanges, CrashSubject, CrashTable, Evidence, FailedAttempt,
};
use yare::parameterized;

const QUARANTINE: Duration = Duration::from_mins(10);
const CRASHING: u64 = 7;
const DURATION: Duration = Duration::from_millis(500);

fn at(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

fn key(group: u64) -> CrashKey {
    CrashKey {
        subject: CrashSubject::Request(CRASHING),
        group: GroupId(group),
        epoch: Epoch(1),
    }
}

fn key_of_part(part: u64) -> CrashKey {
    CrashKey {
        subject: CrashSubject::Part(part),
        ..key(1)
    }
}

/// Returns the row of an attempt that ended this long before the row was written.
fn row(age_ms: u64, confirmed: bool) -> CrashRow {
    CrashRow {
        age: Duration::from_millis(age_ms),
        duration: DURATION,
        confirmed,
    }
}

/// Lets an attempt fail that was started half a second before.
fn fail(table: &mut CrashTable, now: Moment, group: u64, evidence: Evidence) {
    let attempt = FailedAttempt {
        fingerprint: CRASHING,
        group: GroupId(group),
        epoch: Epoch(1),
        started: now.before(DURATION),
        evidence,
    };
    table.suspect(now, attempt);
}

/// Lets an attempt break and its group be lost.
fn crash(table: &mut CrashTable, now: Moment, group: u64) {
    fail(table, now, group, Evidence::Broken);
    table.record_loss(now, GroupId(group), Epoch(1));
}

#[test]
fn crashes_at_limit_shared_at_once() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1);
    assert!(table.take_row_changes(at(10)).is_empty());
    fail(&mut table, at(11), 2, Evidence::Broken);
    let puts = table.take_row_changes(at(11)).puts;
    assert_eq!(puts, [(key(1), row(1_000, true)), (key(2), row(0, false))]);
    table.record_loss(at(12), GroupId(2), Epoch(1));
    let puts = table.take_row_changes(at(12)).puts;
    assert_eq!(
        puts,
        [(key(1), row(2_000, true)), (key(2), row(1_000, true))]
    );
    assert!(table.take_row_changes(at(12)).is_empty());
}

#[test]
fn silence_shared_once_confirmed() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1);
    crash(&mut table, at(11), 2);
    table.take_row_changes(at(11));
    fail(&mut table, at(12), 3, Evidence::Unanswered);
    assert!(table.take_row_changes(at(12)).is_empty());
    table.record_loss(at(13), GroupId(3), Epoch(1));
    let puts = table.take_row_changes(at(13)).puts;
    assert_eq!(
        puts,
        [
            (key(1), row(3_000, true)),
            (key(2), row(2_000, true)),
            (key(3), row(1_000, true)),
        ]
    );
}

/// A node that starts dates all rows from that time. Ages of rows that were written at different
/// times would make attempts that ran one after the other overlap, and the request would run again.
#[parameterized(
    own = { true },
    of_other_node = { false },
)]
fn rows_of_request_keep_order(is_own: bool) {
    let ms = Moment::from_millis;
    let mut store: BTreeMap<CrashKey, CrashRow> = BTreeMap::new();
    let mut table = CrashTable::new(QUARANTINE);
    if is_own {
        fail(&mut table, ms(10_000), 1, Evidence::Broken);
        table.record_loss(ms(11_000), GroupId(1), Epoch(1));
    } else {
        store.insert(key(1), row(1_000, true));
        table.apply_row(ms(11_000), key(1), row(1_000, true));
    }
    fail(&mut table, ms(11_300), 2, Evidence::Broken);
    store.extend(table.take_row_changes(ms(11_300)).puts);
    table.record_loss(ms(12_300), GroupId(2), Epoch(1));
    store.extend(table.take_row_changes(ms(12_300)).puts);
    let rows: Vec<(CrashKey, CrashRow)> = store.into_iter().collect();
    assert_eq!(
        rows,
        [(key(1), row(2_300, true)), (key(2), row(1_000, true))]
    );
    let mut started = CrashTable::new(QUARANTINE);
    started.apply_all_rows(at(20), &rows);
    assert!(started.refused_for(at(20), CRASHING).is_some());
}

/// The node that wrote a suspicion may confirm it at the same time; a rewritten row would undo that.
#[test]
fn suspicion_of_other_node_not_rewritten() {
    let mut table = CrashTable::new(QUARANTINE);
    table.apply_row(at(9), key(1), row(0, false));
    crash(&mut table, at(10), 2);
    crash(&mut table, at(11), 3);
    let puts = table.take_row_changes(at(11)).puts;
    assert_eq!(puts, [(key(2), row(1_000, true)), (key(3), row(0, true))]);
}

/// Rewritten rows must not make a transaction exceed its limit, nor keep new rows from the store.
#[test]
fn rewrites_stay_within_limit() {
    let mut table = CrashTable::new(QUARANTINE);
    for group in 1..=30 {
        table.apply_row(at(group), key(group), row(0, true));
    }
    for fingerprint in 100..120 {
        for second in [40, 41] {
            let attempt = FailedAttempt {
                fingerprint,
                group: GroupId(fingerprint * 100 + second),
                epoch: Epoch(1),
                started: at(second).before(DURATION),
                evidence: Evidence::Broken,
            };
            table.suspect(at(second), attempt);
            table.record_loss(at(second), attempt.group, Epoch(1));
        }
    }
    crash(&mut table, at(41), 31);
    let mut written = BTreeSet::new();
    for second in 41..44 {
        let puts = table.take_row_changes(at(second)).puts;
        assert!(puts.len() <= 40, "{}", puts.len());
        written.extend(puts.into_iter().map(|(key, _)| key));
    }
    assert_eq!(written.len(), 31 + 2 * 20);
    assert!(table.take_row_changes(at(44)).is_empty());
}

#[parameterized(
    confirmed = { &[(1, true), (2, true)], Some(QUARANTINE) },
    one_confirmed = { &[(1, true), (2, false)], None },
    suspicions = { &[(1, false), (2, false), (3, false)], Some(Duration::from_secs(15)) },
)]
fn crashes_of_other_nodes_counted(rows: &[(u64, bool)], refused_for: Option<Duration>) {
    let mut table = CrashTable::new(QUARANTINE);
    for (second, confirmed) in rows {
        table.apply_row(at(*second), key(*second), row(0, *confirmed));
    }
    let last = at(u64::try_from(rows.len()).unwrap());
    assert_eq!(table.refused_for(last, CRASHING), refused_for);
}

#[test]
fn crash_after_one_of_other_node_counts() {
    let mut table = CrashTable::new(QUARANTINE);
    // The row tells late of a crash that came before the own attempt.
    crash(&mut table, at(10), 2);
    table.apply_row(at(14), key(1), row(4_600, true));
    assert!(table.refused_for(at(14), CRASHING).is_some());
}

#[test]
fn crash_beside_one_of_other_node_counts_once() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 2);
    table.apply_row(at(14), key(1), row(4_200, true));
    assert_eq!(table.refused_for(at(14), CRASHING), None);
}

#[test]
fn unwritten_rows_returned_again() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1);
    crash(&mut table, at(11), 2);
    let keys = |changes: &CrashRowChanges| -> Vec<CrashKey> {
        changes.puts.iter().map(|(key, _)| *key).collect()
    };
    let changes = table.take_row_changes(at(11));
    table.restore_row_changes(changes.clone());
    assert_eq!(keys(&table.take_row_changes(at(12))), keys(&changes));
}

#[test]
fn success_deletes_rows() {
    let mut table = CrashTable::new(QUARANTINE);
    table.apply_row(at(9), key(1), row(0, true));
    table.record_success(at(10), CRASHING);
    let expected = CrashRowChanges {
        puts: Vec::new(),
        deletes: vec![key(1)],
    };
    assert_eq!(table.take_row_changes(at(10)), expected);
}

#[parameterized(
    deleted = { |table: &mut CrashTable| table.remove_row(key(1)) },
    no_longer_listed = { |table: &mut CrashTable| {
        table.apply_all_rows(at(10), &[(key(2), row(0, true))]);
    } },
)]
fn deleted_row_counts_no_more(delete: fn(&mut CrashTable)) {
    let mut table = CrashTable::new(QUARANTINE);
    table.apply_row(at(8), key(1), row(0, true));
    table.apply_row(at(9), key(2), row(0, true));
    assert!(table.refused_for(at(9), CRASHING).is_some());
    delete(&mut table);
    assert_eq!(table.refused_for(at(10), CRASHING), None);
}

/// A row of another build that can't be decoded is no deleted one: the request would run again.
#[parameterized(
    listed = { PageKind::All },
    changed = { PageKind::Changes },
)]
fn unreadable_row_keeps_crash(kind: PageKind) {
    let mut table = CrashTable::new(QUARANTINE);
    table.apply_row(at(8), key(1), row(0, true));
    table.apply_row(at(9), key(2), row(0, true));
    let rows = [1, 2].map(|group| VersionedRow {
        key: key(group).row_key(),
        version: RowVersion(7),
        value: Some(vec![0xff, 1]),
    });
    assert_eq!(table.apply_page(at(10), &rows, kind).len(), 2);
    assert!(table.refused_for(at(10), CRASHING).is_some());
    assert!(table.take_row_changes(at(10)).is_empty());
}

/// Guards against crashing requests that run again since the store returned from a copy without
/// their rows: they still count, and the node that saw them writes them again.
#[test]
fn crashes_count_after_store_return() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1);
    crash(&mut table, at(11), 2);
    assert_eq!(table.take_row_changes(at(11)).puts.len(), 2);
    table.apply_row(at(11), key(3), row(0, true));
    assert!(table.take_row_changes(at(11)).is_empty());
    assert!(table.apply_page(at(12), &[], PageKind::Restored).is_empty());
    assert!(table.refused_for(at(12), CRASHING).is_some());
    let changes = table.take_row_changes(at(12));
    let groups: Vec<_> = changes.puts.iter().map(|(key, _)| *key).collect();
    assert!(
        groups.contains(&key(1)) && groups.contains(&key(2)),
        "{groups:?}"
    );
}

#[test]
fn complete_list_keeps_unwritten_crashes() {
    let mut table = CrashTable::new(QUARANTINE);
    crash(&mut table, at(10), 1);
    crash(&mut table, at(11), 2);
    table.apply_all_rows(at(11), &[]);
    assert!(table.refused_for(at(12), CRASHING).is_some());
}

#[test]
fn complete_list_does_not_extend_quarantine() {
    let mut table = CrashTable::new(QUARANTINE);
    let rows = [(key(1), row(5_000, true)), (key(2), row(0, true))];
    table.apply_all_rows(at(10), &rows);
    table.apply_all_rows(at(300), &rows);
    assert_eq!(
        table.refused_for(at(310), CRASHING),
        Some(Duration::from_mins(5))
    );
}

#[test]
fn old_crash_read_at_start_counts() {
    let mut table = CrashTable::new(QUARANTINE);
    let rows = [(key(1), row(90_000, true)), (key(2), row(80_000, true))];
    table.apply_all_rows(at(100), &rows);
    assert_eq!(table.refused_for(at(100), CRASHING), Some(QUARANTINE));
}

#[parameterized(
    crash_at_planner = { true, 600, true, &[key(1)] },
    crash_at_other_node = { true, 600, false, &[] },
    suspicion_at_planner = { false, 15, true, &[key(1)] },
)]
fn planner_deletes_old_rows(
    confirmed: bool,
    lifetime: u64,
    deletes_rows: bool,
    expected: &[CrashKey],
) {
    let mut table = CrashTable::new(QUARANTINE);
    table.apply_row(at(10), key(1), row(0, confirmed));
    table.expire_events(at(9 + lifetime), deletes_rows);
    assert_eq!(table.len(), 1);
    table.expire_events(at(10 + lifetime), deletes_rows);
    assert!(table.is_empty());
    assert_eq!(table.take_row_changes(at(10 + lifetime)).deletes, expected);
}

/// All nodes of a large fleet see that a part is sound; the rows need not be deleted by each.
#[test]
fn part_row_deleted_by_few_nodes() {
    const NODES: u32 = 100;
    let part = key_of_part(7);
    let mut nodes: Vec<CrashTable> = (0..u64::from(NODES))
        .map(|seed| CrashTable::new(QUARANTINE).seed(seed))
        .collect();
    for table in &mut nodes {
        table.set_nodes(NODES);
        table.apply_row(at(10), part, row(0, true));
        table.record_part_success(at(12), &[7], at(11));
    }
    let mut deletions = Vec::new();
    for tenth in 0..100 {
        let now = at(12) + Duration::from_millis(100) * tenth;
        for table in &mut nodes {
            // A node hears of a deletion after a second.
            if deletions
                .first()
                .is_some_and(|first| now.since(*first) >= Duration::from_secs(1))
            {
                table.remove_row(part);
            }
            let deletes = table.take_row_changes(now).deletes;
            deletions.extend(deletes.iter().map(|_| now));
        }
    }
    assert!(
        (1..=NODES as usize / 3).contains(&deletions.len()),
        "{deletions:?}"
    );
}

#[test]
fn own_part_row_deleted_at_once() {
    let mut table = CrashTable::new(QUARANTINE).seed(1);
    table.set_nodes(100);
    let attempt = FailedAttempt {
        fingerprint: CRASHING,
        group: GroupId(1),
        epoch: Epoch(1),
        started: at(9),
        evidence: Evidence::Broken,
    };
    table.suspect_parts(at(10), attempt, &[7]);
    table.record_loss(at(10), GroupId(1), Epoch(1));
    assert_eq!(table.take_row_changes(at(11)).puts.len(), 1);
    table.record_part_success(at(12), &[7], at(11));
    assert_eq!(table.take_row_changes(at(12)).deletes, [key_of_part(7)]);
}
