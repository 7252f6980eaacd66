//! Idle connections to back ends.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tanagerhub_clock::Moment;

/// How many connections are kept, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLimits {
    /// Idle connections to one address.
    pub idle: usize,
    /// How long a connection may be idle unless the back end names a shorter time.
    pub expiry: Duration,
    /// How much earlier than the time that the back end names a connection is given up.
    pub margin: Duration,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            idle: 16,
            expiry: Duration::from_secs(8),
            margin: Duration::from_secs(1),
        }
    }
}

pub(crate) type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
pub(crate) struct Pool {
    limits: PoolLimits,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    until: Moment,
}

impl Pool {
    pub(crate) fn new(limits: PoolLimits) -> Self {
        Self {
            limits,
            idle: Mutex::default(),
        }
    }

    /// Takes the connection that was used last.
    pub(crate) fn take(&self, address: SocketAddr, now: Moment) -> Option<Sender> {
        let mut idle = self.lock();
        let list = idle.get_mut(&address)?;
        while let Some(one) = list.pop() {
            if now < one.until && one.sender.is_ready() {
                return Some(one.sender);
            }
        }
        None
    }

    /// Keeps a connection; `named` is the idle time that the back end announced.
    pub(crate) fn put(
        &self,
        address: SocketAddr,
        sender: Sender,
        now: Moment,
        named: Option<Duration>,
    ) {
        let named = named.map_or(self.limits.expiry, |named| {
            named.saturating_sub(self.limits.margin)
        });
        let until = now + named.min(self.limits.expiry);
        let mut idle = self.lock();
        let list = idle.entry(address).or_default();
        list.push(Idle { sender, until });
        if list.len() > self.limits.idle {
            list.remove(0);
        }
    }

    pub(crate) fn expire(&self, now: Moment) {
        self.lock().retain(|_, list| {
            list.retain(|one| now < one.until && !one.sender.is_closed());
            !list.is_empty()
        });
    }

    pub(crate) fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    pub(crate) fn len(&self) -> usize {
        let open = |one: &&Idle| !one.sender.is_closed();
        self.lock()
            .values()
            .map(|list| list.iter().filter(open).count())
            .sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
