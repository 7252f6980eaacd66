//! Several nodes in one process that use a site of stand-ins.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::net::{TcpListener, UdpSocket};
use tanagerhub::{Addresses, Metrics, Node, NodeError, NodeSettings};
use tanagerhub_clock::Clock;
use tanagerhub_fleet::FleetSettings;
use tanagerhub_wire::operators::OperatorToken;
use tanagerhub_wire::peers::PeerKeyError;
use tanagerhub_wire::platform::HttpPlatform;

use crate::loopback::{PortOwner, loopback};
use crate::{Caller, DATA_CENTRES, Event, Operator, REGION, Recorder, Site};

/// Time for which a node that has ended may still hold its sockets.
const SOCKET_RELEASE_TIMEOUT: Duration = Duration::from_secs(20);
/// The key with which the nodes authenticate each other.
const PEER_KEY: &str = "a peer key for loopback only";
/// Bearer token of the operators of all nodes.
pub const OPERATOR_TOKEN: &str = "operator-token-for-loopback";

/// Nodes of one region, each in a slot with fixed addresses.
#[derive(Debug)]
pub struct NodeSet {
    slots: Vec<Slot>,
    platform: SocketAddr,
    recorder: Recorder,
    clock: Clock,
}

/// The settings of one node, and the node while it runs.
#[derive(Debug)]
struct Slot {
    settings: NodeSettings,
    node: Option<Node>,
}

/// Why nodes could not be started.
#[derive(Debug, thiserror::Error)]
pub enum NodeSetError {
    /// No port could be bound.
    #[error("no port can be bound: {0}")]
    Port(#[from] io::Error),
    /// The shared key is not valid.
    #[error(transparent)]
    Key(#[from] PeerKeyError),
    /// A node failed to start.
    #[error(transparent)]
    Node(#[from] NodeError),
}

impl NodeSet {
    /// Starts `count` nodes, assigned to the data centres in turn.
    ///
    /// # Errors
    ///
    /// Returns the error of the first node that failed to start.
    pub async fn start(site: &Site, count: usize) -> Result<Self, NodeSetError> {
        let mut slots = Vec::new();
        for number in 0..count {
            let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
            let settings = settings(data_centre).await?;
            slots.push(Slot {
                settings,
                node: None,
            });
        }
        let seeds: Vec<_> = slots.iter().map(|slot| slot.settings.peers).collect();
        for slot in &mut slots {
            slot.settings.seeds.clone_from(&seeds);
        }
        let mut set = Self {
            slots,
            platform: site.platform.address(),
            recorder: site.recorder.clone(),
            clock: site.clock.clone(),
        };
        for number in 0..count {
            set.ensure_running(number).await?;
        }
        Ok(set)
    }

    /// Returns the number of slots, with or without a running node.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether there is no slot.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Starts the node of a slot, unless it runs; it has none of the state of the previous node.
    ///
    /// # Errors
    ///
    /// Returns the error with which it failed to start.
    pub async fn ensure_running(&mut self, number: usize) -> Result<(), NodeSetError> {
        let slot = &mut self.slots[number];
        if slot.node.is_some() {
            return Ok(());
        }
        let start = self.clock.now();
        loop {
            let node = start_node(&slot.settings, self.platform, &self.clock).await;
            match node {
                // The previous node releases its sockets shortly after its end.
                Err(NodeError::Peers(_))
                    if self.clock.now().since(start) < SOCKET_RELEASE_TIMEOUT =>
                {
                    self.clock.sleep(Duration::from_millis(20)).await;
                }
                node => {
                    slot.node = Some(node?);
                    return Ok(());
                }
            }
        }
    }

    /// Stops a node gracefully, and waits until it has ended.
    pub async fn stop(&mut self, number: usize) {
        let slot = &mut self.slots[number];
        if let Some(node) = slot.node.take() {
            let address = slot.settings.callers;
            self.recorder.record(Event::NodeStopping { node: address });
            node.stop().await;
        }
    }

    /// Ends a node at once, as a crash does.
    pub async fn kill(&mut self, number: usize) {
        let slot = &mut self.slots[number];
        if let Some(node) = slot.node.take() {
            let address = slot.settings.callers;
            self.recorder.record(Event::NodeKilled { node: address });
            node.kill().await;
        }
    }

    /// Ends all nodes at once.
    pub async fn kill_all(&mut self) {
        for number in 0..self.len() {
            self.kill(number).await;
        }
    }

    /// Returns the address of a node for callers.
    #[must_use]
    pub fn address(&self, number: usize) -> SocketAddr {
        self.slots[number].settings.callers
    }

    /// Creates a caller of one node, which sends this bearer key.
    #[must_use]
    pub fn caller(&self, number: usize, key: &str) -> Caller {
        let node = self.address(number);
        Caller::new(node, key, self.recorder.clone(), self.clock.clone())
    }

    /// Creates an operator of one node.
    #[must_use]
    pub fn operator(&self, number: usize) -> Operator {
        let node = self.slots[number].settings.operators;
        Operator::new(
            node,
            OPERATOR_TOKEN,
            self.recorder.clone(),
            self.clock.clone(),
        )
    }

    /// Creates an operator of each node, in order of slots.
    #[must_use]
    pub fn operators(&self) -> Vec<Operator> {
        (0..self.len())
            .map(|number| self.operator(number))
            .collect()
    }

    /// Creates a caller of each node, in order of slots.
    #[must_use]
    pub fn callers(&self, key: &str) -> Vec<Caller> {
        (0..self.len())
            .map(|number| self.caller(number, key))
            .collect()
    }
}

async fn start_node(
    settings: &NodeSettings,
    platform: SocketAddr,
    clock: &Clock,
) -> Result<Node, NodeError> {
    let platform = HttpPlatform::new(platform, clock.clone());
    let platform = Arc::new(platform);
    Node::start(settings.clone(), platform, clock.clone(), Metrics::off()).await
}

async fn settings(data_centre: &str) -> Result<NodeSettings, NodeSetError> {
    /// Long enough for a load balancer that probes every few hundred milliseconds.
    const DRAIN_GRACE: Duration = Duration::from_millis(500);
    let addresses = Addresses {
        callers: free_address().await?,
        operators: free_address().await?,
        peers: free_address().await?,
    };
    let token = OperatorToken::new(OPERATOR_TOKEN);
    let settings = NodeSettings::new(addresses, PEER_KEY.parse()?, token)
        .location(REGION, data_centre)
        .fleet(fleet_settings())
        .drain_grace(DRAIN_GRACE);
    Ok(settings)
}

/// Returns timings for stand-ins, which load weights in a fraction of a second.
///
/// The age limit of attestations keeps its default, because the promises depend on it.
fn fleet_settings() -> FleetSettings {
    FleetSettings::default()
        .read_every(Duration::from_secs(1))
        .patience(Duration::from_secs(2))
        .load_time(Duration::from_secs(1))
        .takeover(Duration::from_secs(3))
        .backoff_min(Duration::from_secs(2))
}

/// Returns an address that is free for both TCP and UDP, and that was not returned before.
async fn free_address() -> io::Result<SocketAddr> {
    static ASSIGNED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    loop {
        let listener = TcpListener::bind((loopback(PortOwner::Nodes), 0)).await?;
        let address = listener.local_addr()?;
        let free = UdpSocket::bind(address).await.is_ok();
        let mut assigned = ASSIGNED.lock().unwrap_or_else(PoisonError::into_inner);
        if free && assigned.insert(address) {
            return Ok(address);
        }
    }
}
