//! A running node.

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

use crate::callers::CallerEdge;
use crate::claim_handle::ClaimHandle;
use crate::control::{AskedPeers, Control, ControlView, Edges, receive_peers};
use crate::control_event::ControlEvent;
use crate::run::Line;
use crate::traffic_handle::TrafficHandle;
use crate::{Metrics, NodeSettings, SettingsError, export};

/// Time between two looks at whether a stopping node is done.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time between two sweeps of idle connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A setting can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address can't be listened on.
    #[error("the {purpose} address {address} can't be listened on: {source}")]
    Listen {
        /// What the address is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The address for peers can't be bound.
    #[error(transparent)]
    Peers(#[from] PeerError),
    /// The control thread can't be started.
    #[error("the control thread can't be started: {source}")]
    Thread {
        /// What the system says.
        source: io::Error,
    },
}

/// A running node; [`stop`](Self::stop) ends it without cutting anything off.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    clock: Clock,
    callers: HttpServer,
    operators: HttpServer,
    peers: PeerSender,
    traffic: Arc<TrafficHandle>,
    claims: Arc<ClaimHandle>,
    control: Sender<ControlEvent>,
    thread: Option<JoinHandle<()>>,
    tasks: Vec<task::JoinHandle<()>>,
}

impl Node {
    /// Starts a node; it joins the others and serves as soon as its view is fresh.
    ///
    /// # Errors
    ///
    /// Fails when a setting can't be used or an address can't be bound.
    pub async fn start(
        settings: NodeSettings,
        platform: Arc<dyn Platform>,
        clock: Clock,
        metrics: Metrics,
    ) -> Result<Self, NodeError> {
        settings.check()?;
        let callers = listen("caller", settings.callers).await?;
        let operators = listen("operator", settings.operators).await?;
        let boot = BootId(rand::random());
        let transport = PeerTransport::new(
            settings.peers,
            settings.peer_key.clone(),
            boot,
            clock.clone(),
        );
        let (peers, peer_events) = transport.bind().await?;
        let seed = settings.seed.unwrap_or_else(rand::random);
        let (control, events) = async_channel::unbounded();

        let traffic = Arc::new(traffic_handle(&settings, &clock, &control, seed));
        let claims = Claims::new(ClaimSettings::new(boot), seed);
        let claims = ClaimHandle::new(clock.clone(), Arc::clone(&platform), claims);
        let claims = Arc::new(claims);
        let probes = BackendClient::new(PoolLimits::default(), clock.clone());
        let backends = BackendClient::new(PoolLimits::default(), clock.clone());
        let asked = Arc::new(AskedPeers::default());
        let fleet = fleet_settings(&settings);
        let edges = Edges {
            data_centre: settings.data_centre_id(),
            platform,
            engines: EngineClient::new(probes.clone(), fleet.probe_timeout),
            backends: probes.clone(),
            peers: peers.clone(),
            clock: clock.clone(),
            events: control.clone(),
            asked: Arc::clone(&asked),
        };
        let state = Control {
            node: settings.node(),
            boot,
            clock: clock.clone(),
            fleet: Fleet::new(fleet, seed),
            membership: Membership::new(membership_settings(&settings, boot), seed),
            edges,
            traffic: Arc::clone(&traffic),
            claims: Arc::clone(&claims),
            view: ControlView::default(),
        };
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || future::block_on(state.run(events)))
            .map_err(|source| NodeError::Thread { source })?;

