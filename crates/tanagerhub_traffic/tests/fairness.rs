//! Limits of organisations, fair queueing and early refusals.

#[path = "support/parts.rs"]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::traffic_simulation::{RIVAL, SHOP, TrafficSimulation, limits, organisation};
use tanagerhub_catalogue::{Class, OrganisationId, OrganisationLimits, PerSecond};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{
    AttemptEvent, Decision, DrainState, FairQueue, Outcome, QueueKey, RateLimit, Reason, Share,
};
use yare::parameterized;

fn limited(limits: OrganisationLimits) -> TrafficSimulation {
    TrafficSimulation::with_limits(4, self::limits(), vec![organisation(SHOP, 1, limits)])
}

#[parameterized(
    requests = { OrganisationLimits { requests: Some(PerSecond(2.0)), ..OrganisationLimits::default() }, Reason::RequestRate },
    tokens = { OrganisationLimits { tokens: Some(PerSecond(200.0)), ..OrganisationLimits::default() }, Reason::TokenRate },
    concurrency = { OrganisationLimits { concurrency: Some(2), ..OrganisationLimits::default() }, Reason::Concurrency },
)]
fn submit_over_limit(limits: OrganisationLimits, reason: Reason) {
    let mut simulation = limited(limits);
    for _ in 0..2 {
        let info = simulation.info(SHOP);
        simulation.submit_dispatched(info);
    }
    let info = simulation.info(SHOP);
    let refusal = simulation.submit_refused(info);
    assert_eq!((refusal.reason, refusal.status), (reason, 429));
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn submit_after_retry_after() {
    let mut simulation = limited(OrganisationLimits {
        requests: Some(PerSecond(2.0)),
        ..OrganisationLimits::default()
    });
    for _ in 0..2 {
        let info = simulation.info(SHOP);
        simulation.submit_dispatched(info);
    }
    let info = simulation.info(SHOP);
    let retry = simulation.submit_refused(info).retry_after.unwrap();
    simulation.now = simulation.now + retry;
    let info = simulation.info(SHOP);
    simulation.submit_dispatched(info);
}

#[test]
fn submit_stale_view() {
    let mut simulation = TrafficSimulation::new(1);
    simulation.fill_groups();
    let info = simulation.info(SHOP);
    let id = info.id;
    assert!(matches!(simulation.submit(info), Decision::Wait(_)));
    simulation.set_fresh(false);
    let ready = simulation.poll();
    let [(refused, Decision::Refuse(refusal))] = ready.as_slice() else {
        panic!("{ready:?}");
    };
    assert_eq!((*refused, refusal.reason), (id, Reason::Stale));
    let info = simulation.info(SHOP);
    assert_eq!(simulation.submit_refused(info).reason, Reason::Stale);
}

#[test]
fn submit_full_queue_evicts_largest() {
    let mut simulation = TrafficSimulation::new(1);
    simulation.fill_groups();
    for _ in 0..16 {
        let info = simulation.info(SHOP);
        assert!(matches!(simulation.submit(info), Decision::Wait(_)));
    }
    let info = simulation.info(RIVAL);
    assert!(matches!(simulation.submit(info), Decision::Wait(_)));
    let ready = simulation.poll();
    let [(_, Decision::Refuse(refusal))] = ready.as_slice() else {
        panic!("{ready:?}");
    };
    assert_eq!(refusal.reason, Reason::QueueFull);
    assert!(refusal.retry_after.is_some());
    let info = simulation.info(SHOP);
    assert_eq!(simulation.submit_refused(info).reason, Reason::QueueFull);
}

#[test]
fn submit_expected_wait_too_long() {
    let mut simulation = TrafficSimulation::new(1);
    let running = simulation.fill_groups();
    simulation.advance(4_000);
    let last = running[0];
    simulation.report(last.attempt, AttemptEvent::Finished { tokens: 100 });
    simulation.fill_groups();
    let info = simulation.info(SHOP);
    assert!(matches!(simulation.submit(info), Decision::Wait(_)));
    let info = simulation.info(SHOP);
    let soon = simulation.now + Duration::from_millis(3_500);
    let refusal = simulation.submit_refused(info.deadline(soon));
    assert_eq!(refusal.reason, Reason::Overloaded);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn poll_deadline_near() {
    let mut simulation = TrafficSimulation::new(1);
    simulation.fill_groups();
    let info = simulation.info(SHOP);
    let soon = simulation.now + Duration::from_millis(100);
    let Decision::Wait(until) = simulation.submit(info.deadline(soon)) else {
        panic!("all groups are full");
    };
    assert!(until <= soon);
    assert_eq!(simulation.traffic.next_wakeup(), Some(until));
    simulation.now = until;
    let ready = simulation.poll();
    assert!(matches!(ready.as_slice(), [(_, Decision::Refuse(refusal))]
        if refusal.outcome == Outcome::NotRun && refusal.reason == Reason::DeadlinePassed));
}

#[test]
fn poll_interactive_first() {
    let mut simulation = TrafficSimulation::new(1);
    let running = simulation.fill_groups();
    let batch = simulation.info(SHOP).class(Class::Batch);
    simulation.submit(batch);
    let interactive = simulation.info(SHOP);
    let id = interactive.id;
    simulation.submit(interactive);
    simulation.report(running[0].attempt, AttemptEvent::Finished { tokens: 1 });
    let ready = simulation.poll();
    assert!(matches!(ready.as_slice(), [(first, Decision::Dispatch(_))] if *first == id));
}

#[test]
fn cancel_waiting_request() {
    let mut simulation = TrafficSimulation::new(1);
    let running = simulation.fill_groups();
    let info = simulation.info(SHOP);
    let id = info.id;
    simulation.submit(info);
    assert!(simulation.traffic.cancel_waiting(id));
    assert!(!simulation.traffic.cancel_waiting(id));
    simulation.report(running[0].attempt, AttemptEvent::Finished { tokens: 1 });
    assert!(simulation.poll().is_empty());
}

#[test]
fn drain_under_load() {
    let mut simulation = TrafficSimulation::new(1);
    let running = simulation.fill_groups();
    let info = simulation.info(SHOP);
    simulation.submit(info);
    simulation
        .traffic
        .begin_drain(simulation.now, Duration::from_secs(1));
    assert_eq!(
        simulation.traffic.drain_state(simulation.now),
        DrainState::Leaving
    );
    let info = simulation.info(SHOP);
    assert!(
        matches!(simulation.submit(info), Decision::Wait(_)),
        "still accepted"
    );
    simulation.advance(1_000);
    let info = simulation.info(SHOP);
    assert_eq!(simulation.submit_refused(info).reason, Reason::ShuttingDown);
    let mut open: Vec<_> = running.iter().map(|it| it.attempt).collect();
    while let Some(attempt) = open.pop() {
        assert_eq!(
            simulation.traffic.drain_state(simulation.now),
            DrainState::Draining
        );
        simulation.report(attempt, AttemptEvent::Finished { tokens: 1 });
        for (_, decision) in simulation.poll() {
            match decision {
                Decision::Dispatch(dispatch) => open.push(dispatch.attempt),
                other => panic!("accepted request not dispatched: {other:?}"),
            }
        }
    }
    assert_eq!(
        simulation.traffic.drain_state(simulation.now),
        DrainState::Drained
    );
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(0x5eed_fa1e),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// The shares of all nodes add up to the limit.
    #[test]
    fn share_sum(nodes in 1_u32..400, limit in 0_u32..5_000) {
        let shares = (0..nodes).map(|place| Share { nodes, place });
        prop_assert_eq!(shares.clone().map(|it| it.count(limit)).sum::<u32>(), limit);
        let rate: f64 = shares.map(|it| it.rate(f64::from(limit))).sum();
        prop_assert!(rate <= f64::from(limit) + 1e-6);
    }

    /// A rate limit admits at most its rate over the period, its burst and one request.
    #[test]
    fn rate_limit_bound(costs in prop::collection::vec((0_u64..300, 1.0_f64..40.0), 1..200)) {
        let mut limit = RateLimit::new(Moment::ZERO, 20.0);
        let (mut now, mut admitted) = (Moment::ZERO, 0.0);
        for (millis, cost) in costs {
            now = now + Duration::from_millis(millis);
            if limit.take(now, cost).is_ok() {
                admitted += cost;
            }
        }
        let bound = 20.0 * (now.since(Moment::ZERO).as_secs_f64() + 1.0) + 40.0;
        prop_assert!(admitted <= bound, "{} of {}", admitted, bound);
    }

    /// Organisations with waiting requests get turns by weight, in any order of arrival.
    #[test]
    fn pop_by_weight(order in Just((0..400_usize).collect::<Vec<_>>()).prop_shuffle()) {
        let mut queue = FairQueue::default();
        let weights = [1, 3];
        for number in order {
            let organisation = OrganisationId(number as u64 % 2);
            let key = QueueKey::new(Class::Standard, organisation, Moment::from_millis(9));
            queue.push(key, weights[number % 2], 10.0, organisation);
        }
        let mut turns: BTreeMap<OrganisationId, u32> = BTreeMap::new();
        for _ in 0..200 {
            let queued = queue.pop().unwrap();
            *turns.entry(queued.item).or_default() += 1;
        }
        let light = turns[&OrganisationId(0)];
        prop_assert!((49..=51).contains(&light), "{} of 200 turns", light);
    }
}
