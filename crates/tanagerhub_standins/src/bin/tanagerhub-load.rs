//! Measures the latency and CPU time that one node adds to a direct call.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Context as _, ensure};
use async_std::task;
use bpaf::Bpaf;
use hdrhistogram::Histogram;
use tanagerhub_clock::Clock;
use tanagerhub_standins::{
    ADVISOR, Caller, ChatRequest, EngineSettings, NodeSet, SAMPLE_KEY, Site, SiteSettings,
    sample_catalogue, wait_until,
};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Time after which a step of the preparation counts as failed.
const PREPARATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Calls a stand-in engine directly and through one node, alternately, and prints both results.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Number of requests to send directly, and again through the node
    #[bpaf(argument("COUNT"), fallback(2_000))]
    requests: u64,
    /// Number of requests in flight at a time
    #[bpaf(argument("COUNT"), fallback(8))]
    parallel: u64,
    /// Number of tokens in each response
    #[bpaf(argument("COUNT"), fallback(16))]
    tokens: u32,
    /// Number of rounds; each calls the engine directly and then through the node
    #[bpaf(argument("COUNT"), fallback(4))]
    rounds: u64,
}

/// The measurements of direct calls, or of calls through a node.
#[derive(Debug)]
struct Measurement {
    /// Times to the first byte of the body, in microseconds.
    first_byte: Histogram<u64>,
    /// Times to the end of the response, in microseconds.
    total: Histogram<u64>,
    elapsed: Duration,
    /// CPU time of this process, which runs the caller, the engine and, unless the calls are
    /// direct, the node.
    cpu_time: Duration,
    failed: u64,
}

impl Measurement {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            first_byte: Histogram::new(3)?,
            total: Histogram::new(3)?,
            elapsed: Duration::ZERO,
            cpu_time: Duration::ZERO,
            failed: 0,
        })
    }

    /// Adds the latencies and failures of another measurement, but not its elapsed and CPU time.
    fn add(&mut self, other: &Self) -> anyhow::Result<()> {
        self.first_byte.add(&other.first_byte)?;
        self.total.add(&other.total)?;
        self.failed += other.failed;
        Ok(())
    }

    /// Returns the CPU time per request, in microseconds.
    fn cpu_micros_per_request(&self) -> u64 {
        micros(self.cpu_time) / self.total.len().max(1)
    }

    #[expect(clippy::cast_precision_loss, reason = "the count is far below 2^52")]
    fn requests_per_second(&self) -> f64 {
        self.total.len() as f64 / self.elapsed.as_secs_f64()
    }
}

