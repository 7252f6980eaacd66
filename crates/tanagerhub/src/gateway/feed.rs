//! Follows the changes of a table, either at the store or through a peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use futures_lite::future;
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_table::{
    FeedError, FeedPage, PageKind, RowVersion, StoreAnswer, StoreClock, StoreTime, StoreVersion,
};

use crate::gateway::feed_source::{FeedSources, FeedStep, Source};
use crate::gateway::feed_timing::{FeedTiming, SharedFeedTiming};
use crate::gateway::relay::{Peers, RelayClient, RelayQuery, RelayQueryError, RelayTable};
use crate::gateway::relay_log::RelayResponse;
use crate::gateway::store_eras::StoreEras;
use crate::gateway::store_health::{MIN_PEERS, StoreHealth};
use crate::gateway::{GatewayMetrics, Store};

/// The time beyond its wait after which a call to the store times out.
pub(crate) const CALL_SLACK: Duration = Duration::from_millis(600);
/// The timeout of a read of a whole table.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// The time beyond the store's slowest response within which a peer must have new data.
const RELAY_SLACK: Duration = Duration::from_millis(150);
/// The time beyond its wait after which a call to a peer times out.
const RESPONSE_SLACK: Duration = Duration::from_millis(150);
/// The minimum time between two calls to a peer.
const PEER_INTERVAL: Duration = Duration::from_millis(50);

/// A page of a table's rows, or the failure of all sources.
#[derive(Debug)]
pub(crate) struct FeedUpdate {
    pub(crate) page: Result<FeedPage, FeedError>,
    /// What the rows of the page are.
    pub(crate) kind: PageKind,
    /// The lower bound of the moment at which the page was current; `None` if it can't be dated, or
    /// if rows may be missing that the store lost and that are not written again yet.
    pub(crate) confirmed_at: Option<Moment>,
}

/// The table that a feed follows, its timing and its relay to peers.
#[derive(Debug, Clone)]
pub(crate) struct FeedSpec {
    pub(crate) table: &'static str,
    pub(crate) timing: Arc<SharedFeedTiming>,
    /// The copy of the table's changes that peers can query.
    pub(crate) relay: Arc<RelayTable>,
}

/// The sources of a feed and the facilities that it needs.
#[derive(Debug, Clone)]
pub(crate) struct FeedContext {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) relays: RelayClient,
    pub(crate) peers: Arc<Peers>,
    pub(crate) clock: Clock,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) health: Arc<StoreHealth>,
    pub(crate) eras: Arc<StoreEras>,
}

/// Follows a table and sends its updates until the receiver is dropped.
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

/// Returns how old the newest data from a peer may be before the node uses another source.
pub(crate) fn relay_timeout(timing: FeedTiming) -> Duration {
    timing.wait + timing.interval + RELAY_SLACK + RESPONSE_SLACK
}

/// The state of following one table.
#[derive(Debug)]
struct Feed {
    context: FeedContext,
    spec: FeedSpec,
    sources: FeedSources,
    /// The version and the time up to which the table is known; `None` if all rows must be read.
    position: Option<FeedPosition>,
    /// The last known version, also while all rows must be read again.
    last_version: StoreVersion,
    /// Whether rows may be missing, since the store has returned from a copy.
    is_restoring: bool,
    store_clock: StoreClock,
    /// The source of the last page, to log each change of the source.
    last_source: Option<Source>,
}

/// The version and the store's time up to which the changes of a table are known.
#[derive(Debug, Clone, Copy)]
struct FeedPosition {
    version: StoreVersion,
    at: StoreTime,
}

impl Feed {
    fn new(context: FeedContext, spec: FeedSpec) -> Self {
        Self {
            context,
            spec,
            sources: FeedSources::default(),
            position: None,
            last_version: StoreVersion::default(),
            is_restoring: false,
            store_clock: StoreClock::default(),
            last_source: None,
        }
    }

