//! Claims on idempotency keys under lost responses, store outages, and nodes that stop while they
//! hold a claim.

#[path = "support/parts.rs"]
mod support;

use support::claim_simulation::{ClaimSimulation, NODE_A, NODE_B};
use support::fake_table::Fault;
use tanagerhub_catalogue::RequestId;
use tanagerhub_traffic::{ClaimResponse, Outcome, RecordedResponse};
use yare::parameterized;

fn recorded_response(body: &str) -> RecordedResponse {
    RecordedResponse {
        status: 200,
        content_type: "application/json".to_owned(),
        body: body.as_bytes().to_vec(),
    }
}

#[test]
fn claim_first_request() {
    let mut simulation = ClaimSimulation::new(2);
    let first = simulation.claim(NODE_A, "return-1", 7);
    assert_eq!(simulation.response(first), Some(&ClaimResponse::Granted));
}

#[test]
fn claim_repeated_elsewhere_while_running() {
    let mut simulation = ClaimSimulation::new(2);
    simulation.claim(NODE_A, "return-1", 7);
    let second = simulation.claim(NODE_B, "return-1", 7);
    assert_eq!(
        simulation.response(second),
        Some(&ClaimResponse::InProgress)
    );
}

#[parameterized(
    same_node = { NODE_A },
    other_node = { NODE_B },
)]
fn claim_repeated_after_end(node: usize) {
    let mut simulation = ClaimSimulation::new(2);
    let first = simulation.claim(NODE_A, "return-1", 7);
    simulation.finish(
        NODE_A,
        first,
        Outcome::Ran,
        Some(recorded_response("credited")),
    );
    let second = simulation.claim(node, "return-1", 7);
    let replay = ClaimResponse::Replay(recorded_response("credited"));
    assert_eq!(simulation.response(second), Some(&replay));
}

#[parameterized(
    same_node = { NODE_A },
    other_node = { NODE_B },
)]
fn claim_other_body(node: usize) {
    let mut simulation = ClaimSimulation::new(2);
    simulation.claim(NODE_A, "return-1", 7);
    let second = simulation.claim(node, "return-1", 8);
    assert_eq!(
        simulation.response(second),
        Some(&ClaimResponse::BodyMismatch)
    );
}

#[test]
fn claim_after_not_run() {
    let mut simulation = ClaimSimulation::new(2);
    let first = simulation.claim(NODE_A, "return-1", 7);
    simulation.finish(NODE_A, first, Outcome::NotRun, None);
    let second = simulation.claim(NODE_B, "return-1", 7);
    assert_eq!(simulation.response(second), Some(&ClaimResponse::Granted));
}

#[test]
fn claim_unrecorded_response() {
    let mut simulation = ClaimSimulation::new(2);
    let first = simulation.claim(NODE_A, "return-1", 7);
    let large = RecordedResponse {
        body: vec![0; 1024 * 1024],
        ..recorded_response("")
    };
    simulation.finish(NODE_A, first, Outcome::Ran, Some(large));
    let second = simulation.claim(NODE_B, "return-1", 7);
    assert_eq!(
        simulation.response(second),
        Some(&ClaimResponse::Ended(Outcome::Ran))
    );
}

#[test]
fn claim_owner_stopped_before_write() {
    let mut simulation = ClaimSimulation::new(2);
    simulation.table.fault = Fault::Refused;
    simulation.claim(NODE_A, "return-1", 7);
    simulation.stop_node(NODE_A);
    simulation.table.fault = Fault::None;
    let second = simulation.claim(NODE_B, "return-1", 7);
    assert_eq!(simulation.response(second), Some(&ClaimResponse::Granted));
}

#[parameterized(
    response_received = { Fault::None },
    response_lost = { Fault::ResponseLost },
)]
fn claim_owner_stopped_after_write(fault: Fault) {
    let mut simulation = ClaimSimulation::new(2);
    simulation.table.fault = fault;
    simulation.claim(NODE_A, "return-1", 7);
    simulation.stop_node(NODE_A);
    simulation.table.fault = Fault::None;
    let second = simulation.claim(NODE_B, "return-1", 7);
    assert_eq!(simulation.response(second), Some(&ClaimResponse::Unknown));
}

#[test]
fn claim_owner_stopped_before_recording() {
    let mut simulation = ClaimSimulation::new(2);
    let first = simulation.claim(NODE_A, "return-1", 7);
    simulation.table.fault = Fault::Refused;
    simulation.finish(
        NODE_A,
        first,
        Outcome::Ran,
        Some(recorded_response("credited")),
    );
    simulation.stop_node(NODE_A);
    simulation.table.fault = Fault::None;
    let second = simulation.claim(NODE_B, "return-1", 7);
    assert_eq!(simulation.response(second), Some(&ClaimResponse::Unknown));
}

#[test]
fn claim_response_lost_after_write() {
    let mut simulation = ClaimSimulation::new(2);
    simulation.table.fault = Fault::ResponseLostOnce;
    let first = simulation.claim(NODE_A, "return-1", 7);
    assert_eq!(simulation.response(first), Some(&ClaimResponse::Granted));
    assert_eq!(simulation.table.applied, 1);
}

