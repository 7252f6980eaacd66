//! A stand-in for a model engine.

mod chunks;
mod completion;
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

use crate::platform_standin::{json_response, parse_json};
use crate::server::{ClientConnection, Handler, Server};

pub use engine::EngineSettings;
pub use fabric::Fabric;
pub use prompt::{CRASH_MARKER, ModelApi, Prompt};

use engine::ProcessState;
use fabric::{Admission, Run, Target};

/// A model engine on one VM, with fault injection.
#[derive(Debug, Clone)]
pub struct EngineStandin(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    server: Server,
    fabric: Fabric,
    vm: VmId,
}

impl EngineStandin {
    /// Starts an engine that has no weights loaded.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when no port can be bound.
    pub async fn start(fabric: &Fabric, settings: EngineSettings) -> io::Result<Self> {
        let vm = VmId::of(&settings.name);
        let inner_cell = Arc::new(OnceLock::<Weak<Inner>>::new());
        let handler_cell = Arc::clone(&inner_cell);
        let handler: Handler = Arc::new(move |request, client| {
            let engine = handler_cell.get().and_then(Weak::upgrade).map(Self);
            Box::pin(async move {
                match engine {
                    Some(engine) => engine.handle(request, client).await,
                    None => Err(http_types::format_err!("the engine has been dropped")),
                }
            })
        });
        let inner = Arc::new(Inner {
            server: Server::start(handler).await?,
            fabric: fabric.clone(),
            vm,
        });
        fabric.add(inner.server.address(), settings);
        drop(inner_cell.set(Arc::downgrade(&inner)));
        Ok(Self(inner))
    }

    /// Returns the loopback address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.0.server.address()
    }

    /// Returns the id of the VM that it runs on.
    #[must_use]
    pub fn vm(&self) -> VmId {
        self.0.vm
    }

    /// Simulates a kill of the process: connections close, new ones are refused, and the weights
    /// are lost.
    pub async fn kill(&self) {
        self.0
            .fabric
            .set_process_state(self.address(), ProcessState::Down);
        self.0.server.stop().await;
    }

    /// Restarts the process, with a new boot id and without weights.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when another socket took the port in the meantime.
    pub async fn restart(&self) -> io::Result<()> {
        self.0.server.restart().await?;
        self.0
            .fabric
            .set_process_state(self.address(), ProcessState::Up);
        Ok(())
    }

    /// Pauses the process: connections stay open, but no request gets a response.
    pub fn pause(&self) {
        self.0
            .fabric
            .set_process_state(self.address(), ProcessState::Paused);
        self.0.server.faults().set_paused(true);
    }

    /// Ends a pause, with all state kept.
    pub fn resume(&self) {
        self.0
            .fabric
            .set_process_state(self.address(), ProcessState::Up);
        self.0.server.faults().set_paused(false);
    }

    /// Begins a cold start without loading weights and without notice.
    pub fn enter_cold_start(&self) {
        let now = self.0.fabric.clock().now();
        self.0
            .fabric
            .update(self.address(), |engine| engine.enter_cold_start(now));
    }

    /// Stops all traffic on the connections that are open now, until they are closed; new
    /// connections work.
    pub fn stall_open_connections(&self) {
        self.0.server.faults().stall_open_connections();
    }

    /// Makes the steps that generate tokens take `factor` times as long as its settings say.
    pub fn set_slowdown(&self, factor: f64) {
        self.0
            .fabric
            .update(self.address(), |engine| engine.set_slowdown(factor));
    }

    /// Sets whether it reports that it is about to leave.
    pub fn announce_leaving(&self, leaving: bool) {
        if leaving {
            let event = crate::Event::Leaving { vm: self.0.vm };
            self.0.fabric.recorder().record(event);
        }
        self.0
            .fabric
            .update(self.address(), |engine| engine.set_leaving(leaving));
    }

    async fn handle(
        &self,
        mut request: Request,
        client: ClientConnection,
    ) -> http_types::Result<Response> {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, "/engine/report") => self.report(),
            (Method::Post, "/engine/order") => {
                let order = parse_json(&request.body_bytes().await?)?;
                self.apply_order(&order)
            }
            (Method::Post, "/v1/chat/completions") => {
                self.complete(request, client, ModelApi::Chat).await
            }
            (Method::Post, "/v1/completions") => {
                self.complete(request, client, ModelApi::Completion).await
            }
            _ => Ok(Response::new(StatusCode::NotFound)),
        }
    }

    fn report(&self) -> http_types::Result<Response> {
        match self.0.fabric.report(self.address()) {
            Some(report) => json_response(&report),
            None => Ok(Response::new(StatusCode::NotFound)),
        }
    }

    fn apply_order(&self, order: &Order) -> http_types::Result<Response> {
        match self.0.fabric.apply_order(self.address(), order) {
            Some(response) => json_response(&response),
            None => Ok(Response::new(StatusCode::Conflict)),
        }
    }

    async fn complete(
        &self,
        mut request: Request,
        client: ClientConnection,
        api: ModelApi,
    ) -> http_types::Result<Response> {
        let body = request.body_bytes().await?;
        let prompt = Prompt::parse(&body, api)
            .map_err(|error| http_types::Error::new(StatusCode::BadRequest, error))?;
        let resumed_tokens = resumed_tokens(&request)?;
        if resumed_tokens > 0
            && prompt.resume_text.as_deref() != Some(prompt.text(0..resumed_tokens).as_str())
        {
            return Ok(refusal(StatusCode::BadRequest));
        }
        let target = target(&request)?;
        let admission = self
            .0
            .fabric
            .begin(self.address(), target, prompt.request_id.clone());
        let mut run = match admission {
            Admission::Admitted(run) => run,
            Admission::Refused => return Ok(refusal(StatusCode::Conflict)),
            Admission::Crashed => return self.crash_and_restart(),
        };
        if prompt.crashes {
            run.mark_crashed();
            return self.crash_and_restart();
        }
        let cold = run.is_cold();
        let mut response = self.generate(prompt, run, client, resumed_tokens).await?;
        if cold {
            response.insert_header(headers::TEMPERATURE, "cold");
        }
        Ok(response)
    }

    async fn generate(
        &self,
        prompt: Prompt,
        run: Run,
        client: ClientConnection,
        resumed_tokens: u32,
    ) -> http_types::Result<Response> {
        let clock = self.0.fabric.clock().clone();
        if prompt.stream {
            Ok(completion::stream(
                prompt,
                run,
                client,
                resumed_tokens,
                clock,
            ))
        } else {
            completion::document(prompt, run, client, resumed_tokens, clock).await
        }
    }

    /// Kills the process, and restarts it after [`EngineSettings::restart_delay`].
    fn crash_and_restart(&self) -> http_types::Result<Response> {
        let engine = self.clone();
        task::spawn(async move {
            engine.kill().await;
            let restart_delay = engine
                .0
                .fabric
                .update(engine.address(), |state| state.settings().restart_delay);
            let clock = engine.0.fabric.clock().clone();
            clock.sleep(restart_delay.unwrap_or_default()).await;
            if let Err(error) = engine.restart().await {
                log::warn!("engine on VM {} failed to restart: {error}", engine.vm());
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

/// Returns the number of tokens that were generated before a resume, or 0.
fn resumed_tokens(request: &Request) -> http_types::Result<u32> {
    match request.header(headers::LAST_EVENT_ID) {
        None => Ok(0),
        Some(values) => values
            .as_str()
            .parse()
            .map_err(|error| http_types::Error::new(StatusCode::BadRequest, Box::new(error))),
    }
}

/// Returns the group and epoch that a request is addressed to.
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
