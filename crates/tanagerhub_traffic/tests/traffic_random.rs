//! Traffic under random orders of events keeps its promises at every step.

#[path = "support/parts.rs"]
mod support;

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::traffic_world::{RIVAL, SHOP, TrafficWorld};
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
    Show {
        group: usize,
        state: GroupState,
    },
    Fresh(bool),
    Pass(u64),
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
        Just(AttemptEvent::Answered),
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
        2 => (0..GROUPS, state).prop_map(|(group, state)| Event::Show { group, state }),
        1 => prop::bool::weighted(0.8).prop_map(Event::Fresh),
        2 => (0_u64..3_000).prop_map(Event::Pass),
    ]
}

#[derive(Debug)]
struct Held {
    repeat: Repeat,
    /// Whether a byte of it may have run somewhere.
    touched: bool,
    attempts: Vec<Dispatch>,
}

#[derive(Debug)]
struct Trial {
    world: TrafficWorld,
    fresh: bool,
    held: BTreeMap<RequestId, Held>,
    /// Attempts whose first byte has come.
    answered: BTreeSet<AttemptKey>,
    /// Attempts that have given a token.
    produced: BTreeSet<AttemptKey>,
}

impl Trial {
    fn new() -> Self {
        Self {
            world: TrafficWorld::new(GROUPS as u64),
            fresh: true,
            held: BTreeMap::new(),
            answered: BTreeSet::new(),
            produced: BTreeSet::new(),
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
            Event::Show { group, state } => self.show(group, state),
            Event::Fresh(fresh) => {
                self.fresh = fresh;
                self.world.fresh(fresh);
            }
            Event::Pass(millis) => self.world.pass(millis),
        }
        for (request, decision) in self.world.poll() {
            self.decided(request, &decision);
        }
        self.check_cold();
    }

    fn submit(&mut self, repeat: Repeat, rival: bool, body: u64) {
        let name = if rival { RIVAL } else { SHOP };
        let info = self.world.info(name).repeat(repeat).fingerprint(body);
        // Short enough to be hedged.
        let info = info.tokens(16, 50);
        let id = info.id;
        let held = Held {
            repeat,
            touched: false,
            attempts: Vec::new(),
        };
        self.held.insert(id, held);
        let decision = self.world.submit(info);
        self.decided(id, &decision);
    }

    fn report(&mut self, index: usize, event: AttemptEvent) {
        let attempts: Vec<AttemptKey> = self
            .held
            .values()
            .flat_map(|held| held.attempts.iter().map(|it| it.attempt))
            .collect();
        if attempts.is_empty() {
            return;
        }
        let attempt = attempts[index % attempts.len()];
        let request = self.holder(attempt);
        let next = self.world.report(attempt, event);
        let held = self.held.get_mut(&request).expect("the request is held");
        match event {
            AttemptEvent::Cold => {}
            AttemptEvent::FirstByte => {
                self.answered.insert(attempt);
            }
            AttemptEvent::Token(_) => {
                self.answered.insert(attempt);
                self.produced.insert(attempt);
            }
            AttemptEvent::ConnectFailed => held.touched |= self.answered.contains(&attempt),
            AttemptEvent::RefusedNotRun => held.touched |= self.produced.contains(&attempt),
            _ => held.touched = true,
        }
        let ends = !matches!(
            event,
            AttemptEvent::Cold | AttemptEvent::FirstByte | AttemptEvent::Token(_)
        );
        // A retry after a token moves a stream that was slow.
        let moved = !ends && matches!(next, Next::Retry(_));
        held.touched |= moved;
        if ends || moved {
            held.attempts.retain(|it| it.attempt != attempt);
        }
        self.next(request, &next, event);
    }

    fn holder(&self, attempt: AttemptKey) -> RequestId {
        let holds = |held: &Held| held.attempts.iter().any(|it| it.attempt == attempt);
        *self
            .held
            .iter()
            .find(|(_, held)| holds(held))
            .expect("held")
            .0
    }

