//! A running gateway.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use async_channel::Sender;
use async_std::net::TcpListener;
use async_std::task;
use futures_lite::future;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tanagerhub_catalogue::{DataCentreId, NodeId};
use tanagerhub_clock::Clock;
use tanagerhub_groups::{Groups, Presence, RelayEndpoint};
use tanagerhub_proxy::{
    Client, PoolLimits, ResponseBody, Server, ServerLimits, empty_body, full_body, serve,
};
use tanagerhub_traffic::{GroupObservation, Selection, Traffic, TrafficSettings};

use crate::gateway::control::{ControlView, GatewayControl, GatewayEvent};
use crate::gateway::control_store::{ControlStore, NODES_TABLE};
use crate::gateway::feed::{FeedEdges, FeedPlan, follow};
use crate::gateway::feed_pace::{FeedPace, FeedPaces};
use crate::gateway::front::Front;
use crate::gateway::pulse::Pulses;
use crate::gateway::relay::{Peers, Relay, RelayClient, RelayTable};
use crate::gateway::shared::Shared;
use crate::gateway::{Edges, GatewayMetrics, GatewaySettings};
use crate::traffic_handle::TrafficHandle;

/// How long a connection to a back end may take to open.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Time between two looks at the pulses of groups.
const PULSE_PERIOD: Duration = Duration::from_millis(30);
/// How late a look may come before this node itself is taken to have stood still.
const STANDSTILL: Duration = Duration::from_millis(60);
/// Time between two sweeps of idle connections to back ends.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);
/// Time between two looks at whether a stopping node is done.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// What a stopping node keeps of its time to end in an orderly way.
const STOP_RESERVE: Duration = Duration::from_millis(600);
/// How long a stopping node accepts connections, for callers whose balancer has not noticed yet.
const ENTRY_LIMIT: Duration = Duration::from_secs(3);
/// The same as a part of its time to stop, as a divisor; the rest is for the answers in flight.
const ENTRY_PART: u32 = 2;
/// How long a group that failed is avoided.
const SUSPENSION: Duration = Duration::from_millis(1_200);
/// Failures in a row after which a group is avoided.
const FAILURES: u32 = 3;

/// Why a gateway could not start.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
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
    /// The control thread can't be started.
    #[error("the control thread can't be started: {source}")]
    Thread {
        /// What the system says.
        source: io::Error,
    },
}

/// A running gateway; [`stop`](Self::stop) ends it without cutting anything off.
#[derive(Debug)]
pub struct Gateway {
    settings: GatewaySettings,
    clock: Clock,
    callers: Server,
    shared: Arc<Shared>,
    traffic: Arc<TrafficHandle>,
    events: Sender<GatewayEvent>,
    thread: Option<JoinHandle<()>>,
    tasks: Vec<task::JoinHandle<()>>,
    /// Servers that go on until the end.
    others: Vec<Server>,
}

impl Gateway {
    /// Starts a gateway; it takes requests once it knows its configuration.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
    pub async fn start(
        settings: GatewaySettings,
        edges: Edges,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> Result<Self, GatewayError> {
        let (events, received) = async_channel::unbounded();
        let shared = Arc::new(Shared::new(clock.clone(), settings.key_life));
        let traffic = Arc::new(traffic_handle(&settings, &clock, &events));
        let pulses = Arc::new(Pulses::default());
        let client = Client::new(PoolLimits::default(), CONNECT_LIMIT, clock.clone());
        let front = Arc::new(Front {
            clock: clock.clone(),
            dialect: Arc::clone(&edges.dialect),
            shared: Arc::clone(&shared),
            traffic: Arc::clone(&traffic),
            client: client.clone(),
            pulses: Arc::clone(&pulses),
            suspicions: events.clone(),
            metrics: metrics.clone(),
        });
        let callers = serve_callers(settings.callers, &clock, front).await?;
        let mut others = vec![serve_ready(settings.ready, &clock, &shared).await?];
        if let Some(address) = settings.metrics {
            others.push(serve_metrics(address, &clock, metrics.clone(), &events).await?);
        }

        let paces = FeedPaces::default();
        let peers = Arc::new(Peers::default());
        let plans = feed_plans(&edges, &paces);
        if let Some(address) = settings.peers {
            others.push(serve_peers(address, &clock, &plans).await?);
        }
        let boot = rand::random_range(1..u64::MAX);
        let control = GatewayControl {
            clock: clock.clone(),
            edges: edges.clone(),
            store: ControlStore {
                node: settings.node.clone(),
                edges: edges.clone(),
                clock: clock.clone(),
                metrics: metrics.clone(),
                events: events.clone(),
            },
            shared: Arc::clone(&shared),
            traffic: Arc::clone(&traffic),
            metrics: metrics.clone(),
            groups: Groups::new(settings.groups.clone().boot(boot), rand::random()),
            presence: presence(&settings, boot),
            paces,
            peers: Arc::clone(&peers),
            bounds: settings.bounds,
            pulses: Arc::clone(&pulses),
            limits: callers.limits_handle(),
            view: ControlView::default(),
        };
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || future::block_on(control.run(received)))
            .map_err(|source| GatewayError::Thread { source })?;

        let edges = FeedEdges {
            store: Arc::clone(&edges.store),
            relays: RelayClient::new(clock.clone()),
            peers,
            clock: clock.clone(),
            metrics,
        };
        let mut tasks = feeds(&edges, plans, &events);
        tasks.push(task::spawn(Arc::clone(&traffic).run()));
        tasks.push(task::spawn(sweep_connections(clock.clone(), client)));
        tasks.push(task::spawn(sweep_pulses(
            clock.clone(),
            pulses,
            events.clone(),
        )));
        log::info!(node = settings.node.as_str(), callers:% = settings.callers; "started");
        Ok(Self {
            settings,
            clock,
            callers,
            shared,
            traffic,
            events,
            thread: Some(thread),
            tasks,
            others,
        })
    }

