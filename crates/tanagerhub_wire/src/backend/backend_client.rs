//! Sends requests to backend servers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ::http::{HeaderMap, StatusCode};
use async_std::net::TcpStream;
use tanagerhub_clock::Clock;

use crate::backend::backend_connection::{BackendConnection, DecodedResponse};
use crate::backend::pool::Pool;
use crate::backend::{BackendBody, BackendError, BackendRequest, PoolLimits, Timeouts};
use crate::engine::NOT_RUN;

/// The response of a backend server.
#[derive(Debug)]
pub struct BackendResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// All headers, including the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The body, which has not been read yet.
    pub body: BackendBody,
}

/// Sends requests to backend servers over a pool of connections; clones share the pool.
#[derive(Debug, Clone)]
pub struct BackendClient {
    pool: Arc<Pool>,
    clock: Clock,
}

impl BackendClient {
    /// Creates a client with an empty pool.
    #[must_use]
    pub fn new(limits: PoolLimits, clock: Clock) -> Self {
        Self {
            pool: Arc::new(Pool::new(limits)),
            clock,
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// The request is sent at most once; the caller decides on retries.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no usable response; [`BackendError::may_have_run`] says
    /// whether the backend server may have run the request.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// use http::Method;
    /// use tanagerhub_clock::Clock;
    /// use tanagerhub_wire::backend::{BackendClient, BackendRequest, PoolLimits};
    ///
    /// # async_std::task::block_on(async {
    /// let client = BackendClient::new(PoolLimits::default(), Clock::real());
    /// let request = BackendRequest::new(Method::GET, "/stock");
    /// let mut response = client.send("10.0.0.7:8000".parse()?, request).await?;
    /// while let Some(chunk) = response.body.next().await? {
    ///     println!("{} bytes", chunk.len());
    /// }
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// # }).unwrap();
    /// ```
    pub async fn send(
        &self,
        address: SocketAddr,
        request: BackendRequest,
    ) -> Result<BackendResponse, BackendError> {
        self.send_if(address, request, || true).await
    }

    /// Sends a request like [`Self::send`] if `may_send` returns `true` once the connection is
    /// open.
    ///
    /// The process can be paused for a long time while it connects, and the permission to send the
    /// request may have expired by then.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::send`], and [`BackendError::NotSent`] when `may_send` returns
    /// `false`.
    pub async fn send_if(
        &self,
        address: SocketAddr,
        request: BackendRequest,
        may_send: impl Fn() -> bool,
    ) -> Result<BackendResponse, BackendError> {
        let stream = self.connection(address, &request).await?;
        if !may_send() {
            return Err(BackendError::NotSent {
                address,
                reason: "it may no longer be sent".to_owned(),
            });
        }
        let mut connection = BackendConnection {
            address,
            stream,
            fully_sent: false,
        };
        let timeout = request.timeouts.first_byte;
        let decoded = self
            .clock
            .timeout(timeout, connection.exchange(&request))
            .await;
        let decoded = decoded.ok_or(BackendError::Timeout {
            address,
            after: timeout,
        })??;
        Ok(self.response(connection, decoded, &request.timeouts))
    }

    /// Closes connections that have been idle longer than [`PoolLimits::idle_timeout`].
    ///
    /// Must be called periodically, as the client has no timer of its own.
    pub fn close_expired(&self) {
        self.pool.close_expired(self.clock.now());
    }

    /// Closes the idle connections to a backend server that failed or was removed.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.close_idle(address);
    }

    /// Returns the number of idle connections to all addresses.
    #[must_use]
    pub fn idle_connections(&self) -> usize {
        self.pool.len()
    }

    async fn connection(
        &self,
        address: SocketAddr,
        request: &BackendRequest,
    ) -> Result<TcpStream, BackendError> {
        let now = self.clock.now();
        if let Some(stream) = self.pool.take(address, request.connection, now).await {
            return Ok(stream);
        }
        let timeout = request.timeouts.connect;
        let connect = self
            .clock
            .timeout(timeout, TcpStream::connect(address))
            .await;
        let late = || Err(io::Error::from(io::ErrorKind::TimedOut));
        let opened = connect.unwrap_or_else(late).and_then(|stream| {
            stream.set_nodelay(true)?;
            Ok(stream)
        });
        opened.map_err(|error| BackendError::NotSent {
            address,
            reason: error.to_string(),
        })
    }

    fn response(
        &self,
        connection: BackendConnection,
        decoded: DecodedResponse,
        timeouts: &Timeouts,
    ) -> BackendResponse {
        let DecodedResponse {
            body,
            head,
            surplus,
        } = decoded;
        // Responses name no request, so a refusal that is sent again would count for the next one.
        let is_refusal = head.headers.contains_key(NOT_RUN);
        let may_reuse = connection.fully_sent && !head.close && !surplus && !is_refusal;
        let reusable = may_reuse.then_some(connection.stream);
        let body = BackendBody {
            address: connection.address,
            body,
            framing: head.framing,
            body_idle: timeouts.body_idle,
            clock: self.clock.clone(),
            reusable,
            pool: Arc::clone(&self.pool),
            received: 0,
            ended: false,
            buffer: Vec::new(),
        };
        BackendResponse {
            status: head.status,
            headers: head.headers,
            body,
        }
    }
}
