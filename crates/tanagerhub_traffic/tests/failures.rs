//! Attempts that fail: what is retried, and what the caller is told.

#[path = "support/parts.rs"]
mod support;

use std::time::Duration;

use support::traffic_world::{SHOP, TrafficWorld};
use tanagerhub_catalogue::Epoch;
use tanagerhub_traffic::{AttemptEvent, CrashFact, Decision, Fact, Next, Outcome, Reason, Repeat};
use yare::parameterized;

#[test]
fn report_connect_failed_never() {
    let mut world = TrafficWorld::new(2);
    let info = world.info(SHOP).repeat(Repeat::Never);
    let first = world.dispatch(info);
    assert!(first.fresh_connection);
    let second = world.retried(first.attempt, AttemptEvent::ConnectFailed);
    assert_ne!(second.group, first.group);
    let failed = world.report(second.attempt, AttemptEvent::ConnectFailed);
    assert!(matches!(failed, Next::Wait(_)), "{failed:?}");
}

#[test]
fn report_refused_not_run_never() {
    let mut world = TrafficWorld::new(2);
    let info = world.info(SHOP).repeat(Repeat::Never);
    let first = world.dispatch(info);
    let second = world.retried(first.attempt, AttemptEvent::RefusedNotRun);
    assert_ne!(second.group, first.group);
}

#[parameterized(
    broke = { AttemptEvent::Broke },
    timed_out = { AttemptEvent::TimedOut },
)]
fn report_failure_never(event: AttemptEvent) {
    let mut world = TrafficWorld::new(2);
    let info = world.info(SHOP).repeat(Repeat::Never);
    let first = world.dispatch(info);
    let refusal = world.failed(first.attempt, event);
    assert_eq!(refusal.outcome, Outcome::Unknown);
    assert_eq!(refusal.retry_after, None);
    assert_eq!(refusal.status, 502);
}

#[test]
fn report_broke_after_answer_never() {
    let mut world = TrafficWorld::new(2);
    let info = world.info(SHOP).repeat(Repeat::Never);
    let first = world.dispatch(info);
    world.report(first.attempt, AttemptEvent::FirstByte);
    let refusal = world.failed(first.attempt, AttemptEvent::Broke);
    assert_eq!(refusal.outcome, Outcome::Ran);
}

#[test]
fn report_not_run_after_unknown_attempt() {
    let mut world = TrafficWorld::new(2);
    let info = world.info(SHOP).repeat(Repeat::Whole);
    let first = world.dispatch(info);
    let second = world.retried(first.attempt, AttemptEvent::TimedOut);
    world.fresh(false);
    let refusal = world.failed(second.attempt, AttemptEvent::ConnectFailed);
    assert_eq!(
        refusal.outcome,
        Outcome::Unknown,
        "the first attempt may have run"
    );
}

#[test]
fn report_silent_connection_whole() {
    let mut world = TrafficWorld::new(2);
    let info = world.info(SHOP).repeat(Repeat::Whole);
    let first = world.dispatch(info);
    assert!(!first.fresh_connection);
    let second = world.retried(first.attempt, AttemptEvent::TimedOut);
    assert!(second.fresh_connection);
}

#[test]
fn report_broken_stream_resumed() {
    let mut world = TrafficWorld::new(2);
    let info = world.info(SHOP);
    let first = world.dispatch(info);
    world.report(first.attempt, AttemptEvent::Token(17));
    let second = world.retried(first.attempt, AttemptEvent::Broke);
    assert_ne!(second.group, first.group);
    assert_eq!(second.resume_at, 17);
    let next = world.report(second.attempt, AttemptEvent::Finished { tokens: 40 });
    assert_eq!(next, Next::Done);
}

