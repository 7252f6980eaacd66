use bincode::config::standard;
use bincode::serde::{decode_from_slice, encode_to_vec};
use tanagerhub_table::{
    FeedPage, PageKind, RowKey, RowVersion, StoreEra, StoreTime, StoreVersion, VersionedRow,
};
use yare::parameterized;

use super::{MAX_BYTES, RelayLog, RelayResponse};

fn row(version: u64, value: Option<&[u8]>) -> VersionedRow {
    VersionedRow {
        key: RowKey::in_table("vms", &format!("vm-{version}")),
        version: RowVersion(version),
        value: value.map(<[u8]>::to_vec),
    }
}

fn page(version: u64, at: u64, rows: &[u64]) -> FeedPage {
    FeedPage {
        rows: rows
            .iter()
            .map(|version| row(*version, Some(b"x")))
            .collect(),
        version: RowVersion(version),
        at: StoreTime(at),
        era: None,
    }
}

/// Returns a log that starts at version 10 and at the store's time 100.
fn log() -> RelayLog {
    let mut log = RelayLog::default();
    log.apply_page(&page(10, 100, &[4, 7, 10]), PageKind::All);
    log
}

fn changes_since(log: &RelayLog, after: u64, at: u64) -> Option<RelayResponse> {
    log.changes_since(StoreVersion::new(None, RowVersion(after)), StoreTime(at))
}

#[test]
fn changes_since_before_any_page() {
    let log = RelayLog::default();
    assert_eq!(changes_since(&log, 3, 0), Some(RelayResponse::Stale));
}

#[test]
fn changes_since_returns_newer_rows() {
    let mut log = log();
    log.apply_page(&page(14, 200, &[12, 14]), PageKind::Changes);
    let expected = RelayResponse::Page(page(14, 200, &[12, 14]));
    assert_eq!(changes_since(&log, 10, 100), Some(expected));
}

#[test]
fn changes_since_version_between_pages() {
    let mut log = log();
    log.apply_page(&page(14, 200, &[12, 14]), PageKind::Changes);
    let expected = RelayResponse::Page(page(14, 200, &[14]));
    assert_eq!(changes_since(&log, 12, 150), Some(expected));
}

#[test]
fn changes_since_without_rows_has_newer_time() {
    let mut log = log();
    assert_eq!(changes_since(&log, 10, 100), None);
    log.apply_page(&page(10, 200, &[]), PageKind::Changes);
    let expected = RelayResponse::Page(page(10, 200, &[]));
    assert_eq!(changes_since(&log, 10, 100), Some(expected));
}

#[test]
fn changes_since_newer_peer() {
    let log = log();
    assert_eq!(changes_since(&log, 20, 300), None);
}

#[test]
fn changes_since_before_floor() {
    let log = log();
    assert_eq!(changes_since(&log, 9, 50), Some(RelayResponse::Compacted));
}

#[test]
fn changes_since_repeated_rows_once() {
    let mut log = log();
    log.apply_page(&page(14, 200, &[12, 14]), PageKind::Changes);
    log.apply_page(&page(15, 300, &[12, 14, 15]), PageKind::Changes);
    let expected = RelayResponse::Page(page(15, 300, &[12, 14, 15]));
    assert_eq!(changes_since(&log, 10, 100), Some(expected));
}

#[test]
fn changes_since_while_stale() {
    let mut log = log();
    log.mark_stale();
    // The data is still newer than that of a peer with an earlier time.
    let expected = RelayResponse::Page(page(10, 100, &[]));
    assert_eq!(changes_since(&log, 10, 50), Some(expected));
    assert_eq!(changes_since(&log, 10, 100), Some(RelayResponse::Stale));
    log.apply_page(&page(10, 200, &[]), PageKind::Changes);
    assert_eq!(changes_since(&log, 10, 200), None);
}

