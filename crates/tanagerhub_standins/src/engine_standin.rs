//! A stand-in for a model engine.

mod answer;
mod chunks;
mod engine;
mod fabric;
mod prompt;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock, Weak};

use async_std::task;
use http_types::{Method, Request, Response, StatusCode};
use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_fleet::Order;
use tanagerhub_wire::engine as headers;

use crate::platform_standin::{json, parse};
use crate::server::{Caller, Handler, Server};

pub use engine::EngineSettings;
pub use fabric::Fabric;
pub use prompt::{CRASH_MARKER, ModelApi, Prompt};

use engine::Power;
use fabric::{Admission, Run, Target};

/// A model engine on one VM, with faults.
#[derive(Debug, Clone)]
pub struct EngineStandin(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    server: Server,
    fabric: Fabric,
    vm: VmId,
}

impl EngineStandin {
    /// Starts an engine without weights.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when no port can be had.
    pub async fn start(fabric: &Fabric, settings: EngineSettings) -> io::Result<Self> {
        let vm = VmId::of(&settings.name);
        let link = Arc::new(OnceLock::<Weak<Inner>>::new());
        let own = Arc::clone(&link);
        let handler: Handler = Arc::new(move |request, caller| {
            let engine = own.get().and_then(Weak::upgrade).map(Self);
            Box::pin(async move {
                match engine {
                    Some(engine) => engine.answer(request, caller).await,
                    None => Err(http_types::format_err!("the engine is gone")),
                }
            })
        });
        let inner = Arc::new(Inner {
            server: Server::start(handler).await?,
            fabric: fabric.clone(),
            vm,
        });
        fabric.add(inner.server.address(), settings);
        drop(link.set(Arc::downgrade(&inner)));
        Ok(Self(inner))
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.0.server.address()
    }

    /// The VM that it runs on.
    #[must_use]
    pub fn vm(&self) -> VmId {
        self.0.vm
    }

    /// Kills its process: connections close, new ones are refused, weights are lost.
    pub async fn kill(&self) {
        self.0.fabric.set_power(self.address(), Power::Down);
        self.0.server.stop().await;
    }

    /// Starts its process again, with a new boot id and without weights.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the port was taken meanwhile.
    pub async fn restart(&self) -> io::Result<()> {
        self.0.server.restart().await?;
        self.0.fabric.set_power(self.address(), Power::Up);
        Ok(())
    }

    /// Stops it as a whole; connections stay open and are not answered.
    pub fn pause(&self) {
        self.0.fabric.set_power(self.address(), Power::Paused);
        self.0.server.gate().pause(true);
    }

    /// Ends a pause; it goes on as it was.
    pub fn resume(&self) {
        self.0.fabric.set_power(self.address(), Power::Up);
        self.0.server.gate().pause(false);
    }

    /// Puts it into cold start without warning.
    pub fn turn_cold(&self) {
        let now = self.0.fabric.clock().now();
        self.0
            .fabric
            .with(self.address(), |engine| engine.turn_cold(now));
    }

    /// Silences the connections that are open now, for good; new ones work.
    pub fn silence_open(&self) {
        self.0.server.gate().silence_open();
    }

    /// Makes its steps take `factor` times as long.
    pub fn slow(&self, factor: f64) {
        self.0
            .fabric
            .with(self.address(), |engine| engine.set_slowness(factor));
    }

    /// Makes it report that it is about to leave.
    pub fn announce_leaving(&self, leaving: bool) {
        if leaving {
            let fact = crate::Fact::Leaving { vm: self.0.vm };
            self.0.fabric.recorder().note(fact);
        }
        self.0
            .fabric
            .with(self.address(), |engine| engine.set_leaving(leaving));
    }

