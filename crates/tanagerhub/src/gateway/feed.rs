//! Follows a table of the store, there or by way of a peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_table::{FeedError, FeedPage, RowVersion, StoreClock, StoreTime};

use crate::gateway::feed_source::{FeedSources, FeedStep, Source};
use crate::gateway::feed_timing::{FeedTiming, SharedFeedTiming};
use crate::gateway::relay::{Peers, RelayClient, RelayQuery, RelayTable};
use crate::gateway::relay_log::RelayResponse;
use crate::gateway::{GatewayMetrics, Store};

/// How much longer than its wait a call may take.
pub(crate) const CALL_SLACK: Duration = Duration::from_millis(600);
/// How long a read of a whole table may take.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// How much longer than the store's slowest answer a peer's news may take to come.
const RELAY_SLACK: Duration = Duration::from_millis(150);
/// How much longer than its wait a peer's answer may take.
const RESPONSE_SLACK: Duration = Duration::from_millis(150);
/// The least time between two questions to a peer.
const PEER_INTERVAL: Duration = Duration::from_millis(50);

/// One answer about a table, or a failure of all who could give one.
#[derive(Debug)]
pub(crate) struct FeedUpdate {
    pub(crate) page: Result<FeedPage, FeedError>,
    /// Whether the page holds all rows, not only those that changed.
    pub(crate) all: bool,
    /// The moment as of which the page is true, at the earliest; `None` if that is not known.
    pub(crate) confirmed_at: Option<Moment>,
}

/// How a table is followed.
#[derive(Debug, Clone)]
pub(crate) struct FeedSpec {
    pub(crate) table: &'static str,
    pub(crate) timing: Arc<SharedFeedTiming>,
    /// What peers are told of the table.
    pub(crate) relay: Arc<RelayTable>,
}

/// Whom a feed asks.
#[derive(Debug, Clone)]
pub(crate) struct FeedContext {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) relays: RelayClient,
    pub(crate) peers: Arc<Peers>,
    pub(crate) clock: Clock,
    pub(crate) metrics: GatewayMetrics,
}

/// Follows a table until nobody listens.
pub(crate) async fn follow<E: Send + 'static>(
    context: FeedContext,
    spec: FeedSpec,
    events: Sender<E>,
    wrap: impl Fn(FeedUpdate) -> E + Send + 'static,
) {
    let mut feed = Feed::new(context, spec);
    loop {
        let Some(update) = feed.step().await else {
            continue;
        };
        if events.send(wrap(update)).await.is_err() {
            return;
        }
    }
}

/// How long a node that follows a table by way of a peer may hear nothing.
pub(crate) fn relay_timeout(timing: FeedTiming) -> Duration {
    timing.wait + timing.interval + RELAY_SLACK + RESPONSE_SLACK
}

/// A table that is followed.
#[derive(Debug)]
struct Feed {
    context: FeedContext,
    spec: FeedSpec,
    sources: FeedSources,
    position: Option<FeedPosition>,
    store_clock: StoreClock,
    /// Who told the last news.
    last_source: Option<Source>,
}

/// How far a table is known.
#[derive(Debug, Clone, Copy)]
struct FeedPosition {
    version: RowVersion,
    at: StoreTime,
}

impl Feed {
    fn new(context: FeedContext, spec: FeedSpec) -> Self {
        Self {
            context,
            spec,
            sources: FeedSources::default(),
            position: None,
            store_clock: StoreClock::default(),
            last_source: None,
        }
    }

    /// Makes one call, or waits until one is due; says what is news to the node.
    async fn step(&mut self) -> Option<FeedUpdate> {
        let timing = self.spec.timing.get();
        let peers = if timing.direct || self.position.is_none() {
            Arc::default()
        } else {
            self.context.peers.get()
        };
        match self.sources.choose(self.context.clock.now(), &peers) {
            FeedStep::Wait(delay) => {
                self.context.clock.sleep(delay).await;
                None
            }
            FeedStep::Call(Source::Store) => self.update_from_store(timing, &peers).await,
            FeedStep::Call(Source::Peer(peer)) => {
                let wait = relay_timeout(timing).saturating_sub(RESPONSE_SLACK);
                self.update_from_peer(timing, &peers, peer, wait).await
            }
            FeedStep::Poll(peer) => {
                self.update_from_peer(timing, &peers, peer, Duration::ZERO)
                    .await
            }
        }
    }

