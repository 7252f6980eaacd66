//! The simulated environment of the tests: a site, its nodes and a load on them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

use async_std::task::{self, JoinHandle};
use serde_json::Value;
use tanagerhub_catalogue::VmId;
use tanagerhub_clock::Clock;
use tanagerhub_standins::{
    ADVISOR, CallResult, Caller, ChatRequest, Checker, EngineStandin, Event, NodeSet, Outcome,
    RequestId, SAMPLE_KEY, Site, SiteSettings, Started, Verdict, all_entries_served,
    sample_catalogue, wait_until,
};

use crate::load::Load;
use crate::version_watch::VersionWatch;

/// Timeout of one step of a test; far longer than any step takes, even on a host under load.
pub const STEP_TIMEOUT: Duration = Duration::from_mins(1);
/// Maximum number of tests that run at the same time.
const MAX_PARALLEL_TESTS: u32 = 6;
/// Number of nodes in each test.
pub const NODES: usize = 3;

static RUNNING_TESTS: Mutex<u32> = Mutex::new(0);
static TEST_ENDED: Condvar = Condvar::new();

/// Permits one test to run; their number is limited, so that each test gets enough CPU time.
struct TestPermit;

impl TestPermit {
    fn acquire() -> Self {
        let mut running = RUNNING_TESTS.lock().unwrap_or_else(PoisonError::into_inner);
        while *running >= MAX_PARALLEL_TESTS {
            running = TEST_ENDED
                .wait(running)
                .unwrap_or_else(PoisonError::into_inner);
        }
        *running += 1;
        Self
    }
}

impl Drop for TestPermit {
    fn drop(&mut self) {
        *RUNNING_TESTS.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        TEST_ENDED.notify_one();
    }
}

/// A site with its nodes.
pub struct Simulation {
    pub site: Site,
    pub nodes: NodeSet,
    name_count: AtomicU64,
    version_watch: VersionWatch,
}

/// Runs a test on a site whose catalogue is applied and whose groups serve.
pub fn run(test: impl AsyncFnOnce(&mut Simulation)) {
    run_empty(async |simulation| {
        simulation.apply().await;
        simulation.wait_all_serving().await;
        test(simulation).await;
    });
}

/// Runs a test on a site without a catalogue, whose nodes have discovered each other.
pub fn run_empty(test: impl AsyncFnOnce(&mut Simulation)) {
    run_fresh(async |simulation| {
        simulation.wait_all_nodes_discovered().await;
        test(simulation).await;
    });
}

/// Runs a test on a site whose nodes have just started.
pub fn run_fresh(test: impl AsyncFnOnce(&mut Simulation)) {
    let _permit = TestPermit::acquire();
    let _ = env_logger::builder().is_test(true).try_init();
    task::block_on(async {
        let mut simulation = Simulation::start().await;
        test(&mut simulation).await;
        simulation.finish().await;
    });
}

impl Simulation {
    async fn start() -> Self {
        let site = SiteSettings::default().start(Clock::real()).await.unwrap();
        let nodes = NodeSet::start(&site, NODES).await.unwrap();
        let version_watch = VersionWatch::start(nodes.operators(), site.clock.clone());
        Self {
            site,
            nodes,
            name_count: AtomicU64::new(0),
            version_watch,
        }
    }

    /// Applies the sample catalogue, and retries until it is in force.
    pub async fn apply(&self) {
        let operator = self.nodes.operator(0);
        self.until("the catalogue is in force", async || {
            match operator.apply(&sample_catalogue()).await {
                Ok(change) => change.in_force,
                Err(_) => false,
            }
        })
        .await;
    }

    /// Waits until every node has discovered all others, as in a deployment that has run for a
    /// while.
    async fn wait_all_nodes_discovered(&self) {
        let operators = self.nodes.operators();
        self.until("every node has discovered all others", async || {
            for operator in &operators {
                match operator.status().await {
                    Ok(status) if fresh_nodes(&status) == NODES => {}
                    _ => return false,
                }
            }
            true
        })
        .await;
    }

    /// Waits until every node reports at least `replicas_min` serving replicas of each entry.
    pub async fn wait_all_serving(&self) {
        let operators = self.nodes.operators();
        self.until("every entry has its replicas at every node", async || {
            for operator in &operators {
                match operator.status().await {
                    Ok(status) if all_entries_served(&status) => {}
                    _ => return false,
                }
            }
            true
        })
        .await;
    }

