//! HTTP client for requests to backend servers.

use std::error::Error as _;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use tanagerhub_clock::Clock;

use crate::backend_response::ReusableConnection;
use crate::connection_io::ConnectionIo;
use crate::metered_stream::{MeteredStream, ReadMeter, SMALL_READ_BYTES};
use crate::pool::{Connection, Pool};
use crate::sliced_body::SlicedBody;
use crate::{BackendResponse, BackendResponseBody, PoolLimits, SendError};

/// Minimum wait on a new connection before sending a request that must not run twice; the time that
/// the connection took to open is added to it.
const MIN_EARLY_CLOSE_WAIT: Duration = Duration::from_millis(1);
/// Maximum of the same wait, however long the connection took to open.
const MAX_EARLY_CLOSE_WAIT: Duration = Duration::from_millis(20);

/// Maximum size of a response head, and of what is read ahead of a body.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// The size of the parts in which a request body is passed on where memory is limited.
const SLICE_BYTES: usize = 64 << 10;

/// Which connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Reuse {
    /// An idle connection if there is one, otherwise a new one.
    #[default]
    Idle,
    /// Only a new connection, which the backend server did not close immediately.
    Never,
}

/// Sends requests to backend servers and pools idle connections; clones share the pool.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Arc<Pool>,
    clock: Clock,
    connect_timeout: Duration,
    bounded: bool,
}

impl Client {
    /// Creates a client without connections; opening one fails after `connect_timeout`.
    #[must_use]
    pub fn new(limits: PoolLimits, connect_timeout: Duration, clock: Clock) -> Self {
        Self {
            pool: Arc::new(Pool::new(limits)),
            clock,
            connect_timeout,
            bounded: false,
        }
    }

    /// Bounds the memory of each connection: bodies are passed on in parts and without a copy, and
    /// reads are small.
    #[must_use]
    pub const fn bounded(mut self, bounded: bool) -> Self {
        self.bounded = bounded;
        self
    }

