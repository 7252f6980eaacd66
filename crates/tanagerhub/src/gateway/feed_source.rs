//! Chooses the source from which a node requests the changes of a table.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_clock::Moment;

/// The delay after a failed call to the store; it doubles with each further failure.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(150);
/// The maximum of the delay for the store, within which the node detects that the store responds
/// again.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The same maximum for a node that can also receive new data from peers once the store responds
/// again.
const MAX_RETRY_DELAY_WITH_PEERS: Duration = Duration::from_secs(2);
/// The delay after a failure of a peer; it doubles with each further failure.
const PEER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The maximum of the delay for a peer.
const MAX_PEER_RETRY_DELAY: Duration = Duration::from_secs(4);
/// The delay after a peer answered that its own sources have failed. It does not grow, since such a
/// peer tells of the store's return as soon as it learns of it.
const STALE_PEER_DELAY: Duration = Duration::from_secs(1);
/// The delay after a peer that was polled because of a failure had no newer data.
const NO_CHANGE_DELAY: Duration = Duration::from_millis(300);
/// The time after which the store is called although a peer responds, to synchronise the estimate
/// of the store's clock.
const CLOCK_SYNC_PERIOD: Duration = Duration::from_mins(1);

/// A source of a table's changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Source {
    /// The store itself.
    Store,
    /// A node of the same data centre.
    Peer(SocketAddr),
}

/// The next step of a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FeedStep {
    /// Call this source, which may wait for changes.
    Call(Source),
    /// Request the data that this peer already has, without waiting for changes.
    Poll(SocketAddr),
    /// Make no call for this long.
    Wait(Duration),
}

/// The health of the sources of a table's changes, as this node has observed it.
#[derive(Debug, Default)]
pub(crate) struct FeedSources {
    store: Backoff,
    peers: HashMap<SocketAddr, Backoff>,
    /// When the store last responded.
    clock_synced_at: Option<Moment>,
    /// Whether the last call failed. The next call must then not wait for changes.
    last_call_failed: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct Backoff {
    failures: u32,
    until: Moment,
}

impl FeedSources {
    /// Chooses between the store and the peers, which are in the order of preference.
    ///
    /// After a failed call, only the store may make the node wait: the store is called next, and
    /// peers are polled only while the store's retry delay lasts. The number of unresponsive peers
    /// therefore doesn't add to the delay.
    pub(crate) fn choose(&mut self, now: Moment, peers: &[SocketAddr]) -> FeedStep {
        self.peers.retain(|peer, _| peers.contains(peer));
        let clock_synced = self
            .clock_synced_at
            .is_some_and(|at| now.since(at) < CLOCK_SYNC_PERIOD);
        if (self.last_call_failed || !clock_synced) && self.store.until <= now {
            return FeedStep::Call(Source::Store);
        }
        let until = |peer: &SocketAddr| self.peers.get(peer).map_or(Moment::ZERO, |it| it.until);
        let is_due = |peer: &&SocketAddr| until(peer) <= now;
        if self.last_call_failed {
            if let Some(peer) = peers.iter().find(is_due) {
                return FeedStep::Poll(*peer);
            }
        } else if let Some(peer) = peers
            .iter()
            .find(|peer| is_due(peer) || self.is_healthy(peer))
        {
            return match self.peers.get(peer) {
                Some(backoff) if backoff.until > now => FeedStep::Wait(backoff.until.since(now)),
                Some(backoff) if backoff.failures > 0 => FeedStep::Poll(*peer),
                _ => FeedStep::Call(Source::Peer(*peer)),
            };
        }
        let earliest = peers.iter().map(until).fold(self.store.until, Moment::min);
        if earliest <= now {
            FeedStep::Call(Source::Store)
        } else {
            FeedStep::Wait(earliest.since(now))
        }
    }

    /// Records a response of a source, which must not be called again before `until`.
    pub(crate) fn record_success(&mut self, now: Moment, source: Source, until: Moment) {
        self.last_call_failed = false;
        let success = Backoff { failures: 0, until };
        match source {
            Source::Store => {
                self.store = success;
                self.clock_synced_at = Some(now);
            }
            Source::Peer(peer) => {
                self.peers.insert(peer, success);
            }
        }
    }

    /// Returns whether the store and all peers failed at their last call.
    pub(crate) fn all_failed(&self, peers: &[SocketAddr]) -> bool {
        self.store.failures > 0 && !peers.iter().any(|peer| self.is_healthy(peer))
    }

    /// Returns whether the last call to the peer succeeded.
    fn is_healthy(&self, peer: &SocketAddr) -> bool {
        self.peers.get(peer).is_some_and(|it| it.failures == 0)
    }

    /// Records that a polled peer responded and has no newer data.
    pub(crate) fn record_no_change(&mut self, now: Moment, peer: SocketAddr) {
        let delay = if self.last_call_failed {
            NO_CHANGE_DELAY
        } else {
            Duration::ZERO
        };
        let until = now + delay;
        self.peers.insert(peer, Backoff { failures: 0, until });
    }

    /// Records that a peer has answered that its own sources have failed.
    pub(crate) fn record_stale(&mut self, now: Moment, peer: SocketAddr) {
        self.last_call_failed = true;
        let until = now + STALE_PEER_DELAY;
        self.peers.insert(peer, Backoff { failures: 1, until });
    }

    /// Forgets the failures of the store, so that it is called at once.
    pub(crate) fn forget_failures(&mut self) {
        self.store.failures = 0;
        self.store.until = Moment::ZERO;
        self.last_call_failed = false;
    }

    pub(crate) const fn last_call_failed(&self) -> bool {
        self.last_call_failed
    }

    /// Records that a source did not respond, or that its data was not current.
    pub(crate) fn record_failure(&mut self, now: Moment, source: Source, peers: &[SocketAddr]) {
        self.last_call_failed = true;
        match source {
            Source::Store if peers.is_empty() => {
                self.store.fail(now, RETRY_DELAY, MAX_RETRY_DELAY);
            }
            Source::Store => self
                .store
                .fail(now, RETRY_DELAY, MAX_RETRY_DELAY_WITH_PEERS),
            Source::Peer(peer) => {
                let backoff = self.peers.entry(peer).or_default();
                backoff.fail(now, PEER_RETRY_DELAY, MAX_PEER_RETRY_DELAY);
            }
        }
    }
}

impl Backoff {
    fn fail(&mut self, now: Moment, initial: Duration, max: Duration) {
        let factor = 2_u32.saturating_pow(self.failures);
        self.failures += 1;
        self.until = now + initial.saturating_mul(factor).min(max);
    }
}

#[cfg(test)]
mod tests;
