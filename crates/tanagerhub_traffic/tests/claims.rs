//! Claims on idempotency keys under lost answers, outages and dead owners.

#[path = "support/parts.rs"]
mod support;

use support::claim_world::{ClaimWorld, NODE_A, NODE_B};
use support::fake_table::Fault;
use tanagerhub_catalogue::RequestId;
use tanagerhub_traffic::{ClaimAnswer, Outcome, RecordedAnswer};
use yare::parameterized;

fn answer(body: &str) -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        content_type: "application/json".to_owned(),
        body: body.as_bytes().to_vec(),
    }
}

#[test]
fn claim_first_try() {
    let mut world = ClaimWorld::new(2);
    let first = world.claim(NODE_A, "return-1", 7);
    assert_eq!(world.answer(first), Some(&ClaimAnswer::Granted));
}

#[test]
fn claim_second_try_elsewhere_while_running() {
    let mut world = ClaimWorld::new(2);
    world.claim(NODE_A, "return-1", 7);
    let second = world.claim(NODE_B, "return-1", 7);
    assert_eq!(world.answer(second), Some(&ClaimAnswer::InProgress));
}

#[parameterized(
    same_node = { NODE_A },
    other_node = { NODE_B },
)]
fn claim_second_try_after_end(node: usize) {
    let mut world = ClaimWorld::new(2);
    let first = world.claim(NODE_A, "return-1", 7);
    world.finish(NODE_A, first, Outcome::Ran, Some(answer("credited")));
    let second = world.claim(node, "return-1", 7);
    let replay = ClaimAnswer::Replay(answer("credited"));
    assert_eq!(world.answer(second), Some(&replay));
}

#[parameterized(
    same_node = { NODE_A },
    other_node = { NODE_B },
)]
fn claim_other_body(node: usize) {
    let mut world = ClaimWorld::new(2);
    world.claim(NODE_A, "return-1", 7);
    let second = world.claim(node, "return-1", 8);
    assert_eq!(world.answer(second), Some(&ClaimAnswer::OtherBody));
}

#[test]
fn claim_after_not_run() {
    let mut world = ClaimWorld::new(2);
    let first = world.claim(NODE_A, "return-1", 7);
    world.finish(NODE_A, first, Outcome::NotRun, None);
    let second = world.claim(NODE_B, "return-1", 7);
    assert_eq!(world.answer(second), Some(&ClaimAnswer::Granted));
}

#[test]
fn claim_unrecorded_answer() {
    let mut world = ClaimWorld::new(2);
    let first = world.claim(NODE_A, "return-1", 7);
    let large = RecordedAnswer {
        body: vec![0; 1024 * 1024],
        ..answer("")
    };
    world.finish(NODE_A, first, Outcome::Ran, Some(large));
    let second = world.claim(NODE_B, "return-1", 7);
    assert_eq!(
        world.answer(second),
        Some(&ClaimAnswer::Ended(Outcome::Ran))
    );
}

#[test]
fn claim_owner_dies_before_write() {
    let mut world = ClaimWorld::new(2);
    world.table.fault = Fault::Refused;
    world.claim(NODE_A, "return-1", 7);
    world.kill(NODE_A);
    world.table.fault = Fault::None;
    let second = world.claim(NODE_B, "return-1", 7);
    assert_eq!(world.answer(second), Some(&ClaimAnswer::Granted));
}

#[parameterized(
    answered = { Fault::None },
    answer_lost = { Fault::LostAnswer },
)]
fn claim_owner_dies_after_write(fault: Fault) {
    let mut world = ClaimWorld::new(2);
    world.table.fault = fault;
    world.claim(NODE_A, "return-1", 7);
    world.kill(NODE_A);
    world.table.fault = Fault::None;
    let second = world.claim(NODE_B, "return-1", 7);
    assert_eq!(world.answer(second), Some(&ClaimAnswer::Unknown));
}

#[test]
fn claim_owner_dies_before_recording() {
    let mut world = ClaimWorld::new(2);
    let first = world.claim(NODE_A, "return-1", 7);
    world.table.fault = Fault::Refused;
    world.finish(NODE_A, first, Outcome::Ran, Some(answer("credited")));
    world.kill(NODE_A);
    world.table.fault = Fault::None;
    let second = world.claim(NODE_B, "return-1", 7);
    assert_eq!(world.answer(second), Some(&ClaimAnswer::Unknown));
}

#[test]
fn claim_answer_lost_after_write() {
    let mut world = ClaimWorld::new(2);
    world.table.fault = Fault::LostAnswerOnce;
    let first = world.claim(NODE_A, "return-1", 7);
    assert_eq!(world.answer(first), Some(&ClaimAnswer::Granted));
    assert_eq!(world.table.applied, 1);
}

