//! Tests of resolving a transaction whose response was lost.

use tanagerhub_table::{
    Attempt, AttemptState, CommitOutcome, ReadBack, Row, RowKey, RowVersion, Transaction,
    TransactionId,
};
use yare::parameterized;

const SENT: TransactionId = TransactionId(1);
const OTHER: TransactionId = TransactionId(2);

fn attempt() -> Attempt {
    let key = RowKey::new("group/1");
    Attempt::new(
        Transaction::new(SENT)
            .require_version(key.clone(), RowVersion(4))
            .put(key, Vec::new()),
    )
}

#[parameterized(
    same_id = { 5, SENT, ReadBack::Applied },
    unchanged = { 4, OTHER, ReadBack::NotApplied },
    overwritten = { 6, OTHER, ReadBack::Overwritten },
)]
fn read_back_classifies_row(version: u64, transaction: TransactionId, expected: ReadBack) {
    let row = Row {
        key: RowKey::new("group/1"),
        version: RowVersion(version),
        transaction,
        value: Vec::new(),
    };
    let mut attempt = attempt();
    attempt.record_outcome(&CommitOutcome::Unknown);
    assert_eq!(attempt.read_back(Some(&row)), expected);
}

#[parameterized(
    required_version = { Some(RowVersion(4)), ReadBack::Overwritten },
    required_absent = { None, ReadBack::NotApplied },
)]
fn read_back_classifies_missing_row(required: Option<RowVersion>, expected: ReadBack) {
    let key = RowKey::new("group/1");
    let sent = Transaction::new(SENT);
    let sent = match required {
        Some(version) => sent.require_version(key.clone(), version),
        None => sent.require_absent(key.clone()),
    };
    let mut attempt = Attempt::new(sent.put(key, Vec::new()));
    attempt.record_outcome(&CommitOutcome::Unknown);
    assert_eq!(attempt.read_back(None), expected);
    assert_eq!(attempt.state(), AttemptState::NotApplied);
}

#[test]
fn record_outcome_unknown_requires_read_back() {
    let mut attempt = attempt();
    attempt.record_outcome(&CommitOutcome::Unknown);
    assert_eq!(attempt.state(), AttemptState::MustReadBack);
    assert_eq!(attempt.read_back_key(), Some(&RowKey::new("group/1")));
}
