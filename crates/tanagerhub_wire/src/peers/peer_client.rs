//! Sends requests to peers over pooled HTTP/2 connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_std::net::TcpStream;
use async_std::task;
use bytes::Bytes;
use futures_lite::future;
use h2::client::SendRequest;
use http::{Request, StatusCode};
use tanagerhub_membership::{PeerRequest, PeerResponse};
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::peers::keep_alive::keep_alive;
use crate::peers::peer_counters::increment;
use crate::peers::peer_server::read_body;
use crate::peers::peer_transport::Shared;
use crate::peers::{Frame, MAX_FRAME_BYTES, PeerError};

/// An open connection; `id` distinguishes it from later connections to the same peer.
#[derive(Debug, Clone)]
struct PooledConnection {
    id: u64,
    sender: SendRequest<Bytes>,
}

/// The open connections, by the peer's address.
#[derive(Debug, Default)]
struct Pool {
    open: BTreeMap<SocketAddr, PooledConnection>,
    dial_count: u64,
}

/// Sends requests to peers; connects when no connection is open.
#[derive(Debug)]
pub(crate) struct PeerClient {
    shared: Arc<Shared>,
    pool: Arc<Mutex<Pool>>,
}

impl PeerClient {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            pool: Arc::default(),
        }
    }

    /// Sends a request and waits for its response.
    pub(crate) async fn send_request(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        let frame = Frame {
            boot: self.shared.boot,
            sequence: self.shared.next_sequence(),
            body: request,
        };
        let frame_error = |source| PeerError::Frame {
            address: to,
            source,
        };
        let sealed = frame
            .seal(&self.shared.key, &[], MAX_FRAME_BYTES)
            .map_err(frame_error)?;
        let sealed = Bytes::from(sealed);
        let open = self.connection(to).await?;
        let response = exchange(open.sender, to, sealed.clone()).await;
        if matches!(response, Err(PeerError::Connection { .. })) {
            remove_connection(&self.pool, to, open.id);
        }
        let bytes = response?;
        let opened =
            Frame::<PeerResponse>::open(&bytes, &self.shared.key, &sealed, MAX_FRAME_BYTES);
        opened.map(|frame| frame.body).map_err(|source| {
            self.shared.counters.count_dropped(&source);
            frame_error(source)
        })
    }

    /// Returns an open connection that accepts requests, or connects.
    async fn connection(&self, to: SocketAddr) -> Result<PooledConnection, PeerError> {
        let pooled = lock(&self.pool).open.get(&to).cloned();
        if let Some(open) = pooled {
            match open.sender.clone().ready().await {
                Ok(sender) => return Ok(PooledConnection { sender, ..open }),
                Err(_) => remove_connection(&self.pool, to, open.id),
            }
        }
        self.dial(to).await
    }

    async fn dial(&self, to: SocketAddr) -> Result<PooledConnection, PeerError> {
        increment(&self.shared.counters.dials);
        let stream = TcpStream::connect(to).await;
        let stream = stream.map_err(|source| PeerError::Connect {
            address: to,
            source,
        })?;
        // Without it small frames are delayed until earlier ones are acknowledged; the call fails
        // only on a dead socket.
        let _: std::io::Result<()> = stream.set_nodelay(true);
        let connection_error = |source| PeerError::Connection {
            address: to,
            source,
        };
        let handshake = h2::client::handshake(stream.compat()).await;
        let (sender, mut connection) = handshake.map_err(connection_error)?;
        let pings = connection.ping_pong();
        let id = {
            let mut pool = lock(&self.pool);
            pool.dial_count += 1;
            let id = pool.dial_count;
            let sender = sender.clone();
            pool.open.insert(to, PooledConnection { id, sender });
            id
        };
        let (shared, pool) = (Arc::clone(&self.shared), Arc::clone(&self.pool));
        task::spawn(async move {
            let traffic = async {
                let _: Result<(), h2::Error> = connection.await;
                false
            };
            let liveness = async {
                keep_alive(pings, &shared.clock).await;
                true
            };
            if future::or(traffic, liveness).await {
                increment(&shared.counters.dead);
            }
            remove_connection(&pool, to, id);
        });
        Ok(PooledConnection { id, sender })
    }
}

async fn exchange(
    mut sender: SendRequest<Bytes>,
    to: SocketAddr,
    body: Bytes,
) -> Result<Vec<u8>, PeerError> {
    let connection_error = |source| PeerError::Connection {
        address: to,
        source,
    };
    let request = Request::post(format!("http://{to}/peer")).body(());
    let request = request.expect("a socket address is a valid authority");
    let (response, mut stream) = sender
        .send_request(request, false)
        .map_err(connection_error)?;
    stream.send_data(body, true).map_err(connection_error)?;
    let response = response.await.map_err(connection_error)?;
    let status = response.status();
    if status != StatusCode::OK {
        let status = status.as_u16();
        return Err(PeerError::Status {
            address: to,
            status,
        });
    }
    let body = read_body(response.into_body())
        .await
        .map_err(connection_error)?;
    let body = body.map_err(|source| PeerError::Frame {
        address: to,
        source,
    })?;
    Ok(body.to_vec())
}

fn remove_connection(pool: &Mutex<Pool>, to: SocketAddr, id: u64) {
    let mut pool = lock(pool);
    if pool.open.get(&to).is_some_and(|open| open.id == id) {
        pool.open.remove(&to);
    }
}

fn lock(pool: &Mutex<Pool>) -> MutexGuard<'_, Pool> {
    pool.lock().unwrap_or_else(PoisonError::into_inner)
}
