//! Runs the stand-ins in a process of their own, or calls a node that uses them.

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

/// Tokens of the answer that a call asks for.
const TOKENS: u32 = 16;

/// Stand-ins for the platform, engines and a plain service, for nodes that run as processes.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Run the stand-ins, and write the platform's address and the catalogue into a folder
    #[bpaf(command)]
    Run {
        /// Where the files "platform" and "catalogue.toml" are written
        #[bpaf(argument("FOLDER"))]
        folder: PathBuf,
        /// Fabric domains in each of three data centres
        #[bpaf(argument("COUNT"), fallback(2), guard(|count| (1..=64).contains(count), "must be from 1 to 64"))]
        domains: u32,
        /// VMs with engines in each fabric domain
        #[bpaf(argument("COUNT"), fallback(4), guard(|count| (2..=64).contains(count), "must be from 2 to 64"))]
        vms: u32,
    },
    /// Stream an answer through one node, and book twice with one key through both
    #[bpaf(command)]
    Call {
        /// The caller address of the first node
        #[bpaf(argument("IP:PORT"))]
        first: SocketAddr,
        /// The caller address of the second node
        #[bpaf(argument("IP:PORT"))]
        second: SocketAddr,
        /// The name of the booking
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
        .context("catalogue.toml")?;
    // The address is written last, since its file says that the stand-ins run.
    let address = site.platform.address().to_string();
    async_std::fs::write(folder.join("platform"), address)
        .await
        .context("platform")?;
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
        "the stream is not whole: {result:?}"
    );
    println!("stream of {TOKENS} tokens is whole");

    let booked = caller.book(SHOP_API, name, Some(name)).await?;
    ensure!(booked.status == Some(201), "the booking failed: {booked:?}");
    let repeated = caller
        .with_node(second)
        .book(SHOP_API, name, Some(name))
        .await?;
    ensure!(
        repeated.text == booked.text,
        "the second try has another answer: {repeated:?}"
    );
    println!("booking {name} ran once and was answered twice");
    Ok(())
}
