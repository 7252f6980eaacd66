//! Follows a table of the store, there or by way of a peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_table::{FeedError, FeedPage, RowVersion, StoreClock, StoreTime};

use crate::gateway::feed_pace::{FeedPace, Pace};
use crate::gateway::feed_source::{FeedSources, Next, Source};
use crate::gateway::relay::{Peers, RelayAsk, RelayClient, RelayTable};
use crate::gateway::relay_log::RelayAnswer;
use crate::gateway::{GatewayMetrics, Store};

/// How much longer than its wait a call may take.
pub(crate) const CALL_SLACK: Duration = Duration::from_millis(600);
/// How long a read of a whole table may take.
const READ_LIMIT: Duration = Duration::from_secs(1);
/// How much longer than the store's slowest answer a peer's news may take to come.
const RELAY_SLACK: Duration = Duration::from_millis(150);
/// How much longer than its wait a peer's answer may take.
const ANSWER_SLACK: Duration = Duration::from_millis(150);
/// The least time between two questions to a peer.
const PEER_INTERVAL: Duration = Duration::from_millis(50);

/// One answer about a table, or a failure of all who could give one.
#[derive(Debug)]
pub(crate) struct FeedNews {
    pub(crate) page: Result<FeedPage, FeedError>,
    /// Whether the page holds all rows, not only those that changed.
    pub(crate) all: bool,
    /// The moment as of which the page is true, at the earliest; `None` if that is not known.
    pub(crate) proved: Option<Moment>,
}

/// How a table is followed.
#[derive(Debug, Clone)]
pub(crate) struct FeedPlan {
    pub(crate) table: &'static str,
    pub(crate) pace: Arc<FeedPace>,
    /// What peers are told of the table.
    pub(crate) relay: Arc<RelayTable>,
}

/// Whom a feed asks.
#[derive(Debug, Clone)]
pub(crate) struct FeedEdges {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) relays: RelayClient,
    pub(crate) peers: Arc<Peers>,
    pub(crate) clock: Clock,
    pub(crate) metrics: GatewayMetrics,
}

/// Follows a table until nobody listens.
pub(crate) async fn follow<E: Send + 'static>(
    edges: FeedEdges,
    plan: FeedPlan,
    events: Sender<E>,
    wrap: impl Fn(FeedNews) -> E + Send + 'static,
) {
    let mut feed = Feed::new(edges, plan);
    loop {
        let Some(news) = feed.step().await else {
            continue;
        };
        if events.send(wrap(news)).await.is_err() {
            return;
        }
    }
}

/// How long a node that follows a table by way of a peer may hear nothing.
pub(crate) fn relay_patience(pace: Pace) -> Duration {
    pace.wait + pace.interval + RELAY_SLACK + ANSWER_SLACK
}

/// A table that is followed.
#[derive(Debug)]
struct Feed {
    edges: FeedEdges,
    plan: FeedPlan,
    sources: FeedSources,
    known: Option<Known>,
    store_clock: StoreClock,
    /// Who told the last news.
    teller: Option<Source>,
}

/// How far a table is known.
#[derive(Debug, Clone, Copy)]
struct Known {
    version: RowVersion,
    at: StoreTime,
}

impl Feed {
    fn new(edges: FeedEdges, plan: FeedPlan) -> Self {
        Self {
            edges,
            plan,
            sources: FeedSources::default(),
            known: None,
            store_clock: StoreClock::default(),
            teller: None,
        }
    }

    /// Makes one call, or waits until one is due; says what is news to the node.
    async fn step(&mut self) -> Option<FeedNews> {
        let pace = self.plan.pace.get();
        let peers = if pace.direct || self.known.is_none() {
            Arc::default()
        } else {
            self.edges.peers.get()
        };
        match self.sources.choose(self.edges.clock.now(), &peers) {
            Next::Wait(span) => {
                self.edges.clock.sleep(span).await;
                None
            }
            Next::Ask(Source::Store) => self.ask_store(pace, &peers).await,
            Next::Ask(Source::Peer(peer)) => {
                let wait = relay_patience(pace).saturating_sub(ANSWER_SLACK);
                self.ask_peer(pace, &peers, peer, wait).await
            }
            Next::Glance(peer) => self.ask_peer(pace, &peers, peer, Duration::ZERO).await,
        }
    }

