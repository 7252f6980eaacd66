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
    BodyError, Client, PoolLimits, ResponseBody, Reuse, SendError, empty_body, full_body,
};
use tanagerhub_table::{FeedPage, RowVersion, StoreTime};

use crate::gateway::relay_log::{RelayAnswer, RelayLog};

/// How long a connection to a peer may take to open.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// The most bytes of a peer's question.
const ASK_BYTES: usize = 4 << 10;
/// The most bytes of a peer's answer.
const ANSWER_BYTES: usize = 4 << 20;
/// The path of the one call.
const PATH: &str = "/changes";

/// What a node asks a peer.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RelayAsk {
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
    Late,
}

/// One table as this node tells its peers of it.
#[derive(Debug, Default)]
pub(crate) struct RelayTable {
    log: Mutex<RelayLog>,
    changed: Event,
}

impl RelayTable {
    /// Takes in a page; `all` says that it holds all rows, not only those that changed.
    pub(crate) fn take(&self, page: &FeedPage, all: bool) {
        self.log().take(page, all);
        self.changed.notify(usize::MAX);
    }

    /// Notes that this node hears nothing new.
    pub(crate) fn lose(&self) {
        self.log().lose();
        self.changed.notify(usize::MAX);
    }

    /// Waits for what a peer does not know.
    async fn news(&self, clock: &Clock, ask: &RelayAsk) -> RelayAnswer {
        let end = clock.now() + ask.wait;
        loop {
            let changed = self.changed.listen();
            let news = self.log().news(ask.after, ask.at);
            if let Some(answer) = news {
                return answer;
            }
            let left = end.since(clock.now());
            if clock.timeout(left, changed).await.is_none() {
                return RelayAnswer::Quiet;
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
    pub(crate) async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let body = Limited::new(request.into_body(), ASK_BYTES).collect().await;
        let ask = match body {
            Ok(body) => decode_from_slice::<RelayAsk, _>(&body.to_bytes(), standard()),
            Err(error) => return refuse(&error.to_string()),
        };
        let ask = match ask {
            Ok((ask, _)) => ask,
            Err(error) => return refuse(&error.to_string()),
        };
        let table = self.tables.iter().find(|(name, _)| *name == ask.table);
        let Some((_, table)) = table else {
            return refuse("no such table");
        };
        let answer = table.news(&self.clock, &ask).await;
        match encode_to_vec(&answer, standard()) {
            Ok(bytes) => Response::new(full_body(bytes)),
            Err(error) => refuse(&error.to_string()),
        }
    }
}

fn refuse(reason: &str) -> Response<ResponseBody> {
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
            client: Client::new(PoolLimits::default(), CONNECT_LIMIT, clock.clone()),
            clock,
        }
    }

    /// Asks a peer, which has to answer within `limit`.
    ///
    /// Connections that were open when one went silent are not trusted any more.
    pub(crate) async fn ask(
        &self,
        peer: SocketAddr,
        ask: &RelayAsk,
        limit: Duration,
    ) -> Result<RelayAnswer, RelayError> {
        let answer = self.clock.timeout(limit, self.send(peer, ask)).await;
        let answer = answer.unwrap_or(Err(RelayError::Late));
        if answer.is_err() {
            self.client.forget(peer);
        }
        answer
    }

    async fn send(&self, peer: SocketAddr, ask: &RelayAsk) -> Result<RelayAnswer, RelayError> {
        let body = Full::new(Bytes::from(encode_to_vec(ask, standard())?));
        let request = Request::post(PATH)
            .header(HOST, peer.to_string())
            .body(body)?;
        let answer = self
            .client
            .send(peer, request, Reuse::Idle, || true)
            .await?;
        if answer.status != StatusCode::OK {
            return Err(RelayError::Status(answer.status));
        }
        let body = answer.body.read(ANSWER_BYTES).await?;
        let (answer, _) = decode_from_slice(&body, standard())?;
        Ok(answer)
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
        let differ = **self.0.load() != peers;
        if differ {
            self.0.store(Arc::new(peers));
        }
        differ
    }
}

#[cfg(test)]
mod tests;
