//! Tests of how orders that a VM doesn't begin are counted.

use tanagerhub_catalogue::Epoch;
use yare::parameterized;

use super::*;

const COUNTED: JoinProof = JoinProof::counted(0);
const SOLE: JoinProof = JoinProof::sole_at(Epoch(1));

/// Sends orders, a second apart, with these results. Returns the tries and the time of the last result.
fn tried(results: &[OrderResult]) -> (OrderTries, Moment) {
    let (mut tries, mut now) = (OrderTries::default(), Moment::ZERO);
    for result in results {
        now = now + Duration::from_secs(1);
        tries.record_sent(now);
        tries.record_result(*result);
    }
    (tries, now)
}

#[parameterized(
    unanswered = { OrderResult::Unknown, true },
    refused = { OrderResult::Unfit, true },
    stale = { OrderResult::Stale, true },
    not_sent = { OrderResult::NotSent, false },
    paused = { OrderResult::Paused, false },
)]
fn ignores_orders_after(result: OrderResult, ignores: bool) {
    let (tries, now) = tried(&[result; 4]);
    assert!(!tries.ignores_orders(now));
    let (tries, now) = tried(&[result; 5]);
    assert_eq!(tries.ignores_orders(now), ignores);
    assert!(!tries.ignores_orders(now + RETRY_INTERVAL));
}

/// An answer without an effect counts once its effect should have been seen.
#[test]
fn ignores_orders_after_empty_answers() {
    let (tries, now) = tried(&[OrderResult::Accepted; 5]);
    assert!(!tries.ignores_orders(now));
    assert!(tries.ignores_orders(now + REPORT_TIME));
}

#[test]
fn ignores_none_after_one_has_begun() {
    let (mut tries, now) = tried(&[OrderResult::Unknown; 5]);
    assert_eq!(tries.take_news(now), Some(OrderNews::Ignores(5)));
    assert_eq!(tries.take_news(now), None);
    tries.record_begun();
    assert!(!tries.ignores_orders(now));
    assert_eq!(tries.take_news(now), Some(OrderNews::Follows));
    assert_eq!(tries.take_news(now), None);
}

/// Three joins with the number, then one without, and so on.
#[test]
fn forms_of_unanswered_joins() {
    let mut tries = OrderTries::default();
    let mut forms = Vec::new();
    for _ in 0..8 {
        let form = tries.next_join();
        let proof = match form {
            JoinForm::Counted => COUNTED,
            JoinForm::Sole => SOLE,
        };
        tries.record_join(proof, OrderResult::Unknown);
        forms.push(form);
    }
    let (counted, sole) = (JoinForm::Counted, JoinForm::Sole);
    let round = [counted, counted, counted, sole];
    assert_eq!(forms, [round, round].concat());
}

/// A join that was answered, or that the VM took part by, ends the row of unanswered ones.
#[parameterized(
    refused = { |tries| tries.record_join(COUNTED, OrderResult::Unfit) },
    joined = { OrderTries::record_joined },
)]
fn form_after(end: fn(&mut OrderTries)) {
    let mut tries = OrderTries::default();
    for _ in 0..3 {
        tries.record_join(COUNTED, OrderResult::Unknown);
    }
    assert_eq!(tries.next_join(), JoinForm::Sole);
    end(&mut tries);
    assert_eq!(tries.next_join(), JoinForm::Counted);
}