#[test]
fn claim_answer_lost_before_write() {
    let mut world = ClaimWorld::new(2);
    world.table.fault = Fault::LostRequestOnce;
    let first = world.claim(NODE_A, "return-1", 7);
    assert_eq!(world.answer(first), Some(&ClaimAnswer::Granted));
}

#[test]
fn claim_write_arrives_late() {
    let mut world = ClaimWorld::new(2);
    world.table.fault = Fault::DelayedOnce;
    let first = world.claim(NODE_A, "return-1", 7);
    assert_eq!(world.answer(first), Some(&ClaimAnswer::Granted));
    world.finish(NODE_A, first, Outcome::NotRun, None);
    let second = world.claim(NODE_B, "return-1", 7);
    assert_eq!(world.answer(second), Some(&ClaimAnswer::Granted));
    world.deliver_delayed();
    let third = world.claim(NODE_A, "return-1", 7);
    assert_eq!(world.answer(third), Some(&ClaimAnswer::InProgress));
}

#[test]
fn claim_store_down() {
    let mut world = ClaimWorld::new(2);
    world.table.fault = Fault::Refused;
    let first = world.claim(NODE_A, "return-1", 7);
    world.advance(2_000);
    assert_eq!(world.answer(first), Some(&ClaimAnswer::NotRun));
    world.table.fault = Fault::None;
    let second = world.claim(NODE_B, "return-1", 7);
    assert_eq!(world.answer(second), Some(&ClaimAnswer::Granted));
}

#[test]
fn claim_store_down_service_deduplicates() {
    let mut world = ClaimWorld::new(2);
    world.table.fault = Fault::Refused;
    let first = world.claim_deduplicated(NODE_A, "return-1", 7);
    assert_eq!(world.answer(first), Some(&ClaimAnswer::Unclaimed));
}

#[test]
fn claim_given_up_then_found_written() {
    let mut world = ClaimWorld::new(2);
    world.table.fault = Fault::Silent;
    let first = world.claim(NODE_A, "return-1", 7);
    world.advance(2_000);
    assert_eq!(world.answer(first), Some(&ClaimAnswer::NotRun));
    world.table.fault = Fault::None;
    world.deliver_delayed();
    world.answer_silent();
    let second = world.claim(NODE_B, "return-1", 7);
    assert_eq!(world.answer(second), Some(&ClaimAnswer::Granted));
}

#[test]
fn claim_many_in_one_write() {
    let mut world = ClaimWorld::new(1);
    let keys: Vec<String> = (0..20).map(|number| format!("return-{number}")).collect();
    let asks = world.claim_together(NODE_A, &keys);
    for ask in asks {
        assert_eq!(world.answer(ask), Some(&ClaimAnswer::Granted));
    }
    assert_eq!(world.table.applied, 1);
}

#[test]
fn claim_conflict_fails_no_neighbour() {
    let mut world = ClaimWorld::new(2);
    world.claim(NODE_B, "return-3", 7);
    let keys: Vec<String> = (0..6).map(|number| format!("return-{number}")).collect();
    let asks = world.claim_together(NODE_A, &keys);
    for (number, ask) in asks.into_iter().enumerate() {
        let expected = if number == 3 {
            ClaimAnswer::InProgress
        } else {
            ClaimAnswer::Granted
        };
        assert_eq!(world.answer(ask), Some(&expected), "return-{number}");
    }
}

#[test]
fn claim_expired() {
    let mut world = ClaimWorld::new(2);
    world.claim(NODE_A, "return-1", 7);
    world.kill(NODE_A);
    world.wall_s += 25 * 60 * 60;
    let second = world.claim(NODE_B, "return-1", 7);
    assert_eq!(world.answer(second), Some(&ClaimAnswer::Granted));
}

#[test]
fn claim_clock_ahead_while_running() {
    let mut world = ClaimWorld::new(2);
    world.claim(NODE_A, "return-1", 7);
    world.wall_s += 25 * 60 * 60;
    let second = world.claim(NODE_B, "return-1", 7);
    assert_eq!(world.answer(second), Some(&ClaimAnswer::InProgress));
    assert_eq!(world.sweep(NODE_B), 0);
}

#[test]
fn sweep_expired() {
    let mut world = ClaimWorld::new(2);
    let first = world.claim(NODE_A, "return-1", 7);
    world.finish(NODE_A, first, Outcome::Ran, None);
    assert_eq!(world.sweep(NODE_B), 0);
    world.wall_s += 25 * 60 * 60;
    world.claim(NODE_B, "return-2", 7);
    assert_eq!(world.sweep(NODE_B), 1);
}

#[test]
fn finish_unknown_request() {
    let mut world = ClaimWorld::new(1);
    world.finish(NODE_A, RequestId(99), Outcome::Ran, None);
    assert_eq!(world.table.applied, 0);
}
