//! Failed attempts: which requests are retried, and which error the caller gets.

#[path = "support/parts.rs"]
mod support;

use std::time::Duration;

use support::traffic_simulation::{SHOP, TrafficSimulation};
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_traffic::{
    AttemptEvent, CrashFact, Decision, GroupObservation, Next, Outcome, Reason, Repeat, Route,
};
use yare::parameterized;

#[test]
fn report_connect_failed_never() {
    let mut simulation = TrafficSimulation::new(2);
    let info = simulation.info(SHOP).repeat(Repeat::Never);
    let first = simulation.submit_dispatched(info);
    assert!(first.fresh_connection);
    let second = simulation.report_retried(first.attempt, AttemptEvent::ConnectFailed);
    assert_ne!(second.group, first.group);
    let failed = simulation.report(second.attempt, AttemptEvent::ConnectFailed);
    assert!(matches!(failed, Next::Wait(_)), "{failed:?}");
}

#[test]
fn report_refused_not_run_never() {
    let mut simulation = TrafficSimulation::new(2);
    let info = simulation.info(SHOP).repeat(Repeat::Never);
    let first = simulation.submit_dispatched(info);
    let second = simulation.report_retried(first.attempt, AttemptEvent::RefusedNotRun);
    assert_ne!(second.group, first.group);
}

#[parameterized(
    broke = { AttemptEvent::Broke },
    timed_out = { AttemptEvent::TimedOut },
)]
fn report_failure_never(event: AttemptEvent) {
    let mut simulation = TrafficSimulation::new(2);
    let info = simulation.info(SHOP).repeat(Repeat::Never);
    let first = simulation.submit_dispatched(info);
    let refusal = simulation.report_failed(first.attempt, event);
    assert_eq!(refusal.outcome, Outcome::Unknown);
    assert_eq!(refusal.retry_after, None);
    assert_eq!(refusal.status, 502);
}

#[test]
fn report_broke_after_first_byte_never() {
    let mut simulation = TrafficSimulation::new(2);
    let info = simulation.info(SHOP).repeat(Repeat::Never);
    let first = simulation.submit_dispatched(info);
    simulation.report(first.attempt, AttemptEvent::FirstByte);
    let refusal = simulation.report_failed(first.attempt, AttemptEvent::Broke);
    assert_eq!(refusal.outcome, Outcome::Ran);
}

#[test]
fn report_not_run_after_unknown_attempt() {
    let mut simulation = TrafficSimulation::new(2);
    let info = simulation.info(SHOP).repeat(Repeat::Whole);
    let first = simulation.submit_dispatched(info);
    let second = simulation.report_retried(first.attempt, AttemptEvent::TimedOut);
    simulation.set_fresh(false);
    let refusal = simulation.report_failed(second.attempt, AttemptEvent::ConnectFailed);
    assert_eq!(
        refusal.outcome,
        Outcome::Unknown,
        "the first attempt may have run"
    );
}

#[test]
fn report_timed_out_whole() {
    let mut simulation = TrafficSimulation::new(2);
    let info = simulation.info(SHOP).repeat(Repeat::Whole);
    let first = simulation.submit_dispatched(info);
    assert!(!first.fresh_connection);
    let second = simulation.report_retried(first.attempt, AttemptEvent::TimedOut);
    assert!(second.fresh_connection);
}

#[test]
fn report_broken_stream_resumed() {
    let mut simulation = TrafficSimulation::new(2);
    let info = simulation.info(SHOP);
    let first = simulation.submit_dispatched(info);
    simulation.report(first.attempt, AttemptEvent::Token(17));
    let second = simulation.report_retried(first.attempt, AttemptEvent::Broke);
    assert_ne!(second.group, first.group);
    assert_eq!(second.resume_at, 17);
    let next = simulation.report(second.attempt, AttemptEvent::Finished { tokens: 40 });
    assert_eq!(next, Next::Done);
}

#[test]
fn report_broken_response_whole() {
    let mut simulation = TrafficSimulation::new(2);
    let info = simulation.info(SHOP).repeat(Repeat::Whole);
    let first = simulation.submit_dispatched(info);
    simulation.report(first.attempt, AttemptEvent::Token(1));
    let refusal = simulation.report_failed(first.attempt, AttemptEvent::Broke);
    assert_eq!(refusal.reason, Reason::BrokenAnswer);
    assert_eq!(refusal.outcome, Outcome::Ran);
}