#[test]
fn report_broken_answer_whole() {
    let mut world = TrafficWorld::new(2);
    let info = world.info(SHOP).repeat(Repeat::Whole);
    let first = world.dispatch(info);
    world.report(first.attempt, AttemptEvent::Token(1));
    let refusal = world.failed(first.attempt, AttemptEvent::Broke);
    assert_eq!(refusal.reason, Reason::BrokenAnswer);
    assert_eq!(refusal.outcome, Outcome::Ran);
}

#[test]
fn report_late_event() {
    let mut world = TrafficWorld::new(2);
    let info = world.info(SHOP);
    let first = world.dispatch(info);
    let second = world.retried(first.attempt, AttemptEvent::Broke);
    assert_eq!(
        world.report(first.attempt, AttemptEvent::FirstByte),
        Next::Done
    );
    let late = AttemptEvent::Finished { tokens: 9 };
    assert_eq!(world.report(first.attempt, late), Next::Done);
    assert_eq!(
        world.report(second.attempt, AttemptEvent::FirstByte),
        Next::Continue
    );
}

#[test]
fn report_failed_group_suspended() {
    let mut world = TrafficWorld::new(2);
    let info = world.info(SHOP);
    let first = world.dispatch(info);
    world.retried(first.attempt, AttemptEvent::ConnectFailed);
    let failed = Fact::Failed {
        group: first.group,
        epoch: Epoch(1),
    };
    assert!(world.traffic.take_facts().contains(&failed));
    for _ in 0..3 {
        let info = world.info(SHOP);
        assert_ne!(world.dispatch(info).group, first.group);
    }
    world.pass(10);
    world.publish();
    let info = world.info(SHOP);
    assert_eq!(world.dispatch(info).group, first.group, "attested since");
}

#[test]
fn report_old_attestation_keeps_suspension() {
    let mut world = TrafficWorld::new(1);
    let info = world.info(SHOP);
    let first = world.dispatch(info);
    world.report(first.attempt, AttemptEvent::ConnectFailed);
    world.pass(10);
    world.table.routes[0].attested = Duration::from_millis(20);
    world.publish();
    assert!(world.poll().is_empty());
}

#[test]
fn report_cold_signal() {
    let mut world = TrafficWorld::new(1);
    let info = world.info(SHOP);
    let first = world.dispatch(info);
    assert_eq!(
        world.report(first.attempt, AttemptEvent::Cold),
        Next::Continue
    );
    let info = world.info(SHOP);
    let waits = world.submit(info);
    assert!(matches!(waits, Decision::Wait(_)), "{waits:?}");
    world.table.routes[0].cold = Some(2);
    world.publish();
    assert_eq!(world.poll().len(), 1);
    let info = world.info(SHOP);
    let waits = world.submit(info);
    assert!(matches!(waits, Decision::Wait(_)), "two slots are in use");
}

#[test]
fn submit_cold_without_slots() {
    let mut world = TrafficWorld::new(2);
    world.table.routes[0].cold = Some(0);
    world.publish();
    for _ in 0..3 {
        let info = world.info(SHOP);
        assert_eq!(world.dispatch(info).group, world.table.routes[1].group);
    }
}

#[test]
fn submit_first_byte_window() {
    let mut world = TrafficWorld::with(
        1,
        tanagerhub_catalogue::Limits {
            concurrency: 64,
            ..support::traffic_world::limits()
        },
        Vec::new(),
    );
    for _ in 0..4 {
        let info = world.info(SHOP);
        world.dispatch(info);
    }
    let info = world.info(SHOP);
    let waits = world.submit(info);
    assert!(
        matches!(waits, Decision::Wait(_)),
        "the window is four: {waits:?}"
    );
}

