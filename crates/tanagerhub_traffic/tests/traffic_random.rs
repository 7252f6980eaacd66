//! Checks the invariants of traffic at every step of random sequences of events.

#[path = "support/parts.rs"]
mod support;

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::traffic_simulation::{RIVAL, SHOP, TrafficSimulation};
use tanagerhub_catalogue::{GroupId, RequestId};
use tanagerhub_traffic::{
    AttemptEvent, AttemptKey, Decision, Dispatch, Next, Outcome, Refusal, Repeat, Route,
};

const GROUPS: usize = 4;

#[derive(Debug, Clone, Copy)]
enum Event {
    Submit {
        repeat: Repeat,
        rival: bool,
        body: u64,
    },
    Report {
        index: usize,
        event: AttemptEvent,
    },
    SetState {
        group: usize,
        state: GroupState,
    },
    Fresh(bool),
    Advance(u64),
}

#[derive(Debug, Clone, Copy)]
enum GroupState {
    Warm,
    Cold(u32),
    Draining,
    Broken,
}

fn event() -> impl Strategy<Value = Event> {
    let repeat = prop_oneof![
        Just(Repeat::Never),
        Just(Repeat::Whole),
        Just(Repeat::Resume)
    ];
    let report = prop_oneof![
        Just(AttemptEvent::ConnectFailed),
        Just(AttemptEvent::RefusedNotRun),
        Just(AttemptEvent::Cold),
        Just(AttemptEvent::FirstByte),
        (1_u32..50).prop_map(AttemptEvent::Token),
        Just(AttemptEvent::Broke),
        Just(AttemptEvent::TimedOut),
        Just(AttemptEvent::Finished { tokens: 50 }),
        Just(AttemptEvent::Responded),
        Just(AttemptEvent::CallerLeft),
    ];
    let state = prop_oneof![
        Just(GroupState::Warm),
        (0_u32..3).prop_map(GroupState::Cold),
        Just(GroupState::Draining),
        Just(GroupState::Broken),
    ];
    prop_oneof![
        6 => (repeat, any::<bool>(), 0_u64..30)
            .prop_map(|(repeat, rival, body)| Event::Submit { repeat, rival, body }),
        10 => (0_usize..64, report).prop_map(|(index, event)| Event::Report { index, event }),
        2 => (0..GROUPS, state).prop_map(|(group, state)| Event::SetState { group, state }),
        1 => prop::bool::weighted(0.8).prop_map(Event::Fresh),
        2 => (0_u64..3_000).prop_map(Event::Advance),
    ]
}

#[derive(Debug)]
struct OpenRequest {
    repeat: Repeat,
    /// Whether a part of the request may have run.
    may_have_run: bool,
    attempts: Vec<Dispatch>,
}

#[derive(Debug)]
struct Harness {
    simulation: TrafficSimulation,
    fresh: bool,
    open: BTreeMap<RequestId, OpenRequest>,
    /// Attempts whose first byte was reported.
    responded: BTreeSet<AttemptKey>,
    /// Attempts with a reported token.
    sent_token: BTreeSet<AttemptKey>,
}

impl Harness {
    fn new() -> Self {
        Self {
            simulation: TrafficSimulation::new(GROUPS as u64),
            fresh: true,
            open: BTreeMap::new(),
            responded: BTreeSet::new(),
            sent_token: BTreeSet::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Submit {
                repeat,
                rival,
                body,
            } => self.submit(repeat, rival, body),
            Event::Report { index, event } => self.report(index, event),
            Event::SetState { group, state } => self.set_state(group, state),
            Event::Fresh(fresh) => {
                self.fresh = fresh;
                self.simulation.set_fresh(fresh);
            }
            Event::Advance(millis) => self.simulation.advance(millis),
        }
        for (request, decision) in self.simulation.poll() {
            self.apply_decision(request, &decision);
        }
        self.check_cold_slots();
    }

    fn submit(&mut self, repeat: Repeat, rival: bool, body: u64) {
        let name = if rival { RIVAL } else { SHOP };
        let info = self.simulation.info(name).repeat(repeat).fingerprint(body);
        // 50 tokens are few enough for a hedge.
        let info = info.tokens(16, 50);
        let id = info.id;
        let open = OpenRequest {
            repeat,
            may_have_run: false,
            attempts: Vec::new(),
        };
        self.open.insert(id, open);
        let decision = self.simulation.submit(info);
        self.apply_decision(id, &decision);
    }

    fn report(&mut self, index: usize, event: AttemptEvent) {
        let attempts: Vec<AttemptKey> = self
            .open
            .values()
            .flat_map(|open| open.attempts.iter().map(|it| it.attempt))
            .collect();
        if attempts.is_empty() {
            return;
        }
        let attempt = attempts[index % attempts.len()];
        let request = self.request_of(attempt);
        let next = self.simulation.report(attempt, event);
        let open = self.open.get_mut(&request).expect("the request is open");
        match event {
            AttemptEvent::Cold => {}
            AttemptEvent::FirstByte => {
                self.responded.insert(attempt);
            }
            AttemptEvent::Token(_) => {
                self.responded.insert(attempt);
                self.sent_token.insert(attempt);
            }
            AttemptEvent::ConnectFailed => open.may_have_run |= self.responded.contains(&attempt),
            AttemptEvent::RefusedNotRun => open.may_have_run |= self.sent_token.contains(&attempt),
            _ => open.may_have_run = true,
        }
        let ends = !matches!(
            event,
            AttemptEvent::Cold | AttemptEvent::FirstByte | AttemptEvent::Token(_)
        );
        // A retry in response to a token moves a slow stream.
        let stream_moved = !ends && matches!(next, Next::Retry(_));
        open.may_have_run |= stream_moved;
        if ends || stream_moved {
            open.attempts.retain(|it| it.attempt != attempt);
        }
        self.next(request, &next, event);
    }

