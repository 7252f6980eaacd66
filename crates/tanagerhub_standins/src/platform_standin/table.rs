//! Reads of the table of the stand-in platform.

use tanagerhub_table::{MemoryTable, Row};
use tanagerhub_wire::platform::ReadRows;

/// Returns rows in key order.
pub(crate) fn read_rows(table: &MemoryTable, rows: &ReadRows) -> Vec<Row> {
    match rows {
        ReadRows::Keys(keys) => {
            let mut keys = keys.clone();
            keys.sort();
            table.get_all(&keys)
        }
        ReadRows::Prefix {
            prefix,
            after,
            limit,
        } => {
            let rows = table.scan(prefix, after.as_ref());
            rows.take(*limit as usize).cloned().collect()
        }
    }
}