#[test]
fn changes_since_beyond_max_bytes() {
    let mut log = log();
    let half = vec![0; MAX_BYTES / 2 + 1];
    for version in [11, 12] {
        let large = FeedPage {
            rows: vec![row(version, Some(&half))],
            version: RowVersion(version),
            at: StoreTime(version * 100),
            era: None,
        };
        log.apply_page(&large, PageKind::Changes);
    }
    assert_eq!(changes_since(&log, 10, 100), Some(RelayResponse::Compacted));
    assert!(
        matches!(changes_since(&log, 11, 100), Some(RelayResponse::Page(page)) if page.rows.len() == 1)
    );
}

/// Returns a page of the second era, which begins at version 8 and at the store's time 200.
fn second_era_page(version: u64, at: u64, rows: &[u64]) -> FeedPage {
    FeedPage {
        era: Some(StoreEra(2)),
        ..page(version, at, rows)
    }
}

/// Guards against peers that never hear of a configuration: after the store's return from a copy
/// they were told the rows above a version of the era before, and the new time.
#[parameterized(
    version_fell = { Some(1), 20, 100, Some(RelayResponse::Compacted) },
    version_passed_unseen = { Some(1), 9, 100, Some(RelayResponse::Compacted) },
    same_number = { Some(1), 10, 100, Some(RelayResponse::Compacted) },
    later_time = { Some(1), 9, 900, Some(RelayResponse::Compacted) },
    same_era = { Some(2), 9, 250, Some(RelayResponse::Page(second_era_page(10, 300, &[10]))) },
    same_era_is_current = { Some(2), 10, 300, None },
    later_era = { Some(3), 5, 100, Some(RelayResponse::Stale) },
    old_build_before_start = { None, 9, 199, Some(RelayResponse::Compacted) },
    old_build_after_start = { None, 9, 250, Some(RelayResponse::Page(second_era_page(10, 300, &[10]))) },
)]
fn changes_since_version_of_era(
    era: Option<u64>,
    after: u64,
    at: u64,
    expected: Option<RelayResponse>,
) {
    let mut log = log();
    log.apply_page(&second_era_page(8, 200, &[]), PageKind::Restored);
    log.apply_page(&second_era_page(10, 300, &[9, 10]), PageKind::Changes);
    let after = StoreVersion::new(era.map(StoreEra), RowVersion(after));
    assert_eq!(log.changes_since(after, StoreTime(at)), expected);
}

/// Guards against a log that joins changes of two eras: the same number stands for another row.
#[test]
fn apply_page_of_another_era_starts_anew() {
    let mut log = log();
    log.apply_page(&page(14, 150, &[12, 14]), PageKind::Changes);
    log.apply_page(&second_era_page(13, 200, &[13]), PageKind::Changes);
    let after = StoreVersion::new(Some(StoreEra(2)), RowVersion(11));
    let response = log.changes_since(after, StoreTime(150));
    assert_eq!(response, Some(RelayResponse::Compacted));
}

/// Guards against a store that names no eras and returned from a copy: its version fell.
#[test]
fn changes_since_version_above_newest() {
    let mut log = log();
    log.apply_page(&page(7, 200, &[7]), PageKind::All);
    assert_eq!(changes_since(&log, 10, 100), Some(RelayResponse::Compacted));
}

/// Golden bytes of commit 1edf371. A node of another build would misread another encoding.
#[test]
fn response_bytes() {
    let rows = vec![row(300, Some(b"x")), row(301, None)];
    let page = FeedPage {
        rows,
        version: RowVersion(301),
        at: StoreTime(70_000),
        era: None,
    };
    let page_bytes = b"\x00\x02\x0avms/vm-300\xfb\x2c\x01\x01\x01x\
        \x0avms/vm-301\xfb\x2d\x01\x00\xfb\x2d\x01\xfc\x70\x11\x01\x00";
    let responses: [(RelayResponse, &[u8]); 4] = [
        (RelayResponse::Page(page), page_bytes),
        (RelayResponse::Compacted, &[1]),
        (RelayResponse::NoChange, &[2]),
        (RelayResponse::Stale, &[3]),
    ];
    for (response, bytes) in responses {
        assert_eq!(encode_to_vec(&response, standard()).unwrap(), bytes);
        let decoded = decode_from_slice(bytes, standard()).unwrap();
        assert_eq!(decoded, (response, bytes.len()));
    }
}