    /// Makes one call, or waits until one is due. Returns the update that the call resulted in.
    ///
    /// A call ends early if the table must be read anew in the meantime.
    async fn step(&mut self) -> Option<FeedUpdate> {
        let eras = Arc::clone(&self.context.eras);
        let Some(position) = self.position else {
            return self.call().await;
        };
        let known = position.version.era;
        let restored = eras.restored_at().filter(|_| self.is_restoring);
        let renewed = async {
            eras.wait_for_renewal(known, restored).await;
            None
        };
        let update = future::or(renewed, async { Some(self.call().await) }).await;
        if update.is_none() {
            self.read_anew();
        }
        update.flatten()
    }

    /// Has the next call read all rows from the store.
    fn read_anew(&mut self) {
        self.position = None;
        self.sources.forget_failures();
    }

    async fn call(&mut self) -> Option<FeedUpdate> {
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
        let answer = if peers.len() < MIN_PEERS {
            self.call_store(timing).await
        } else {
            self.call_store_if_healthy(timing).await
        };
        let received = self.context.clock.now();
        match self.checked(answer) {
            Ok(page) => self.apply_store_page(timing, sent, received, page),
            Err(error) => {
                if error == FeedError::Compacted {
                    // The store responds, so that the rows can be read at once.
                    self.read_anew();
                    return None;
                }
                self.sources.record_failure(received, Source::Store, peers);
                if !self.sources.all_failed(peers) {
                    return None;
                }
                self.spec.relay.mark_stale();
                Some(FeedUpdate {
                    page: Err(error),
                    kind: PageKind::Changes,
                    confirmed_at: None,
                })
            }
        }
    }

    /// Returns the page of a response, unless the response is of an earlier era.
    fn checked(
        &self,
        answer: StoreAnswer<Result<FeedPage, FeedError>>,
    ) -> Result<FeedPage, FeedError> {
        let is_named = answer.result.is_ok() || answer.era.is_some();
        if is_named && !self.context.eras.observe(answer.era) {
            let reason = format!("the response is of the era {:?}", answer.era);
            return Err(FeedError::Unavailable { reason });
        }
        answer.result
    }

    fn apply_store_page(
        &mut self,
        timing: FeedTiming,
        sent: Moment,
        received: Moment,
        page: FeedPage,
    ) -> Option<FeedUpdate> {
        let eras = &self.context.eras;
        let version = page.store_version();
        let has_fallen = version < self.last_version;
        if has_fallen {
            eras.record_return();
        }
        let known = self.position.map(|position| position.version.era);
        if has_fallen && known.is_some() || known.is_some_and(|era| era != page.era) {
            // Changes since a version of another history are not all changes.
            self.last_version = StoreVersion::new(page.era, RowVersion(0));
            self.read_anew();
            return None;
        }
        let kind = match known {
            Some(_) => PageKind::Changes,
            None if eras.is_restored(sent) => PageKind::All,
            None => PageKind::Restored,
        };
        if kind != PageKind::Changes {
            self.is_restoring = kind == PageKind::Restored;
            self.store_clock = StoreClock::default();
        }
        let until = sent + timing.interval;
        self.sources.record_success(received, Source::Store, until);
        let confirmed_at = self.store_clock.as_of(sent, received, page.at);
        self.apply_page(&page, kind, Source::Store);
        Some(FeedUpdate {
            page: Ok(page),
            kind,
            confirmed_at: Some(confirmed_at).filter(|at| self.context.eras.is_restored(*at)),
        })
    }

    /// Calls the store, unless a call of this node has failed a moment ago.
    async fn call_store_if_healthy(
        &self,
        timing: FeedTiming,
    ) -> StoreAnswer<Result<FeedPage, FeedError>> {
        let health = &self.context.health;
        if !health.begin_call(self.context.clock.now()) {
            let reason = "another call of this node has failed".to_owned();
            return Err(FeedError::Unavailable { reason }).into();
        }
        let response = self.call_store(timing).await;
        let failed = matches!(
            response.result,
            Err(FeedError::Unavailable { .. } | FeedError::RateLimited)
        );
        health.record_call(self.context.clock.now(), !failed);
        response
    }