fn main() -> ExitCode {
    let options = options().run();
    env_logger::init();
    match task::block_on(run(options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the measurement failed: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: Options) -> anyhow::Result<()> {
    let engine = EngineSettings {
        token_time: Duration::ZERO,
        cold_limit: 1_000,
        warm_up_time: Duration::ZERO,
        ..EngineSettings::default()
    };
    let site = SiteSettings::default()
        .engine(engine)
        .loading(8, Duration::ZERO)
        .start(Clock::real())
        .await?;
    let mut nodes = NodeSet::start(&site, 1).await?;
    prepare(&site, &nodes).await?;
    let via_node = nodes.caller(0, SAMPLE_KEY);
    let direct = via_node.clone().with_node(serving_engine(&site)?);

    let mut measurements = [Measurement::new()?, Measurement::new()?];
    for _ in 0..options.rounds {
        for (caller, measurement) in [&direct, &via_node].into_iter().zip(&mut measurements) {
            let round = run_round(caller, &options, &site.clock).await?;
            measurement.elapsed += round.elapsed;
            measurement.cpu_time += round.cpu_time;
            measurement.add(&round)?;
        }
    }
    nodes.kill_all().await;
    print_table(&options, &measurements);
    ensure!(
        measurements
            .iter()
            .all(|measurement| measurement.failed == 0),
        "some calls failed"
    );
    Ok(())
}

async fn prepare(site: &Site, nodes: &NodeSet) -> anyhow::Result<()> {
    let operator = nodes.operator(0);
    wait_until(
        &site.clock,
        "the operator API responds",
        PREPARATION_TIMEOUT,
        async || operator.status().await.is_ok(),
    )
    .await?;
    operator.apply(&sample_catalogue()).await?;
    let caller = nodes.caller(0, SAMPLE_KEY);
    let number = AtomicU64::new(0);
    wait_until(
        &site.clock,
        "the model responds",
        PREPARATION_TIMEOUT,
        async || {
            let number = number.fetch_add(1, Ordering::Relaxed);
            let chat_request = ChatRequest::new(format!("warm-{number}"), ADVISOR);
            matches!(caller.chat(&chat_request).await, Ok(result) if result.is_complete())
        },
    )
    .await?;
    Ok(())
}

/// Returns the address of an engine that serves the model as the head of a group.
fn serving_engine(site: &Site) -> anyhow::Result<std::net::SocketAddr> {
    let vm = site.fabric.serving().into_iter().next();
    let vm = vm.context("no engine serves")?;
    let engine = site
        .engine(vm)
        .context("the serving engine does not belong to this site")?;
    Ok(engine.address())
}

/// Runs one round of calls, `parallel` at a time.
async fn run_round(
    caller: &Caller,
    options: &Options,
    clock: &Clock,
) -> anyhow::Result<Measurement> {
    let remaining = Arc::new(AtomicU64::new(options.requests / options.rounds.max(1)));
    let start = clock.now();
    let before = process_cpu_time();
    let tasks: Vec<_> = (0..options.parallel)
        .map(|lane| {
            task::spawn(run_lane(
                caller.clone(),
                lane,
                options.tokens,
                Arc::clone(&remaining),
            ))
        })
        .collect();
    let mut measurement = Measurement::new()?;
    for task in tasks {
        measurement.add(&task.await?)?;
    }
    measurement.elapsed = clock.now().since(start);
    measurement.cpu_time = process_cpu_time().saturating_sub(before);
    Ok(measurement)
}

async fn run_lane(
    caller: Caller,
    lane: u64,
    tokens: u32,
    remaining: Arc<AtomicU64>,
) -> anyhow::Result<Measurement> {
    let mut measurement = Measurement::new()?;
    let decrement = |remaining: u64| remaining.checked_sub(1);
    while let Ok(number) = remaining.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement) {
        let chat_request =
            ChatRequest::new(format!("load-{lane}-{number}"), ADVISOR).tokens(tokens);
        let result = caller.stream(&chat_request).await?;
        if !result.is_complete() {
            log::warn!("call failed: {result:?}");
            measurement.failed += 1;
            continue;
        }
        measurement
            .first_byte
            .record(micros(result.first_byte_time))?;
        measurement.total.record(micros(result.total_time))?;
    }
    Ok(measurement)
}

/// Returns the CPU time that this process has used since its start.
fn process_cpu_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    Duration::try_from(time).unwrap_or_default()
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn print_table(options: &Options, [direct, via_node]: &[Measurement; 2]) {
    println!(
        "{} requests each, {} in flight, {} tokens, streamed",
        direct.total.len(),
        options.parallel,
        options.tokens
    );
    println!("{:<24}{:>12}{:>12}{:>8}", "", "direct", "one node", "ratio");
    for (name, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let values = [direct, via_node]
            .map(|measurement| measurement.first_byte.value_at_quantile(quantile));
        print_row(&format!("first byte {name}, us"), values);
        let values =
            [direct, via_node].map(|measurement| measurement.total.value_at_quantile(quantile));
        print_row(&format!("full response {name}, us"), values);
    }
    println!(
        "{:<24}{:>12.0}{:>12.0}{:>8.2}",
        "requests per second",
        direct.requests_per_second(),
        via_node.requests_per_second(),
        via_node.requests_per_second() / direct.requests_per_second()
    );
    print_row(
        "CPU time, us per request",
        [
            direct.cpu_micros_per_request(),
            via_node.cpu_micros_per_request(),
        ],
    );
    println!(
        "failed: {} direct, {} through the node",
        direct.failed, via_node.failed
    );
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times in microseconds are far below 2^52"
)]
fn print_row(name: &str, [direct, via_node]: [u64; 2]) {
    let ratio = via_node as f64 / direct as f64;
    println!("{name:<24}{direct:>12}{via_node:>12}{ratio:>8.2}");
}