    async fn update_from_store(
        &mut self,
        timing: FeedTiming,
        peers: &[SocketAddr],
    ) -> Option<FeedUpdate> {
        let sent = self.context.clock.now();
        let all = self.position.is_none();
        let response = self.call_store(timing).await;
        let received = self.context.clock.now();
        self.context.metrics.feed_call("store", response.is_ok());
        match response {
            Ok(changes) => {
                let until = sent + timing.interval;
                self.sources.record_success(received, Source::Store, until);
                let confirmed_at = self.store_clock.date(sent, received, changes.at);
                self.apply_page(&changes, all, Source::Store);
                Some(FeedUpdate {
                    page: Ok(changes),
                    all,
                    confirmed_at: Some(confirmed_at),
                })
            }
            Err(error) => {
                if error == FeedError::Compacted {
                    self.position = None;
                }
                self.sources.record_failure(received, Source::Store, peers);
                if !self.sources.all_failed(peers) {
                    return None;
                }
                self.spec.relay.mark_stale();
                Some(FeedUpdate {
                    page: Err(error),
                    all,
                    confirmed_at: None,
                })
            }
        }
    }

    async fn call_store(&self, timing: FeedTiming) -> Result<FeedPage, FeedError> {
        let (store, table) = (&*self.context.store, self.spec.table);
        // After a failure any answer is news: it proves that what is known is fresh.
        let wait = if self.sources.is_retrying() {
            Duration::ZERO
        } else {
            timing.wait
        };
        let (timeout, call) = match self.position {
            Some(position) => (
                wait + CALL_SLACK,
                store.follow(table, position.version, wait),
            ),
            None => (READ_TIMEOUT, store.read(table)),
        };
        let timed_out = || {
            Err(FeedError::Unavailable {
                reason: format!("no answer within {} ms", timeout.as_millis()),
            })
        };
        let response = self.context.clock.timeout(timeout, call).await;
        response.unwrap_or_else(timed_out)
    }

    async fn update_from_peer(
        &mut self,
        timing: FeedTiming,
        peers: &[SocketAddr],
        peer: SocketAddr,
        wait: Duration,
    ) -> Option<FeedUpdate> {
        let position = self.position?;
        let query = RelayQuery {
            table: self.spec.table.to_owned(),
            after: position.version,
            at: position.at,
            wait,
        };
        let timeout = wait + RESPONSE_SLACK;
        let response = self.context.relays.query(peer, &query, timeout).await;
        let now = self.context.clock.now();
        let changes = match response {
            Ok(RelayResponse::Page(changes)) => changes,
            Ok(RelayResponse::Compacted) => {
                return self.avoid(peer, peers, "it knows no change as old");
            }
            Ok(RelayResponse::NoChange) if wait.is_zero() => {
                self.sources.record_no_change(now, peer);
                return None;
            }
            Ok(RelayResponse::NoChange) => return self.avoid(peer, peers, "it hears nothing new"),
            Ok(RelayResponse::Stale) => return self.avoid(peer, peers, "it has no news itself"),
            Err(error) => return self.avoid(peer, peers, &error.to_string()),
        };
        let confirmed_at = self.store_clock.date_relayed(now, changes.at);
        let source = Source::Peer(peer);
        self.apply_page(&changes, false, source);
        if confirmed_at.is_some_and(|at| now.since(at) <= relay_timeout(timing)) {
            self.sources
                .record_success(now, source, now + PEER_INTERVAL);
            self.context.metrics.feed_call("peer", true);
        } else {
            self.avoid(peer, peers, "its news is old");
        }
        Some(FeedUpdate {
            page: Ok(changes),
            all: false,
            confirmed_at,
        })
    }

    /// Asks others than this peer for a while.
    fn avoid(
        &mut self,
        peer: SocketAddr,
        peers: &[SocketAddr],
        reason: &str,
    ) -> Option<FeedUpdate> {
        let now = self.context.clock.now();
        log::debug!(table = self.spec.table, peer:%, reason; "a peer tells nothing new");
        self.context.metrics.feed_call("peer", false);
        self.sources.record_failure(now, Source::Peer(peer), peers);
        None
    }

    /// Takes in a page, and tells peers of it.
    fn apply_page(&mut self, page: &FeedPage, all: bool, source: Source) {
        let position = self.position.filter(|_| !all);
        let floor = position.map_or((RowVersion(0), StoreTime(0)), |it| (it.version, it.at));
        self.position = Some(FeedPosition {
            version: page.version.max(floor.0),
            at: page.at.max(floor.1),
        });
        self.spec.relay.apply_page(page, all);
        if self.last_source != Some(source) {
            self.last_source = Some(source);
            let table = self.spec.table;
            match source {
                Source::Store => log::info!(table; "rows are followed at the store"),
                Source::Peer(peer) => {
                    log::info!(table, peer:%; "rows are followed by way of a peer");
                }
            }
        }
    }
}
