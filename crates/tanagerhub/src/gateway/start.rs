//! Starts and stops a gateway with its servers, tasks and control thread.

mod feeds;
mod housekeeping;
mod parts;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use futures_lite::future;
use tanagerhub_clock::Clock;
use tanagerhub_groups::Groups;
use tanagerhub_proxy::{Client, PoolLimits, Server};

use self::feeds::{feed_specs, spawn_feeds};
use self::housekeeping::{check_activity, sweep_connections};
use self::parts::{carrier, presence, traffic_handle};
use crate::gateway::capacity::Carrier;
use crate::gateway::control::{ControlView, GatewayControl, GatewayEvent};
use crate::gateway::control_store::ActionExecutor;
use crate::gateway::feed::FeedContext;
use crate::gateway::feed_timing::SharedFeedTimings;
use crate::gateway::forwarder::Forwarder;
use crate::gateway::front::Frontend;
use crate::gateway::group_activity::GroupActivities;
use crate::gateway::limit_notices::LimitNotices;
use crate::gateway::memory::MemoryLimits;
use crate::gateway::relay::{Peers, RelayClient};
use crate::gateway::servers::{serve_callers, serve_metrics, serve_peers, serve_ready};
use crate::gateway::shared::{SharedState, StopTimes};
use crate::gateway::store_eras::StoreEras;
use crate::gateway::store_health::StoreHealth;
use crate::gateway::{Adapters, GatewayMetrics, GatewaySettings};
use crate::traffic_handle::TrafficHandle;

/// The timeout for opening a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The interval at which a stopping node checks for open requests and connections.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);
/// The part of the grace period that a stopping node reserves for its own shutdown.
const STOP_RESERVE: Duration = Duration::from_millis(600);
/// The part of the grace period before that reserve in which the last responses are sent.
const ANSWER_RESERVE: Duration = Duration::from_millis(300);
/// How long a stopping node accepts connections, for callers whose load balancer still lists it.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(3);
/// A stopping node also stops accepting connections after the grace period divided by this number;
/// the rest of the period is for the responses in flight.
const ACCEPT_DIVISOR: u32 = 2;

/// An error that prevents a gateway from starting.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// An address can't be bound.
    #[error("failed to listen on the {purpose} address {address}: {source}")]
    Listen {
        /// The use of the address: `caller`, `ready`, `metrics` or `peer`.
        purpose: &'static str,
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The control thread can't be spawned.
    #[error("failed to spawn the control thread: {source}")]
    Thread {
        /// The error of the operating system.
        source: io::Error,
    },
}

/// A running gateway; [`stop`](Self::stop) shuts it down gracefully.
#[derive(Debug)]
pub struct Gateway {
    settings: GatewaySettings,
    clock: Clock,
    caller_server: Server,
    shared: Arc<SharedState>,
    traffic: Arc<TrafficHandle>,
    carrier: Option<Arc<Carrier>>,
    events: Sender<GatewayEvent>,
    thread: Option<JoinHandle<()>>,
    tasks: Vec<task::JoinHandle<()>>,
    /// The servers for readiness, metrics and peers, which run until the end of the shutdown.
    auxiliary_servers: Vec<Server>,
}

