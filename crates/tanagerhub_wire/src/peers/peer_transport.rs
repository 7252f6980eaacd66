//! The transport of a node to its peers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::net::{TcpListener, UdpSocket};
use async_std::task;
use tanagerhub_catalogue::BootId;
use tanagerhub_clock::Clock;
use tanagerhub_membership::{Beacon, PeerRequest, PeerResponse};

use crate::peers::beacon_socket;
use crate::peers::peer_client::PeerClient;
use crate::peers::peer_counters::{AtomicCounters, increment};
use crate::peers::peer_server;
use crate::peers::{PeerCounters, PeerError, PeerKey, ReplayGuard};

/// The maximum number of events queued for the node; when the queue is full, datagrams are dropped.
const MAX_QUEUED_EVENTS: usize = 4_096;
/// The maximum number of ports tried when the address has port 0.
const MAX_PORT_TRIES: u32 = 32;

/// A message received from a peer.
#[derive(Debug)]
pub enum PeerEvent {
    /// A beacon, received as a datagram.
    Beacon {
        /// The sender's address.
        from: SocketAddr,
        /// The content of the datagram.
        beacon: Beacon,
    },
    /// A request; it is refused if `responder` is dropped.
    Request {
        /// The content of the request.
        request: PeerRequest,
        /// Receives the response to send.
        responder: async_channel::Sender<PeerResponse>,
    },
}

/// The configuration of a node's transport before [`Self::bind`].
#[derive(Debug)]
pub struct PeerTransport {
    address: SocketAddr,
    key: PeerKey,
    boot: BootId,
    clock: Clock,
}

/// The state that the tasks of a transport share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) key: PeerKey,
    pub(crate) boot: BootId,
    pub(crate) clock: Clock,
    pub(crate) counters: AtomicCounters,
    sequence: AtomicU64,
    replay_guard: Mutex<ReplayGuard>,
}

impl Shared {
    /// Returns the sequence number of the next message.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns whether a message is received for the first time; counts it as replayed if not.
    pub(crate) fn is_first(&self, boot: BootId, sequence: u64) -> bool {
        let first = self.replay_guard().accept(boot, sequence);
        if !first {
            increment(&self.counters.replayed);
        }
        first
    }

    fn replay_guard(&self) -> MutexGuard<'_, ReplayGuard> {
        self.replay_guard
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerTransport {
    /// Creates the configuration of a transport at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr, key: PeerKey, boot: BootId, clock: Clock) -> Self {
        Self {
            address,
            key,
            boot,
            clock,
        }
    }

    /// Binds the address for UDP and TCP and starts to listen.
    ///
    /// Port 0 selects any port that is free for both. Listening ends when the [`PeerSender`] and
    /// all its clones, and the receiver, are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address when it can't be bound.
    pub async fn bind(self) -> Result<(PeerSender, async_channel::Receiver<PeerEvent>), PeerError> {
        let bound = bind_both(self.address).await;
        let (listener, socket) = bound.map_err(|source| PeerError::Bind {
            address: self.address,
            source,
        })?;
        let address = socket.local_addr().map_err(|source| PeerError::Bind {
            address: self.address,
            source,
        })?;
        let socket = Arc::new(socket);
        let shared = Arc::new(Shared {
            key: self.key,
            boot: self.boot,
            clock: self.clock,
            counters: AtomicCounters::default(),
            sequence: AtomicU64::new(0),
            replay_guard: Mutex::new(ReplayGuard::default()),
        });
        let (events, receiver) = async_channel::bounded(MAX_QUEUED_EVENTS);
        let datagrams =
            beacon_socket::receive(Arc::clone(&socket), Arc::clone(&shared), events.clone());
        let requests = peer_server::listen(listener, Arc::clone(&shared), events);
        let tasks = Tasks(vec![task::spawn(datagrams), task::spawn(requests)]);
        let sender = PeerSender {
            address,
            socket,
            client: Arc::new(PeerClient::new(Arc::clone(&shared))),
            shared,
            _tasks: Arc::new(tasks),
        };
        Ok((sender, receiver))
    }
}

/// Binds the same port for TCP and UDP.
async fn bind_both(address: SocketAddr) -> std::io::Result<(TcpListener, UdpSocket)> {
    let mut tries = if address.port() == 0 {
        MAX_PORT_TRIES
    } else {
        1
    };
    loop {
        tries -= 1;
        let listener = TcpListener::bind(address).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            // A port that is free for TCP may be in use for UDP.
            Err(_taken) if tries > 0 => {}
            Err(error) => return Err(error),
        }
    }
}

/// The listening tasks, which are cancelled when the last sender is dropped.
#[derive(Debug)]
struct Tasks(Vec<task::JoinHandle<()>>);

impl Drop for Tasks {
    fn drop(&mut self) {
        for handle in self.0.drain(..) {
            task::spawn(handle.cancel());
        }
    }
}

/// Sends messages to peers; clones share one socket and one pool of connections.
#[derive(Debug, Clone)]
pub struct PeerSender {
    address: SocketAddr,
    socket: Arc<UdpSocket>,
    client: Arc<PeerClient>,
    shared: Arc<Shared>,
    _tasks: Arc<Tasks>,
}

impl PeerSender {
    /// Returns the bound address, with the selected port.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a beacon as a datagram, which the network may lose.
    ///
    /// # Errors
    ///
    /// Returns an error when the datagram is oversized or the operating system refuses it.
    pub async fn send_beacon(&self, to: SocketAddr, beacon: &Beacon) -> Result<(), PeerError> {
        beacon_socket::send(&self.socket, &self.shared, to, beacon).await
    }

    /// Sends a request to a peer and waits for the response, at most for `timeout`.
    ///
    /// A request that failed may still have been handled by the peer.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer can't be reached, doesn't respond in time or refuses the
    /// request.
    pub async fn send_request(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, PeerError> {
        increment(&self.shared.counters.asks);
        let response = self.client.send_request(to, request);
        let response = self.shared.clock.timeout(timeout, response).await;
        let response = response.unwrap_or(Err(PeerError::Timeout { address: to }));
        if response.is_err() {
            increment(&self.shared.counters.ask_failures);
        }
        response
    }

    /// Returns the counters since the start of the process.
    #[must_use]
    pub fn counters(&self) -> PeerCounters {
        self.shared.counters.snapshot()
    }
}