#[test]
fn report_late_event() {
    let mut simulation = TrafficSimulation::new(2);
    let info = simulation.info(SHOP);
    let first = simulation.submit_dispatched(info);
    let second = simulation.report_retried(first.attempt, AttemptEvent::Broke);
    assert_eq!(
        simulation.report(first.attempt, AttemptEvent::FirstByte),
        Next::Done
    );
    let late = AttemptEvent::Finished { tokens: 9 };
    assert_eq!(simulation.report(first.attempt, late), Next::Done);
    assert_eq!(
        simulation.report(second.attempt, AttemptEvent::FirstByte),
        Next::Continue
    );
}

#[test]
fn report_failed_group_suspended() {
    let mut simulation = TrafficSimulation::new(2);
    let info = simulation.info(SHOP);
    let first = simulation.submit_dispatched(info);
    simulation.report_retried(first.attempt, AttemptEvent::ConnectFailed);
    let failed = GroupObservation::Failed {
        group: first.group,
        epoch: Epoch(1),
    };
    assert!(simulation.traffic.take_observations().contains(&failed));
    for _ in 0..3 {
        let info = simulation.info(SHOP);
        assert_ne!(simulation.submit_dispatched(info).group, first.group);
    }
    simulation.advance(10);
    simulation.apply_routes();
    let info = simulation.info(SHOP);
    assert_eq!(
        simulation.submit_dispatched(info).group,
        first.group,
        "attested since"
    );
}

#[test]
fn report_old_attestation_keeps_suspension() {
    let mut simulation = TrafficSimulation::new(1);
    let info = simulation.info(SHOP);
    let first = simulation.submit_dispatched(info);
    simulation.report(first.attempt, AttemptEvent::ConnectFailed);
    simulation.advance(10);
    simulation.table.routes[0].attested = Duration::from_millis(20);
    simulation.apply_routes();
    assert!(simulation.poll().is_empty());
}

#[test]
fn report_cold_signal() {
    let mut simulation = TrafficSimulation::new(1);
    let info = simulation.info(SHOP);
    let first = simulation.submit_dispatched(info);
    assert_eq!(
        simulation.report(first.attempt, AttemptEvent::Cold),
        Next::Continue
    );
    let info = simulation.info(SHOP);
    let waits = simulation.submit(info);
    assert!(matches!(waits, Decision::Wait(_)), "{waits:?}");
    simulation.table.routes[0].cold = Some(2);
    simulation.apply_routes();
    assert_eq!(simulation.poll().len(), 1);
    let info = simulation.info(SHOP);
    let waits = simulation.submit(info);
    assert!(matches!(waits, Decision::Wait(_)), "two slots are in use");
}

#[test]
fn submit_cold_without_slots() {
    let mut simulation = TrafficSimulation::new(2);
    simulation.table.routes[0].cold = Some(0);
    simulation.apply_routes();
    for _ in 0..3 {
        let info = simulation.info(SHOP);
        assert_eq!(
            simulation.submit_dispatched(info).group,
            simulation.table.routes[1].group
        );
    }
}

#[test]
fn submit_first_byte_window() {
    let mut simulation = TrafficSimulation::with_limits(
        1,
        tanagerhub_catalogue::Limits {
            concurrency: 64,
            ..support::traffic_simulation::limits()
        },
        Vec::new(),
    );
    for _ in 0..4 {
        let info = simulation.info(SHOP);
        simulation.submit_dispatched(info);
    }
    let info = simulation.info(SHOP);
    let waits = simulation.submit(info);
    assert!(
        matches!(waits, Decision::Wait(_)),
        "the window is four: {waits:?}"
    );
}

