//! Relays the changes of the store's tables between nodes of a data centre.
//!
//! All nodes of a data centre but one receive the store's rows through a peer, so that the calls to
//! the store grow in number with the data centres and not with the nodes. Each page carries the
//! store's own time, which determines its age: a slow peer can't make it look newer.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use event_listener::Event;
use http::header::HOST;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_clock::Clock;
use tanagerhub_proxy::{
    BodyError, Client, PoolLimits, ResponseBody, Reuse, SendError, empty_body, full_body,
};
use tanagerhub_table::{
    DecodeError, FeedPage, PageKind, RowVersion, Sections, StoreAnswer, StoreEra, StoreTime,
    StoreVersion, decode_value, encode_value,
};

use crate::gateway::GatewayMetrics;
use crate::gateway::relay_log::{RelayLog, RelayResponse};

/// The timeout for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The maximum size of a peer's query.
const MAX_QUERY_BYTES: usize = 4 << 10;
/// The maximum size of a peer's response.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// The path of the only call.
const PATH: &str = "/changes";
/// The tag of the section with the era of the store, in queries and in responses. Builds without it
/// ignore what follows the content of either.
const ERA_SECTION: u8 = 1;

/// A query for the changes of a table, sent to a peer.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RelayQuery {
    pub(crate) table: String,
    /// The version up to which the querying node has the table.
    pub(crate) after: RowVersion,
    /// The store's time of that data.
    pub(crate) at: StoreTime,
    /// How long the peer may wait for newer data before it responds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(crate) wait: Duration,
    /// The era of that data, which is sent in a section.
    #[serde(skip)]
    pub(crate) era: Option<StoreEra>,
}

