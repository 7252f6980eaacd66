//! Claims under random orders of events: no key runs twice, and every request gets a response.

#[path = "support/parts.rs"]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::claim_simulation::ClaimSimulation;
use support::fake_table::Fault;
use tanagerhub_catalogue::RequestId;
use tanagerhub_traffic::{ClaimResponse, Outcome};

const NODES: usize = 3;
const CLOCK_STEP: Duration = Duration::from_millis(700);
const KEYS: [&str; 3] = ["return-1", "return-2", "return-3"];

#[derive(Debug, Clone, Copy)]
enum Event {
    Claim { node: usize, key: usize },
    Step { node: usize },
    End { index: usize, ran: bool },
    SetFault(Fault),
    Advance,
    DeliverDelayed,
    ResolvePending,
    Restart { node: usize },
}

fn event() -> impl Strategy<Value = Event> {
    let node = 0..NODES;
    let fault = prop_oneof![
        Just(Fault::None),
        Just(Fault::Refused),
        Just(Fault::ResponseLost),
        Just(Fault::ResponseLostOnce),
        Just(Fault::RequestLostOnce),
        Just(Fault::DelayedOnce),
        Just(Fault::NoResponse),
    ];
    prop_oneof![
        4 => (node.clone(), 0..KEYS.len()).prop_map(|(node, key)| Event::Claim { node, key }),
        8 => node.clone().prop_map(|node| Event::Step { node }),
        3 => (any::<prop::sample::Index>(), any::<bool>())
            .prop_map(|(index, ran)| Event::End { index: index.index(64), ran }),
        2 => fault.prop_map(Event::SetFault),
        2 => Just(Event::Advance),
        1 => Just(Event::DeliverDelayed),
        1 => Just(Event::ResolvePending),
        1 => node.prop_map(|node| Event::Restart { node }),
    ]
}

/// A simulation with a record of the claimed keys and of the requests that may have run.
#[derive(Debug)]
struct Trial {
    simulation: ClaimSimulation,
    requests: BTreeMap<RequestId, (usize, usize)>,
    /// Granted requests that have not ended, with their node.
    running: BTreeMap<RequestId, usize>,
    /// Granted requests that ran or may have run, by key.
    ran: BTreeMap<usize, BTreeSet<RequestId>>,
    checked: BTreeSet<RequestId>,
    abandoned: BTreeSet<RequestId>,
}

impl Trial {
    fn new() -> Self {
        Self {
            simulation: ClaimSimulation::new(NODES as u64),
            requests: BTreeMap::new(),
            running: BTreeMap::new(),
            ran: BTreeMap::new(),
            checked: BTreeSet::new(),
            abandoned: BTreeSet::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Claim { node, key } => {
                let request = self.simulation.submit_claim(node, KEYS[key], 7, false);
                self.requests.insert(request, (node, key));
            }
            Event::Step { node } => {
                self.simulation.step(node);
            }
            Event::End { index, ran } => self.end(index, ran),
            Event::SetFault(fault) => self.simulation.table.fault = fault,
            Event::Advance => self.simulation.advance_clock(CLOCK_STEP),
            Event::DeliverDelayed => {
                if let Some(transaction) = self.simulation.table.delayed.pop() {
                    self.simulation.table.apply(&transaction);
                }
            }
            Event::ResolvePending => self.simulation.resolve_pending_only(),
            Event::Restart { node } => self.restart_node(node),
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
            let (_, key) = self.requests[&request];
            self.ran.entry(key).or_default().remove(&request);
        }
        self.simulation.finish_only(node, request, outcome);
    }

    /// Restarts a node; the requests that held its claims may have run.
    fn restart_node(&mut self, node: usize) {
        self.simulation.restart_node(node);
        self.running.retain(|_, holder| *holder != node);
        for (request, (owner, _)) in &self.requests {
            if *owner == node && self.simulation.response(*request).is_none() {
                self.abandoned.insert(*request);
            }
        }
    }

    fn check(&mut self) {
        for (request, response) in &self.simulation.responses {
            if !self.checked.insert(*request) || *response != ClaimResponse::Granted {
                continue;
            }
            let (node, key) = self.requests[request];
            self.running.insert(*request, node);
            let ran = self.ran.entry(key).or_default();
            ran.insert(*request);
            assert!(ran.len() <= 1, "{} may run twice: {ran:?}", KEYS[key]);
        }
    }

    /// Ends all faults, and checks that every request gets a response, except those that waited
    /// when their node restarted.
    fn recover(&mut self) {
        self.simulation.table.fault = Fault::None;
        for _ in 0..12 {
            self.simulation.resolve_pending_only();
            self.simulation.advance(1_000);
            self.check();
        }
        for request in self.requests.keys() {
            let responded = self.simulation.response(*request).is_some();
            assert!(
                responded || self.abandoned.contains(request),
                "{request} has no response"
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
        trial.recover();
    }
}
