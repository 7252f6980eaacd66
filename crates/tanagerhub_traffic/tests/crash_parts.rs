//! Parts of prompts that crash backend servers are refused, whatever else the requests hold.

#[expect(dead_code, reason = "this file uses a part of the simulation")]
#[path = "support/traffic_simulation.rs"]
mod traffic_simulation;

use tanagerhub_catalogue::Epoch;
use tanagerhub_traffic::{AttemptEvent, Decision, Dispatch, Reason, Repeat, RequestInfo};
use traffic_simulation::{SHOP, TrafficSimulation};
use yare::parameterized;

const FIRST: u64 = 1;
const BAD: u64 = 2;

/// Returns a request, unlike any other, whose prompt has these parts.
fn info(simulation: &mut TrafficSimulation, parts: &[u64]) -> RequestInfo {
    let info = simulation.info(SHOP).attempts(1);
    info.parts(parts.iter().copied())
}

fn start(simulation: &mut TrafficSimulation, parts: &[u64]) -> Dispatch {
    let info = info(simulation, parts);
    simulation.submit_dispatched(info)
}

/// Lets a group be lost under an attempt, and return renewed half a second later.
fn crash(simulation: &mut TrafficSimulation, dispatch: Dispatch) {
    simulation.report(dispatch.attempt, AttemptEvent::Broke);
    let lost = [(dispatch.group, dispatch.epoch)];
    simulation.traffic.record_losses(simulation.now, &lost);
    let routes = &mut simulation.table.routes;
    if let Some(route) = routes.iter_mut().find(|it| it.group == dispatch.group) {
        route.epoch = Epoch(route.epoch.0 + 1);
    }
    simulation.apply_routes();
    simulation.advance(500);
}

/// Lets three requests with these parts each crash a group.
fn crash_three(simulation: &mut TrafficSimulation, parts: &[u64]) {
    for _ in 0..3 {
        let dispatch = start(simulation, parts);
        simulation.advance(100);
        crash(simulation, dispatch);
    }
}

fn is_refused(simulation: &mut TrafficSimulation, parts: &[u64]) -> bool {
    let info = info(simulation, parts);
    match simulation.submit(info) {
        Decision::Refuse(refusal) => refusal.reason == Reason::Crashes,
        _ => false,
    }
}

#[parameterized(
    alone = { &[BAD], &[BAD, 8] },
    after_first = { &[FIRST, BAD], &[9, BAD] },
)]
fn part_blamed_after_crashes(crashing: &[u64], other: &[u64]) {
    let mut simulation = TrafficSimulation::new(8);
    crash_three(&mut simulation, crashing);
    assert!(is_refused(&mut simulation, crashing));
    assert!(is_refused(&mut simulation, other));
    assert!(!is_refused(&mut simulation, &[FIRST]));
}

#[test]
fn waiting_request_refused_once_part_blamed() {
    let mut simulation = TrafficSimulation::new(8);
    for _ in 0..2 {
        let dispatch = start(&mut simulation, &[FIRST, BAD]);
        simulation.advance(100);
        crash(&mut simulation, dispatch);
    }
    let third = start(&mut simulation, &[FIRST, BAD]);
    simulation.fill_groups();
    let waiting = info(&mut simulation, &[9, BAD]);
    let id = waiting.id;
    assert!(matches!(simulation.submit(waiting), Decision::Wait(_)));
    crash(&mut simulation, third);
    let ready = simulation.poll();
    let is_refusal = |decision: &Decision| matches!(decision, Decision::Refuse(it) if it.reason == Reason::Crashes);
    let refused = |(it, decision): &(_, Decision)| *it == id && is_refusal(decision);
    assert!(ready.iter().any(refused), "{ready:?}");
}

#[test]
fn retry_refused_once_part_blamed() {
    let mut simulation = TrafficSimulation::new(8);
    let running = info(&mut simulation, &[9, BAD]).attempts(2);
    let running = simulation.submit_dispatched(running);
    simulation.report(running.attempt, AttemptEvent::Token(1));
    crash_three(&mut simulation, &[FIRST, BAD]);
    let refusal = simulation.report_failed(running.attempt, AttemptEvent::Broke);
    assert_eq!(refusal.reason, Reason::Crashes);
}

#[parameterized(
    complete_stream = { AttemptEvent::Finished { tokens: 3 }, false },
    empty_stream = { AttemptEvent::Finished { tokens: 0 }, true },
    response = { AttemptEvent::Responded, false },
)]
fn part_cleared_by_complete_response(event: AttemptEvent, refused: bool) {
    let mut simulation = TrafficSimulation::new(8);
    for _ in 0..2 {
        let dispatch = start(&mut simulation, &[BAD]);
        simulation.advance(100);
        crash(&mut simulation, dispatch);
    }
    let sound = info(&mut simulation, &[BAD]).repeat(Repeat::Whole);
    let sound = simulation.submit_dispatched(sound);
    simulation.report(sound.attempt, event);
    let dispatch = start(&mut simulation, &[BAD]);
    simulation.advance(100);
    crash(&mut simulation, dispatch);
    assert_eq!(is_refused(&mut simulation, &[BAD]), refused);
}

#[test]
fn part_not_cleared_by_failure_of_unrepeatable_request() {
    let mut simulation = TrafficSimulation::new(8);
    crash_three(&mut simulation, &[FIRST, BAD]);
    let failed = info(&mut simulation, &[FIRST]).repeat(Repeat::Never);
    let failed = simulation.submit_dispatched(failed);
    simulation.report(failed.attempt, AttemptEvent::Responded);
    assert!(is_refused(&mut simulation, &[BAD]));
}

/// Requests whose parts are under suspicion may run side by side, unlike suspected ones.
#[test]
fn sound_requests_with_suspected_part_not_kept_apart() {
    let mut simulation = TrafficSimulation::new(1);
    let dispatch = start(&mut simulation, &[FIRST, BAD]);
    simulation.advance(100);
    crash(&mut simulation, dispatch);
    simulation.advance(10_000);
    for _ in 0..4 {
        start(&mut simulation, &[FIRST, 9]);
    }
}
