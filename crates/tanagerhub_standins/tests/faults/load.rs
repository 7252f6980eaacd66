//! A steady load on the nodes of a test.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::task::{self, JoinHandle};
use tanagerhub_clock::Clock;
use tanagerhub_standins::{
    ADVISOR, CallResult, Caller, ChatRequest, Operator, Outcome, SHOP_API, Verdict,
};

use crate::harness::Simulation;

/// A steady load, until it is stopped.
pub struct Load {
    lanes: Vec<JoinHandle<Tally>>,
    stop: Arc<AtomicBool>,
}

impl Load {
    pub(super) fn start(simulation: &Simulation, lanes: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let nodes: Vec<_> = (0..simulation.nodes.len())
            .map(|node| (simulation.caller(node), simulation.nodes.operator(node)))
            .collect();
        let lanes = (0..lanes).map(|_| {
            let lane = Lane {
                nodes: nodes.clone(),
                name: simulation.name("lane"),
                stop: Arc::clone(&stop),
                clock: simulation.site.clock.clone(),
            };
            task::spawn(lane.run())
        });
        Self {
            lanes: lanes.collect(),
            stop,
        }
    }

    /// Waits until the requests in flight have ended, and returns the counts.
    pub async fn stop(self) -> Tally {
        self.stop.store(true, Ordering::Relaxed);
        let mut tally = Tally::default();
        for lane in self.lanes {
            tally.add(&lane.await);
        }
        println!("load: {tally:?}");
        tally
    }
}

/// The number of requests of a load, by result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tally {
    pub complete: u32,
    pub not_run: u32,
    pub refused: u32,
    pub truncated: u32,
    pub lost: u32,
}

impl Tally {
    fn count(&mut self, verdict: &Verdict) {
        match verdict {
            Verdict::Complete => self.complete += 1,
            Verdict::Refused(Outcome::NotRun) => self.not_run += 1,
            Verdict::Refused(_) => self.refused += 1,
            Verdict::Truncated | Verdict::Wrong => self.truncated += 1,
            Verdict::Lost => self.lost += 1,
        }
    }

    const fn add(&mut self, other: &Self) {
        self.complete += other.complete;
        self.not_run += other.not_run;
        self.refused += other.refused;
        self.truncated += other.truncated;
        self.lost += other.lost;
    }
}

/// One caller that sends its requests one after the other.
struct Lane {
    nodes: Vec<(Caller, Operator)>,
    name: String,
    stop: Arc<AtomicBool>,
    clock: Clock,
}

impl Lane {
    /// Time between a response and the next request.
    const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

    async fn run(self) -> Tally {
        let mut tally = Tally::default();
        let mut number = 0;
        while !self.stop.load(Ordering::Relaxed) {
            number += 1;
            let (caller, operator) = &self.nodes[number % self.nodes.len()];
            if operator.is_ready().await
                && let Some(result) = self.call(caller, number).await
            {
                tally.count(&result.verdict);
            }
            self.clock.sleep(Self::REQUEST_INTERVAL).await;
        }
        tally
    }

    /// Sends one request; returns `None`, which is not counted, when the node can't be reached.
    async fn call(&self, caller: &Caller, number: usize) -> Option<CallResult> {
        let name = format!("{}-{number}", self.name);
        let chat_request = ChatRequest::new(name.clone(), ADVISOR);
        let result = match number % 4 {
            0 => caller.book(SHOP_API, &name, Some(&name)).await,
            1 => caller.items(SHOP_API, &name).await,
            2 => caller.chat(&chat_request).await,
            _ => caller.stream(&chat_request).await,
        };
        result.ok()
    }
}