#[test]
fn report_retry_budget() {
    let mut simulation = TrafficSimulation::new(2);
    let mut attempts = 0;
    let mut requests = 0;
    for _ in 0..400 {
        requests += 1;
        let info = simulation.info(SHOP);
        let Decision::Dispatch(first) = simulation.submit(info) else {
            panic!("not dispatched");
        };
        attempts += 1;
        let mut next = simulation.report(first.attempt, AttemptEvent::RefusedNotRun);
        loop {
            match next {
                Next::Retry(dispatch) => {
                    attempts += 1;
                    next = simulation.report(dispatch.attempt, AttemptEvent::RefusedNotRun);
                }
                Next::Wait(_) => {
                    simulation.advance(1);
                    let ready = simulation.poll();
                    let Some((_, Decision::Dispatch(dispatch))) = ready.first() else {
                        panic!("still waits");
                    };
                    attempts += 1;
                    next = simulation.report(dispatch.attempt, AttemptEvent::RefusedNotRun);
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
    assert!(simulation.traffic.counters().budget_empty > 0);
}

#[test]
fn poll_hedge_first_response_wins() {
    let mut simulation = TrafficSimulation::new(2);
    let info = simulation.info(SHOP).repeat(Repeat::Whole).tokens(16, 10);
    let first = simulation.submit_dispatched(info);
    simulation.advance(250);
    let ready = simulation.poll();
    let [(_, Decision::Dispatch(second))] = ready.as_slice() else {
        panic!("no hedge: {ready:?}");
    };
    assert!(second.hedge);
    assert_ne!(second.group, first.group);
    let next = simulation.report(second.attempt, AttemptEvent::FirstByte);
    assert_eq!(next, Next::CancelOther(first.attempt));
    let late = AttemptEvent::Finished { tokens: 4 };
    assert_eq!(simulation.report(first.attempt, late), Next::Done);
    assert_eq!(simulation.report(second.attempt, late), Next::Done);
    assert_eq!(simulation.traffic.counters().finished, 1);
}

#[test]
fn poll_hedge_first_fails() {
    let mut simulation = TrafficSimulation::new(2);
    let info = simulation.info(SHOP).repeat(Repeat::Whole).tokens(16, 10);
    let first = simulation.submit_dispatched(info);
    simulation.advance(250);
    assert_eq!(simulation.poll().len(), 1);
    assert_eq!(
        simulation.report(first.attempt, AttemptEvent::Broke),
        Next::Done
    );
    assert_eq!(
        simulation.traffic.counters().retries,
        0,
        "the hedge still runs"
    );
}

#[test]
fn poll_hedge_never() {
    let mut simulation = TrafficSimulation::new(2);
    let info = simulation.info(SHOP).repeat(Repeat::Never).tokens(16, 10);
    simulation.submit_dispatched(info);
    simulation.advance(1_000);
    assert!(simulation.poll().is_empty());
}

#[test]
fn poll_hedge_suspect() {
    let mut simulation = TrafficSimulation::new(2);
    let fact = CrashFact {
        fingerprint: 99,
        strikes: 1,
        age: Duration::ZERO,
    };
    simulation
        .traffic
        .crash_table()
        .apply_fact(simulation.now, fact);
    let info = simulation.info(SHOP).fingerprint(99);
    let info = info.repeat(Repeat::Whole).tokens(16, 10);
    simulation.submit_dispatched(info);
    simulation.advance(1_000);
    assert!(simulation.poll().is_empty());
}

#[test]
fn report_caller_left() {
    let mut simulation = TrafficSimulation::new(1);
    let info = simulation.info(SHOP);
    let first = simulation.submit_dispatched(info);
    assert_eq!(
        simulation.report(first.attempt, AttemptEvent::CallerLeft),
        Next::Done
    );
    let status = simulation.traffic.status(simulation.now);
    assert_eq!((status.open, status.groups[0].in_flight), (0, 0));
}

#[test]
fn report_crashing_request() {
    let mut simulation = TrafficSimulation::new(4);
    let info = simulation.info(SHOP).fingerprint(99);
    let first = simulation.submit_dispatched(info);
    let second = simulation.report_retried(first.attempt, AttemptEvent::Broke);
    let refusal = simulation.report_failed(second.attempt, AttemptEvent::Broke);
    assert_eq!(refusal.reason, Reason::Crashes);
    assert_eq!(refusal.outcome, Outcome::Unknown);
    let info = simulation.info(SHOP).fingerprint(99);
    let again = simulation.submit_refused(info);
    assert_eq!((again.reason, again.status), (Reason::Crashes, 422));
    assert!(again.retry_after.is_some());
    let info = simulation.info(SHOP);
    simulation.submit_dispatched(info);
}

#[parameterized(
    silent = { AttemptEvent::Silent },
    late = { AttemptEvent::TimedOut },
    caller_left = { AttemptEvent::CallerLeft },
)]
fn silent_crashes_counted(event: AttemptEvent) {
    let mut simulation = TrafficSimulation::new(4);
    for _ in 0..2 {
        let info = simulation.info(SHOP).fingerprint(99).attempts(1);
        let dispatch = simulation.submit_dispatched(info);
        simulation.advance(600);
        simulation.report(dispatch.attempt, event);
        let lost = [(dispatch.group, dispatch.epoch)];
        simulation.traffic.record_losses(simulation.now, &lost);
        let is_lost = |route: &Route| route.group == dispatch.group;
        simulation.table.routes.retain(|route| !is_lost(route));
        simulation.apply_routes();
        simulation.advance(600);
    }
    let info = simulation.info(SHOP).fingerprint(99);
    let refusal = simulation.submit_refused(info);
    assert_eq!(refusal.reason, Reason::Crashes);
}

#[test]
fn crashes_after_many_tokens_counted() {
    let mut simulation = TrafficSimulation::new(4);
    let info = simulation.info(SHOP).fingerprint(99);
    let first = simulation.submit_dispatched(info);
    simulation.report(first.attempt, AttemptEvent::Token(20));
    let second = simulation.report_retried(first.attempt, AttemptEvent::Broke);
    simulation.report(second.attempt, AttemptEvent::Token(40));
    let refusal = simulation.report_failed(second.attempt, AttemptEvent::Broke);
    assert_eq!(refusal.reason, Reason::Crashes);
}

#[test]
fn waiting_request_refused_after_crashes() {
    let mut simulation = TrafficSimulation::new(1);
    let running = simulation.fill_groups();
    let info = simulation.info(SHOP).fingerprint(99);
    let id = info.id;
    assert!(matches!(simulation.submit(info), Decision::Wait(_)));
    let fact = CrashFact {
        fingerprint: 99,
        strikes: 2,
        age: Duration::ZERO,
    };
    simulation
        .traffic
        .crash_table()
        .apply_fact(simulation.now, fact);
    simulation.report(running[0].attempt, AttemptEvent::Finished { tokens: 1 });
    let ready = simulation.poll();
    let [(refused, Decision::Refuse(refusal))] = ready.as_slice() else {
        panic!("not refused: {ready:?}");
    };
    assert_eq!((*refused, refusal.reason), (id, Reason::Crashes));
}

#[test]
fn report_crash_neighbour_kept_apart() {
    let mut simulation = TrafficSimulation::new(1);
    let culprit = simulation.info(SHOP).fingerprint(99);
    let culprit = simulation.submit_dispatched(culprit);
    let neighbour = simulation.info(SHOP).fingerprint(7);
    let neighbour = simulation.submit_dispatched(neighbour);
    simulation
        .table
        .routes
        .push(support::traffic_simulation::route(2));
    simulation
        .table
        .routes
        .push(support::traffic_simulation::route(3));
    simulation.apply_routes();
    let culprit = simulation.report_retried(culprit.attempt, AttemptEvent::Broke);
    let neighbour = simulation.report_retried(neighbour.attempt, AttemptEvent::Broke);
    assert_ne!(culprit.group, neighbour.group);
    let failed = simulation.report_failed(culprit.attempt, AttemptEvent::Broke);
    assert_eq!(failed.reason, Reason::Crashes);
    let finished = AttemptEvent::Finished { tokens: 3 };
    assert_eq!(simulation.report(neighbour.attempt, finished), Next::Done);
    let info = simulation.info(SHOP).fingerprint(7);
    simulation.submit_dispatched(info);
}

#[test]
fn report_refused_after_hedge_won() {
    let mut simulation = TrafficSimulation::new(2);
    let info = simulation.info(SHOP).repeat(Repeat::Whole).tokens(16, 10);
    simulation.submit_dispatched(info);
    simulation.advance(250);
    let ready = simulation.poll();
    let [(_, Decision::Dispatch(hedge))] = ready.as_slice() else {
        panic!("no hedge: {ready:?}");
    };
    simulation.report(hedge.attempt, AttemptEvent::FirstByte);
    simulation.set_fresh(false);
    let refusal = simulation.report_failed(hedge.attempt, AttemptEvent::RefusedNotRun);
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
    let mut simulation = TrafficSimulation::new(2);
    let info = simulation.info(SHOP).repeat(Repeat::Never);
    let first = simulation.submit_dispatched(info);
    simulation.report(first.attempt, AttemptEvent::Token(1));
    let refusal = simulation.report_failed(first.attempt, event);
    assert_eq!(refusal.outcome, Outcome::Ran);
}

#[test]
fn report_slow_stream_moved() {
    let mut simulation = TrafficSimulation::new(2);
    let info = simulation.info(SHOP);
    let usual = simulation.submit_dispatched(info);
    simulation.advance(1_000);
    simulation.report(usual.attempt, AttemptEvent::Finished { tokens: 100 });
    let info = simulation.info(SHOP);
    let slow = simulation.submit_dispatched(info);
    simulation.advance(1_000);
    assert_eq!(
        simulation.report(slow.attempt, AttemptEvent::Token(4)),
        Next::Continue
    );
    simulation.advance(2_000);
    let moved = simulation.report_retried(slow.attempt, AttemptEvent::Token(9));
    assert_ne!(moved.group, slow.group);
    assert_eq!(moved.resume_at, 9);
    assert!(!simulation.traffic.is_live(slow.attempt));
}

#[test]
fn poll_unsuspected_passes_suspects() {
    let mut simulation = TrafficSimulation::new(1);
    let running = simulation.fill_groups();
    for fingerprint in 100..110 {
        let fact = CrashFact {
            fingerprint,
            strikes: 1,
            age: Duration::ZERO,
        };
        simulation
            .traffic
            .crash_table()
            .apply_fact(simulation.now, fact);
        let info = simulation.info(SHOP).fingerprint(fingerprint);
        assert!(matches!(simulation.submit(info), Decision::Wait(_)));
    }
    let info = simulation.info(SHOP);
    let unsuspected = info.id;
    assert!(matches!(simulation.submit(info), Decision::Wait(_)));
    for dispatch in &running[..2] {
        simulation.report(dispatch.attempt, AttemptEvent::Finished { tokens: 1 });
    }
    let sent: Vec<_> = simulation.poll().into_iter().map(|(id, _)| id).collect();
    assert_eq!(sent.len(), 2, "one suspect and the unsuspected request");
    assert!(sent.contains(&unsuspected));
}

#[parameterized(
    after_false_loss = { true },
    after_old_break = { false },
)]
fn crashes_of_recovered_group_counted(lost_before: bool) {
    let mut simulation = TrafficSimulation::new(1);
    let (group, epoch) = (GroupId(1), Epoch(1));
    if lost_before {
        let lost = [(group, epoch)];
        simulation.traffic.record_losses(simulation.now, &lost);
        simulation.advance(100);
        let info = simulation.info(SHOP).attempts(1);
        let answered = simulation.submit_dispatched(info);
        simulation.report(answered.attempt, AttemptEvent::FirstByte);
        simulation.report(answered.attempt, AttemptEvent::Finished { tokens: 1 });
    } else {
        let info = simulation.info(SHOP).attempts(1);
        let broken = simulation.submit_dispatched(info);
        simulation.report(broken.attempt, AttemptEvent::Broke);
        simulation.advance(6_000);
    }
    simulation.advance(100);
    let info = simulation.info(SHOP).fingerprint(99).attempts(1);
    let crashing = simulation.submit_dispatched(info);
    simulation.advance(600);
    simulation.report(crashing.attempt, AttemptEvent::CallerLeft);
    simulation
        .traffic
        .record_losses(simulation.now, &[(group, epoch)]);
    let crashes = simulation.traffic.crash_table();
    assert!(crashes.is_suspect(simulation.now, 99));
}

