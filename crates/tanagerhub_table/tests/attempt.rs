//! Tests of the rule for lost answers.

use tanagerhub_table::{
    Attempt, AttemptState, CommitOutcome, ReadBack, Row, RowKey, RowVersion, Transaction,
    TransactionId,
};
use yare::parameterized;

const OURS: TransactionId = TransactionId(1);
const OTHER: TransactionId = TransactionId(2);

fn attempt() -> Attempt {
    let key = RowKey::new("group/1");
    Attempt::new(
        Transaction::new(OURS)
            .at(key.clone(), RowVersion(4))
            .put(key, Vec::new()),
    )
}

#[parameterized(
    ours = { 5, OURS, ReadBack::Applied },
    unchanged = { 4, OTHER, ReadBack::NotApplied },
    overwritten = { 6, OTHER, ReadBack::Overwritten },
)]
fn read_back_judges_row(version: u64, transaction: TransactionId, expected: ReadBack) {
    let row = Row {
        key: RowKey::new("group/1"),
        version: RowVersion(version),
        transaction,
        value: Vec::new(),
    };
    let mut attempt = attempt();
    attempt.answered(&CommitOutcome::Unknown);
    assert_eq!(attempt.read_back(Some(&row)), expected);
}

#[test]
fn answered_unknown_must_be_read_back() {
    let mut attempt = attempt();
    attempt.answered(&CommitOutcome::Unknown);
    assert_eq!(attempt.state(), AttemptState::MustReadBack);
    assert_eq!(attempt.witness(), Some(&RowKey::new("group/1")));
}
