//! The tanagerhub daemon: serves models that span several VMs; runs on every entry VM.

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context as _;
use async_signal::{Signal, Signals};
use async_std::task;
use futures_lite::StreamExt as _;
use mimalloc::MiMalloc;
use tanagerhub::{Metrics, Node};
use tanagerhub_clock::Clock;
use tanagerhub_daemon::settings::{Settings, flags};
use tanagerhub_daemon::{prepare_runtime, statsd_client};
use tanagerhub_wire::platform::HttpPlatform;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// The exit code for invalid flags and settings.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let flags = match flags().run_inner(bpaf::Args::current_args()) {
        Ok(flags) => flags,
        Err(failure) => {
            failure.print_message(100);
            return match failure {
                bpaf::ParseFailure::Stderr(_) => ExitCode::from(USAGE_EXIT_CODE),
                _ => ExitCode::SUCCESS,
            };
        }
    };
    let settings = match Settings::read(flags, |name| std::env::var(name).ok()) {
        Ok(settings) => settings,
        Err(invalid) => {
            eprintln!("{invalid}");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    env_logger::Builder::new()
        .parse_filters(&settings.log)
        .init();
    prepare_runtime(settings.threads);
    match task::block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a node until SIGTERM or SIGINT, then stops it gracefully.
async fn run(settings: Settings) -> anyhow::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int]).context("signal handlers")?;
    let metrics = match settings.statsd {
        Some(address) => Metrics::new(statsd_client(address).context("StatsD client")?),
        None => Metrics::off(),
    };
    let clock = Clock::real();
    let platform = Arc::new(HttpPlatform::new(settings.platform, clock.clone()));
    let node = Node::start(settings.node, platform, clock, metrics).await?;
    log::info!(callers:% = node.caller_address(), operators:% = node.operator_address(); "started");
    let signal = signals
        .next()
        .await
        .transpose()
        .context("signal handlers")?;
    log::info!(signal:? = signal; "stopping");
    node.stop().await;
    log::info!("stopped");
    Ok(())
}
