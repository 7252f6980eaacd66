//! Routes with limits of their own, and requests with a short queue timeout.

#[path = "support/advisor.rs"]
mod advisor;

use std::time::Duration;

use tanagerhub_catalogue::{EntryId, OrganisationId, RequestId};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{
    AttemptEvent, Decision, Dispatch, Next, Reason, Repeat, RequestInfo, RouteTable, Traffic,
    TrafficSettings,
};
use yare::parameterized;

const START: Moment = Moment::from_millis(1_000);

fn at(millis: u64) -> Moment {
    START + Duration::from_millis(millis)
}

fn settings() -> TrafficSettings {
    TrafficSettings {
        failures: 3,
        suspension: Duration::from_secs(1),
        ..advisor::settings()
    }
}

fn traffic(settings: TrafficSettings, routes: &[(u64, u32, Option<u32>)]) -> Traffic {
    advisor::traffic(START, settings, routes)
}

fn info(id: u64, now: Moment) -> RequestInfo {
    let entry = EntryId::of("advisor");
    RequestInfo::new(RequestId(id), OrganisationId::of("shop"), entry)
        .deadline(now + Duration::from_secs(8))
        .queue_timeout(Duration::from_millis(200))
}

fn dispatched(decision: &Decision) -> Dispatch {
    match decision {
        Decision::Dispatch(dispatch) => *dispatch,
        other => panic!("not dispatched: {other:?}"),
    }
}

#[test]
fn submit_route_slots_full() {
    let mut traffic = traffic(settings(), &[(1, 3, None)]);
    for id in 0..3 {
        dispatched(&traffic.submit(START, info(id, START)));
    }
    let fourth = traffic.submit(START, info(3, START));
    assert!(matches!(fourth, Decision::Wait(_)), "{fourth:?}");
}

#[test]
fn submit_route_starts_per_second() {
    let mut traffic = traffic(settings(), &[(1, 100, Some(5))]);
    let mut starts: Vec<u64> = Vec::new();
    for millis in (0..3_000).step_by(50) {
        let decision = traffic.submit(at(millis), info(millis, at(millis)));
        if let Decision::Dispatch(dispatch) = decision {
            starts.push(millis);
            let event = AttemptEvent::Finished { tokens: 1 };
            traffic.report(at(millis), dispatch.attempt, event);
        } else {
            traffic.cancel_waiting(RequestId(millis));
        }
    }
    for from in &starts {
        let within = starts
            .iter()
            .filter(|at| (*from..from + 1_000).contains(*at));
        assert!(within.count() <= 5);
    }
    assert!(starts.len() >= 14, "{starts:?}");
}

#[test]
fn submit_least_loaded_group() {
    let mut traffic = traffic(settings(), &[(1, 9, None), (2, 9, None), (3, 9, None)]);
    let mut counts = [0; 3];
    for id in 0..9 {
        let dispatch = dispatched(&traffic.submit(START, info(id, START)));
        counts[usize::try_from(dispatch.group.0 - 1).unwrap()] += 1;
    }
    assert_eq!(counts, [3, 3, 3]);
}

#[test]
fn submit_no_group() {
    let mut traffic = traffic(settings(), &[]);
    let decision = traffic.submit(START, info(1, START));
    let Decision::Refuse(refusal) = decision else {
        panic!("not refused: {decision:?}");
    };
    assert_eq!(refusal.reason, Reason::NoGroup);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn poll_queue_timeout_passed() {
    let mut traffic = traffic(settings(), &[(1, 1, None)]);
    dispatched(&traffic.submit(START, info(1, START)));
    let Decision::Wait(until) = traffic.submit(START, info(2, START)) else {
        panic!("it does not wait");
    };
    assert_eq!(until, at(200));
    assert!(traffic.poll(at(199)).is_empty());
    let ended = traffic.poll(at(200));
    assert!(matches!(ended[..], [(RequestId(2), Decision::Refuse(_))]));
}

/// The objective no longer matters to a stream whose caller has its first events.
#[parameterized(
    waiting = { 0, 200 },
    streaming = { 3, 900 },
)]
fn broken_stream_waits_for_group(tokens: u32, wait: u64) {
    let mut traffic = traffic(settings(), &[(1, 1, None)]);
    let request = info(1, START).repeat(Repeat::Resume);
    let request = request.resume_timeout(Duration::from_millis(900));
    let first = dispatched(&traffic.submit(START, request));
    if tokens > 0 {
        traffic.report(START, first.attempt, AttemptEvent::Token(tokens));
    }
    traffic.apply_routes(START, RouteTable { routes: Vec::new() });
    let next = traffic.report(START, first.attempt, AttemptEvent::Broke);
    assert_eq!(next, Next::Wait(at(wait)));
    assert!(traffic.poll(at(wait - 1)).is_empty());
    assert_eq!(traffic.poll(at(wait)).len(), 1);
}

