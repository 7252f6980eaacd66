//! Transactions keep within the store's limits.

use tanagerhub_table::{RowKey, RowVersion, Transaction, TransactionId};
use yare::parameterized;

/// Adds writes of this size until no further one fits, and returns their number.
fn fill(value_bytes: usize) -> usize {
    let key = RowKey::in_table("groups", "g");
    let mut transaction =
        Transaction::new(TransactionId(1)).require_version(key.clone(), RowVersion(3));
    while transaction.has_room(&key, value_bytes) {
        transaction = transaction.put(key.clone(), vec![0; value_bytes]);
    }
    transaction.writes.len()
}

#[parameterized(
    entries = { 10, 99 },
    // Values are sent in base64, which makes 12,000 bytes 16,000.
    bytes = { 12_000, 62 },
    value_too_large = { 800_000, 0 },
)]
fn writes_until_limit(value_bytes: usize, expected: usize) {
    assert_eq!(fill(value_bytes), expected);
}