    async fn ask_store(&mut self, pace: Pace, peers: &[SocketAddr]) -> Option<FeedNews> {
        let sent = self.edges.clock.now();
        let all = self.known.is_none();
        let answer = self.call_store(pace).await;
        let received = self.edges.clock.now();
        self.edges.metrics.feed_call("store", answer.is_ok());
        match answer {
            Ok(changes) => {
                let until = sent + pace.interval;
                self.sources.worked(received, Source::Store, until);
                let proved = self.store_clock.as_of(sent, received, changes.at);
                self.note(&changes, all, Source::Store);
                Some(FeedNews {
                    page: Ok(changes),
                    all,
                    proved: Some(proved),
                })
            }
            Err(error) => {
                if error == FeedError::Compacted {
                    self.known = None;
                }
                self.sources.failed(received, Source::Store, peers);
                if !self.sources.are_lost(peers) {
                    return None;
                }
                self.plan.relay.lose();
                Some(FeedNews {
                    page: Err(error),
                    all,
                    proved: None,
                })
            }
        }
    }

    async fn call_store(&self, pace: Pace) -> Result<FeedPage, FeedError> {
        let (store, table) = (&*self.edges.store, self.plan.table);
        // After a failure any answer is news: it proves that what is known is fresh.
        let wait = if self.sources.is_hurried() {
            Duration::ZERO
        } else {
            pace.wait
        };
        let (limit, pending) = match self.known {
            Some(known) => (wait + CALL_SLACK, store.follow(table, known.version, wait)),
            None => (READ_LIMIT, store.read(table)),
        };
        let late = || {
            Err(FeedError::Unavailable {
                reason: format!("no answer within {} ms", limit.as_millis()),
            })
        };
        let answer = self.edges.clock.timeout(limit, pending).await;
        answer.unwrap_or_else(late)
    }

    async fn ask_peer(
        &mut self,
        pace: Pace,
        peers: &[SocketAddr],
        peer: SocketAddr,
        wait: Duration,
    ) -> Option<FeedNews> {
        let known = self.known?;
        let ask = RelayAsk {
            table: self.plan.table.to_owned(),
            after: known.version,
            at: known.at,
            wait,
        };
        let limit = wait + ANSWER_SLACK;
        let answer = self.edges.relays.ask(peer, &ask, limit).await;
        let now = self.edges.clock.now();
        let changes = match answer {
            Ok(RelayAnswer::Page(changes)) => changes,
            Ok(RelayAnswer::Compacted) => {
                return self.leave(peer, peers, "it knows no change as old");
            }
            Ok(RelayAnswer::Quiet) if wait.is_zero() => {
                self.sources.quiet(now, peer);
                return None;
            }
            Ok(RelayAnswer::Quiet) => return self.leave(peer, peers, "it hears nothing new"),
            Ok(RelayAnswer::Lost) => return self.leave(peer, peers, "it has no news itself"),
            Err(error) => return self.leave(peer, peers, &error.to_string()),
        };
        let proved = self.store_clock.as_of_relayed(now, changes.at);
        let source = Source::Peer(peer);
        self.note(&changes, false, source);
        if proved.is_some_and(|at| now.since(at) <= relay_patience(pace)) {
            self.sources.worked(now, source, now + PEER_INTERVAL);
            self.edges.metrics.feed_call("peer", true);
        } else {
            self.leave(peer, peers, "its news is old");
        }
        Some(FeedNews {
            page: Ok(changes),
            all: false,
            proved,
        })
    }

    /// Asks others than this peer for a while.
    fn leave(&mut self, peer: SocketAddr, peers: &[SocketAddr], reason: &str) -> Option<FeedNews> {
        let now = self.edges.clock.now();
        log::debug!(table = self.plan.table, peer:%, reason; "a peer tells nothing new");
        self.edges.metrics.feed_call("peer", false);
        self.sources.failed(now, Source::Peer(peer), peers);
        None
    }

    /// Takes in a page, and tells peers of it.
    fn note(&mut self, page: &FeedPage, all: bool, source: Source) {
        let known = self.known.filter(|_| !all);
        let floor = known.map_or((RowVersion(0), StoreTime(0)), |it| (it.version, it.at));
        self.known = Some(Known {
            version: page.version.max(floor.0),
            at: page.at.max(floor.1),
        });
        self.plan.relay.take(page, all);
        if self.teller != Some(source) {
            self.teller = Some(source);
            let table = self.plan.table;
            match source {
                Source::Store => log::info!(table; "rows are followed at the store"),
                Source::Peer(peer) => {
                    log::info!(table, peer:%; "rows are followed by way of a peer");
                }
            }
        }
    }
}
