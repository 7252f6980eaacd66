//! Sends requests to back ends.

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
use smol_hyper::rt::FuturesIo;
use tanagerhub_clock::Clock;

use crate::backend_response::ReusableConnection;
use crate::pool::{Pool, Sender};
use crate::{BackendResponse, BackendResponseBody, PoolLimits, SendError};

/// How long a new connection is watched at least before a request that must not run twice.
const MIN_EARLY_CLOSE_WAIT: Duration = Duration::from_millis(1);
/// The same at most, however long the connection took to open.
const MAX_EARLY_CLOSE_WAIT: Duration = Duration::from_millis(20);

/// Which connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Reuse {
    /// Any idle one, or a new one.
    #[default]
    Idle,
    /// A new one only, which the back end has not closed at once.
    Never,
}

/// Sends requests to back ends, and keeps idle connections.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Arc<Pool>,
    clock: Clock,
    connect_timeout: Duration,
}

impl Client {
    /// Makes a client without connections; opening one may take `connect`.
    #[must_use]
    pub fn new(limits: PoolLimits, connect_timeout: Duration, clock: Clock) -> Self {
        Self {
            pool: Arc::new(Pool::new(limits)),
            clock,
            connect_timeout,
        }
    }

    /// Sends a request once and waits for the head of its answer.
    ///
    /// `may_send` is asked once the connection is open, right before the first byte: a process can
    /// be suspended for long while it connects.
    ///
    /// # Errors
    ///
    /// The error says whether the back end may have run the request.
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
    /// let answer = client.send(address, request, Reuse::Idle, || true).await?;
    /// println!("{}", answer.status);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// # }).unwrap();
    /// ```
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        reuse: Reuse,
        may_send: impl Fn() -> bool,
    ) -> Result<BackendResponse, SendError> {
        loop {
            let (mut sender, is_new) = self.connection(address, reuse).await?;
            if !may_send() {
                let reason = "it may no longer be sent".to_owned();
                return Err(SendError::NotSent { address, reason });
            }
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.backend_response(address, sender, response)),
                Err(mut failure) => match failure.take_message() {
                    // The idle connection had closed; nothing of the request was written.
                    Some(unsent) if !is_new => request = unsent,
                    Some(_) => {
                        let reason = failure.error().to_string();
                        return Err(SendError::ConnectionClosed { address, reason });
                    }
                    None => return Err(response_error(address, failure.error())),
                },
            }
        }
    }

    /// Closes connections that have been idle too long; call it now and then.
    pub fn expire(&self) {
        self.pool.expire(self.clock.now());
    }

    /// Closes the idle connections to a back end that failed or left.
    pub fn forget(&self, address: SocketAddr) {
        self.pool.forget(address);
    }

    /// The number of idle connections.
    #[must_use]
    pub fn idle_connections(&self) -> usize {
        self.pool.len()
    }

    async fn connection(
        &self,
        address: SocketAddr,
        reuse: Reuse,
    ) -> Result<(Sender, bool), SendError> {
        if reuse == Reuse::Idle
            && let Some(sender) = self.pool.take(address, self.clock.now())
        {
            return Ok((sender, false));
        }
        let started = self.clock.now();
        let opened = self
            .clock
            .timeout(self.connect_timeout, open(address))
            .await;
        let timed_out = || Err(io::Error::from(io::ErrorKind::TimedOut));
        let sender = opened
            .unwrap_or_else(timed_out)
            .map_err(|error| connect_error(address, &error))?;
        if reuse == Reuse::Never {
            let connect_time = self.clock.now().since(started);
            self.wait_for_early_close(connect_time).await;
            if sender.is_closed() {
                let reason = "it was closed as soon as it was open".to_owned();
                return Err(SendError::ConnectionClosed { address, reason });
            }
        }
        Ok((sender, true))
    }

    /// Waits about as long as a back end's word takes that it closes a new connection.
    ///
    /// A request that was written before it came might have run.
    async fn wait_for_early_close(&self, connect_time: Duration) {
        let wait = connect_time
            .saturating_add(MIN_EARLY_CLOSE_WAIT)
            .min(MAX_EARLY_CLOSE_WAIT);
        self.clock.sleep(wait).await;
    }

    fn backend_response(
        &self,
        address: SocketAddr,
        sender: Sender,
        response: Response<Incoming>,
    ) -> BackendResponse {
        let (head, body) = response.into_parts();
        let reusable = (!requests_close(&head.headers)).then(|| ReusableConnection {
            sender,
            pool: Arc::clone(&self.pool),
            announced_idle: announced_idle_time(&head.headers),
        });
        BackendResponse {
            status: head.status,
            headers: head.headers,
            body: BackendResponseBody::new(address, body, self.clock.clone(), reusable),
        }
    }
}

async fn open(address: SocketAddr) -> io::Result<Sender> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::Builder::new()
        .title_case_headers(true)
        .handshake(FuturesIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    task::spawn(async move {
        // What breaks a connection reaches the request that uses it.
        drop(connection.await);
    });
    Ok(sender)
}

fn connect_error(address: SocketAddr, error: &io::Error) -> SendError {
    let reason = error.to_string();
    match error.kind() {
        // Whoever listens nowhere refuses; a reset comes from one that took the connection.
        io::ErrorKind::ConnectionReset | io::ErrorKind::ConnectionAborted => {
            SendError::ConnectionClosed { address, reason }
        }
        _ => SendError::NotSent { address, reason },
    }
}

fn response_error(address: SocketAddr, error: &hyper::Error) -> SendError {
    let reason = error.to_string();
    if error.is_parse() {
        return SendError::Malformed { address, reason };
    }
    SendError::Broken { address, reason }
}

fn requests_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// The idle time that `Keep-Alive` announces, in whole seconds.
fn announced_idle_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|option| option.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
