//! The simulated environment of the tests: a site, its nodes and a load on them.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use async_std::task::{self, JoinHandle};
use serde_json::Value;
use tanagerhub_catalogue::VmId;
use tanagerhub_clock::Clock;
use tanagerhub_standins::{
    ADVISOR, CallResult, Caller, ChatRequest, Checker, EngineStandin, Event, NodeSet, Operator,
    Outcome, RequestId, SAMPLE_KEY, SHOP_API, Site, SiteSettings, Started, Verdict,
    sample_catalogue, wait_until,
};

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
        let stop = Arc::new(AtomicBool::new(false));
        let nodes: Vec<_> = (0..self.nodes.len())
            .map(|node| (self.caller(node), self.nodes.operator(node)))
            .collect();
        let lanes = (0..lanes).map(|_| {
            let lane = Lane {
                nodes: nodes.clone(),
                name: self.name("lane"),
                stop: Arc::clone(&stop),
                clock: self.site.clock.clone(),
            };
            task::spawn(lane.run())
        });
        Load {
            lanes: lanes.collect(),
            stop,
        }
    }

    async fn finish(mut self) {
        self.version_watch.stop().await;
        self.nodes.kill_all().await;
        let log = self.site.recorder.log();
        assert_eq!(Checker::default().check(&log), []);
        self.site.stop().await;
    }
}

/// Records the versions in force at all ready nodes, repeatedly.
struct VersionWatch {
    task: JoinHandle<()>,
    stop: Arc<AtomicBool>,
}

impl VersionWatch {
    /// Time between two reads of the versions.
    const READ_INTERVAL: Duration = Duration::from_millis(250);

    fn start(operators: Vec<Operator>, clock: Clock) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let task = task::spawn(async move {
            while !stopped.load(Ordering::Relaxed) {
                for operator in &operators {
                    if operator.is_ready().await {
                        // A node that ends in the meantime returns no version.
                        drop(operator.record_version().await);
                    }
                }
                clock.sleep(Self::READ_INTERVAL).await;
            }
        });
        Self { task, stop }
    }

    async fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await;
    }
}

/// Returns the number of nodes that a node reports as fresh, which are those that accept requests.
fn fresh_nodes(status: &Value) -> usize {
    let nodes = status["nodes"].as_array().into_iter().flatten();
    nodes.filter(|node| node["fresh"] == true).count()
}

fn all_entries_served(status: &Value) -> bool {
    let entries = status["entries"].as_array();
    entries.is_some_and(|entries| {
        !entries.is_empty()
            && entries
                .iter()
                .all(|entry| entry["serving"].as_u64() >= entry["replicas_min"].as_u64())
    })
}

/// A steady load, until it is stopped.
pub struct Load {
    lanes: Vec<JoinHandle<Tally>>,
    stop: Arc<AtomicBool>,
}

impl Load {
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