    async fn call_store(&self, timing: FeedTiming) -> StoreAnswer<Result<FeedPage, FeedError>> {
        let (store, table) = (&*self.context.store, self.spec.table);
        // After a failure, a response without changes is needed at once, since it confirms that the
        // known rows are current.
        let wait = if self.sources.last_call_failed() {
            Duration::ZERO
        } else {
            timing.wait
        };
        let (timeout, call) = match self.position {
            Some(position) => (
                wait + CALL_SLACK,
                store.follow(table, position.version.version, wait),
            ),
            None => (READ_TIMEOUT, store.read(table)),
        };
        let timed_out = || {
            StoreAnswer::from(Err(FeedError::Unavailable {
                reason: format!("no response within {} ms", timeout.as_millis()),
            }))
        };
        let response = self.context.clock.timeout(timeout, call).await;
        let response = response.unwrap_or_else(timed_out);
        let responded = response.result.is_ok();
        self.context.metrics.feed_call("store", responded);
        response
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
            after: position.version.version,
            at: position.at,
            wait,
            era: position.version.era,
        };
        let timeout = wait + RESPONSE_SLACK;
        let answer = self.context.relays.query(peer, &query, timeout).await;
        let now = self.context.clock.now();
        let (response, era) = match answer {
            Ok(answer) => (Ok(answer.result), answer.era),
            Err(error) => (Err(error), query.era),
        };
        if era > query.era {
            // The peer knows a newer era. Only the store itself can tell its rows.
            self.avoid(peer, peers, "it knows a newer era of the store");
            self.read_anew();
            return None;
        }
        let changes = match response {
            Ok(RelayResponse::Page(_)) if era < query.era => {
                return self.avoid(peer, peers, "it names no current era of the store");
            }
            Ok(RelayResponse::Page(changes)) if changes.store_version() < position.version => {
                return self.avoid(peer, peers, "its version is lower");
            }
            Ok(RelayResponse::Page(changes)) => changes,
            Ok(RelayResponse::Compacted) => {
                return self.avoid(peer, peers, "it no longer keeps changes that old");
            }
            Ok(RelayResponse::NoChange) if wait.is_zero() => {
                self.sources.record_no_change(now, peer);
                return None;
            }
            Ok(RelayResponse::NoChange) => return self.avoid(peer, peers, "it has no newer data"),
            Ok(RelayResponse::Stale) => {
                self.context.metrics.feed_call("peer", false);
                self.sources.record_stale(now, peer);
                return None;
            }
            Err(error) => {
                if let RelayQueryError::Decode(error) = &error {
                    self.context.metrics.unreadable_value("page", error);
                }
                return self.avoid(peer, peers, &error.to_string());
            }
        };
        let confirmed_at = self.store_clock.as_of_relayed(now, changes.at);
        let source = Source::Peer(peer);
        self.apply_page(&changes, PageKind::Changes, source);
        if confirmed_at.is_some_and(|at| now.since(at) <= relay_timeout(timing)) {
            self.sources
                .record_success(now, source, now + PEER_INTERVAL);
            self.context.metrics.feed_call("peer", true);
        } else {
            self.avoid(peer, peers, "its response is too old");
        }
        Some(FeedUpdate {
            page: Ok(changes),
            kind: PageKind::Changes,
            confirmed_at: confirmed_at.filter(|at| self.context.eras.is_restored(*at)),
        })
    }

    /// Records a failure of a peer, so that the feed uses other sources for some time.
    fn avoid(
        &mut self,
        peer: SocketAddr,
        peers: &[SocketAddr],
        reason: &str,
    ) -> Option<FeedUpdate> {
        let now = self.context.clock.now();
        log::debug!(table = self.spec.table, peer:%, reason; "peer gave no current data");
        self.context.metrics.feed_call("peer", false);
        self.sources.record_failure(now, Source::Peer(peer), peers);
        None
    }

    /// Advances the position of the feed by a page and makes the page available to peers.
    fn apply_page(&mut self, page: &FeedPage, kind: PageKind, source: Source) {
        let version = page.store_version();
        let known_at = self.position.map_or(StoreTime(0), |position| position.at);
        self.position = Some(FeedPosition {
            version,
            at: page.at.max(known_at),
        });
        self.last_version = version;
        self.spec.relay.apply_page(page, kind);
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

#[cfg(test)]
mod tests;