#[test]
fn report_retry_budget() {
    let mut world = TrafficWorld::new(2);
    let mut attempts = 0;
    let mut requests = 0;
    for _ in 0..400 {
        requests += 1;
        let info = world.info(SHOP);
        let Decision::Dispatch(first) = world.submit(info) else {
            panic!("not dispatched");
        };
        attempts += 1;
        let mut next = world.report(first.attempt, AttemptEvent::RefusedNotRun);
        loop {
            match next {
                Next::Retry(dispatch) => {
                    attempts += 1;
                    next = world.report(dispatch.attempt, AttemptEvent::RefusedNotRun);
                }
                Next::Wait(_) => {
                    world.pass(1);
                    let ready = world.poll();
                    let Some((_, Decision::Dispatch(dispatch))) = ready.first() else {
                        panic!("still waits");
                    };
                    attempts += 1;
                    next = world.report(dispatch.attempt, AttemptEvent::RefusedNotRun);
                }
                Next::Fail(refusal) => {
                    assert_eq!(refusal.outcome, Outcome::NotRun);
                    assert!(refusal.retry_after.is_some());
                    break;
                }
                other => panic!("{other:?}"),
            }
        }
    }
    assert!(attempts <= requests + requests / 10 + 64, "{attempts}");
    assert!(world.traffic.counters().budget_empty > 0);
}

#[test]
fn poll_hedge_first_answer_wins() {
    let mut world = TrafficWorld::new(2);
    let info = world.info(SHOP).repeat(Repeat::Whole).tokens(16, 10);
    let first = world.dispatch(info);
    world.pass(250);
    let ready = world.poll();
    let [(_, Decision::Dispatch(second))] = ready.as_slice() else {
        panic!("no hedge: {ready:?}");
    };
    assert!(second.hedge);
    assert_ne!(second.group, first.group);
    let next = world.report(second.attempt, AttemptEvent::FirstByte);
    assert_eq!(next, Next::CancelOther(first.attempt));
    let late = AttemptEvent::Finished { tokens: 4 };
    assert_eq!(world.report(first.attempt, late), Next::Done);
    assert_eq!(world.report(second.attempt, late), Next::Done);
    assert_eq!(world.traffic.counters().finished, 1);
}

#[test]
fn poll_hedge_first_fails() {
    let mut world = TrafficWorld::new(2);
    let info = world.info(SHOP).repeat(Repeat::Whole).tokens(16, 10);
    let first = world.dispatch(info);
    world.pass(250);
    assert_eq!(world.poll().len(), 1);
    assert_eq!(world.report(first.attempt, AttemptEvent::Broke), Next::Done);
    assert_eq!(world.traffic.counters().retries, 0, "the hedge still runs");
}

#[test]
fn poll_hedge_never() {
    let mut world = TrafficWorld::new(2);
    let info = world.info(SHOP).repeat(Repeat::Never).tokens(16, 10);
    world.dispatch(info);
    world.pass(1_000);
    assert!(world.poll().is_empty());
}

#[test]
fn report_caller_left() {
    let mut world = TrafficWorld::new(1);
    let info = world.info(SHOP);
    let first = world.dispatch(info);
    assert_eq!(
        world.report(first.attempt, AttemptEvent::CallerLeft),
        Next::Done
    );
    let status = world.traffic.status(world.now);
    assert_eq!((status.open, status.groups[0].in_flight), (0, 0));
}

#[test]
fn report_crashing_request() {
    let mut world = TrafficWorld::new(4);
    let info = world.info(SHOP).fingerprint(99);
    let first = world.dispatch(info);
    let second = world.retried(first.attempt, AttemptEvent::Broke);
    let refusal = world.failed(second.attempt, AttemptEvent::Broke);
    assert_eq!(refusal.reason, Reason::Crashes);
    assert_eq!(refusal.outcome, Outcome::Unknown);
    let info = world.info(SHOP).fingerprint(99);
    let again = world.refused(info);
    assert_eq!((again.reason, again.status), (Reason::Crashes, 422));
    assert!(again.retry_after.is_some());
    let info = world.info(SHOP);
    world.dispatch(info);
}