    /// Takes in changed settings.
    ///
    /// Names and addresses hold from the next start on; the log says when they differ.
    pub fn reload(&mut self, settings: GatewaySettings) {
        if !self.settings.has_same_place(&settings) {
            log::warn!("the node's name or addresses have changed: they hold from the next start");
        }
        self.shared.set_key_life(settings.key_life);
        self.traffic
            .with(|traffic, _| traffic.set_retry_limit(settings.retry_ratio, settings.retry_slack));
        self.tell(GatewayEvent::Bounds(settings.bounds));
        log::info!(
            key_life_ms = settings.key_life.as_millis(),
            retry_ratio = settings.retry_ratio,
            retry_slack = settings.retry_slack,
            grace_ms = settings.grace.as_millis(),
            drain_bound_ms = settings.bounds.drain.as_millis(),
            configuration_bound_ms = settings.bounds.configuration.as_millis();
            "settings reloaded"
        );
        self.settings = self.settings.clone().renewed(settings);
    }

    /// Stops gracefully: nothing in flight is cut off before the time to stop is used up.
    ///
    /// The node first fails the balancer's check and goes on serving for a while. Then it closes
    /// idle connections, refuses new ones after a while, and ends when the answers in flight are
    /// out.
    pub async fn stop(mut self) {
        let started = self.clock.now();
        log::info!(open = self.callers.open_connections(); "stopping");
        self.shared.drain();
        self.callers.drain();
        self.send(GatewayEvent::Drain).await;
        self.clock.sleep(self.settings.drain).await;
        self.callers.close_idle();
        let limit = self.settings.grace.saturating_sub(STOP_RESERVE);
        let entry = ENTRY_LIMIT.min(self.settings.grace / ENTRY_PART);
        while self.is_busy() && self.clock.now().since(started) < limit {
            if self.clock.now().since(started) >= entry {
                self.callers.stop_accepting().await;
            }
            self.callers.close_idle();
            self.clock.sleep(DRAIN_POLL).await;
        }
        log::info!(open = self.callers.open_connections(); "stopped");
        self.send(GatewayEvent::Stop).await;
        for running in std::mem::take(&mut self.tasks) {
            running.cancel().await;
        }
        if let Some(thread) = self.thread.take() {
            let joined = task::spawn_blocking(move || thread.join()).await;
            if joined.is_err() {
                log::error!("the control thread panicked");
            }
        }
        drop(std::mem::take(&mut self.others));
    }

    fn tell(&self, event: GatewayEvent) {
        if self.events.try_send(event).is_err() {
            log::error!("the control thread has ended early");
        }
    }

    async fn send(&self, event: GatewayEvent) {
        if self.events.send(event).await.is_err() {
            log::error!("the control thread has ended early");
        }
    }

    fn is_busy(&self) -> bool {
        let open = self.traffic.with(|traffic, _| traffic.open_requests());
        open > 0 || self.callers.open_connections() > 0
    }
}

/// Serves an address of the node.
async fn listen<H, F>(
    purpose: &'static str,
    address: SocketAddr,
    clock: &Clock,
    handler: H,
) -> Result<Server, GatewayError>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let failed = |source| GatewayError::Listen {
        purpose,
        address,
        source,
    };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    serve(listener, ServerLimits::default(), clock.clone(), handler).map_err(failed)
}

fn traffic_handle(
    settings: &GatewaySettings,
    clock: &Clock,
    events: &Sender<GatewayEvent>,
) -> TrafficHandle {
    let mut traffic = TrafficSettings::default().node(
        NodeId::of(&settings.node),
        DataCentreId::of(&settings.data_centre),
    );
    traffic.selection = Selection::LeastLoaded;
    traffic.first_window = u32::MAX;
    traffic.failures = FAILURES;
    traffic.suspension = SUSPENSION;
    traffic.hedges = false;
    traffic.filled = false;
    traffic.shares_retries = true;
    traffic.retry_ratio = settings.retry_ratio;
    traffic.retry_burst = settings.retry_slack;
    traffic.retry_floor = Duration::from_millis(300);
    let events = events.clone();
    let facts = move |_, facts: Vec<GroupObservation>| {
        for fact in facts {
            if let GroupObservation::Failed { group, epoch } = fact {
                // A suspicion that finds no room comes again with the next failure.
                drop(events.try_send(GatewayEvent::Suspected(group, epoch)));
            }
        }
    };
    let seed = rand::random();
    TrafficHandle::new(clock.clone(), Traffic::new(traffic, seed), Box::new(facts))
}

