//! Tests of the table in memory.

use tanagerhub_table::{
    CommitOutcome, MemoryTable, Row, RowKey, RowVersion, Transaction, TransactionId,
};
use yare::parameterized;

const FIRST: TransactionId = TransactionId(1);
const SECOND: TransactionId = TransactionId(2);

/// Returns a table whose rows all contain their own key.
fn table(keys: &[&str]) -> MemoryTable {
    let mut table = MemoryTable::default();
    let put = |transaction: Transaction, key: &&str| {
        transaction.put(RowKey::new(*key), key.as_bytes().to_vec())
    };
    table.commit(&keys.iter().fold(Transaction::new(FIRST), put));
    table
}

fn keys<'a>(rows: impl Iterator<Item = &'a Row>) -> Vec<&'a str> {
    rows.map(|row| row.key.as_str()).collect()
}

#[test]
fn commit_conflict_writes_nothing() {
    let mut table = table(&["a", "b"]);
    let (a, b) = (RowKey::new("a"), RowKey::new("b"));
    let stale = Transaction::new(SECOND)
        .require_version(a.clone(), RowVersion(1))
        .require_version(b.clone(), RowVersion(1))
        .put(a.clone(), Vec::new())
        .delete(b.clone());
    assert_eq!(table.commit(&stale), CommitOutcome::Conflict { key: b });
    assert_eq!(table.get(&a).map(|row| row.transaction), Some(FIRST));
    assert_eq!(table.rows().count(), 2);
}

#[test]
fn commit_never_repeats_versions() {
    let mut table = table(&["a"]);
    let key = RowKey::new("a");
    table.commit(&Transaction::new(SECOND).delete(key.clone()));
    table.commit(&Transaction::new(SECOND).put(key.clone(), Vec::new()));
    assert_eq!(table.get(&key).map(|row| row.version), Some(RowVersion(2)));
}

#[test]
fn get_all_in_order_of_keys_given() {
    let table = table(&["a", "b"]);
    let wanted = ["b", "x", "a"].map(RowKey::new);
    assert_eq!(keys(table.get_all(&wanted).iter()), ["b", "a"]);
}

#[parameterized(
    all = { "", None, &["g/1", "g/2", "h/1"] },
    prefix = { "g/", None, &["g/1", "g/2"] },
    after = { "g/", Some("g/1"), &["g/2"] },
    after_last = { "g/", Some("g/2"), &[] },
    after_before_prefix = { "g/", Some("a"), &["g/1", "g/2"] },
    after_beyond_prefix = { "g/", Some("h/1"), &[] },
)]
fn scan_range(prefix: &str, after: Option<&str>, expected: &[&str]) {
    let table = table(&["h/1", "g/2", "g/1"]);
    let after = after.map(RowKey::new);
    assert_eq!(keys(table.scan(prefix, after.as_ref())), expected);
}