#[test]
fn claim_response_lost_before_write() {
    let mut simulation = ClaimSimulation::new(2);
    simulation.table.fault = Fault::RequestLostOnce;
    let first = simulation.claim(NODE_A, "return-1", 7);
    assert_eq!(simulation.response(first), Some(&ClaimResponse::Granted));
}

#[test]
fn claim_write_arrives_late() {
    let mut simulation = ClaimSimulation::new(2);
    simulation.table.fault = Fault::DelayedOnce;
    let first = simulation.claim(NODE_A, "return-1", 7);
    assert_eq!(simulation.response(first), Some(&ClaimResponse::Granted));
    simulation.finish(NODE_A, first, Outcome::NotRun, None);
    let second = simulation.claim(NODE_B, "return-1", 7);
    assert_eq!(simulation.response(second), Some(&ClaimResponse::Granted));
    simulation.deliver_delayed();
    let third = simulation.claim(NODE_A, "return-1", 7);
    assert_eq!(simulation.response(third), Some(&ClaimResponse::InProgress));
}

#[test]
fn claim_store_down() {
    let mut simulation = ClaimSimulation::new(2);
    simulation.table.fault = Fault::Refused;
    let first = simulation.claim(NODE_A, "return-1", 7);
    simulation.advance(2_000);
    assert_eq!(simulation.response(first), Some(&ClaimResponse::NotRun));
    simulation.table.fault = Fault::None;
    let second = simulation.claim(NODE_B, "return-1", 7);
    assert_eq!(simulation.response(second), Some(&ClaimResponse::Granted));
}

#[test]
fn claim_store_down_service_deduplicates() {
    let mut simulation = ClaimSimulation::new(2);
    simulation.table.fault = Fault::Refused;
    let first = simulation.claim_deduplicated(NODE_A, "return-1", 7);
    assert_eq!(simulation.response(first), Some(&ClaimResponse::Unclaimed));
}

#[test]
fn claim_timed_out_then_found_written() {
    let mut simulation = ClaimSimulation::new(2);
    simulation.table.fault = Fault::NoResponse;
    let first = simulation.claim(NODE_A, "return-1", 7);
    simulation.advance(2_000);
    assert_eq!(simulation.response(first), Some(&ClaimResponse::NotRun));
    simulation.table.fault = Fault::None;
    simulation.deliver_delayed();
    simulation.resolve_pending();
    let second = simulation.claim(NODE_B, "return-1", 7);
    assert_eq!(simulation.response(second), Some(&ClaimResponse::Granted));
}

#[test]
fn claim_many_in_one_write() {
    let mut simulation = ClaimSimulation::new(1);
    let keys: Vec<String> = (0..20).map(|number| format!("return-{number}")).collect();
    let requests = simulation.claim_together(NODE_A, &keys);
    for claim_request in requests {
        assert_eq!(
            simulation.response(claim_request),
            Some(&ClaimResponse::Granted)
        );
    }
    assert_eq!(simulation.table.applied, 1);
}

#[test]
fn claim_conflict_affects_one_row() {
    let mut simulation = ClaimSimulation::new(2);
    simulation.claim(NODE_B, "return-3", 7);
    let keys: Vec<String> = (0..6).map(|number| format!("return-{number}")).collect();
    let requests = simulation.claim_together(NODE_A, &keys);
    for (number, claim_request) in requests.into_iter().enumerate() {
        let expected = if number == 3 {
            ClaimResponse::InProgress
        } else {
            ClaimResponse::Granted
        };
        assert_eq!(
            simulation.response(claim_request),
            Some(&expected),
            "return-{number}"
        );
    }
}

#[test]
fn claim_expired() {
    let mut simulation = ClaimSimulation::new(2);
    simulation.claim(NODE_A, "return-1", 7);
    simulation.stop_node(NODE_A);
    simulation.wall_s += 25 * 60 * 60;
    let second = simulation.claim(NODE_B, "return-1", 7);
    assert_eq!(simulation.response(second), Some(&ClaimResponse::Granted));
}

#[test]
fn claim_clock_ahead_while_running() {
    let mut simulation = ClaimSimulation::new(2);
    simulation.claim(NODE_A, "return-1", 7);
    simulation.wall_s += 25 * 60 * 60;
    let second = simulation.claim(NODE_B, "return-1", 7);
    assert_eq!(
        simulation.response(second),
        Some(&ClaimResponse::InProgress)
    );
    assert_eq!(simulation.sweep(NODE_B), 0);
}

#[test]
fn sweep_expired() {
    let mut simulation = ClaimSimulation::new(2);
    let first = simulation.claim(NODE_A, "return-1", 7);
    simulation.finish(NODE_A, first, Outcome::Ran, None);
    assert_eq!(simulation.sweep(NODE_B), 0);
    simulation.wall_s += 25 * 60 * 60;
    simulation.claim(NODE_B, "return-2", 7);
    assert_eq!(simulation.sweep(NODE_B), 1);
}

#[test]
fn finish_unknown_request() {
    let mut simulation = ClaimSimulation::new(1);
    simulation.finish(NODE_A, RequestId(99), Outcome::Ran, None);
    assert_eq!(simulation.table.applied, 0);
}
