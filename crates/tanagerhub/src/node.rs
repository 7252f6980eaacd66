//! Starts and stops a node.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use async_channel::Sender;
use async_std::net::TcpListener;
use async_std::task;
use futures_lite::future;
use tanagerhub_catalogue::BootId;
use tanagerhub_clock::Clock;
use tanagerhub_fleet::{Fleet, FleetSettings};
use tanagerhub_membership::{Membership, MembershipSettings};
use tanagerhub_traffic::{ClaimSettings, Claims, Traffic, TrafficSettings};
use tanagerhub_wire::backend::{BackendClient, PoolLimits};
use tanagerhub_wire::engine::EngineClient;
use tanagerhub_wire::http::{HttpLimits, HttpServer, Request, Response, serve};
use tanagerhub_wire::operators::{OperatorError, OperatorToken, handle_operator_request};
use tanagerhub_wire::peers::{PeerError, PeerSender, PeerTransport};
use tanagerhub_wire::platform::Platform;

use crate::callers::CallerHandler;
use crate::claim_handle::ClaimHandle;
use crate::control::{ActionExecutor, Control, ControlView, PendingPeerRequests, receive_peers};
use crate::control_event::ControlEvent;
use crate::request_run::RunContext;
use crate::traffic_handle::TrafficHandle;
use crate::{Metrics, NodeSettings, SettingsError, export};

/// The time between two checks whether a stopping node has finished its requests.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);
/// The time between two checks for idle connections.
const IDLE_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A setting is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A listener could not be opened on an address.
    #[error("the {purpose} address {address} can't be listened on: {source}")]
    Listen {
        /// Who connects to the address: "caller" or "operator".
        purpose: &'static str,
        /// The address of the listener.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The peer address can't be bound.
    #[error(transparent)]
    Peers(#[from] PeerError),
    /// The control thread can't be started.
    #[error("the control thread can't be started: {source}")]
    Thread {
        /// The error of the operating system.
        source: io::Error,
    },
}

/// A running node; [`stop`](Self::stop) shuts it down gracefully.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    clock: Clock,
    caller_server: HttpServer,
    operator_server: HttpServer,
    peer_sender: PeerSender,
    traffic: Arc<TrafficHandle>,
    claims: Arc<ClaimHandle>,
    control: Sender<ControlEvent>,
    control_thread: Option<JoinHandle<()>>,
    tasks: Vec<task::JoinHandle<()>>,
}

impl Node {
    /// Starts a node; it joins the membership and serves requests once its view is fresh.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is invalid, an address can't be bound, or the control thread
    /// can't be started.
    pub async fn start(
        settings: NodeSettings,
        platform: Arc<dyn Platform>,
        clock: Clock,
        metrics: Metrics,
    ) -> Result<Self, NodeError> {
        settings.check()?;
        let caller_listener = listen("caller", settings.callers).await?;
        let operator_listener = listen("operator", settings.operators).await?;
        let boot = BootId(rand::random());
        let transport = PeerTransport::new(
            settings.peers,
            settings.peer_key.clone(),
            boot,
            clock.clone(),
        );
        let (peer_sender, peer_events) = transport.bind().await?;
        let seed = settings.seed.unwrap_or_else(rand::random);
        let (control, events) = async_channel::unbounded();

        let traffic = Arc::new(traffic_handle(&settings, &clock, &control, seed));
        let claims = Claims::new(ClaimSettings::new(boot), seed);
        let claims = ClaimHandle::new(clock.clone(), Arc::clone(&platform), claims);
        let claims = Arc::new(claims);
        let probes = BackendClient::new(PoolLimits::default(), clock.clone());
        let backends = BackendClient::new(PoolLimits::default(), clock.clone());
        let pending_requests = Arc::new(PendingPeerRequests::default());
        let fleet = fleet_settings(&settings);
        let executor = ActionExecutor {
            data_centre: settings.data_centre_id(),
            platform,
            engines: EngineClient::new(probes.clone(), fleet.probe_timeout),
            backends: probes.clone(),
            peers: peer_sender.clone(),
            clock: clock.clone(),
            events: control.clone(),
            pending_requests: Arc::clone(&pending_requests),
        };
        let state = Control {
            node: settings.node(),
            boot,
            clock: clock.clone(),
            fleet: Fleet::new(fleet, seed),
            membership: Membership::new(membership_settings(&settings, boot), seed),
            executor,
            traffic: Arc::clone(&traffic),
            claims: Arc::clone(&claims),
            view: ControlView::default(),
        };
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || future::block_on(state.run(events)))
            .map_err(|source| NodeError::Thread { source })?;

