//! The UDP socket of a node, with the coordinators of the shards that it may coordinate.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use futures_lite::future;
use tanagerhub_capacity::{
    CoordinatedGroup, Coordinator, CoordinatorStatus, MAX_DATAGRAM_BYTES, Message, Reply, Request,
    Shard, decode, encode_into,
};
use tanagerhub_catalogue::{DataCentreId, NodeId};
use tanagerhub_clock::{Clock, Moment};

use super::events::record_event;
use super::nodes::NodeAddresses;
use super::split::halve;
use crate::gateway::GatewayMetrics;
use crate::traffic_handle::TrafficHandle;
use crate::wake::Wake;

/// The maximum number of datagrams that are handled together.
const MAX_BATCH: usize = 64;
/// The longest wait for a datagram while no coordinator has anything to do.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// The shortest wait between two calls of the coordinators at their own times.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// The delay after an error of the socket, so that a lasting one takes no processor time.
const ERROR_DELAY: Duration = Duration::from_millis(50);
/// The minimum interval of the log lines on dropped datagrams.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The identity of a node's process, which is also that of its coordinators.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Identity {
    pub(crate) node: NodeId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) boot: u64,
}

impl Identity {
    fn new_coordinator(self, shard: Shard) -> Coordinator {
        Coordinator::new(shard, self.node, self.boot, rand::random())
    }
}

/// Sends and receives the messages of shared capacity, and runs this node's coordinators.
pub(crate) struct Carrier {
    clock: Clock,
    identity: Identity,
    receiver: async_std::net::UdpSocket,
    /// The same socket, for sending without waiting. A full socket buffer counts as a loss.
    sender: UdpSocket,
    nodes: ArcSwap<NodeAddresses>,
    /// The coordinators by shard. They are kept until the process ends: a new one of the same boot
    /// id would not know which loans and grants its predecessor has ended or made.
    coordinators: Mutex<BTreeMap<Shard, Coordinator>>,
    metrics: GatewayMetrics,
    /// Wakes the receiving task if a coordinator must run earlier than planned.
    wake: Wake,
    /// When a coordinator must run next, in nanoseconds of the clock.
    planned: AtomicU64,
    /// When the log last reported dropped datagrams, in nanoseconds of the clock.
    drop_logged: AtomicU64,
}

impl fmt::Debug for Carrier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("Carrier");
        debug.field("identity", &self.identity);
        debug.finish_non_exhaustive()
    }
}

