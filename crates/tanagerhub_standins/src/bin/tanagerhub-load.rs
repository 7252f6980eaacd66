//! Measures what one node adds to a direct call.

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
    ADVISOR, Caller, EngineSettings, NodeSet, Question, SAMPLE_KEY, Site, SiteSettings,
    sample_catalogue, wait_until,
};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// The time after which a preparation has failed.
const LIMIT: Duration = Duration::from_secs(30);

/// Calls a stand-in engine directly and through one node, in turns, and prints both.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Requests of each kind
    #[bpaf(argument("COUNT"), fallback(2_000))]
    requests: u64,
    /// Requests in flight
    #[bpaf(argument("COUNT"), fallback(8))]
    parallel: u64,
    /// Tokens of an answer
    #[bpaf(argument("COUNT"), fallback(16))]
    tokens: u32,
    /// Rounds, each of which calls both ways
    #[bpaf(argument("COUNT"), fallback(4))]
    rounds: u64,
}

/// What one way of calling took.
#[derive(Debug)]
struct Measure {
    first: Histogram<u64>,
    total: Histogram<u64>,
    span: Duration,
    /// Processor time of this process: caller, engine and, unless called directly, node.
    processor: Duration,
    failed: u64,
}

impl Measure {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            first: Histogram::new(3)?,
            total: Histogram::new(3)?,
            span: Duration::ZERO,
            processor: Duration::ZERO,
            failed: 0,
        })
    }

    fn add(&mut self, other: &Self) -> anyhow::Result<()> {
        self.first.add(&other.first)?;
        self.total.add(&other.total)?;
        self.failed += other.failed;
        Ok(())
    }

    /// Processor time of one request, in microseconds.
    fn cost(&self) -> u64 {
        micros(self.processor) / self.total.len().max(1)
    }

    #[expect(clippy::cast_precision_loss, reason = "the count is far below 2^52")]
    fn rate(&self) -> f64 {
        self.total.len() as f64 / self.span.as_secs_f64()
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
        token: Duration::ZERO,
        cold_limit: 1_000,
        warm_up: Duration::ZERO,
        ..EngineSettings::default()
    };
    let site = SiteSettings::default()
        .engine(engine)
        .loading(8, Duration::ZERO)
        .start(Clock::real())
        .await?;
    let mut nodes = NodeSet::start(&site, 1).await?;
    prepare(&site, &nodes).await?;
    let through = nodes.caller(0, SAMPLE_KEY);
    let direct = through.clone().at(serving_engine(&site)?);

    let mut measures = [Measure::new()?, Measure::new()?];
    for _ in 0..options.rounds {
        for (caller, measure) in [&direct, &through].into_iter().zip(&mut measures) {
            let round = call(caller, &options, &site.clock).await?;
            measure.span += round.span;
            measure.processor += round.processor;
            measure.add(&round)?;
        }
    }
    nodes.kill_all().await;
    print(&options, &measures);
    ensure!(
        measures.iter().all(|measure| measure.failed == 0),
        "some calls failed"
    );
    Ok(())
}

async fn prepare(site: &Site, nodes: &NodeSet) -> anyhow::Result<()> {
    let operator = nodes.operator(0);
    wait_until(&site.clock, "an operator is answered", LIMIT, async || {
        operator.status().await.is_ok()
    })
    .await?;
    operator.apply(&sample_catalogue()).await?;
    let caller = nodes.caller(0, SAMPLE_KEY);
    let number = AtomicU64::new(0);
    wait_until(&site.clock, "the model answers", LIMIT, async || {
        let number = number.fetch_add(1, Ordering::Relaxed);
        let question = Question::new(format!("warm-{number}"), ADVISOR);
        matches!(caller.chat(&question).await, Ok(reply) if reply.is_whole())
    })
    .await?;
    Ok(())
}

/// The engine of rank 0 of a group of the model.
fn serving_engine(site: &Site) -> anyhow::Result<std::net::SocketAddr> {
    let vm = site.fabric.serving().into_iter().next();
    let vm = vm.context("no engine serves")?;
    let engine = site
        .engine(vm)
        .context("the serving engine is not of this site")?;
    Ok(engine.address())
}

/// Makes one round of calls, several at a time.
async fn call(caller: &Caller, options: &Options, clock: &Clock) -> anyhow::Result<Measure> {
    let left = Arc::new(AtomicU64::new(options.requests / options.rounds.max(1)));
    let start = clock.now();
    let before = processor_time();
    let tasks: Vec<_> = (0..options.parallel)
        .map(|lane| {
            task::spawn(lane_of(
                caller.clone(),
                lane,
                options.tokens,
                Arc::clone(&left),
            ))
        })
        .collect();
    let mut measure = Measure::new()?;
    for task in tasks {
        measure.add(&task.await?)?;
    }
    measure.span = clock.now().since(start);
    measure.processor = processor_time().saturating_sub(before);
    Ok(measure)
}

async fn lane_of(
    caller: Caller,
    lane: u64,
    tokens: u32,
    left: Arc<AtomicU64>,
) -> anyhow::Result<Measure> {
    let mut measure = Measure::new()?;
    let take = |left: u64| left.checked_sub(1);
    while let Ok(number) = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take) {
        let question = Question::new(format!("load-{lane}-{number}"), ADVISOR).tokens(tokens);
        let reply = caller.stream(&question).await?;
        if !reply.is_whole() {
            log::warn!("a call failed: {reply:?}");
            measure.failed += 1;
            continue;
        }
        measure.first.record(micros(reply.first))?;
        measure.total.record(micros(reply.total))?;
    }
    Ok(measure)
}

/// The processor time that this process has used.
fn processor_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    Duration::try_from(time).unwrap_or_default()
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn print(options: &Options, [direct, through]: &[Measure; 2]) {
    println!(
        "{} requests each, {} in flight, {} tokens, streamed",
        direct.total.len(),
        options.parallel,
        options.tokens
    );
    println!("{:<24}{:>12}{:>12}{:>8}", "", "direct", "one node", "ratio");
    for (name, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let both = [direct, through].map(|measure| measure.first.value_at_quantile(quantile));
        row(&format!("first byte {name}, us"), both);
        let both = [direct, through].map(|measure| measure.total.value_at_quantile(quantile));
        row(&format!("whole answer {name}, us"), both);
    }
    println!(
        "{:<24}{:>12.0}{:>12.0}{:>8.2}",
        "requests a second",
        direct.rate(),
        through.rate(),
        through.rate() / direct.rate()
    );
    row("processor, us a request", [direct.cost(), through.cost()]);
    println!(
        "failed: {} direct, {} through the node",
        direct.failed, through.failed
    );
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times in microseconds are far below 2^52"
)]
fn row(name: &str, [direct, through]: [u64; 2]) {
    let ratio = through as f64 / direct as f64;
    println!("{name:<24}{direct:>12}{through:>12}{ratio:>8.2}");
}