#[test]
fn report_crash_neighbour_kept_apart() {
    let mut world = TrafficWorld::new(1);
    let culprit = world.info(SHOP).fingerprint(99);
    let culprit = world.dispatch(culprit);
    let neighbour = world.info(SHOP).fingerprint(7);
    let neighbour = world.dispatch(neighbour);
    world.table.routes.push(support::traffic_world::route(2));
    world.table.routes.push(support::traffic_world::route(3));
    world.publish();
    let culprit = world.retried(culprit.attempt, AttemptEvent::Broke);
    let neighbour = world.retried(neighbour.attempt, AttemptEvent::Broke);
    assert_ne!(culprit.group, neighbour.group);
    let failed = world.failed(culprit.attempt, AttemptEvent::Broke);
    assert_eq!(failed.reason, Reason::Crashes);
    let whole = AttemptEvent::Finished { tokens: 3 };
    assert_eq!(world.report(neighbour.attempt, whole), Next::Done);
    let info = world.info(SHOP).fingerprint(7);
    world.dispatch(info);
}

#[test]
fn report_refused_after_hedge_won() {
    let mut world = TrafficWorld::new(2);
    let info = world.info(SHOP).repeat(Repeat::Whole).tokens(16, 10);
    world.dispatch(info);
    world.pass(250);
    let ready = world.poll();
    let [(_, Decision::Dispatch(hedge))] = ready.as_slice() else {
        panic!("no hedge: {ready:?}");
    };
    world.report(hedge.attempt, AttemptEvent::FirstByte);
    world.fresh(false);
    let refusal = world.failed(hedge.attempt, AttemptEvent::RefusedNotRun);
    assert_eq!(
        refusal.outcome,
        Outcome::Unknown,
        "the cancelled attempt may have run"
    );
}

#[parameterized(
    connect_failed = { AttemptEvent::ConnectFailed },
    refused = { AttemptEvent::RefusedNotRun },
)]
fn report_not_run_after_token(event: AttemptEvent) {
    let mut world = TrafficWorld::new(2);
    let info = world.info(SHOP).repeat(Repeat::Never);
    let first = world.dispatch(info);
    world.report(first.attempt, AttemptEvent::Token(1));
    let refusal = world.failed(first.attempt, event);
    assert_eq!(refusal.outcome, Outcome::Ran);
}

#[test]
fn report_slow_stream_moved() {
    let mut world = TrafficWorld::new(2);
    let info = world.info(SHOP);
    let usual = world.dispatch(info);
    world.pass(1_000);
    world.report(usual.attempt, AttemptEvent::Finished { tokens: 100 });
    let info = world.info(SHOP);
    let slow = world.dispatch(info);
    world.pass(1_000);
    assert_eq!(
        world.report(slow.attempt, AttemptEvent::Token(4)),
        Next::Continue
    );
    world.pass(2_000);
    let moved = world.retried(slow.attempt, AttemptEvent::Token(9));
    assert_ne!(moved.group, slow.group);
    assert_eq!(moved.resume_at, 9);
    assert!(!world.traffic.is_live(slow.attempt));
}

#[test]
fn poll_innocent_passes_suspects() {
    let mut world = TrafficWorld::new(1);
    let running = world.fill();
    for fingerprint in 100..110 {
        let fact = CrashFact {
            fingerprint,
            strikes: 1,
            age: Duration::ZERO,
        };
        world.traffic.crashes().apply_fact(world.now, fact);
        let info = world.info(SHOP).fingerprint(fingerprint);
        assert!(matches!(world.submit(info), Decision::Wait(_)));
    }
    let info = world.info(SHOP);
    let innocent = info.id;
    assert!(matches!(world.submit(info), Decision::Wait(_)));
    for dispatch in &running[..2] {
        world.report(dispatch.attempt, AttemptEvent::Finished { tokens: 1 });
    }
    let sent: Vec<_> = world.poll().into_iter().map(|(id, _)| id).collect();
    assert_eq!(sent.len(), 2, "one suspect and the innocent request");
    assert!(sent.contains(&innocent));
}
