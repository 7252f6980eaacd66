//! Claims under random orders of events: no key runs twice, and every request is answered.

#[path = "support/parts.rs"]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::claim_world::ClaimWorld;
use support::fake_table::Fault;
use tanagerhub_catalogue::RequestId;
use tanagerhub_traffic::{ClaimAnswer, Outcome};

const NODES: usize = 3;
const STEP: Duration = Duration::from_millis(700);
const KEYS: [&str; 3] = ["return-1", "return-2", "return-3"];

#[derive(Debug, Clone, Copy)]
enum Event {
    Ask { node: usize, key: usize },
    Step { node: usize },
    End { index: usize, ran: bool },
    Break(Fault),
    Advance,
    DeliverLate,
    AnswerSilent,
    Replace { node: usize },
}

fn event() -> impl Strategy<Value = Event> {
    let node = 0..NODES;
    let fault = prop_oneof![
        Just(Fault::None),
        Just(Fault::Refused),
        Just(Fault::LostAnswer),
        Just(Fault::LostAnswerOnce),
        Just(Fault::LostRequestOnce),
        Just(Fault::DelayedOnce),
        Just(Fault::Silent),
    ];
    prop_oneof![
        4 => (node.clone(), 0..KEYS.len()).prop_map(|(node, key)| Event::Ask { node, key }),
        8 => node.clone().prop_map(|node| Event::Step { node }),
        3 => (any::<prop::sample::Index>(), any::<bool>())
            .prop_map(|(index, ran)| Event::End { index: index.index(64), ran }),
        2 => fault.prop_map(Event::Break),
        2 => Just(Event::Advance),
        1 => Just(Event::DeliverLate),
        1 => Just(Event::AnswerSilent),
        1 => node.prop_map(|node| Event::Replace { node }),
    ]
}

/// The world, with what each request asked for and which may have run.
#[derive(Debug)]
struct Trial {
    world: ClaimWorld,
    asked: BTreeMap<RequestId, (usize, usize)>,
    /// Granted requests that have not ended.
    running: BTreeMap<RequestId, usize>,
    /// Granted requests that ran, or may have, by key.
    ran: BTreeMap<usize, BTreeSet<RequestId>>,
    seen: BTreeSet<RequestId>,
    lost: BTreeSet<RequestId>,
}

impl Trial {
    fn new() -> Self {
        Self {
            world: ClaimWorld::new(NODES as u64),
            asked: BTreeMap::new(),
            running: BTreeMap::new(),
            ran: BTreeMap::new(),
            seen: BTreeSet::new(),
            lost: BTreeSet::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Ask { node, key } => {
                let request = self.world.ask(node, KEYS[key], 7, false);
                self.asked.insert(request, (node, key));
            }
            Event::Step { node } => {
                self.world.step(node);
            }
            Event::End { index, ran } => self.end(index, ran),
            Event::Break(fault) => self.world.table.fault = fault,
            Event::Advance => self.world.pass(STEP),
            Event::DeliverLate => {
                if let Some(transaction) = self.world.table.delayed.pop() {
                    self.world.table.apply(&transaction);
                }
            }
            Event::AnswerSilent => self.world.answer_silent_only(),
            Event::Replace { node } => self.replace(node),
        }
        self.check();
    }

    fn end(&mut self, index: usize, ran: bool) {
        let count = self.running.len().max(1);
        let chosen = self.running.iter().nth(index % count);
        let Some((request, node)) = chosen.map(|(request, node)| (*request, *node)) else {
            return;
        };
        self.running.remove(&request);
        let outcome = if ran { Outcome::Ran } else { Outcome::NotRun };
        if !ran {
            let (_, key) = self.asked[&request];
            self.ran.entry(key).or_default().remove(&request);
        }
        self.world.finish_only(node, request, outcome);
    }

    /// Replaces a node; what it held may have run.
    fn replace(&mut self, node: usize) {
        self.world.replace(node);
        self.running.retain(|_, holder| *holder != node);
        for (request, (asker, _)) in &self.asked {
            if *asker == node && self.world.answer(*request).is_none() {
                self.lost.insert(*request);
            }
        }
    }

    fn check(&mut self) {
        for (request, answer) in &self.world.answers {
            if !self.seen.insert(*request) || *answer != ClaimAnswer::Granted {
                continue;
            }
            let (node, key) = self.asked[request];
            self.running.insert(*request, node);
            let ran = self.ran.entry(key).or_default();
            ran.insert(*request);
            assert!(ran.len() <= 1, "{} may run twice: {ran:?}", KEYS[key]);
        }
    }

    /// Heals everything; every request of a living node is then answered.
    fn heal(&mut self) {
        self.world.table.fault = Fault::None;
        for _ in 0..12 {
            self.world.answer_silent_only();
            self.world.advance(1_000);
            self.check();
        }
        for request in self.asked.keys() {
            let answered = self.world.answer(*request).is_some();
            assert!(
                answered || self.lost.contains(request),
                "{request} has no answer"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(0x5eed_c1a1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn claims_random_events(events in prop::collection::vec(event(), 1..120)) {
        let mut trial = Trial::new();
        for event in events {
            trial.apply(event);
        }
        trial.heal();
    }
}