impl Carrier {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound.
    pub(crate) fn bind(
        address: SocketAddr,
        identity: Identity,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> io::Result<Self> {
        let sender = UdpSocket::bind(address)?;
        sender.set_nonblocking(true)?;
        let own = Shard::DataCentre(identity.data_centre);
        Ok(Self {
            clock,
            identity,
            receiver: sender.try_clone()?.into(),
            sender,
            nodes: ArcSwap::default(),
            coordinators: Mutex::new(BTreeMap::from([(own, identity.new_coordinator(own))])),
            metrics,
            wake: Wake::default(),
            planned: AtomicU64::new(u64::MAX),
            drop_logged: AtomicU64::new(0),
        })
    }

    pub(crate) const fn identity(&self) -> Identity {
        self.identity
    }

    /// Sets the live nodes, with which messages are exchanged.
    pub(crate) fn set_nodes(&self, nodes: NodeAddresses) {
        self.nodes.store(Arc::new(nodes));
    }

    /// Sets the backend servers that this node may grant as the coordinator of each shard.
    pub(crate) fn set_groups(&self, groups: &BTreeMap<Shard, Vec<CoordinatedGroup>>) {
        self.with(|coordinators, now| {
            for shard in groups.keys() {
                let new = || self.identity.new_coordinator(*shard);
                coordinators.entry(*shard).or_insert_with(new);
            }
            for (shard, coordinator) in coordinators {
                let groups = groups.get(shard).map_or(&[][..], Vec::as_slice);
                coordinator.set_groups(now, groups);
            }
        });
    }

    /// Returns the shards that this node may coordinate.
    pub(crate) fn shards(&self) -> Vec<Shard> {
        self.lock().keys().copied().collect()
    }

    /// Sets the node that is to coordinate a shard; `None` for this node itself.
    pub(crate) fn set_next(&self, shard: Shard, next: Option<NodeId>) {
        self.with(|coordinators, now| {
            if let Some(coordinator) = coordinators.get_mut(&shard) {
                coordinator.set_next(now, next);
            }
        });
    }

    /// Makes the coordinators release their lenders and grant nothing more.
    pub(crate) fn stop(&self) {
        self.with(|coordinators, now| {
            for coordinator in coordinators.values_mut() {
                coordinator.stop(now);
            }
        });
    }

    /// Returns whether nodes still lend shares to this node's coordinators.
    pub(crate) fn has_lenders(&self) -> bool {
        let now = self.clock.now();
        self.lock().values().any(|it| it.has_lenders(now))
    }

    /// Returns the state of the coordinators that have groups or lenders.
    pub(crate) fn status(&self) -> Vec<CoordinatorStatus> {
        let now = self.clock.now();
        let coordinators = self.lock();
        let all = coordinators.values().map(|it| it.status(now));
        all.filter(|it| it.lenders > 0 || !it.entries.is_empty())
            .collect()
    }

    /// Sends requests to their coordinators; returns the replies of this node's coordinators to
    /// this node.
    pub(crate) fn send_requests(&self, requests: Vec<(NodeId, Request)>) -> Vec<Reply> {
        let (own, others): (Vec<_>, Vec<_>) = requests
            .into_iter()
            .partition(|(node, _)| *node == self.identity.node);
        let mut buffer = Vec::new();
        for (node, request) in others {
            self.send(node, Message::Request(request), &mut buffer);
        }
        if own.is_empty() {
            return Vec::new();
        }
        let before = self.planned.load(Ordering::Relaxed);
        let replies = self.coordinate(own.iter().map(|(_, request)| request), &mut buffer);
        if self.planned.load(Ordering::Relaxed) < before {
            self.wake.signal();
        }
        replies
    }

    /// Receives messages and runs the coordinators until the task is cancelled.
    pub(crate) async fn run(self: Arc<Self>, traffic: Arc<TrafficHandle>) {
        // One byte more than the longest datagram, so that a longer one is recognised.
        let mut inbox = vec![0; MAX_DATAGRAM_BYTES + 1];
        let mut buffer = Vec::new();
        loop {
            let mut batch = Batch::default();
            match self.wait_for_datagram(&mut inbox).await {
                Some(Ok((length, from))) => {
                    self.accept(&inbox[..length], from, &mut batch);
                    self.drain(&mut inbox, &mut batch);
                }
                Some(Err(error)) => {
                    log::warn!(error:%; "failed to receive datagrams");
                    self.clock.sleep(ERROR_DELAY).await;
                }
                None => {}
            }
            let mut replies = batch.replies;
            replies.extend(self.coordinate(batch.requests.iter(), &mut buffer));
            if !replies.is_empty() {
                traffic.apply_capacity_replies(&replies);
            }
            if batch.count >= MAX_BATCH {
                future::yield_now().await;
            }
        }
    }

    /// Waits for a datagram; returns `None` once a coordinator must run.
    async fn wait_for_datagram(&self, inbox: &mut [u8]) -> Option<io::Result<(usize, SocketAddr)>> {
        let planned = Moment::from_nanos(self.planned.load(Ordering::Relaxed));
        let wait = planned.since(self.clock.now()).clamp(MIN_WAIT, MAX_WAIT);
        let received = async { Some(self.receiver.recv_from(inbox).await) };
        let woken = async {
            self.wake.wait(&self.clock, wait).await;
            None
        };
        future::or(received, woken).await
    }

    /// Adds the datagrams that have already arrived to a batch.
    fn drain(&self, inbox: &mut [u8], batch: &mut Batch) {
        while batch.count < MAX_BATCH
            && let Ok((length, from)) = self.sender.recv_from(inbox)
        {
            self.accept(&inbox[..length], from, batch);
        }
    }

    /// Decodes a datagram and adds its message to a batch, or drops and counts it.
    fn accept(&self, datagram: &[u8], from: SocketAddr, batch: &mut Batch) {
        batch.count += 1;
        match self.decode(datagram, from) {
            Ok(message) => {
                self.metrics.capacity().datagram("received");
                match message {
                    Message::Request(request) => batch.requests.push(request),
                    Message::Reply(reply) => batch.replies.push(reply),
                }
            }
            Err(cause) => self.record_drop(cause, from, datagram.len()),
        }
    }

    fn decode(&self, datagram: &[u8], from: SocketAddr) -> Result<Message, &'static str> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err("oversize");
        }
        let message = decode(datagram).map_err(|_error| "invalid")?;
        let (node, is_for_this) = match &message {
            Message::Request(request) => {
                let has_shard = self.lock().contains_key(&request.shard);
                (request.node, has_shard)
            }
            Message::Reply(reply) => (reply.node, true),
        };
        if !self.nodes.load().is_sender(node, from) {
            return Err("foreign");
        }
        if !is_for_this {
            return Err("misdirected");
        }
        Ok(message)
    }

    fn record_drop(&self, cause: &'static str, from: SocketAddr, length: usize) {
        self.metrics.capacity().datagram(cause);
        let now = self.clock.now();
        let last = Moment::from_nanos(self.drop_logged.load(Ordering::Relaxed));
        if now.since(last) >= DROP_LOG_INTERVAL {
            self.drop_logged.store(now.as_nanos(), Ordering::Relaxed);
            log::warn!(cause, address:% = from, length; "datagram dropped");
        }
    }

    fn with(&self, act: impl FnOnce(&mut BTreeMap<Shard, Coordinator>, Moment)) {
        act(&mut self.lock(), self.clock.now());
        // The receiving task sends the replies.
        self.planned.store(0, Ordering::Relaxed);
        self.wake.signal();
    }

    /// Passes requests to the coordinators and sends their replies; returns those to this node
    /// itself.
    fn coordinate<'a>(
        &self,
        requests: impl Iterator<Item = &'a Request>,
        buffer: &mut Vec<u8>,
    ) -> Vec<Reply> {
        let mut coordinators = self.lock();
        let now = self.clock.now();
        for request in requests {
            if let Some(coordinator) = coordinators.get_mut(&request.shard) {
                coordinator.receive(now, request);
            }
        }
        let mut replies = Vec::new();
        let mut events = Vec::new();
        for coordinator in coordinators.values_mut() {
            replies.extend(coordinator.take_replies(now));
            events.extend(coordinator.take_events());
        }
        let wakeups = coordinators.values().filter_map(Coordinator::next_wakeup);
        let next = wakeups.min().map_or(u64::MAX, Moment::as_nanos);
        self.planned.store(next, Ordering::Relaxed);
        drop(coordinators);
        let mut own = Vec::new();
        for (node, reply) in replies {
            if node == self.identity.node {
                own.push(reply);
            } else {
                self.send(node, Message::Reply(reply), buffer);
            }
        }
        for event in &events {
            record_event(self.metrics.capacity(), event);
        }
        own
    }

    /// Sends a message to another node, as several datagrams if it is too long for one.
    fn send(&self, node: NodeId, message: Message, buffer: &mut Vec<u8>) {
        match self.nodes.load().get(node) {
            Some(address) => self.send_to(address, message, buffer),
            None => self.metrics.capacity().datagram("unknown_node"),
        }
    }

    fn send_to(&self, address: SocketAddr, message: Message, buffer: &mut Vec<u8>) {
        encode_into(&message, buffer);
        if buffer.len() <= MAX_DATAGRAM_BYTES {
            self.send_datagram(buffer, address);
        } else if let Some((first, second)) = halve(message) {
            self.send_to(address, first, buffer);
            self.send_to(address, second, buffer);
        } else {
            self.record_drop("too_long", address, buffer.len());
        }
    }

    fn send_datagram(&self, datagram: &[u8], address: SocketAddr) {
        match self.sender.send_to(datagram, address) {
            Ok(_) => self.metrics.capacity().datagram("sent"),
            Err(error) => {
                log::debug!(error:%, address:%; "failed to send a datagram");
                self.metrics.capacity().datagram("unsent");
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Shard, Coordinator>> {
        self.coordinators
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The messages of datagrams that are handled together.
#[derive(Debug, Default)]
struct Batch {
    /// The number of datagrams, including dropped ones.
    count: usize,
    requests: Vec<Request>,
    replies: Vec<Reply>,
}

#[cfg(test)]
mod tests;
