//! Sends requests to back ends.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ::http::{HeaderMap, StatusCode};
use async_std::net::TcpStream;
use tanagerhub_clock::Clock;

use crate::backend::link::{Answered, Link};
use crate::backend::pool::Pool;
use crate::backend::{BackendBody, BackendError, BackendRequest, PoolLimits, Timeouts};

/// An answer of a back end.
#[derive(Debug)]
pub struct BackendAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers, with those of the connection.
    pub headers: HeaderMap,
    /// The body, still to be read.
    pub body: BackendBody,
}

/// Sends requests to back ends, and keeps a few connections open.
#[derive(Debug, Clone)]
pub struct BackendClient {
    pool: Arc<Pool>,
    clock: Clock,
}

impl BackendClient {
    /// Makes a client without connections.
    #[must_use]
    pub fn new(limits: PoolLimits, clock: Clock) -> Self {
        Self {
            pool: Arc::new(Pool::new(limits)),
            clock,
        }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// It is sent once: retries are the caller's matter.
    ///
    /// # Errors
    ///
    /// The error says whether the back end may have run the request.
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
    /// let mut answer = client.send("10.0.0.7:8000".parse()?, request).await?;
    /// while let Some(chunk) = answer.body.next().await? {
    ///     println!("{} bytes", chunk.len());
    /// }
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// # }).unwrap();
    /// ```
    pub async fn send(
        &self,
        address: SocketAddr,
        request: BackendRequest,
    ) -> Result<BackendAnswer, BackendError> {
        self.send_if(address, request, || true).await
    }

    /// Sends a request like [`Self::send`], if `may_send` holds once the connection is open.
    ///
    /// A process can be paused for long while it connects; what allowed the request may have
    /// lapsed by then.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::send`], and with [`BackendError::NotSent`] when `may_send` does not hold.
    pub async fn send_if(
        &self,
        address: SocketAddr,
        request: BackendRequest,
        may_send: impl Fn() -> bool,
    ) -> Result<BackendAnswer, BackendError> {
        let stream = self.connection(address, &request).await?;
        if !may_send() {
            return Err(BackendError::NotSent {
                address,
                reason: "it may no longer be sent".to_owned(),
            });
        }
        let mut link = Link {
            address,
            stream,
            sent: false,
        };
        let limit = request.timeouts.first_byte;
        let answered = self.clock.timeout(limit, link.exchange(&request)).await;
        let answered = answered.ok_or(BackendError::Silent {
            address,
            after: limit,
        })??;
        Ok(self.answer(link, answered, &request.timeouts))
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
    pub fn idle(&self) -> usize {
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
        let limit = request.timeouts.connect;
        let connect = self.clock.timeout(limit, TcpStream::connect(address)).await;
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

    fn answer(&self, link: Link, answered: Answered, timeouts: &Timeouts) -> BackendAnswer {
        let Answered {
            body,
            head,
            surplus,
        } = answered;
        let keep = (link.sent && !head.close && !surplus).then_some(link.stream);
        let body = BackendBody {
            address: link.address,
            body,
            framing: head.framing,
            between: timeouts.between,
            clock: self.clock.clone(),
            keep,
            pool: Arc::clone(&self.pool),
            got: 0,
            ended: false,
            block: Vec::new(),
        };
        BackendAnswer {
            status: head.status,
            headers: head.headers,
            body,
        }
    }
}
