//! A feed against a scripted store and a peer's relay, with the store's return from a copy.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::TcpListener;
use tanagerhub_clock::{Clock, ManualClock};
use tanagerhub_proxy::{Server, ServerLimits, serve};
use tanagerhub_table::{
    CommitResult, FeedError, FeedPage, PageKind, RowKey, RowVersion, StoreAnswer, StoreEra,
    StoreTime, Transaction, VersionedRow,
};
use yare::parameterized;

use super::{Feed, FeedContext, FeedSpec, FeedUpdate};
use crate::gateway::feed_timing::SharedFeedTimings;
use crate::gateway::relay::{Peers, Relay, RelayClient, RelayTable};
use crate::gateway::store_eras::StoreEras;
use crate::gateway::store_health::StoreHealth;
use crate::gateway::{BoxFuture, GatewayMetrics, Store};

type Answer = StoreAnswer<Result<FeedPage, FeedError>>;

/// A store with scripted answers. It notes the calls: `None` reads all rows, `Some` the changes
/// since a version.
#[derive(Debug, Default)]
struct ScriptedStore {
    answers: Mutex<VecDeque<Answer>>,
    calls: Mutex<Vec<Option<u64>>>,
}

impl ScriptedStore {
    fn answer(&self, call: Option<u64>) -> BoxFuture<'_, Answer> {
        self.calls.lock().unwrap().push(call);
        let answer = self.answers.lock().unwrap().pop_front();
        Box::pin(async move {
            match answer {
                Some(answer) => answer,
                None => futures_lite::future::pending().await,
            }
        })
    }
}

