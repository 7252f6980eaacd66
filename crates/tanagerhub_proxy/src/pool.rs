//! Pool of idle connections to backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use async_std::net::TcpStream;
use futures_lite::future;
use hyper::client::conn::http1::SendRequest;
use tanagerhub_clock::Moment;

use crate::metered_stream::ReadMeter;
use crate::sliced_body::SlicedBody;

/// How many idle connections are kept, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLimits {
    /// Maximum number of idle connections to one address; beyond it the oldest is closed. With 0,
    /// each connection is closed after its response.
    pub max_idle: usize,
    /// How long a connection may be idle, unless the backend server announces a shorter time.
    pub idle_timeout: Duration,
    /// How long before the idle time announced by the backend server a connection is discarded.
    pub keep_alive_margin: Duration,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            max_idle: 16,
            idle_timeout: Duration::from_secs(8),
            keep_alive_margin: Duration::from_secs(1),
        }
    }
}

/// An open connection to a backend server.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<SlicedBody>,
    pub(crate) meter: Arc<ReadMeter>,
    /// The socket, which is closed once the connection has ended.
    pub(crate) stream: Weak<TcpStream>,
}

impl Connection {
    /// Returns whether an idle connection is open and has received nothing.
    pub(crate) async fn is_quiet(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else {
            return false;
        };
        future::poll_once(stream.peek(&mut [0])).await.is_none()
    }
}

#[derive(Debug)]
pub(crate) struct Pool {
    limits: PoolLimits,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Moment,
}

impl Pool {
    pub(crate) fn new(limits: PoolLimits) -> Self {
        Self {
            limits,
            idle: Mutex::default(),
        }
    }

    /// Removes and returns the most recently used connection that is still usable.
    pub(crate) fn take(&self, address: SocketAddr, now: Moment) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(idle) = connections.pop() {
            if now < idle.expires_at && idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Adds an idle connection; `announced_idle` is the idle time from the `Keep-Alive` header.
    pub(crate) fn put(
        &self,
        address: SocketAddr,
        connection: Connection,
        now: Moment,
        announced_idle: Option<Duration>,
    ) {
        let idle_timeout = announced_idle.map_or(self.limits.idle_timeout, |announced_idle| {
            announced_idle.saturating_sub(self.limits.keep_alive_margin)
        });
        let expires_at = now + idle_timeout.min(self.limits.idle_timeout);
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        connections.push(IdleConnection {
            connection,
            expires_at,
        });
        if connections.len() > self.limits.max_idle {
            connections.remove(0);
        }
    }

    /// Drops connections that are closed or past their idle time.
    pub(crate) fn remove_expired(&self, now: Moment) {
        self.lock().retain(|_, connections| {
            connections.retain(|idle| now < idle.expires_at && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Drops all idle connections to an address.
    pub(crate) fn remove_address(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Returns the number of idle connections that are not closed.
    pub(crate) fn len(&self) -> usize {
        let open = |idle: &&IdleConnection| !idle.connection.sender.is_closed();
        self.lock()
            .values()
            .map(|connections| connections.iter().filter(open).count())
            .sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