#[test]
fn report_request_attempts_used() {
    let mut traffic = traffic(settings(), &[(1, 9, None), (2, 9, None), (3, 9, None)]);
    let request = info(1, START).repeat(Repeat::Whole).attempts(2);
    let first = dispatched(&traffic.submit(START, request));
    let Next::Retry(second) = traffic.report(START, first.attempt, AttemptEvent::Broke) else {
        panic!("no second attempt");
    };
    let next = traffic.report(START, second.attempt, AttemptEvent::Broke);
    assert!(matches!(next, Next::Fail(_)), "{next:?}");
}

#[test]
fn report_failed_response_keeps_group() {
    let mut traffic = traffic(settings(), &[(1, 9, None)]);
    for id in 0..9 {
        let dispatch = dispatched(&traffic.submit(START, info(id, START)));
        traffic.report(START, dispatch.attempt, AttemptEvent::Failed);
    }
    dispatched(&traffic.submit(START, info(9, START)));
}

#[test]
fn report_broken_responses_suspend_group() {
    let mut traffic = traffic(settings(), &[(1, 9, None)]);
    for id in 0..3 {
        let dispatch = dispatched(&traffic.submit(START, info(id, START)));
        traffic.report(START, dispatch.attempt, AttemptEvent::Broke);
    }
    let decision = traffic.submit(START, info(3, START));
    assert!(!matches!(decision, Decision::Dispatch(_)), "{decision:?}");
    traffic.cancel_waiting(RequestId(3));
    dispatched(&traffic.submit(at(1_000), info(4, at(1_000))));
}

#[test]
fn report_silent_suspends_group_at_once() {
    let mut traffic = traffic(settings(), &[(1, 9, None), (2, 9, None)]);
    let request = info(1, START).repeat(Repeat::Resume);
    let first = dispatched(&traffic.submit(START, request));
    let next = traffic.report(START, first.attempt, AttemptEvent::Silent);
    let Next::Retry(second) = next else {
        panic!("not moved: {next:?}");
    };
    assert_ne!(second.group, first.group);
    for id in 2..6 {
        let dispatch = dispatched(&traffic.submit(START, info(id, START)));
        assert_eq!(dispatch.group, second.group);
    }
}

/// A late request moves to another group only if a retry is allowed and the group has room.
#[parameterized(
    room = { 1, 10.0, 2, true, true },
    no_room = { 2, 10.0, 2, true, false },
    no_budget = { 1, 0.0, 2, false, false },
    no_attempt_left = { 1, 10.0, 1, false, false },
)]
fn may_move_late_request(running: u64, burst: f64, attempts: u32, repeats: bool, moves: bool) {
    let settings = TrafficSettings {
        filled: true,
        retry_ratio: 0.0,
        retry_burst: burst,
        ..settings()
    };
    let mut traffic = traffic(settings, &[(1, 1, None), (2, 1, None)]);
    let first = dispatched(&traffic.submit(
        START,
        info(1, START).attempts(attempts).repeat(Repeat::Whole),
    ));
    for id in 1..running {
        dispatched(&traffic.submit(START, info(1 + id, START)));
    }
    assert_eq!(traffic.may_repeat(START, first.attempt), repeats);
    assert_eq!(traffic.may_move(START, first.attempt), moves);
}

#[test]
fn report_empty_budget_fills_by_requests() {
    let settings = TrafficSettings {
        filled: false,
        retry_ratio: 0.2,
        retry_burst: 10.0,
        ..settings()
    };
    let mut traffic = traffic(settings, &[(1, 99, None), (2, 99, None)]);
    let mut retried = 0;
    for id in 0..20 {
        let request = info(id, START).repeat(Repeat::Whole);
        let dispatch = dispatched(&traffic.submit(START, request));
        let event = AttemptEvent::Failed;
        if let Next::Retry(again) = traffic.report(START, dispatch.attempt, event) {
            retried += 1;
            traffic.report(START, again.attempt, AttemptEvent::Responded);
        }
    }
    assert_eq!(retried, 4);
}