impl Store for ScriptedStore {
    fn commit(&self, _: Transaction) -> BoxFuture<'_, StoreAnswer<CommitResult>> {
        Box::pin(async { CommitResult::NotApplied.into() })
    }

    fn read(&self, _: &'static str) -> BoxFuture<'_, Answer> {
        self.answer(None)
    }

    fn follow(&self, _: &'static str, after: RowVersion, _: Duration) -> BoxFuture<'_, Answer> {
        self.answer(Some(after.0))
    }
}

fn page(era: u64, version: u64, at: u64) -> FeedPage {
    let row = VersionedRow {
        key: RowKey::in_table("operators", "configuration"),
        version: RowVersion(version),
        value: Some(format!("{era}/{version}").into_bytes()),
    };
    FeedPage {
        rows: vec![row],
        version: RowVersion(version),
        at: StoreTime(at),
        era: (era > 0).then_some(StoreEra(era)),
    }
}

fn answer(page: FeedPage) -> Answer {
    let era = page.era;
    StoreAnswer::new(Ok(page), era)
}

struct Setup {
    store: Arc<ScriptedStore>,
    eras: Arc<StoreEras>,
    peers: Arc<Peers>,
    clock: Clock,
    manual: Arc<ManualClock>,
    feed: Feed,
}

impl Setup {
    /// Returns a feed that has read the rows at version 10 of an era, or of none if it is zero, and
    /// whose rows have been complete since then.
    async fn at_version_10(era: u64) -> Self {
        let (clock, manual) = Clock::manual();
        manual.advance(Duration::from_secs(10));
        let store = Arc::new(ScriptedStore::default());
        let metrics = GatewayMetrics::default();
        let eras = StoreEras::new(clock.clone(), metrics.clone());
        let peers = Arc::new(Peers::default());
        let context = FeedContext {
            store: Arc::clone(&store) as Arc<dyn Store>,
            relays: RelayClient::new(clock.clone()),
            peers: Arc::clone(&peers),
            clock: clock.clone(),
            metrics,
            health: Arc::new(StoreHealth::default()),
            eras: Arc::clone(&eras),
        };
        let spec = FeedSpec {
            table: "operators",
            timing: SharedFeedTimings::default().operators,
            relay: Arc::default(),
        };
        let mut setup = Self {
            store,
            eras,
            peers,
            clock,
            manual,
            feed: Feed::new(context, spec),
        };
        setup.eras.observe((era > 0).then_some(StoreEra(era)));
        setup.manual.advance(Duration::from_secs(10));
        setup.script(answer(page(era, 10, 1_000)));
        let update = setup.step().await.unwrap();
        assert_eq!(update.kind, PageKind::All);
        assert!(update.confirmed_at.is_some());
        setup.take_calls();
        setup.manual.advance(Duration::from_secs(1));
        setup
    }

    fn script(&self, answer: Answer) {
        self.store.answers.lock().unwrap().push_back(answer);
    }

    fn take_calls(&self) -> Vec<Option<u64>> {
        std::mem::take(&mut self.store.calls.lock().unwrap())
    }

    async fn step(&mut self) -> Option<FeedUpdate> {
        self.feed.step().await
    }

    /// Serves the pages as a peer, the only one of this feed.
    async fn serve_peer(&self, pages: &[FeedPage]) -> Server {
        let table = Arc::new(RelayTable::default());
        for (index, page) in pages.iter().enumerate() {
            let kind = if index == 0 {
                PageKind::All
            } else {
                PageKind::Changes
            };
            table.apply_page(page, kind);
        }
        let tables = vec![("operators", table)];
        let relay = Relay::new(self.clock.clone(), GatewayMetrics::default(), tables);
        let relay = Arc::new(relay);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let handler = move |request| Arc::clone(&relay).handle(request);
        let server = serve(listener, ServerLimits::default(), Clock::real(), handler).unwrap();
        self.peers.set(vec![address]);
        server
    }

    /// Asserts that the rows are read anew at once, and count as complete and confirmed only once
    /// their writers had time to write them again.
    async fn assert_read_anew(&mut self, era: u64) {
        self.take_calls();
        self.script(answer(page(era, 6, 3_000)));
        let update = self.step().await.unwrap();
        assert_eq!(self.take_calls(), [None]);
        assert_eq!(update.kind, PageKind::Restored);
        assert_eq!(update.page.unwrap().version, RowVersion(6));
        assert_eq!(update.confirmed_at, None);

        self.peers.set(Vec::new());
        self.manual.advance(Duration::from_secs(1));
        self.script(answer(page(era, 7, 4_000)));
        let update = self.step().await.unwrap();
        assert_eq!(self.take_calls(), [Some(6)]);
        assert_eq!(update.kind, PageKind::Changes);
        assert_eq!(update.confirmed_at, None);

        self.manual.advance(Duration::from_secs(2));
        assert!(self.step().await.is_none());
        self.script(answer(page(era, 8, 6_000)));
        let update = self.step().await.unwrap();
        assert_eq!(self.take_calls(), [None]);
        assert_eq!(update.kind, PageKind::All);
        assert!(update.confirmed_at.is_some());
    }
}

/// Guards against a feed that follows a version of the era before after the store's return from a
/// copy: it passes over all rows up to that version, or forever takes another row for a known one.
#[parameterized(
    version_fell = { 8 },
    same_number = { 10 },
    version_passed_unseen = { 15 },
)]
fn new_era_at_the_store(version: u64) {
    async_std::task::block_on(async {
        let mut setup = Setup::at_version_10(1).await;
        setup.script(answer(page(2, version, 2_000)));
        assert!(setup.step().await.is_none());
        setup.assert_read_anew(2).await;
    });
}

/// The store has discarded the version: the era is known only by the next response.
#[parameterized(
    named = { 2 },
    fallen_without_era = { 0 },
)]
fn compacted_after_return(era: u64) {
    async_std::task::block_on(async {
        let mut setup = Setup::at_version_10(era.saturating_sub(1)).await;
        setup.script(Err(FeedError::Compacted).into());
        assert!(setup.step().await.is_none());
        // The rows are read at once, without a delay for retries.
        setup.assert_read_anew(era).await;
    });
}

/// Guards against a feed that keeps the higher version where the store names no eras.
#[test]
fn version_fell_without_era() {
    async_std::task::block_on(async {
        let mut setup = Setup::at_version_10(0).await;
        setup.script(answer(page(0, 8, 2_000)));
        assert!(setup.step().await.is_none());
        setup.assert_read_anew(0).await;
    });
}