    fn next(&mut self, request: RequestId, next: &Next, event: AttemptEvent) {
        let whole = matches!(
            event,
            AttemptEvent::Finished { .. } | AttemptEvent::Answered | AttemptEvent::CallerLeft
        );
        match next {
            Next::Retry(dispatch) => self.sent(request, *dispatch),
            Next::Fail(refusal) => self.refused(request, *refusal),
            Next::CancelOther(other) => {
                let held = self.held.get_mut(&request).expect("the request is held");
                held.attempts.retain(|it| it.attempt != *other);
                held.touched = true;
            }
            Next::Continue | Next::Done | Next::Wait(_) => {}
        }
        if whole {
            let held = self.held.remove(&request).expect("a request ends once");
            assert!(held.attempts.is_empty(), "an attempt outlives its request");
        }
    }

    fn decided(&mut self, request: RequestId, decision: &Decision) {
        match decision {
            Decision::Dispatch(dispatch) => self.sent(request, *dispatch),
            Decision::Refuse(refusal) => self.refused(request, *refusal),
            Decision::Wait(until) => assert!(*until >= self.world.now),
        }
    }

    fn sent(&mut self, request: RequestId, dispatch: Dispatch) {
        assert!(self.fresh, "sent with a stale view");
        let route = self
            .world
            .table
            .routes
            .iter()
            .find(|it| it.group == dispatch.group);
        assert!(
            route.is_some_and(Route::takes_work),
            "sent to a group that is out"
        );
        let held = self.held.get_mut(&request).expect("sent after its end");
        let once = held.repeat == Repeat::Never;
        assert!(!once || !held.touched, "sent again though it may have run");
        assert!(!once || held.attempts.is_empty(), "sent twice at once");
        assert!(!once || dispatch.fresh_connection);
        held.attempts.push(dispatch);
        assert!(held.attempts.len() <= 2);
    }

    fn refused(&mut self, request: RequestId, refusal: Refusal) {
        let held = self.held.remove(&request).expect("refused after its end");
        assert!(held.attempts.is_empty(), "refused while it runs");
        let not_run = refusal.outcome == Outcome::NotRun;
        assert_eq!(not_run, !held.touched, "{refusal:?}");
    }

    fn show(&mut self, group: usize, state: GroupState) {
        let route = &mut self.world.table.routes[group];
        route.eligible = !matches!(state, GroupState::Broken);
        route.draining = matches!(state, GroupState::Draining);
        route.cold = match state {
            GroupState::Cold(slots) => Some(slots),
            _ => None,
        };
        let group = route.group;
        self.world.publish();
        self.cold_at_start(group);
    }

    /// Ends what ran in a group before it was shown cold, so that its slots can be checked.
    fn cold_at_start(&mut self, group: GroupId) {
        let running: Vec<AttemptKey> = self
            .held
            .values()
            .flat_map(|held| &held.attempts)
            .filter(|it| it.group == group)
            .map(|it| it.attempt)
            .collect();
        for attempt in running {
            let holds = |held: &Held| held.attempts.iter().any(|it| it.attempt == attempt);
            if let Some(request) = self.held.iter().find(|it| holds(it.1)).map(|it| *it.0) {
                let left = AttemptEvent::CallerLeft;
                let next = self.world.report(attempt, left);
                let held = self.held.get_mut(&request).expect("the request is held");
                held.attempts.retain(|it| it.attempt != attempt);
                self.next(request, &next, left);
            }
        }
    }

    fn check_cold(&self) {
        for route in &self.world.table.routes {
            let attempts = self.held.values().flat_map(|held| held.attempts.iter());
            let running = attempts.filter(|it| it.group == route.group).count();
            let slots = route.cold.map_or(usize::MAX, |slots| slots as usize);
            assert!(running <= slots, "{running} requests in {slots} cold slots");
        }
    }

    /// Ends everything; nothing may be left over.
    fn end(&mut self) {
        while let Some((request, held)) = self.held.iter().next() {
            let request = *request;
            let Some(attempt) = held.attempts.first().map(|it| it.attempt) else {
                assert!(self.world.traffic.leave(request), "{request} is nowhere");
                self.held.remove(&request);
                continue;
            };
            let held = self.held.get_mut(&request).expect("held");
            held.attempts.retain(|it| it.attempt != attempt);
            let left = AttemptEvent::CallerLeft;
            let next = self.world.report(attempt, left);
            self.next(request, &next, left);
        }
        let status = self.world.traffic.status(self.world.now);
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
        let mut trial = Trial::new();
        for event in events {
            trial.apply(event);
        }
        trial.end();
    }
}