    async fn answer(&self, mut request: Request, caller: Caller) -> http_types::Result<Response> {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, "/engine/report") => self.report(),
            (Method::Post, "/engine/order") => {
                let order = parse(&request.body_bytes().await?)?;
                self.obey(&order)
            }
            (Method::Post, "/v1/chat/completions") => {
                self.complete(request, caller, ModelApi::Chat).await
            }
            (Method::Post, "/v1/completions") => {
                self.complete(request, caller, ModelApi::Completion).await
            }
            _ => Ok(Response::new(StatusCode::NotFound)),
        }
    }

    fn report(&self) -> http_types::Result<Response> {
        match self.0.fabric.report(self.address()) {
            Some(report) => json(&report),
            None => Ok(Response::new(StatusCode::NotFound)),
        }
    }

    fn obey(&self, order: &Order) -> http_types::Result<Response> {
        match self.0.fabric.obey(self.address(), order) {
            Some(answer) => json(&answer),
            None => Ok(Response::new(StatusCode::Conflict)),
        }
    }

    async fn complete(
        &self,
        mut request: Request,
        caller: Caller,
        api: ModelApi,
    ) -> http_types::Result<Response> {
        let body = request.body_bytes().await?;
        let prompt = Prompt::parse(&body, api)
            .map_err(|error| http_types::Error::new(StatusCode::BadRequest, error))?;
        let done = generated(&request)?;
        if done > 0 && prompt.resumed.as_deref() != Some(prompt.text(0..done).as_str()) {
            return Ok(refusal(StatusCode::BadRequest));
        }
        let target = target(&request)?;
        let admission = self
            .0
            .fabric
            .begin(self.address(), target, prompt.work.clone());
        let mut run = match admission {
            Admission::Runs(run) => run,
            Admission::Refused => return Ok(refusal(StatusCode::Conflict)),
            Admission::FellOver => return self.fall_over(),
        };
        if prompt.crashes {
            run.crash();
            return self.fall_over();
        }
        let cold = run.is_cold();
        let mut response = self.generate(prompt, run, caller, done).await?;
        if cold {
            response.insert_header(headers::TEMPERATURE, "cold");
        }
        Ok(response)
    }

    async fn generate(
        &self,
        prompt: Prompt,
        run: Run,
        caller: Caller,
        done: u32,
    ) -> http_types::Result<Response> {
        let clock = self.0.fabric.clock().clone();
        if prompt.stream {
            Ok(answer::stream(prompt, run, caller, done, clock))
        } else {
            answer::whole(prompt, run, caller, done, clock).await
        }
    }

    /// Dies and comes back after a while.
    fn fall_over(&self) -> http_types::Result<Response> {
        let engine = self.clone();
        task::spawn(async move {
            engine.kill().await;
            let reboot = engine
                .0
                .fabric
                .with(engine.address(), |state| state.settings().reboot);
            let clock = engine.0.fabric.clock().clone();
            clock.sleep(reboot.unwrap_or_default()).await;
            if let Err(error) = engine.restart().await {
                log::warn!("engine {} can't restart: {error}", engine.vm());
            }
        });
        Err(http_types::format_err!("the engine crashed"))
    }
}

fn refusal(status: StatusCode) -> Response {
    let mut response = Response::new(status);
    response.insert_header(headers::NOT_RUN, "true");
    response
}

/// The number of tokens that the caller already has.
fn generated(request: &Request) -> http_types::Result<u32> {
    match request.header(headers::LAST_EVENT_ID) {
        None => Ok(0),
        Some(values) => values
            .as_str()
            .parse()
            .map_err(|error| http_types::Error::new(StatusCode::BadRequest, Box::new(error))),
    }
}

/// The group that a request is meant for.
fn target(request: &Request) -> http_types::Result<Option<Target>> {
    let (Some(group), Some(epoch)) = (
        request.header(headers::GROUP),
        request.header(headers::EPOCH),
    ) else {
        return Ok(None);
    };
    let group = u64::from_str_radix(group.as_str(), 16)
        .map_err(|error| http_types::Error::new(StatusCode::BadRequest, error))?;
    let epoch = epoch
        .as_str()
        .parse()
        .map_err(|error: std::num::ParseIntError| {
            http_types::Error::new(StatusCode::BadRequest, error)
        })?;
    Ok(Some(Target {
        group: GroupId(group),
        epoch: Epoch(epoch),
    }))
}