/// The table is read anew while the feed waits for changes, not only at its next call.
#[test]
fn new_era_noticed_by_another_call() {
    async_std::task::block_on(async {
        let mut setup = Setup::at_version_10(1).await;
        let eras = Arc::clone(&setup.eras);
        let noticed = async {
            async_std::task::sleep(Duration::from_millis(20)).await;
            eras.observe(Some(StoreEra(2)));
            futures_lite::future::pending().await
        };
        let update = futures_lite::future::or(setup.feed.step(), noticed).await;
        assert!(update.is_none());
        setup.assert_read_anew(2).await;
    });
}

/// Guards against a late response of the era before, and against one that names none.
#[parameterized(
    earlier = { 1 },
    unnamed = { 0 },
)]
fn late_response_of_old_era(era: u64) {
    async_std::task::block_on(async {
        let mut setup = Setup::at_version_10(2).await;
        setup.script(answer(page(era, 15, 2_000)));
        let update = setup.step().await.unwrap();
        assert_eq!(update.confirmed_at, None);
        update.page.unwrap_err();
        setup.manual.advance(Duration::from_secs(2));
        setup.script(answer(page(2, 11, 4_000)));
        let update = setup.step().await.unwrap();
        assert_eq!(setup.take_calls(), [Some(10), Some(10)]);
        assert_eq!(update.kind, PageKind::Changes);
        assert!(update.confirmed_at.is_some());
    });
}

/// Guards against rows of a peer that has heard of the store's return, whatever its version.
#[parameterized(
    version_fell = { 8 },
    same_number = { 10 },
    version_passed_unseen = { 15 },
)]
fn new_era_at_a_peer(version: u64) {
    async_std::task::block_on(async {
        let mut setup = Setup::at_version_10(1).await;
        let _server = setup
            .serve_peer(&[page(2, 3, 1_500), page(2, version, 2_000)])
            .await;
        assert!(setup.step().await.is_none());
        assert_eq!(setup.take_calls(), []);
        setup.assert_read_anew(2).await;
    });
}

/// Guards against the time of a peer that is of the era before, or of a build that names no era:
/// neither can confirm what this node knows of the current era.
#[parameterized(
    earlier_era = { &[page(1, 3, 900), page(1, 15, 2_000)] },
    old_build = { &[page(0, 3, 900), page(0, 15, 2_000)] },
    old_build_same_number = { &[page(0, 3, 900), page(0, 10, 2_000)] },
)]
fn peer_without_current_era(pages: &[FeedPage]) {
    async_std::task::block_on(async {
        let mut setup = Setup::at_version_10(2).await;
        let _server = setup.serve_peer(pages).await;
        assert!(setup.step().await.is_none(), "nothing is confirmed");
        setup.script(answer(page(2, 11, 3_000)));
        let update = setup.step().await.unwrap();
        assert_eq!(setup.take_calls(), [Some(10)]);
        assert!(update.confirmed_at.is_some());
    });
}

/// Guards against a peer of a store without eras that has returned from a copy.
#[test]
fn lower_version_at_a_peer() {
    async_std::task::block_on(async {
        let mut setup = Setup::at_version_10(0).await;
        let _server = setup
            .serve_peer(&[page(0, 3, 900), page(0, 8, 2_000)])
            .await;
        assert!(setup.step().await.is_none(), "nothing is confirmed");
    });
}

/// A peer of the same era is followed as before.
#[parameterized(
    named = { 2 },
    unnamed = { 0 },
)]
fn peer_of_same_era(era: u64) {
    async_std::task::block_on(async {
        let mut setup = Setup::at_version_10(era).await;
        let _server = setup
            .serve_peer(&[page(era, 3, 900), page(era, 15, 2_000)])
            .await;
        let update = setup.step().await.unwrap();
        assert_eq!(update.page.unwrap().version, RowVersion(15));
        assert!(update.confirmed_at.is_some());
        assert_eq!(setup.take_calls(), []);
    });
}