/// What this node writes of itself for the others.
fn presence(settings: &GatewaySettings, boot: u64) -> Presence {
    let presence = Presence::new(settings.node.clone(), boot, rand::random());
    match settings.peers {
        Some(address) => presence.relay(RelayEndpoint {
            data_centre: DataCentreId::of(&settings.data_centre),
            address,
        }),
        None => presence,
    }
}

/// The tables that a node depends on.
#[derive(Debug)]
struct FeedPlans {
    operators: FeedPlan,
    vms: FeedPlan,
    nodes: FeedPlan,
}

fn feed_plans(edges: &Edges, paces: &FeedPaces) -> FeedPlans {
    let plan = |table, pace: &Arc<FeedPace>| FeedPlan {
        table,
        pace: Arc::clone(pace),
        relay: Arc::default(),
    };
    FeedPlans {
        operators: plan(edges.dialect.operator_table(), &paces.operators),
        vms: plan(edges.dialect.vm_table(), &paces.vms),
        nodes: plan(NODES_TABLE, &paces.nodes),
    }
}

/// Follows the tables that the node depends on.
fn feeds(
    edges: &FeedEdges,
    plans: FeedPlans,
    events: &Sender<GatewayEvent>,
) -> Vec<task::JoinHandle<()>> {
    let start = |plan, wrap: fn(_) -> GatewayEvent| {
        task::spawn(follow(edges.clone(), plan, events.clone(), wrap))
    };
    vec![
        start(plans.operators, GatewayEvent::Operators),
        start(plans.vms, GatewayEvent::Vms),
        start(plans.nodes, GatewayEvent::Nodes),
    ]
}

/// Tells peers of the tables.
async fn serve_peers(
    address: SocketAddr,
    clock: &Clock,
    plans: &FeedPlans,
) -> Result<Server, GatewayError> {
    let table = |plan: &FeedPlan| -> (&'static str, Arc<RelayTable>) {
        (plan.table, Arc::clone(&plan.relay))
    };
    let tables = [&plans.operators, &plans.vms, &plans.nodes].map(table);
    let relay = Arc::new(Relay::new(clock.clone(), tables.into()));
    let handler = move |request: Request<Incoming>| Arc::clone(&relay).answer(request);
    listen("peer", address, clock, handler).await
}

async fn sweep_connections(clock: Clock, client: Client) {
    loop {
        clock.sleep(SWEEP_PERIOD).await;
        client.expire();
    }
}

/// Looks for groups whose streams have all fallen silent.
async fn sweep_pulses(clock: Clock, pulses: Arc<Pulses>, events: Sender<GatewayEvent>) {
    loop {
        let before = clock.now();
        clock.sleep(PULSE_PERIOD).await;
        let now = clock.now();
        if now.since(before) >= PULSE_PERIOD + STANDSTILL {
            pulses.forgive(now);
            continue;
        }
        for (group, epoch) in pulses.suspects(now) {
            // A suspicion that finds no room comes again with the next look.
            drop(events.try_send(GatewayEvent::Suspected(group, epoch)));
        }
    }
}

async fn serve_callers(
    address: SocketAddr,
    clock: &Clock,
    front: Arc<Front>,
) -> Result<Server, GatewayError> {
    let handler = move |request: Request<Incoming>| Arc::clone(&front).answer(request);
    listen("caller", address, clock, handler).await
}

async fn serve_ready(
    address: SocketAddr,
    clock: &Clock,
    shared: &Arc<Shared>,
) -> Result<Server, GatewayError> {
    let shared = Arc::clone(shared);
    let handler = move |_: Request<Incoming>| {
        let is_ready = shared.is_ready();
        async move {
            let mut response = Response::new(empty_body());
            if !is_ready {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            response
        }
    };
    listen("ready", address, clock, handler).await
}

async fn serve_metrics(
    address: SocketAddr,
    clock: &Clock,
    metrics: GatewayMetrics,
    events: &Sender<GatewayEvent>,
) -> Result<Server, GatewayError> {
    let events = events.clone();
    let handler = move |request: Request<Incoming>| {
        let (metrics, events) = (metrics.clone(), events.clone());
        async move {
            if request.uri().path() == "/state" {
                return state(&events).await;
            }
            text(metrics.text(), "text/plain; version=0.0.4")
        }
    };
    listen("metrics", address, clock, handler).await
}

async fn state(events: &Sender<GatewayEvent>) -> Response<ResponseBody> {
    let (reply, answer) = async_channel::bounded(1);
    let asked = events.send(GatewayEvent::Dump(reply)).await.is_ok();
    let dump = if asked {
        answer.recv().await.ok()
    } else {
        None
    };
    if let Some(dump) = dump {
        return text(dump, "application/json");
    }
    let mut response = Response::new(empty_body());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

fn text(content: String, kind: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(content));
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