        let handler = CallerHandler {
            run_context: RunContext {
                traffic: Arc::clone(&traffic),
                backends: backends.clone(),
                clock: clock.clone(),
            },
            claims: Arc::clone(&claims),
            clock: clock.clone(),
            body_limit: settings.body_limit,
        };
        let caller_server = serve_callers(caller_listener, &settings, &clock, handler)?;
        let operator_server = serve_operators(operator_listener, &settings, &clock, &control)?;
        let tasks = vec![
            task::spawn(Arc::clone(&traffic).run()),
            task::spawn(Arc::clone(&claims).run()),
            task::spawn(Arc::clone(&claims).sweep()),
            task::spawn(receive_peers(
                peer_events,
                pending_requests,
                control.clone(),
            )),
            task::spawn(close_idle_connections(
                clock.clone(),
                vec![probes, backends],
            )),
            task::spawn(export::run(
                metrics,
                clock.clone(),
                Arc::clone(&traffic),
                Arc::clone(&claims),
                peer_sender.clone(),
            )),
        ];
        log::info!(callers:% = caller_server.address(), peers:% = peer_sender.address(); "node started");
        Ok(Self {
            settings,
            clock,
            caller_server,
            operator_server,
            peer_sender,
            traffic,
            claims,
            control,
            control_thread: Some(thread),
            tasks,
        })
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_server.address()
    }

    /// Returns the address that operators connect to.
    #[must_use]
    pub const fn operator_address(&self) -> SocketAddr {
        self.operator_server.address()
    }

    /// Returns the address that peers send to.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_sender.address()
    }

    /// Stops gracefully: requests in flight may finish until the drain timeout.
    ///
    /// The node first fails the load balancer's readiness check and still accepts requests for the
    /// grace period. Then it refuses new work, and stops once no request and no claim is open.
    pub async fn stop(mut self) {
        log::info!(peers:% = self.peer_sender.address(); "node is shutting down");
        drop(self.control.send(ControlEvent::Drain).await);
        let grace = self.settings.drain_grace;
        self.traffic
            .with(|traffic, now| traffic.begin_drain(now, grace));
        self.clock.sleep(grace).await;
        self.caller_server.drain();
        let deadline = self.clock.now() + self.settings.drain_timeout;
        while self.is_busy() && self.clock.now() < deadline {
            self.clock.sleep(DRAIN_POLL_PERIOD).await;
        }
        let remaining = deadline.since(self.clock.now());
        self.clock
            .timeout(remaining, self.caller_server.stop())
            .await;
        self.operator_server.stop().await;
        shut_down(&self.control, &mut self.control_thread, self.tasks).await;
    }

    /// Stops at once, as in a crash: all connections are closed, and nothing is handed over to
    /// other nodes.
    pub async fn kill(mut self) {
        self.caller_server.kill().await;
        self.operator_server.kill().await;
        shut_down(&self.control, &mut self.control_thread, self.tasks).await;
    }

    fn is_busy(&self) -> bool {
        let open = self.traffic.with(|traffic, _| traffic.open_requests());
        open > 0 || self.claims.open_claims() > 0
    }
}

/// Stops the control thread and cancels the tasks.
async fn shut_down(
    control: &Sender<ControlEvent>,
    thread: &mut Option<JoinHandle<()>>,
    tasks: Vec<task::JoinHandle<()>>,
) {
    drop(control.send(ControlEvent::Stop).await);
    for running in tasks {
        running.cancel().await;
    }
    if let Some(thread) = thread.take() {
        let joined = task::spawn_blocking(move || thread.join()).await;
        if joined.is_err() {
            log::error!("the control thread panicked");
        }
    }
}

async fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| NodeError::Listen {
        purpose,
        address,
        source,
    })
}

fn traffic_handle(
    settings: &NodeSettings,
    clock: &Clock,
    control: &Sender<ControlEvent>,
    seed: u64,
) -> TrafficHandle {
    let node = TrafficSettings::default()
        .node(settings.node(), settings.data_centre_id())
        .moves_streams(true);
    let control = control.clone();
    let observation_sink = move |at, observations| {
        // The channel is unbounded, so this fails only once the control thread has stopped. A lost
        // observation is made again at the next failure.
        drop(control.try_send(ControlEvent::Traffic { at, observations }));
    };
    TrafficHandle::new(
        clock.clone(),
        Traffic::new(node, seed),
        Box::new(observation_sink),
    )
}

fn fleet_settings(settings: &NodeSettings) -> FleetSettings {
    let fleet = settings.fleet.clone();
    fleet.node(settings.node(), settings.data_centre_id())
}

fn membership_settings(settings: &NodeSettings, boot: BootId) -> MembershipSettings {
    let region = settings.region.clone();
    MembershipSettings::new(settings.peers, boot, region, settings.data_centre_id())
        .seeds(settings.seeds.clone())
}

fn serve_callers(
    listener: TcpListener,
    settings: &NodeSettings,
    clock: &Clock,
    handler: CallerHandler,
) -> Result<HttpServer, NodeError> {
    let limits = HttpLimits {
        max_connections: settings.max_connections,
        max_body_bytes: settings.body_limit,
        ..HttpLimits::default()
    };
    let handler = move |request: Request| handler.clone().respond(request);
    let server = serve(listener, limits, clock.clone(), handler);
    server.map_err(|source| NodeError::Listen {
        purpose: "caller",
        address: settings.callers,
        source,
    })
}

fn serve_operators(
    listener: TcpListener,
    settings: &NodeSettings,
    clock: &Clock,
    control: &Sender<ControlEvent>,
) -> Result<HttpServer, NodeError> {
    let token = settings.operator_token;
    let control = control.clone();
    let handler = move |request: Request| serve_operator_request(request, token, control.clone());
    let server = serve(listener, HttpLimits::default(), clock.clone(), handler);
    server.map_err(|source| NodeError::Listen {
        purpose: "operator",
        address: settings.operators,
        source,
    })
}

/// Handles one request of an operator: the control thread executes the call.
async fn serve_operator_request(
    request: Request,
    token: OperatorToken,
    control: Sender<ControlEvent>,
) -> Response {
    handle_operator_request(&request, &token, async |call| {
        let (respond_to, response) = async_channel::bounded(1);
        let stopping = || OperatorError::Unavailable {
            reason: "the node ends".to_owned(),
        };
        let event = ControlEvent::Operator { call, respond_to };
        control.send(event).await.map_err(|_ended| stopping())?;
        response.recv().await.map_err(|_ended| stopping())?
    })
    .await
}

/// Closes connections that have been idle too long, until the task is cancelled.
async fn close_idle_connections(clock: Clock, clients: Vec<BackendClient>) {
    loop {
        clock.sleep(IDLE_CHECK_PERIOD).await;
        clients.iter().for_each(BackendClient::close_expired);
    }
}
