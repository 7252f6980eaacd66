//! Counters of messages between nodes.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use crate::peers::FrameError;

/// Counters of messages between nodes since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct PeerCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub received: u64,
    /// Bytes of datagrams accepted.
    pub received_bytes: u64,
    /// Messages dropped because they can't be decoded.
    pub malformed: u64,
    /// Messages dropped because they are not authenticated with the shared key.
    pub foreign: u64,
    /// Messages dropped because of another protocol version.
    pub versions: u64,
    /// Messages dropped because of their length.
    pub oversized: u64,
    /// Messages dropped because they were received before.
    pub replayed: u64,
    /// Datagrams dropped because the queue of events was full.
    pub overrun: u64,
    /// Attempts to connect to a peer.
    pub dials: u64,
    /// Connections closed because a ping was not acknowledged in time.
    pub dead: u64,
    /// Requests to peers.
    pub asks: u64,
    /// Requests to peers that failed or timed out.
    pub ask_failures: u64,
}

/// The counters that the tasks of a transport share.
#[derive(Debug, Default)]
pub(crate) struct AtomicCounters {
    pub(crate) sent: AtomicU64,
    pub(crate) sent_bytes: AtomicU64,
    pub(crate) received: AtomicU64,
    pub(crate) received_bytes: AtomicU64,
    pub(crate) malformed: AtomicU64,
    pub(crate) foreign: AtomicU64,
    pub(crate) versions: AtomicU64,
    pub(crate) oversized: AtomicU64,
    pub(crate) replayed: AtomicU64,
    pub(crate) overrun: AtomicU64,
    pub(crate) dials: AtomicU64,
    pub(crate) dead: AtomicU64,
    pub(crate) asks: AtomicU64,
    pub(crate) ask_failures: AtomicU64,
}

impl AtomicCounters {
    /// Counts a dropped message by its error.
    pub(crate) fn count_dropped(&self, error: &FrameError) {
        increment(match error {
            FrameError::Oversized { .. } => &self.oversized,
            FrameError::Unauthenticated => &self.foreign,
            FrameError::Version { .. } => &self.versions,
            FrameError::Malformed { .. } => &self.malformed,
        });
    }

    pub(crate) fn snapshot(&self) -> PeerCounters {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        PeerCounters {
            sent: read(&self.sent),
            sent_bytes: read(&self.sent_bytes),
            received: read(&self.received),
            received_bytes: read(&self.received_bytes),
            malformed: read(&self.malformed),
            foreign: read(&self.foreign),
            versions: read(&self.versions),
            oversized: read(&self.oversized),
            replayed: read(&self.replayed),
            overrun: read(&self.overrun),
            dials: read(&self.dials),
            dead: read(&self.dead),
            asks: read(&self.asks),
            ask_failures: read(&self.ask_failures),
        }
    }
}

/// Adds one to a counter.
pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Adds a number of bytes to a counter.
pub(crate) fn add(counter: &AtomicU64, length: usize) {
    counter.fetch_add(length as u64, Ordering::Relaxed);
}
