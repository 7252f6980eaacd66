//! Tells peers what this node hears of the store's tables, and asks peers for the same.
//!
//! All nodes of a data centre but one hear of the store's rows by way of a peer, so that the calls
//! of a large fleet grow with its data centres and not with its nodes. How old the news is shows
//! the store's own clock, which travels along: a slow peer can't make it look younger.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use bincode::config::standard;
use bincode::serde::{decode_from_slice, encode_to_vec};
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
    BodyError, Client, PoolLimits, ReplyBody, Reuse, SendError, empty_body, full_body,
};
use tanagerhub_table::{FeedPage, RowVersion, StoreTime};

use crate::gateway::relay_log::{RelayLog, RelayResponse};

/// How long a connection to a peer may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The most bytes of a peer's question.
const MAX_QUERY_BYTES: usize = 4 << 10;
/// The most bytes of a peer's answer.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// The path of the one call.
const PATH: &str = "/changes";

/// What a node asks a peer.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RelayQuery {
    pub(crate) table: String,
    /// The version up to which the node knows the table.
    pub(crate) after: RowVersion,
    /// The store's time as of which it knows that.
    pub(crate) at: StoreTime,
    /// How long the peer may wait for news.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(crate) wait: Duration,
}

/// Why a peer told nothing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RelayError {
    #[error(transparent)]
    Send(#[from] SendError),
    #[error(transparent)]
    Body(#[from] BodyError),
    #[error("the question can't be written: {0}")]
    Request(#[from] http::Error),
    #[error("the question can't be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    #[error("the answer can't be read: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    #[error("the answer's status is {0}")]
    Status(StatusCode),
    #[error("no answer in time")]
    Timeout,
}

/// One table as this node tells its peers of it.
#[derive(Debug, Default)]
pub(crate) struct RelayTable {
    log: Mutex<RelayLog>,
    changed: Event,
}

impl RelayTable {
    /// Takes in a page; `all` says that it holds all rows, not only those that changed.
    pub(crate) fn apply_page(&self, page: &FeedPage, all: bool) {
        self.log().apply_page(page, all);
        self.changed.notify(usize::MAX);
    }

    /// Notes that this node hears nothing new.
    pub(crate) fn mark_stale(&self) {
        self.log().mark_stale();
        self.changed.notify(usize::MAX);
    }

    /// Waits for what a peer does not know.
    async fn wait_for_changes(&self, clock: &Clock, query: &RelayQuery) -> RelayResponse {
        let deadline = clock.now() + query.wait;
        loop {
            let changed = self.changed.listen();
            let newer = self.log().changes_since(query.after, query.at);
            if let Some(response) = newer {
                return response;
            }
            let left = deadline.since(clock.now());
            if clock.timeout(left, changed).await.is_none() {
                return RelayResponse::NoChange;
            }
        }
    }

    fn log(&self) -> MutexGuard<'_, RelayLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// All tables that this node tells its peers of.
#[derive(Debug)]
pub(crate) struct Relay {
    clock: Clock,
    tables: Vec<(&'static str, Arc<RelayTable>)>,
}

impl Relay {
    pub(crate) const fn new(clock: Clock, tables: Vec<(&'static str, Arc<RelayTable>)>) -> Self {
        Self { clock, tables }
    }

    /// Answers a peer.
    pub(crate) async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ReplyBody> {
        let body = Limited::new(request.into_body(), MAX_QUERY_BYTES)
            .collect()
            .await;
        let query = match body {
            Ok(body) => decode_from_slice::<RelayQuery, _>(&body.to_bytes(), standard()),
            Err(error) => return bad_request(&error.to_string()),
        };
        let query = match query {
            Ok((query, _)) => query,
            Err(error) => return bad_request(&error.to_string()),
        };
        let table = self.tables.iter().find(|(name, _)| *name == query.table);
        let Some((_, table)) = table else {
            return bad_request("no such table");
        };
        let response = table.wait_for_changes(&self.clock, &query).await;
        match encode_to_vec(&response, standard()) {
            Ok(bytes) => Response::new(full_body(bytes)),
            Err(error) => bad_request(&error.to_string()),
        }
    }
}

fn bad_request(reason: &str) -> Response<ReplyBody> {
    log::warn!(reason; "a peer's question can't be answered");
    let mut response = Response::new(empty_body());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

/// Asks peers for what they hear of the store's tables.
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

    /// Asks a peer, which has to answer within `limit`.
    ///
    /// Connections that were open when one went silent are not trusted any more.
    pub(crate) async fn query(
        &self,
        peer: SocketAddr,
        query: &RelayQuery,
        timeout: Duration,
    ) -> Result<RelayResponse, RelayError> {
        let response = self.clock.timeout(timeout, self.send(peer, query)).await;
        let response = response.unwrap_or(Err(RelayError::Timeout));
        if response.is_err() {
            self.client.forget(peer);
        }
        response
    }

    async fn send(
        &self,
        peer: SocketAddr,
        query: &RelayQuery,
    ) -> Result<RelayResponse, RelayError> {
        let body = Full::new(Bytes::from(encode_to_vec(query, standard())?));
        let request = Request::post(PATH)
            .header(HOST, peer.to_string())
            .body(body)?;
        let response = self
            .client
            .send(peer, request, Reuse::Idle, || true)
            .await?;
        if response.status != StatusCode::OK {
            return Err(RelayError::Status(response.status));
        }
        let body = response.body.read(MAX_RESPONSE_BYTES).await?;
        let (response, _) = decode_from_slice(&body, standard())?;
        Ok(response)
    }
}

/// The peers from which this node may hear of the store's rows, the best first.
#[derive(Debug, Default)]
pub(crate) struct Peers(ArcSwap<Vec<SocketAddr>>);

impl Peers {
    pub(crate) fn get(&self) -> Arc<Vec<SocketAddr>> {
        self.0.load_full()
    }

    /// Sets the peers; says whether they are others than before.
    pub(crate) fn set(&self, peers: Vec<SocketAddr>) -> bool {
        let changed = **self.0.load() != peers;
        if changed {
            self.0.store(Arc::new(peers));
        }
        changed
    }
}

#[cfg(test)]
mod tests;