        let edge = CallerEdge {
            line: Line {
                traffic: Arc::clone(&traffic),
                backends: backends.clone(),
                clock: clock.clone(),
            },
            claims: Arc::clone(&claims),
            clock: clock.clone(),
            body_limit: settings.body_limit,
        };
        let callers = serve_callers(callers, &settings, &clock, edge)?;
        let operators = serve_operators(operators, &settings, &clock, &control)?;
        let tasks = vec![
            task::spawn(Arc::clone(&traffic).run()),
            task::spawn(Arc::clone(&claims).run()),
            task::spawn(Arc::clone(&claims).sweep()),
            task::spawn(receive_peers(peer_events, asked, control.clone())),
            task::spawn(sweep(clock.clone(), vec![probes, backends])),
            task::spawn(export::run(
                metrics,
                clock.clone(),
                Arc::clone(&traffic),
                Arc::clone(&claims),
                peers.clone(),
            )),
        ];
        log::info!(callers:% = callers.address(), peers:% = peers.address(); "the node has started");
        Ok(Self {
            settings,
            clock,
            callers,
            operators,
            peers,
            traffic,
            claims,
            control,
            thread: Some(thread),
            tasks,
        })
    }

    /// Where callers connect.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where operators connect.
    #[must_use]
    pub const fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Where peers send to.
    #[must_use]
    pub const fn peers(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Stops gracefully: nothing in flight is cut off.
    ///
    /// The node first fails the balancer's check and goes on accepting for a grace time. Then it
    /// refuses new work, and ends when requests in flight and claims have come to their end.
    pub async fn stop(mut self) {
        log::info!(peers:% = self.peers.address(); "the node shuts down");
        drop(self.control.send(ControlEvent::Drain).await);
        let grace = self.settings.drain_grace;
        self.traffic
            .with(|traffic, now| traffic.begin_drain(now, grace));
        self.clock.sleep(grace).await;
        self.callers.drain();
        let limit = self.clock.now() + self.settings.drain_limit;
        while self.is_busy() && self.clock.now() < limit {
            self.clock.sleep(DRAIN_POLL).await;
        }
        let left = limit.since(self.clock.now());
        self.clock.timeout(left, self.callers.stop()).await;
        self.operators.stop().await;
        end(&self.control, &mut self.thread, self.tasks).await;
    }

    /// Ends at once, as a crash would: connections are cut and nothing is handed over.
    pub async fn kill(mut self) {
        self.callers.kill().await;
        self.operators.kill().await;
        end(&self.control, &mut self.thread, self.tasks).await;
    }

    fn is_busy(&self) -> bool {
        let open = self.traffic.with(|traffic, _| traffic.open_requests());
        open > 0 || self.claims.open() > 0
    }
}

/// Ends the tasks and the control thread.
async fn end(
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
    let facts = move |at, facts| {
        // Facts that a full or closed channel refuses come again with the next failure.
        drop(control.try_send(ControlEvent::TrafficFacts { at, facts }));
    };
    TrafficHandle::new(clock.clone(), Traffic::new(node, seed), Box::new(facts))
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
    edge: CallerEdge,
) -> Result<HttpServer, NodeError> {
    let limits = HttpLimits {
        max_connections: settings.connections,
        max_body_bytes: settings.body_limit,
        ..HttpLimits::default()
    };
    let handler = move |request: Request| edge.clone().answer(request);
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
    let handler = move |request: Request| operate(request, token, control.clone());
    let server = serve(listener, HttpLimits::default(), clock.clone(), handler);
    server.map_err(|source| NodeError::Listen {
        purpose: "operator",
        address: settings.operators,
        source,
    })
}

/// Answers one operator's request.
async fn operate(
    request: Request,
    token: OperatorToken,
    control: Sender<ControlEvent>,
) -> Response {
    handle_operator_request(&request, &token, async |call| {
        let (reply, answer) = async_channel::bounded(1);
        let gone = || OperatorError::Unavailable {
            reason: "the node ends".to_owned(),
        };
        let event = ControlEvent::Operator { call, reply };
        control.send(event).await.map_err(|_ended| gone())?;
        answer.recv().await.map_err(|_ended| gone())?
    })
    .await
}

/// Closes connections that have been idle too long.
async fn sweep(clock: Clock, clients: Vec<BackendClient>) {
    loop {
        clock.sleep(SWEEP_PERIOD).await;
        clients.iter().for_each(BackendClient::close_expired);
    }
}
