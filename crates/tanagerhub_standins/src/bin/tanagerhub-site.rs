//! Runs the stand-ins in a separate process, or calls nodes that use them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context as _, ensure};
use async_std::task;
use bpaf::Bpaf;
use tanagerhub_clock::Clock;
use tanagerhub_standins::{
    ADVISOR, Caller, ChatRequest, Recorder, SAMPLE_KEY, SHOP_API, SiteSettings, sample_catalogue,
};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Number of tokens that `call` requests.
const TOKENS: u32 = 16;

/// Stand-ins for the platform, engines and a plain service, for nodes in processes of their own.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Run the stand-ins, and write the platform's address and the catalogue to a folder
    #[bpaf(command)]
    Run {
        /// Folder for the files "platform" and "catalogue.toml"
        #[bpaf(argument("FOLDER"))]
        folder: PathBuf,
        /// Number of fabric domains in each of three data centres
        #[bpaf(argument("COUNT"), fallback(2), guard(|count| (1..=64).contains(count), "must be from 1 to 64"))]
        domains: u32,
        /// Number of VMs with engines in each fabric domain
        #[bpaf(argument("COUNT"), fallback(4), guard(|count| (2..=64).contains(count), "must be from 2 to 64"))]
        vms: u32,
    },
    /// Stream a response through the first node, and send one booking with one key through both
    #[bpaf(command)]
    Call {
        /// The caller address of the first node
        #[bpaf(argument("IP:PORT"))]
        first: SocketAddr,
        /// The caller address of the second node
        #[bpaf(argument("IP:PORT"))]
        second: SocketAddr,
        /// Id of the requests, and idempotency key of the booking
        #[bpaf(argument("NAME"))]
        name: String,
    },
}

fn main() -> ExitCode {
    let command = command().run();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let result = task::block_on(async {
        match command {
            Command::Run {
                folder,
                domains,
                vms,
            } => run(folder, domains, vms).await,
            Command::Call {
                first,
                second,
                name,
            } => call(first, second, &name).await,
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(folder: PathBuf, domains: u32, vms: u32) -> anyhow::Result<()> {
    let settings = SiteSettings::default().domains(domains).vms(vms);
    let site = settings.start(Clock::real()).await?;
    let catalogue = folder.join("catalogue.toml");
    async_std::fs::write(&catalogue, sample_catalogue())
        .await
        .context("can't write the file catalogue.toml")?;
    // The address is written last, because its file indicates that the stand-ins are running.
    let address = site.platform.address().to_string();
    async_std::fs::write(folder.join("platform"), address)
        .await
        .context("can't write the file platform")?;
    loop {
        task::sleep(Duration::from_mins(1)).await;
    }
}

async fn call(first: SocketAddr, second: SocketAddr, name: &str) -> anyhow::Result<()> {
    let clock = Clock::real();
    let caller = Caller::new(first, SAMPLE_KEY, Recorder::new(clock.clone()), clock);
    let chat_request = ChatRequest::new(name, ADVISOR).tokens(TOKENS);
    let result = caller.stream(&chat_request).await?;
    ensure!(
        result.text == chat_request.expected(),
        "the stream is not complete: {result:?}"
    );
    println!("stream of {TOKENS} tokens is complete");

    let booked = caller.book(SHOP_API, name, Some(name)).await?;
    ensure!(booked.status == Some(201), "the booking failed: {booked:?}");
    let repeated = caller
        .with_node(second)
        .book(SHOP_API, name, Some(name))
        .await?;
    ensure!(
        repeated.text == booked.text,
        "the repeated booking got a different response: {repeated:?}"
    );
    println!("booking {name} ran once and got the same response twice");
    Ok(())
}