    /// Waits until a condition holds; panics with the nodes' states after [`STEP_TIMEOUT`].
    pub async fn until(&self, condition: &str, holds: impl AsyncFn() -> bool) {
        let result = wait_until(&self.site.clock, condition, STEP_TIMEOUT, holds).await;
        if let Err(error) = result {
            panic!(
                "{error}; the nodes' states: {:#}",
                self.debug_states().await
            );
        }
    }

    async fn debug_states(&self) -> Value {
        let mut states = Vec::new();
        for operator in self.nodes.operators() {
            states.push(operator.get("/debug/state").await.unwrap_or_default());
        }
        Value::Array(states)
    }

    /// Returns a name that no other request of this test has.
    pub fn name(&self, kind: &str) -> String {
        format!("{kind}-{}", self.name_count.fetch_add(1, Ordering::Relaxed))
    }

    pub fn chat_request(&self, tokens: u32) -> ChatRequest {
        ChatRequest::new(self.name("q"), ADVISOR).tokens(tokens)
    }

    pub fn caller(&self, node: usize) -> Caller {
        self.nodes.caller(node, SAMPLE_KEY)
    }

    /// Starts a stream, and waits until an engine runs it.
    pub async fn start_stream(
        &self,
        node: usize,
        tokens: u32,
    ) -> (RequestId, JoinHandle<CallResult>) {
        let chat_request = self.chat_request(tokens);
        let request_id = chat_request.request_id.clone();
        let caller = self.caller(node);
        let stream = task::spawn(async move { caller.stream(&chat_request).await.unwrap() });
        self.until("the stream runs", async || {
            !self.starts(&request_id).is_empty()
        })
        .await;
        (request_id, stream)
    }

    /// Returns the starts of a request on engines, in order.
    pub fn starts(&self, request_id: &RequestId) -> Vec<Started> {
        let log = self.site.recorder.log();
        let started = log
            .records
            .into_iter()
            .filter_map(|record| match record.event {
                Event::Started(started) if started.request_id == *request_id => Some(started),
                _ => None,
            });
        started.collect()
    }

    /// Returns the engines, by rank, of the group whose head is this VM.
    pub fn group_engines(&self, head: VmId) -> Vec<&EngineStandin> {
        let members = self.site.fabric.members(head);
        members
            .into_iter()
            .filter_map(|vm| self.site.engine(vm))
            .collect()
    }

    /// Returns how often a booking ran.
    pub fn runs(&self, id: &str) -> u32 {
        let request_id = RequestId(id.to_owned());
        let services = self.site.services.iter();
        let bookings = services.map(|service| service.standin.bookings());
        bookings
            .filter_map(|bookings| bookings.get(&request_id).copied())
            .sum()
    }

    /// Sends a few requests to each node, and expects complete responses.
    ///
    /// A request that is refused as "not run" is retried, as a caller would do.
    pub async fn wait_all_nodes_respond(&self) {
        for node in 0..self.nodes.len() {
            for _ in 0..3 {
                self.wait_node_responds(node).await;
            }
        }
    }

    async fn wait_node_responds(&self, node: usize) {
        let caller = self.caller(node);
        self.until("the node responds", async || {
            let result = caller.chat(&self.chat_request(4)).await.unwrap();
            if result.verdict == Verdict::Refused(Outcome::NotRun) {
                println!("node {node} refused: {}", result.text);
                return false;
            }
            assert!(result.is_complete(), "node {node}: {result:?}");
            true
        })
        .await;
    }

    /// Starts a steady load on all nodes that are ready, from `lanes` callers.
    pub fn load(&self, lanes: usize) -> Load {
        Load::start(self, lanes)
    }

    async fn finish(mut self) {
        self.version_watch.stop().await;
        self.nodes.kill_all().await;
        let log = self.site.recorder.log();
        assert_eq!(Checker::default().check(&log), []);
        self.site.stop().await;
    }
}

/// Returns the number of nodes that a node reports as fresh, which are those that accept requests.
fn fresh_nodes(status: &Value) -> usize {
    let nodes = status["nodes"].as_array().into_iter().flatten();
    nodes.filter(|node| node["fresh"] == true).count()
}
