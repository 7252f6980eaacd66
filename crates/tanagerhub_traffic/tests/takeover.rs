//! Takeover of requests whose group is silent.

#[path = "support/advisor.rs"]
mod advisor;

use std::time::Duration;

use tanagerhub_catalogue::{EntryId, OrganisationId, RequestId};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{
    AttemptEvent, Decision, Dispatch, Next, Repeat, RequestInfo, Traffic, TrafficSettings,
};
use yare::parameterized;

const NOW: Moment = Moment::from_millis(1_000);
/// Events that the caller of a silent stream has.
const TOKENS: u32 = 3;

fn traffic(groups: u64) -> Traffic {
    let settings = TrafficSettings {
        failures: 3,
        retry_ratio: 0.0,
        retry_burst: 1.0,
        ..advisor::settings()
    };
    let routes: Vec<(u64, u32, Option<u32>)> = (1..=groups).map(|id| (id, 2, None)).collect();
    advisor::traffic(NOW, settings, &routes)
}

fn request(id: u64) -> RequestInfo {
    let entry = EntryId::of("advisor");
    RequestInfo::new(RequestId(id), OrganisationId::of("shop"), entry)
        .deadline(NOW + Duration::from_secs(8))
        .queue_timeout(Duration::from_millis(200))
        .repeat(Repeat::Resume)
        .attempts(2)
}

fn submit(traffic: &mut Traffic, info: RequestInfo) -> Dispatch {
    match traffic.submit(NOW, info) {
        Decision::Dispatch(dispatch) => dispatch,
        other => panic!("not dispatched: {other:?}"),
    }
}

/// Starts a stream, and an attempt to take it over at another group.
fn taken_over(traffic: &mut Traffic) -> (Dispatch, Dispatch) {
    let silent = submit(traffic, request(1));
    traffic.report(NOW, silent.attempt, AttemptEvent::FirstByte);
    let other = traffic.take_over(NOW, silent.attempt, TOKENS);
    (silent, other.expect("another group has room"))
}

#[test]
fn take_over_at_other_group() {
    let mut traffic = traffic(2);
    let (silent, other) = taken_over(&mut traffic);
    assert_ne!(silent.group, other.group);
    assert_eq!(other.resume_at, TOKENS);
    assert!(traffic.is_live(silent.attempt));
    let next = traffic.report(NOW, silent.attempt, AttemptEvent::Silent);
    assert_eq!(next, Next::Done);
    let next = traffic.report(NOW, other.attempt, AttemptEvent::FirstByte);
    assert_eq!(next, Next::Continue);
    assert!(!traffic.is_live(silent.attempt));
}

#[parameterized(
    no_other_group = { 1, request(1) },
    no_attempt_left = { 2, request(1).attempts(1) },
    runs_once = { 2, request(1).repeat(Repeat::Never) },
)]
fn take_over_denied(groups: u64, info: RequestInfo) {
    let mut traffic = traffic(groups);
    let silent = submit(&mut traffic, info);
    assert_eq!(traffic.take_over(NOW, silent.attempt, TOKENS), None);
    assert!(traffic.is_live(silent.attempt));
}

#[test]
fn take_over_once() {
    let mut traffic = traffic(3);
    let (silent, _) = taken_over(&mut traffic);
    assert_eq!(traffic.take_over(NOW, silent.attempt, TOKENS), None);
}

#[test]
fn take_over_uses_retry_budget() {
    let mut traffic = traffic(2);
    taken_over(&mut traffic);
    let next = submit(&mut traffic, request(2));
    assert_eq!(traffic.take_over(NOW, next.attempt, 0), None);
}

#[parameterized(
    refused = { AttemptEvent::RefusedNotRun },
    unreachable = { AttemptEvent::ConnectFailed },
    broke = { AttemptEvent::Broke },
    failed = { AttemptEvent::Failed },
)]
fn failed_takeover_keeps_silent_attempt(event: AttemptEvent) {
    let mut traffic = traffic(2);
    let (silent, other) = taken_over(&mut traffic);
    assert_eq!(traffic.report(NOW, other.attempt, event), Next::Done);
    assert!(traffic.is_live(silent.attempt));
    let event = AttemptEvent::Finished { tokens: 9 };
    assert_eq!(traffic.report(NOW, silent.attempt, event), Next::Done);
    assert_eq!(traffic.counters().finished, 1);
}

#[test]
fn broken_silent_attempt_leaves_takeover() {
    let mut traffic = traffic(2);
    let (silent, other) = taken_over(&mut traffic);
    let next = traffic.report(NOW, silent.attempt, AttemptEvent::Broke);
    assert_eq!(next, Next::Done);
    assert!(traffic.is_live(other.attempt));
}

#[test]
fn cancel_others_frees_group() {
    let mut traffic = traffic(2);
    let (silent, other) = taken_over(&mut traffic);
    traffic.cancel_others(silent.attempt);
    assert!(traffic.is_live(silent.attempt));
    assert!(!traffic.is_live(other.attempt));
    // Each of the two groups has two slots, and one of the four is in use.
    for id in 2..5 {
        submit(&mut traffic, request(id));
    }
}

#[test]
fn finished_request_frees_takeover() {
    let mut traffic = traffic(2);
    let (silent, other) = taken_over(&mut traffic);
    let event = AttemptEvent::Finished { tokens: 9 };
    assert_eq!(traffic.report(NOW, silent.attempt, event), Next::Done);
    assert!(!traffic.is_live(other.attempt));
    let status = traffic.status(NOW);
    let running: u32 = status.entries.iter().map(|it| it.running).sum();
    assert_eq!(running, 0);
}