    /// Sends a request once and waits for the head of its response.
    ///
    /// `may_send` is evaluated once the connection is open, immediately before the first byte is
    /// sent, because the process can be suspended for a long time while it connects.
    ///
    /// # Errors
    ///
    /// [`SendError::may_have_run`] returns whether the backend server may have run the request.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// use std::time::Duration;
    /// use http::Request;
    /// use tanagerhub_clock::Clock;
    /// use tanagerhub_proxy::{Client, PoolLimits, Reuse};
    ///
    /// # async_std::task::block_on(async {
    /// let client = Client::new(PoolLimits::default(), Duration::from_secs(1), Clock::real());
    /// let request = Request::get("/stock").header("host", "desk").body("".into())?;
    /// let address = "10.0.0.7:8000".parse()?;
    /// let response = client.send(address, request, Reuse::Idle, || true).await?;
    /// println!("{}", response.status);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// # }).unwrap();
    /// ```
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
        may_send: impl Fn() -> bool,
    ) -> Result<BackendResponse, SendError> {
        let slice = if self.bounded {
            SLICE_BYTES
        } else {
            usize::MAX
        };
        let mut request = request.map(|body| SlicedBody::new(body, slice));
        loop {
            let (mut connection, is_new) = self.connection(address, reuse).await?;
            if !may_send() {
                let reason = "sending is no longer allowed".to_owned();
                return Err(SendError::NotSent { address, reason });
            }
            connection.meter.record_progress();
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    return Ok(self.backend_response(address, connection, response));
                }
                Err(mut failure) => match failure.take_message() {
                    // The pooled connection was already closed and no byte was written: retry.
                    Some(unsent) if !is_new => request = unsent,
                    Some(_) => {
                        let reason = failure.error().to_string();
                        return Err(SendError::ConnectionClosed { address, reason });
                    }
                    None => return Err(response_error(address, failure.error(), !is_new)),
                },
            }
        }
    }

    /// Closes connections past their idle time; must be called periodically.
    pub fn close_expired(&self) {
        self.pool.remove_expired(self.clock.now());
    }

    /// Closes the idle connections to a backend server, such as one that failed or was removed.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.remove_address(address);
    }

    /// Returns the number of open idle connections to all addresses.
    #[must_use]
    pub fn idle_connections(&self) -> usize {
        self.pool.len()
    }

    /// Returns a connection, and whether it is new.
    async fn connection(
        &self,
        address: SocketAddr,
        reuse: Reuse,
    ) -> Result<(Connection, bool), SendError> {
        while reuse == Reuse::Idle
            && let Some(connection) = self.pool.take(address, self.clock.now())
        {
            // The parser may not have noticed yet what follows the last response.
            if connection.is_quiet().await {
                return Ok((connection, false));
            }
        }
        let started = self.clock.now();
        let opened = self
            .clock
            .timeout(self.connect_timeout, open(address, self.bounded))
            .await;
        let timed_out = || Err(io::Error::from(io::ErrorKind::TimedOut));
        let connection = opened
            .unwrap_or_else(timed_out)
            .map_err(|error| connect_error(address, &error))?;
        if reuse == Reuse::Never {
            let connect_time = self.clock.now().since(started);
            self.wait_for_early_close(connect_time).await;
            if connection.sender.is_closed() {
                let reason = "closed immediately after it was opened".to_owned();
                return Err(SendError::ConnectionClosed { address, reason });
            }
        }
        Ok((connection, true))
    }

    /// Waits about one round trip, so that an immediate close by the backend server is received.
    ///
    /// If the request were written before the close arrives, it might have been run.
    async fn wait_for_early_close(&self, connect_time: Duration) {
        let wait = connect_time
            .saturating_add(MIN_EARLY_CLOSE_WAIT)
            .min(MAX_EARLY_CLOSE_WAIT);
        self.clock.sleep(wait).await;
    }

    fn backend_response(
        &self,
        address: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
    ) -> BackendResponse {
        let (head, body) = response.into_parts();
        let meter = Arc::clone(&connection.meter);
        meter.record_progress();
        let reusable = (!requests_close(&head.headers)).then(|| ReusableConnection {
            connection,
            pool: Arc::clone(&self.pool),
            announced_idle: announced_idle_time(&head.headers),
        });
        BackendResponse {
            status: head.status,
            headers: head.headers,
            body: BackendResponseBody::new(address, body, self.clock.clone(), meter, reusable),
        }
    }
}

async fn open(address: SocketAddr, bounded: bool) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let meter = Arc::<ReadMeter>::default();
    let stream = Arc::new(stream);
    let mut metered = MeteredStream::new(Arc::clone(&stream), Some(Arc::clone(&meter)));
    if bounded {
        metered = metered.max_read(SMALL_READ_BYTES);
    }
    let (sender, task) = http1::Builder::new()
        .title_case_headers(true)
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(ConnectionIo::new(metered, bounded))
        .await
        .map_err(io::Error::other)?;
    task::spawn(async move {
        // Connection errors are reported by the request that uses the connection.
        drop(task.await);
    });
    Ok(Connection {
        sender,
        meter,
        stream: Arc::downgrade(&stream),
    })
}

/// Classifies a failure to open a connection.
fn connect_error(address: SocketAddr, error: &io::Error) -> SendError {
    let reason = error.to_string();
    match error.kind() {
        // Without a listener the connection is refused; a reset means that it was accepted first.
        io::ErrorKind::ConnectionReset | io::ErrorKind::ConnectionAborted => {
            SendError::ConnectionClosed { address, reason }
        }
        _ => SendError::NotSent { address, reason },
    }
}

/// Classifies a failure after bytes of the request may have been sent.
fn response_error(address: SocketAddr, error: &hyper::Error, reused: bool) -> SendError {
    let cause = error
        .source()
        .and_then(|cause| cause.downcast_ref::<io::Error>());
    let reason = cause.map_or_else(|| error.to_string(), ToString::to_string);
    let is_invalid = cause.is_some_and(|cause| cause.kind() == io::ErrorKind::InvalidData);
    if error.is_parse() || is_invalid {
        return SendError::Malformed { address, reason };
    }
    SendError::Broken {
        address,
        reason,
        reused,
    }
}

fn requests_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Parses the idle time that a `Keep-Alive` header announces in whole seconds.
fn announced_idle_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|option| option.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