    fn request_of(&self, attempt: AttemptKey) -> RequestId {
        let holds = |open: &OpenRequest| open.attempts.iter().any(|it| it.attempt == attempt);
        *self
            .open
            .iter()
            .find(|(_, open)| holds(open))
            .expect("the request is open")
            .0
    }

    fn next(&mut self, request: RequestId, next: &Next, event: AttemptEvent) {
        let request_ended = matches!(
            event,
            AttemptEvent::Finished { .. } | AttemptEvent::Responded | AttemptEvent::CallerLeft
        );
        match next {
            Next::Retry(dispatch) => self.dispatched(request, *dispatch),
            Next::Fail(refusal) => self.refused(request, *refusal),
            Next::CancelOther(other) => {
                let open = self.open.get_mut(&request).expect("the request is open");
                open.attempts.retain(|it| it.attempt != *other);
                open.may_have_run = true;
            }
            Next::Continue | Next::Done | Next::Wait(_) => {}
        }
        if request_ended {
            let open = self.open.remove(&request).expect("a request ends once");
            assert!(open.attempts.is_empty(), "an attempt outlives its request");
        }
    }

    fn apply_decision(&mut self, request: RequestId, decision: &Decision) {
        match decision {
            Decision::Dispatch(dispatch) => self.dispatched(request, *dispatch),
            Decision::Refuse(refusal) => self.refused(request, *refusal),
            Decision::Wait(until) => assert!(*until >= self.simulation.now),
        }
    }

    fn dispatched(&mut self, request: RequestId, dispatch: Dispatch) {
        assert!(self.fresh, "sent with a stale view");
        let route = self
            .simulation
            .table
            .routes
            .iter()
            .find(|it| it.group == dispatch.group);
        assert!(
            route.is_some_and(Route::takes_work),
            "sent to a group that is not in service"
        );
        let open = self.open.get_mut(&request).expect("sent after its end");
        let once = open.repeat == Repeat::Never;
        assert!(
            !once || !open.may_have_run,
            "sent again though it may have run"
        );
        assert!(!once || open.attempts.is_empty(), "sent twice at once");
        assert!(!once || dispatch.fresh_connection);
        open.attempts.push(dispatch);
        assert!(open.attempts.len() <= 2);
    }

    fn refused(&mut self, request: RequestId, refusal: Refusal) {
        let open = self.open.remove(&request).expect("refused after its end");
        assert!(open.attempts.is_empty(), "refused while it runs");
        let not_run = refusal.outcome == Outcome::NotRun;
        assert_eq!(not_run, !open.may_have_run, "{refusal:?}");
    }

    fn set_state(&mut self, group: usize, state: GroupState) {
        let route = &mut self.simulation.table.routes[group];
        route.eligible = !matches!(state, GroupState::Broken);
        route.draining = matches!(state, GroupState::Draining);
        route.cold = match state {
            GroupState::Cold(slots) => Some(slots),
            _ => None,
        };
        let group = route.group;
        self.simulation.apply_routes();
        self.end_attempts_in(group);
    }

    /// Ends the attempts that ran in a group before its state changed, so that its cold slots can
    /// be checked.
    fn end_attempts_in(&mut self, group: GroupId) {
        let running: Vec<AttemptKey> = self
            .open
            .values()
            .flat_map(|open| &open.attempts)
            .filter(|it| it.group == group)
            .map(|it| it.attempt)
            .collect();
        for attempt in running {
            let holds = |open: &OpenRequest| open.attempts.iter().any(|it| it.attempt == attempt);
            if let Some(request) = self.open.iter().find(|it| holds(it.1)).map(|it| *it.0) {
                let left = AttemptEvent::CallerLeft;
                let next = self.simulation.report(attempt, left);
                let open = self.open.get_mut(&request).expect("the request is open");
                open.attempts.retain(|it| it.attempt != attempt);
                self.next(request, &next, left);
            }
        }
    }

    fn check_cold_slots(&self) {
        for route in &self.simulation.table.routes {
            let attempts = self.open.values().flat_map(|open| open.attempts.iter());
            let running = attempts.filter(|it| it.group == route.group).count();
            let slots = route.cold.map_or(usize::MAX, |slots| slots as usize);
            assert!(running <= slots, "{running} requests in {slots} cold slots");
        }
    }

    /// Ends all requests and checks that no count is left above zero.
    fn end(&mut self) {
        while let Some((request, open)) = self.open.iter().next() {
            let request = *request;
            let Some(attempt) = open.attempts.first().map(|it| it.attempt) else {
                assert!(
                    self.simulation.traffic.cancel_waiting(request),
                    "{request} neither waits nor runs"
                );
                self.open.remove(&request);
                continue;
            };
            let open = self.open.get_mut(&request).expect("the request is open");
            open.attempts.retain(|it| it.attempt != attempt);
            let left = AttemptEvent::CallerLeft;
            let next = self.simulation.report(attempt, left);
            self.next(request, &next, left);
        }
        let status = self.simulation.traffic.status(self.simulation.now);
        assert_eq!(status.open, 0);
        for group in status.groups {
            assert_eq!((group.in_flight, group.unanswered), (0, 0), "{group:?}");
        }
        for entry in status.entries {
            assert_eq!((entry.waiting, entry.running), (0, 0), "{entry:?}");
        }
        assert!(status.organisations.is_empty());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(0x5eed_7aff),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn traffic_random_events(events in prop::collection::vec(event(), 1..150)) {
        let mut harness = Harness::new();
        for event in events {
            harness.apply(event);
        }
        harness.end();
    }
}
