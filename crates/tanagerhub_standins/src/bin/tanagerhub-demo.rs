//! Demonstrates the system end to end on loopback, in one process.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context as _, ensure};
use async_std::task;
use bpaf::Bpaf;
use serde_json::Value;
use tanagerhub_catalogue::Mark;
use tanagerhub_clock::Clock;
use tanagerhub_standins::{
    ADVISOR, ChatRequest, Checker, NodeSet, OPERATOR_TOKEN, RequestId, SAMPLE_KEY, SHOP_API, Site,
    SiteSettings, all_entries_served, sample_catalogue, wait_until,
};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Time after which a step of the demo counts as failed.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// The data centre that the demo marks out of service and back in.
const MARKED_DATA_CENTRE: &str = "tbs-b";

/// Runs the stand-ins and several nodes in one process, and demonstrates what the system does.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Leave everything running, and print the addresses
    keep: bool,
    /// The number of nodes
    #[bpaf(argument("NODES"), fallback(3), guard(|nodes| (3..=8).contains(nodes), "must be from 3 to 8"))]
    nodes: usize,
}

fn main() -> ExitCode {
    let options = options().run();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match task::block_on(run(&options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the demo failed: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &Options) -> anyhow::Result<()> {
    let clock = Clock::real();
    let site = SiteSettings::default().start(clock.clone()).await?;
    println!(
        "stand-ins: {} engines and {} services in 3 data centres",
        site.engines.len(),
        site.services.len()
    );
    let mut nodes = NodeSet::start(&site, options.nodes).await?;
    println!("nodes:     {}", nodes.len());

    let outcome = run_steps(&site, &nodes).await;
    if outcome.is_err() {
        print_state(&nodes).await;
    }
    outcome?;
    if options.keep {
        keep_running(&nodes).await;
    }
    nodes.kill_all().await;
    Ok(())
}

async fn run_steps(site: &Site, nodes: &NodeSet) -> anyhow::Result<()> {
    apply(site, nodes).await?;
    wait_for_groups(site, nodes).await?;
    stream(nodes).await?;
    book_twice(site, nodes).await?;
    mark_out(site, nodes).await?;
    mark_in(site, nodes).await?;
    check(site)
}

/// Prints readiness and debug state of each node, to help find the cause of a failed step.
async fn print_state(nodes: &NodeSet) {
    for operator in nodes.operators() {
        let ready = operator.ready().await;
        let state = operator.get("/debug/state").await.unwrap_or_default();
        let node = operator.node();
        eprintln!("node {node}: ready: {ready:?}, state: {state:#}");
    }
}

async fn apply(site: &Site, nodes: &NodeSet) -> anyhow::Result<()> {
    let operators = nodes.operators();
    wait_until(
        &site.clock,
        "the operator API responds",
        STEP_TIMEOUT,
        async || operators[0].status().await.is_ok(),
    )
    .await?;
    let change = operators[0].apply(&sample_catalogue()).await?;
    ensure!(
        change.committed,
        "the catalogue was not committed: {change:?}"
    );
    println!(
        "catalogue: version {} applied, in force at every node: {}",
        change.version, change.in_force
    );
    wait_until(
        &site.clock,
        "every node is ready",
        STEP_TIMEOUT,
        async || {
            for operator in &operators {
                if !operator.is_ready().await {
                    return false;
                }
            }
            true
        },
    )
    .await?;
    Ok(())
}

/// Waits until every node reports enough serving replicas of each entry, and prints the groups.
async fn wait_for_groups(site: &Site, nodes: &NodeSet) -> anyhow::Result<()> {
    let operators = nodes.operators();
    wait_until(
        &site.clock,
        "every model has its replicas at every node",
        STEP_TIMEOUT,
        async || {
            for operator in &operators {
                match operator.status().await {
                    Ok(status) if all_entries_served(&status) => {}
                    _ => return false,
                }
            }
            true
        },
    )
    .await?;
    let status = operators[0].status().await?;
    for group in status["groups"].as_array().into_iter().flatten() {
        println!(
            "group:     {} {} in {}: {} {}",
            text(&group["group"]),
            text(&group["entry"]),
            text(&group["data_centre"]),
            text(&group["state"]),
            group["members"],
        );
    }
    Ok(())
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

async fn stream(nodes: &NodeSet) -> anyhow::Result<()> {
    let chat_request = ChatRequest::new("demo-chat", ADVISOR).tokens(24);
    let result = nodes.caller(1, SAMPLE_KEY).stream(&chat_request).await?;
    ensure!(
        result.is_complete(),
        "the stream was not complete: {result:?}"
    );
    println!(
        "stream:    24 tokens through node 1, first after {:?}, all after {:?}",
        result.first_byte_time, result.total_time
    );
    Ok(())
}

async fn book_twice(site: &Site, nodes: &NodeSet) -> anyhow::Result<()> {
    let key = Some("demo-booking-key");
    for number in [1, 2] {
        let caller = nodes.caller(number, SAMPLE_KEY);
        // The outcome is recorded shortly after the first response; until then, the second
        // booking is refused as still in progress.
        wait_until(
            &site.clock,
            "the booking has a complete response",
            STEP_TIMEOUT,
            async || match caller.book(SHOP_API, "demo-booking", key).await {
                Ok(result) => {
                    println!("booking:   node {number} responds with {:?}", result.status);
                    result.is_complete()
                }
                Err(_) => false,
            },
        )
        .await?;
    }
    let request_id = RequestId("demo-booking".to_owned());
    let runs = site
        .services
        .iter()
        .map(|service| service.standin.bookings());
    let runs: u32 = runs
        .filter_map(|bookings| bookings.get(&request_id).copied())
        .sum();
    ensure!(runs == 1, "the booking ran {runs} times");
    println!("booking:   sent twice with one key, ran once");
    Ok(())
}

async fn mark_out(site: &Site, nodes: &NodeSet) -> anyhow::Result<()> {
    let change = nodes
        .operator(0)
        .mark_data_centre(MARKED_DATA_CENTRE, Mark::Out)
        .await?;
    println!(
        "out:       {MARKED_DATA_CENTRE} is out with version {}, in force: {}",
        change.version, change.in_force
    );
    call_every_node(nodes, "out").await?;
    wait_until(
        &site.clock,
        "no group serves in the data centre",
        STEP_TIMEOUT,
        async || matches!(count_serving_groups(nodes, MARKED_DATA_CENTRE).await, Ok(0)),
    )
    .await?;
    println!("out:       no group serves in {MARKED_DATA_CENTRE}; the others respond");
    Ok(())
}

async fn mark_in(site: &Site, nodes: &NodeSet) -> anyhow::Result<()> {
    let change = nodes
        .operator(2)
        .mark_data_centre(MARKED_DATA_CENTRE, Mark::In)
        .await?;
    println!(
        "in:        {MARKED_DATA_CENTRE} is back with version {}, in force: {}",
        change.version, change.in_force
    );
    wait_for_groups(site, nodes).await?;
    call_every_node(nodes, "in").await
}

async fn call_every_node(nodes: &NodeSet, name: &str) -> anyhow::Result<()> {
    for (number, caller) in nodes.callers(SAMPLE_KEY).into_iter().enumerate() {
        let chat_request = ChatRequest::new(format!("demo-{name}-{number}"), ADVISOR);
        let result = caller.chat(&chat_request).await?;
        ensure!(
            result.is_complete(),
            "node {number} returned no complete response: {result:?}"
        );
    }
    Ok(())
}

async fn count_serving_groups(nodes: &NodeSet, name: &str) -> anyhow::Result<usize> {
    let status = nodes.operator(0).status().await?;
    let groups = status["groups"]
        .as_array()
        .context("the status lists no groups")?;
    let serving = groups
        .iter()
        .filter(|group| group["data_centre"] == name && group["serving"] == true);
    Ok(serving.count())
}

fn check(site: &Site) -> anyhow::Result<()> {
    let log = site.recorder.log();
    let violations = Checker::default().check(&log);
    ensure!(
        violations.is_empty(),
        "promises were violated: {violations:?}"
    );
    println!("promises:  all ten hold over {} records", log.records.len());
    Ok(())
}

async fn keep_running(nodes: &NodeSet) {
    println!("keys:      callers \"{SAMPLE_KEY}\", operators \"{OPERATOR_TOKEN}\"");
    for number in 0..nodes.len() {
        println!(
            "node {number}:    callers at {}, operators at {}",
            nodes.address(number),
            nodes.operator(number).node()
        );
    }
    println!("running until interrupted");
    futures_lite::future::pending::<()>().await;
}
