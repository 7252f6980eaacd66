use tanagerhub_table::{FeedPage, RowKey, RowVersion, StoreTime, VersionedRow};

use super::{MOST_BYTES, RelayAnswer, RelayLog};

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
    }
}

/// A log that begins at version 10, heard at 100.
fn log() -> RelayLog {
    let mut log = RelayLog::default();
    log.take(&page(10, 100, &[4, 7, 10]), true);
    log
}

fn news(log: &RelayLog, after: u64, at: u64) -> Option<RelayAnswer> {
    log.news(RowVersion(after), StoreTime(at))
}

#[test]
fn news_before_any_page() {
    let log = RelayLog::default();
    assert_eq!(news(&log, 3, 0), Some(RelayAnswer::Lost));
}

#[test]
fn news_of_changes() {
    let mut log = log();
    log.take(&page(14, 200, &[12, 14]), false);
    let expected = RelayAnswer::Page(page(14, 200, &[12, 14]));
    assert_eq!(news(&log, 10, 100), Some(expected));
}

#[test]
fn news_to_peer_between_pages() {
    let mut log = log();
    log.take(&page(14, 200, &[12, 14]), false);
    let expected = RelayAnswer::Page(page(14, 200, &[14]));
    assert_eq!(news(&log, 12, 150), Some(expected));
}

#[test]
fn news_without_change_is_newer_time() {
    let mut log = log();
    assert_eq!(news(&log, 10, 100), None);
    log.take(&page(10, 200, &[]), false);
    let expected = RelayAnswer::Page(page(10, 200, &[]));
    assert_eq!(news(&log, 10, 100), Some(expected));
}

#[test]
fn news_to_peer_that_knows_more() {
    let log = log();
    assert_eq!(news(&log, 20, 300), None);
}

#[test]
fn news_to_peer_from_before_the_listing() {
    let log = log();
    assert_eq!(news(&log, 9, 50), Some(RelayAnswer::Compacted));
}

#[test]
fn news_of_repeated_rows_come_once() {
    let mut log = log();
    log.take(&page(14, 200, &[12, 14]), false);
    log.take(&page(15, 300, &[12, 14, 15]), false);
    let expected = RelayAnswer::Page(page(15, 300, &[12, 14, 15]));
    assert_eq!(news(&log, 10, 100), Some(expected));
}

#[test]
fn news_while_store_is_lost() {
    let mut log = log();
    log.lose();
    // What is known is still news to a peer that knows less.
    let expected = RelayAnswer::Page(page(10, 100, &[]));
    assert_eq!(news(&log, 10, 50), Some(expected));
    assert_eq!(news(&log, 10, 100), Some(RelayAnswer::Lost));
    log.take(&page(10, 200, &[]), false);
    assert_eq!(news(&log, 10, 200), None);
}

#[test]
fn news_after_bytes_ran_out() {
    let mut log = log();
    let half = vec![0; MOST_BYTES / 2 + 1];
    for version in [11, 12] {
        let large = FeedPage {
            rows: vec![row(version, Some(&half))],
            version: RowVersion(version),
            at: StoreTime(version * 100),
        };
        log.take(&large, false);
    }
    assert_eq!(news(&log, 10, 100), Some(RelayAnswer::Compacted));
    assert!(matches!(news(&log, 11, 100), Some(RelayAnswer::Page(page)) if page.rows.len() == 1));
}