/// The reason why a query to a peer failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RelayQueryError {
    #[error(transparent)]
    Send(#[from] SendError),
    #[error(transparent)]
    Body(#[from] BodyError),
    #[error("failed to build the query: {0}")]
    Request(#[from] http::Error),
    #[error("failed to decode the response: {0}")]
    Decode(#[from] DecodeError),
    #[error("failed to decompress the response: {0}")]
    Decompress(#[from] io::Error),
    #[error("the response has status {0}")]
    Status(StatusCode),
    #[error("the peer did not respond in time")]
    Timeout,
}

/// The newest changes of one table, which peers can query.
#[derive(Debug, Default)]
pub(crate) struct RelayTable {
    log: Mutex<RelayLog>,
    changed: Event,
}

impl RelayTable {
    /// Adds a page.
    pub(crate) fn apply_page(&self, page: &FeedPage, kind: PageKind) {
        self.log().apply_page(page, kind);
        self.changed.notify(usize::MAX);
    }

    /// Records that all sources of this node have failed.
    pub(crate) fn mark_stale(&self) {
        self.log().mark_stale();
        self.changed.notify(usize::MAX);
    }

    /// Waits until there is newer data than the peer has, for at most the wait of its query.
    async fn wait_for_changes(
        &self,
        clock: &Clock,
        query: &RelayQuery,
    ) -> StoreAnswer<RelayResponse> {
        let deadline = clock.now() + query.wait;
        let after = StoreVersion::new(query.era, query.after);
        loop {
            let changed = self.changed.listen();
            let (newer, era) = {
                let log = self.log();
                (log.changes_since(after, query.at), log.era())
            };
            if let Some(response) = newer {
                return StoreAnswer::new(response, era);
            }
            let left = deadline.since(clock.now());
            if clock.timeout(left, changed).await.is_none() {
                return StoreAnswer::new(RelayResponse::NoChange, era);
            }
        }
    }

    fn log(&self) -> MutexGuard<'_, RelayLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The tables that peers can query at this node.
#[derive(Debug)]
pub(crate) struct Relay {
    clock: Clock,
    metrics: GatewayMetrics,
    tables: Vec<(&'static str, Arc<RelayTable>)>,
}

impl Relay {
    pub(crate) const fn new(
        clock: Clock,
        metrics: GatewayMetrics,
        tables: Vec<(&'static str, Arc<RelayTable>)>,
    ) -> Self {
        Self {
            clock,
            metrics,
            tables,
        }
    }

    /// Handles the query of a peer.
    pub(crate) async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let may_compress = compression::is_accepted(request.headers());
        let body = Limited::new(request.into_body(), MAX_QUERY_BYTES)
            .collect()
            .await;
        let query = match body {
            Ok(body) => decode_query(&body.to_bytes()),
            Err(error) => {
                self.metrics.unreadable_value("query", &error);
                return bad_request();
            }
        };
        let query = match query {
            Ok(query) => query,
            Err(error) => {
                self.metrics.unreadable_value("query", &error);
                return bad_request();
            }
        };
        let table = self.tables.iter().find(|(name, _)| *name == query.table);
        let Some((_, table)) = table else {
            let error = format!("no table \"{}\"", query.table);
            self.metrics.unreadable_value("query", &error);
            return bad_request();
        };
        let answer = table.wait_for_changes(&self.clock, &query).await;
        let body = encode_value(&answer.result, &era_section(answer.era));
        page_response(body, may_compress)
    }
}

fn encode_query(query: &RelayQuery) -> Vec<u8> {
    encode_value(query, &era_section(query.era))
}

fn decode_query(bytes: &[u8]) -> Result<RelayQuery, DecodeError> {
    let (query, sections) = decode_value::<RelayQuery>(bytes)?;
    let era = sections.get(ERA_SECTION);
    Ok(RelayQuery { era, ..query })
}

fn decode_response(bytes: &[u8]) -> Result<StoreAnswer<RelayResponse>, DecodeError> {
    let (mut response, sections) = decode_value(bytes)?;
    let era = sections.get(ERA_SECTION);
    if let RelayResponse::Page(page) = &mut response {
        page.era = era;
    }
    Ok(StoreAnswer::new(response, era))
}

/// Returns the section with an era, if there is one.
fn era_section(era: Option<StoreEra>) -> Sections {
    let sections = Sections::default();
    match era {
        Some(era) => sections.with(ERA_SECTION, &era),
        None => sections,
    }
}

fn page_response(body: Vec<u8>, may_compress: bool) -> Response<ResponseBody> {
    let compressed = may_compress.then(|| compression::compress(&body)).flatten();
    let Some(compressed) = compressed else {
        return Response::new(full_body(body));
    };
    let mut response = Response::new(full_body(compressed));
    response
        .headers_mut()
        .extend([compression::content_header()]);
    response
}

fn bad_request() -> Response<ResponseBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

/// A client that queries peers for the changes of the store's tables.
#[derive(Debug, Clone)]
pub(crate) struct RelayClient {
    client: Client,
    clock: Clock,
}

impl RelayClient {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            client: Client::new(PoolLimits::default(), CONNECT_TIMEOUT, clock.clone()),
            clock,
        }
    }

    /// Queries a peer, which must respond within `timeout`.
    ///
    /// After a failure all connections to the peer are closed, since the others may be unresponsive
    /// too.
    pub(crate) async fn query(
        &self,
        peer: SocketAddr,
        query: &RelayQuery,
        timeout: Duration,
    ) -> Result<StoreAnswer<RelayResponse>, RelayQueryError> {
        let response = self.clock.timeout(timeout, self.send(peer, query)).await;
        let response = response.unwrap_or(Err(RelayQueryError::Timeout));
        if response.is_err() {
            self.client.close_idle(peer);
        }
        response
    }

    async fn send(
        &self,
        peer: SocketAddr,
        query: &RelayQuery,
    ) -> Result<StoreAnswer<RelayResponse>, RelayQueryError> {
        let body = Full::new(Bytes::from(encode_query(query)));
        let mut request = Request::post(PATH)
            .header(HOST, peer.to_string())
            .body(body)?;
        request.headers_mut().extend([compression::accept_header()]);
        let response = self
            .client
            .send(peer, request, Reuse::Idle, || true)
            .await?;
        if response.status != StatusCode::OK {
            return Err(RelayQueryError::Status(response.status));
        }
        let is_compressed = compression::is_compressed(&response.headers);
        let mut body = response.body.read(MAX_RESPONSE_BYTES).await?;
        if is_compressed {
            body = compression::decompress(&body, MAX_RESPONSE_BYTES)?.into();
        }
        Ok(decode_response(&body)?)
    }
}

/// The peers that this node may query for the store's rows, in the order of preference.
#[derive(Debug, Default)]
pub(crate) struct Peers(ArcSwap<Vec<SocketAddr>>);

impl Peers {
    pub(crate) fn get(&self) -> Arc<Vec<SocketAddr>> {
        self.0.load_full()
    }

    /// Replaces the peers; returns whether they have changed.
    pub(crate) fn set(&self, peers: Vec<SocketAddr>) -> bool {
        let changed = **self.0.load() != peers;
        if changed {
            self.0.store(Arc::new(peers));
        }
        changed
    }
}

mod compression;
#[cfg(test)]
mod tests;
