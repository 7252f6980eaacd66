//! Which of several sources a node asks for the changes of a table.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_clock::Moment;

/// The pause after a failed call of the store; it doubles with each further one.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(150);
/// The longest such pause: the store's return is noticed within it.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The same for a node that may also hear of the store's return from peers.
const MAX_RETRY_DELAY_WITH_PEERS: Duration = Duration::from_secs(2);
/// The pause after a peer failed; it doubles with each further failure.
const PEER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The longest such pause.
const MAX_PEER_RETRY_DELAY: Duration = Duration::from_secs(4);
/// The pause after a peer that was asked in a hurry had nothing newer.
const NO_CHANGE_DELAY: Duration = Duration::from_millis(300);
/// Time after which the store is asked though a peer answers, to relate its clock to the own one.
const CLOCK_SYNC_PERIOD: Duration = Duration::from_mins(1);

/// Who is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Source {
    /// The store itself.
    Store,
    /// A node of the same data centre.
    Peer(SocketAddr),
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FeedStep {
    /// Ask this source.
    Call(Source),
    /// Ask this peer for what it knows already.
    Poll(SocketAddr),
    /// Nobody is worth asking for this long.
    Wait(Duration),
}

/// The sources of a table's changes, as this node finds them.
#[derive(Debug, Default)]
pub(crate) struct FeedSources {
    store: Backoff,
    peers: HashMap<SocketAddr, Backoff>,
    /// When the store last answered.
    clock_synced_at: Option<Moment>,
    /// Whether the last call brought nothing, so that no more time may be lost on waiting.
    last_call_failed: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct Backoff {
    failures: u32,
    until: Moment,
}

impl FeedSources {
    /// Chooses among the store and the peers, which stand in the order of preference.
    ///
    /// After a call that brought nothing, only the store may keep the node waiting: however many
    /// peers have gone silent, the store is asked next.
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

    /// Takes in that a source answered; it is not to be asked again before `until`.
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

    /// Whether neither the store nor a peer has answered of late.
    pub(crate) fn all_failed(&self, peers: &[SocketAddr]) -> bool {
        self.store.failures > 0 && !peers.iter().any(|peer| self.is_healthy(peer))
    }

    /// Whether the peer has answered since it last failed.
    fn is_healthy(&self, peer: &SocketAddr) -> bool {
        self.peers.get(peer).is_some_and(|it| it.failures == 0)
    }

    /// Takes in that a peer that was glanced at is well, and knows nothing newer.
    pub(crate) fn record_no_change(&mut self, now: Moment, peer: SocketAddr) {
        let delay = if self.last_call_failed {
            NO_CHANGE_DELAY
        } else {
            Duration::ZERO
        };
        let until = now + delay;
        self.peers.insert(peer, Backoff { failures: 0, until });
    }

    /// Whether the last call brought nothing.
    pub(crate) const fn is_retrying(&self) -> bool {
        self.last_call_failed
    }

    /// Takes in that a source did not answer, or knew nothing new.
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
