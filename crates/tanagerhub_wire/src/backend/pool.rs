//! The pool of idle connections to backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::net::TcpStream;
use futures_lite::future;
use tanagerhub_clock::Moment;

use crate::backend::ConnectionRule;

/// How many idle connections are kept, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLimits {
    /// The maximum number of idle connections to one address; the oldest is closed first.
    pub max_idle: usize,
    /// How long a connection may be idle; shorter than the timeout after which a middlebox drops an
    /// idle connection.
    pub idle_timeout: Duration,
    /// How long after a complete response a connection satisfies [`ConnectionRule::Proven`].
    pub proven_age: Duration,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            max_idle: 32,
            idle_timeout: Duration::from_secs(15),
            proven_age: Duration::from_secs(1),
        }
    }
}

#[derive(Debug)]
pub(crate) struct Pool {
    limits: PoolLimits,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    since: Moment,
}

impl Pool {
    pub(crate) fn new(limits: PoolLimits) -> Self {
        Self {
            limits,
            idle: Mutex::default(),
        }
    }

    /// Removes and returns the most recently used connection that satisfies the rule.
    pub(crate) async fn take(
        &self,
        address: SocketAddr,
        rule: ConnectionRule,
        now: Moment,
    ) -> Option<TcpStream> {
        let max_age = match rule {
            ConnectionRule::Pooled => self.limits.idle_timeout,
            ConnectionRule::Proven => self.limits.proven_age,
            ConnectionRule::Fresh => return None,
        };
        loop {
            let idle = self.pop(address, now, max_age)?;
            if is_reusable(&idle.stream).await {
                return Some(idle.stream);
            }
        }
    }

    /// Adds a connection whose last response has been read completely.
    pub(crate) fn put(&self, address: SocketAddr, stream: TcpStream, now: Moment) {
        let mut idle = self.lock();
        let streams = idle.entry(address).or_default();
        streams.push(IdleConnection { stream, since: now });
        if streams.len() > self.limits.max_idle {
            streams.remove(0);
        }
    }

    /// Closes connections that have been idle longer than the idle timeout.
    pub(crate) fn close_expired(&self, now: Moment) {
        let idle_timeout = self.limits.idle_timeout;
        self.lock().retain(|_, streams| {
            streams.retain(|idle| now.since(idle.since) < idle_timeout);
            !streams.is_empty()
        });
    }

    /// Closes all idle connections to one address.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Returns the number of idle connections to all addresses.
    pub(crate) fn len(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    fn pop(&self, address: SocketAddr, now: Moment, max_age: Duration) -> Option<IdleConnection> {
        let mut idle = self.lock();
        let streams = idle.get_mut(&address)?;
        let youngest = streams.pop()?;
        if now.since(youngest.since) < max_age {
            return Some(youngest);
        }
        // The others are older still, but may satisfy another rule.
        streams.push(youngest);
        None
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether the connection is open and holds no unread bytes.
async fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0];
    future::poll_once(stream.peek(&mut byte)).await.is_none()
}
