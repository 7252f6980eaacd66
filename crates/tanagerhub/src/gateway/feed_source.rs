//! Which of several sources a node asks for the changes of a table.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_clock::Moment;

/// The pause after a failed call of the store; it doubles with each further one.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The longest such pause: the store's return is noticed within it.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// The same for a node that may also hear of the store's return from peers.
const LONGEST_PEER_STORE_PAUSE: Duration = Duration::from_secs(2);
/// The pause after a peer failed; it doubles with each further failure.
const PEER_PAUSE: Duration = Duration::from_millis(500);
/// The longest such pause.
const LONGEST_PEER_PAUSE: Duration = Duration::from_secs(4);
/// The pause after a peer that was asked in a hurry had nothing newer.
const QUIET_PAUSE: Duration = Duration::from_millis(300);
/// Time after which the store is asked though a peer answers, to relate its clock to the own one.
const RELATE_PERIOD: Duration = Duration::from_mins(1);

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
pub(crate) enum Next {
    /// Ask this source.
    Ask(Source),
    /// Ask this peer for what it knows already.
    Glance(SocketAddr),
    /// Nobody is worth asking for this long.
    Wait(Duration),
}

/// The sources of a table's changes, as this node finds them.
#[derive(Debug, Default)]
pub(crate) struct FeedSources {
    store: Backoff,
    peers: HashMap<SocketAddr, Backoff>,
    /// When the store last answered.
    related: Option<Moment>,
    /// Whether the last call brought nothing, so that no more time may be lost on waiting.
    hurried: bool,
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
    pub(crate) fn choose(&mut self, now: Moment, peers: &[SocketAddr]) -> Next {
        self.peers.retain(|peer, _| peers.contains(peer));
        let related = self.related.is_some_and(|at| now.since(at) < RELATE_PERIOD);
        if (self.hurried || !related) && self.store.until <= now {
            return Next::Ask(Source::Store);
        }
        let until = |peer: &SocketAddr| self.peers.get(peer).map_or(Moment::ZERO, |it| it.until);
        let free = |peer: &&SocketAddr| until(peer) <= now;
        if self.hurried {
            if let Some(peer) = peers.iter().find(free) {
                return Next::Glance(*peer);
            }
        } else if let Some(peer) = peers.iter().find(|peer| free(peer) || self.is_sound(peer)) {
            return match self.peers.get(peer) {
                Some(backoff) if backoff.until > now => Next::Wait(backoff.until.since(now)),
                Some(backoff) if backoff.failures > 0 => Next::Glance(*peer),
                _ => Next::Ask(Source::Peer(*peer)),
            };
        }
        let soonest = peers.iter().map(until).fold(self.store.until, Moment::min);
        if soonest <= now {
            Next::Ask(Source::Store)
        } else {
            Next::Wait(soonest.since(now))
        }
    }

    /// Takes in that a source answered; it is not to be asked again before `until`.
    pub(crate) fn worked(&mut self, now: Moment, source: Source, until: Moment) {
        self.hurried = false;
        let rest = Backoff { failures: 0, until };
        match source {
            Source::Store => {
                self.store = rest;
                self.related = Some(now);
            }
            Source::Peer(peer) => {
                self.peers.insert(peer, rest);
            }
        }
    }

    /// Whether neither the store nor a peer has answered of late.
    pub(crate) fn are_lost(&self, peers: &[SocketAddr]) -> bool {
        self.store.failures > 0 && !peers.iter().any(|peer| self.is_sound(peer))
    }

    /// Whether the peer has answered since it last failed.
    fn is_sound(&self, peer: &SocketAddr) -> bool {
        self.peers.get(peer).is_some_and(|it| it.failures == 0)
    }

    /// Takes in that a peer that was glanced at is well, and knows nothing newer.
    pub(crate) fn quiet(&mut self, now: Moment, peer: SocketAddr) {
        let pause = if self.hurried {
            QUIET_PAUSE
        } else {
            Duration::ZERO
        };
        let until = now + pause;
        self.peers.insert(peer, Backoff { failures: 0, until });
    }

    /// Whether the last call brought nothing.
    pub(crate) const fn is_hurried(&self) -> bool {
        self.hurried
    }

    /// Takes in that a source did not answer, or knew nothing new.
    pub(crate) fn failed(&mut self, now: Moment, source: Source, peers: &[SocketAddr]) {
        self.hurried = true;
        match source {
            Source::Store if peers.is_empty() => {
                self.store.fail(now, RETRY_PAUSE, LONGEST_PAUSE);
            }
            Source::Store => self.store.fail(now, RETRY_PAUSE, LONGEST_PEER_STORE_PAUSE),
            Source::Peer(peer) => {
                let backoff = self.peers.entry(peer).or_default();
                backoff.fail(now, PEER_PAUSE, LONGEST_PEER_PAUSE);
            }
        }
    }
}

impl Backoff {
    fn fail(&mut self, now: Moment, first: Duration, longest: Duration) {
        let doubled = 2_u32.saturating_pow(self.failures);
        self.failures += 1;
        self.until = now + first.saturating_mul(doubled).min(longest);
    }
}

#[cfg(test)]
mod tests;