impl Gateway {
    /// Starts a gateway; it accepts requests once it has read its configuration from the store.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or the control thread can't be spawned.
    pub async fn start(
        settings: GatewaySettings,
        adapters: Adapters,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> Result<Self, GatewayError> {
        let (events, receiver) = async_channel::unbounded();
        let memory = MemoryLimits::new(&settings, &metrics);
        let shared = SharedState::new(clock.clone(), settings.key_life);
        let shared = Arc::new(shared.with_memory(memory.budget.clone()));
        let boot = rand::random_range(1..u64::MAX);
        let carrier = carrier(&settings, boot, &clock, &metrics);
        let traffic = Arc::new(traffic_handle(&settings, &clock, &events, carrier.as_ref()));
        let activities = Arc::new(GroupActivities::default());
        let client = new_client(&clock, &memory);
        let forwarder = new_forwarder(&adapters, &clock, &memory, &shared, &metrics);
        let frontend = Arc::new(Frontend {
            clock: clock.clone(),
            dialect: Arc::clone(&adapters.dialect),
            shared: Arc::clone(&shared),
            traffic: Arc::clone(&traffic),
            client: client.clone(),
            activities: Arc::clone(&activities),
            suspicions: events.clone(),
            metrics: metrics.clone(),
            forwarder: Arc::clone(&forwarder),
            memory,
        });
        let caller_server =
            serve_callers(settings.caller_address, &clock, Arc::clone(&frontend)).await?;
        let mut auxiliary_servers =
            vec![serve_ready(settings.ready_address, &clock, &shared).await?];
        if let Some(address) = settings.metrics_address {
            auxiliary_servers.push(serve_metrics(address, &clock, metrics.clone(), &events).await?);
        }

        let timings = SharedFeedTimings::default();
        let store_health = Arc::new(StoreHealth::default());
        let eras = StoreEras::new(clock.clone(), metrics.clone());
        let peers = Arc::new(Peers::default());
        let specs = feed_specs(&adapters, &timings);
        if let Some(address) = settings.peer_address {
            auxiliary_servers.push(
                serve_peers(address, &clock, &specs.all(), &traffic, &frontend, &events).await?,
            );
        }
        let control = GatewayControl {
            clock: clock.clone(),
            adapters: adapters.clone(),
            executor: executor(&settings, &adapters, &clock, &metrics, &events, &eras),
            shared: Arc::clone(&shared),
            traffic: Arc::clone(&traffic),
            metrics: metrics.clone(),
            groups: Groups::new(settings.groups.clone().boot(boot), rand::random()),
            presence: presence(&settings, boot),
            carrier: carrier.clone(),
            timings,
            peers: Arc::clone(&peers),
            eras: Arc::clone(&eras),
            store_health: Arc::clone(&store_health),
            bounds: settings.bounds,
            limit_notices: LimitNotices::default(),
            forwarder,
            region: settings.region_centres(),
            activities: Arc::clone(&activities),
            limits: caller_server.limits_handle(),
            view: ControlView::default(),
        };
        let thread = spawn_control(control, receiver)?;

        let context = FeedContext {
            store: Arc::clone(&adapters.store),
            relays: RelayClient::new(clock.clone()),
            peers,
            clock: clock.clone(),
            metrics,
            health: Arc::clone(&store_health),
            eras,
        };
        let mut tasks = spawn_feeds(&context, specs, &events);
        tasks.push(task::spawn(Arc::clone(&traffic).run()));
        tasks.extend((carrier.clone()).map(|it| task::spawn(it.run(Arc::clone(&traffic)))));
        tasks.push(task::spawn(sweep_connections(clock.clone(), client)));
        tasks.push(task::spawn(check_activity(
            clock.clone(),
            activities,
            events.clone(),
        )));
        log::info!(node = settings.node.as_str(), callers:% = settings.caller_address; "started");
        Ok(Self {
            settings,
            clock,
            caller_server,
            shared,
            traffic,
            carrier,
            events,
            thread: Some(thread),
            tasks,
            auxiliary_servers,
        })
    }

    /// Applies changed settings to the running gateway.
    ///
    /// A changed name or address only takes effect at the next start. The log warns about changes
    /// of the node's name, its data centre, and the callers' and readiness addresses.
    pub fn reload(&mut self, settings: GatewaySettings) {
        if !self.settings.has_same_identity(&settings) {
            log::warn!("changed node name or address takes effect at the next start");
        }
        self.shared.set_key_life(settings.key_life);
        self.traffic
            .with(|traffic, _| traffic.set_retry_limit(settings.retry_ratio, settings.retry_slack));
        self.send_now(GatewayEvent::BoundsChanged(settings.bounds));
        log::info!(
            key_life_ms = settings.key_life.as_millis(),
            retry_ratio = settings.retry_ratio,
            retry_slack = settings.retry_slack,
            grace_ms = settings.grace.as_millis(),
            drain_bound_ms = settings.bounds.drain.as_millis(),
            configuration_bound_ms = settings.bounds.configuration.as_millis();
            "settings reloaded"
        );
        self.settings = self.settings.clone().reloaded_with(settings);
    }

    /// Stops gracefully: no request in flight is cut off before the grace period ends.
    ///
    /// The node first fails the load balancer's readiness check and continues to serve during
    /// [`GatewaySettings::drain`]. Then it closes idle connections, later refuses new ones and
    /// requests that may not end in time, and ends once all responses in flight are sent. Requests
    /// without a response are answered just before the end of the grace period.
    pub async fn stop(mut self) {
        let started = self.clock.now();
        log::info!(open = self.caller_server.open_connections(); "stopping");
        let drain_timeout = self.settings.grace.saturating_sub(STOP_RESERVE);
        let accept_timeout = ACCEPT_TIMEOUT.min(self.settings.grace / ACCEPT_DIVISOR);
        self.shared.drain(StopTimes {
            late_from: started + accept_timeout,
            answer_by: started + drain_timeout.saturating_sub(ANSWER_RESERVE),
        });
        self.caller_server.drain();
        self.send(GatewayEvent::Drain).await;
        self.clock.sleep(self.settings.drain).await;
        self.caller_server.close_idle();
        let mut accepts = true;
        while (accepts || self.is_busy()) && self.clock.now().since(started) < drain_timeout {
            if !self.is_busy() || self.clock.now().since(started) >= accept_timeout {
                // A request may arrive until the listener is closed, so the node looks again afterwards.
                self.caller_server.stop_accepting().await;
                accepts = false;
            }
            self.caller_server.close_idle();
            if self.is_busy() {
                self.clock.sleep(DRAIN_POLL_PERIOD).await;
            }
        }
        self.caller_server.stop_accepting().await;
        log::info!(open = self.caller_server.open_connections(); "stopped");
        self.send(GatewayEvent::Stop).await;
        for task_handle in std::mem::take(&mut self.tasks) {
            task_handle.cancel().await;
        }
        if let Some(thread) = self.thread.take() {
            let joined = task::spawn_blocking(move || thread.join()).await;
            if joined.is_err() {
                log::error!("the control thread panicked");
            }
        }
        drop(std::mem::take(&mut self.auxiliary_servers));
    }

    fn send_now(&self, event: GatewayEvent) {
        if self.events.try_send(event).is_err() {
            log::error!("event not sent: the control thread has exited");
        }
    }

    async fn send(&self, event: GatewayEvent) {
        if self.events.send(event).await.is_err() {
            log::error!("event not sent: the control thread has exited");
        }
    }

    fn is_busy(&self) -> bool {
        let open = self.traffic.with(|traffic, _| traffic.open_requests());
        let has_lenders = self.carrier.as_ref().is_some_and(|it| it.has_lenders());
        open > 0 || has_lenders || self.caller_server.open_connections() > 0
    }
}

/// Returns a client for requests, whose memory is bounded if the node's is.
fn new_client(clock: &Clock, memory: &MemoryLimits) -> Client {
    let client = Client::new(PoolLimits::default(), CONNECT_TIMEOUT, clock.clone());
    client.bounded(memory.budget.is_some())
}

/// Returns the forwarder of requests to other nodes, which has connections of its own.
fn new_forwarder(
    adapters: &Adapters,
    clock: &Clock,
    memory: &MemoryLimits,
    shared: &Arc<SharedState>,
    metrics: &GatewayMetrics,
) -> Arc<Forwarder> {
    Arc::new(Forwarder::new(
        new_client(clock, memory),
        clock.clone(),
        Arc::clone(&adapters.dialect),
        Arc::clone(shared),
        metrics.clone(),
    ))
}

/// Returns the executor of the control thread's actions.
fn executor(
    settings: &GatewaySettings,
    adapters: &Adapters,
    clock: &Clock,
    metrics: &GatewayMetrics,
    events: &Sender<GatewayEvent>,
    eras: &Arc<StoreEras>,
) -> ActionExecutor {
    ActionExecutor {
        node: settings.node.clone(),
        adapters: adapters.clone(),
        clock: clock.clone(),
        metrics: metrics.clone(),
        events: events.clone(),
        eras: Arc::clone(eras),
        peer_client: Client::new(PoolLimits::default(), CONNECT_TIMEOUT, clock.clone()),
    }
}

/// Spawns the control thread.
fn spawn_control(
    control: GatewayControl,
    events: Receiver<GatewayEvent>,
) -> Result<JoinHandle<()>, GatewayError> {
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || future::block_on(control.run(events)))
        .map_err(|source| GatewayError::Thread { source })
}