#[parameterized(
    broke = { AttemptEvent::Broke },
    silent = { AttemptEvent::Silent },
    caller_left = { AttemptEvent::CallerLeft },
)]
fn crashes_noticed_after_renewal_counted(event: AttemptEvent) {
    let mut simulation = TrafficSimulation::new(1);
    let info = simulation.info(SHOP).fingerprint(99).attempts(1);
    let crashing = simulation.submit_dispatched(info);
    simulation.advance(100);
    let lost = [(crashing.group, crashing.epoch)];
    simulation.traffic.record_losses(simulation.now, &lost);
    simulation.table.routes[0].epoch = Epoch(2);
    simulation.apply_routes();
    simulation.advance(1_000);
    simulation.report(crashing.attempt, event);
    let facts = simulation.traffic.crash_table().facts(simulation.now, 1);
    assert_eq!(facts.first().map(|fact| fact.strikes), Some(1));
}

#[parameterized(
    cold = { AttemptEvent::Cold, |group, epoch| GroupObservation::Cold { group, epoch } },
    responded = { AttemptEvent::Token(1), |group, epoch| GroupObservation::Responded { group, epoch } },
    failed = { AttemptEvent::Broke, |group, epoch| GroupObservation::Failed { group, epoch } },
    silent = { AttemptEvent::Silent, |group, epoch| GroupObservation::Failed { group, epoch } },
)]
fn observation_names_epoch_of_attempt(
    event: AttemptEvent,
    observation: fn(GroupId, Epoch) -> GroupObservation,
) {
    let mut simulation = TrafficSimulation::new(1);
    let info = simulation.info(SHOP);
    let dispatch = simulation.submit_dispatched(info);
    simulation.table.routes[0].epoch = Epoch(2);
    simulation.apply_routes();
    simulation.report(dispatch.attempt, event);
    let observations = simulation.traffic.take_observations();
    assert_eq!(observations, [observation(dispatch.group, Epoch(1))]);
}
