//! Accepts connections and shuts down gracefully.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures_lite::future;
use tanagerhub_clock::Clock;

use crate::http::connection::Connection;
use crate::http::{HttpLimits, Request, Response};

/// The maximum number of connections that are being rejected with a 503; a further one is closed
/// without a response.
const MAX_REJECTING: usize = 64;
/// The delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Counters of a server since its start.
#[derive(Debug, Default)]
pub struct HttpCounters {
    /// Connections accepted.
    pub connections: AtomicU64,
    /// Connections rejected because too many were open.
    pub rejected: AtomicU64,
    /// Requests passed to the handler.
    pub requests: AtomicU64,
    /// Requests refused because the head or the body is malformed or too long, or because the body
    /// arrived too late.
    pub malformed: AtomicU64,
    /// Connections closed because the caller sent a head or read a response too slowly.
    pub timed_out: AtomicU64,
    /// Connections that the caller closed before it had received the response.
    pub disconnected: AtomicU64,
}

/// The state that all connections of a server share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) limits: HttpLimits,
    pub(crate) clock: Clock,
    pub(crate) counters: Arc<HttpCounters>,
    pub(crate) draining: AtomicBool,
    open_connections: AtomicUsize,
    rejecting: AtomicUsize,
}

/// A running server; [`Self::stop`] and [`Self::kill`] end it.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: Sender<()>,
    kill: Sender<()>,
    all_closed: Receiver<()>,
    accepting: JoinHandle<()>,
}

/// Serves HTTP on a listener until [`HttpServer::stop`].
///
/// The handler's future is dropped when the caller closes its connection. A handler that must
/// complete regardless spawns its work as a task.
///
/// # Errors
///
/// Returns an error when the listener has no local address.
///
/// # Examples
///
/// ```
/// use async_std::net::TcpListener;
/// use http::StatusCode;
/// use tanagerhub_clock::Clock;
/// use tanagerhub_wire::http::{HttpLimits, Request, Response, json, serve};
///
/// async fn hello(_: Request) -> Response {
///     json(StatusCode::OK, &"hello")
/// }
///
/// # async_std::task::block_on(async {
/// let listener = TcpListener::bind("127.0.0.1:0").await?;
/// let server = serve(listener, HttpLimits::default(), Clock::real(), hello)?;
/// server.stop().await;
/// # Ok::<(), std::io::Error>(())
/// # }).unwrap();
/// ```
pub fn serve<H, F>(
    listener: TcpListener,
    limits: HttpLimits,
    clock: Clock,
    handler: H,
) -> io::Result<HttpServer>
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let address = listener.local_addr()?;
    let shared = Arc::new(Shared {
        limits,
        clock,
        counters: Arc::default(),
        draining: AtomicBool::new(false),
        open_connections: AtomicUsize::new(0),
        rejecting: AtomicUsize::new(0),
    });
    let (stop, stopped) = async_channel::bounded(1);
    let (kill, killed) = async_channel::bounded(1);
    let (alive, all_closed) = async_channel::bounded(1);
    let acceptor = Acceptor {
        listener,
        shared: Arc::clone(&shared),
        stopped,
        killed,
        alive,
        handler: Arc::new(handler),
    };
    Ok(HttpServer {
        address,
        shared,
        stop,
        kill,
        all_closed,
        accepting: task::spawn(acceptor.run()),
    })
}

impl HttpServer {
    /// Returns the address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters, which are updated while the server runs.
    #[must_use]
    pub fn counters(&self) -> Arc<HttpCounters> {
        Arc::clone(&self.shared.counters)
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.shared.open_connections.load(Ordering::Relaxed)
    }

    /// Continues to serve, but closes each connection after its next response.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Relaxed);
    }

    /// Stops accepting, closes idle connections, and waits until the responses in flight are sent.
    pub async fn stop(self) {
        self.drain();
        drop(self.stop);
        self.accepting.await;
        // Each connection holds a sender, so the channel closes with the last connection.
        let closed = self.all_closed.recv().await;
        debug_assert!(closed.is_err(), "nothing is sent on this channel");
    }

    /// Stops at once, as in a crash: all connections are closed, including those with requests in
    /// progress.
    pub async fn kill(self) {
        drop(self.kill);
        drop(self.stop);
        self.accepting.await;
        let closed = self.all_closed.recv().await;
        debug_assert!(closed.is_err(), "nothing is sent on this channel");
    }
}

struct Acceptor<H> {
    listener: TcpListener,
    shared: Arc<Shared>,
    stopped: Receiver<()>,
    killed: Receiver<()>,
    alive: Sender<()>,
    handler: Arc<H>,
}

impl<H, F> Acceptor<H>
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    async fn run(self) {
        while let Some(accepted) = self.next().await {
            match accepted {
                Ok(stream) => self.serve_connection(stream),
                Err(error) => {
                    log::warn!(error:%; "accepting a connection failed");
                    self.shared.clock.sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Returns the next connection, or `None` when the server stops.
    async fn next(&self) -> Option<io::Result<TcpStream>> {
        let accept = async {
            let accepted = self.listener.accept().await;
            Some(accepted.map(|(stream, _)| stream))
        };
        let stop = async {
            let _: Result<(), _> = self.stopped.recv().await;
            None
        };
        future::or(stop, accept).await
    }

    fn serve_connection(&self, stream: TcpStream) {
        let counters = &self.shared.counters;
        counters.connections.fetch_add(1, Ordering::Relaxed);
        let at_limit = self.shared.open_connections.load(Ordering::Relaxed)
            >= self.shared.limits.max_connections;
        let connection = Connection::new(stream, Arc::clone(&self.shared), self.stopped.clone());
        if at_limit {
            counters.rejected.fetch_add(1, Ordering::Relaxed);
            self.reject(connection);
            return;
        }
        let slot = ConnectionSlot::acquire(Arc::clone(&self.shared), self.alive.clone());
        let handler = Arc::clone(&self.handler);
        let killed = self.killed.clone();
        task::spawn(async move {
            let killed = async {
                let _: Result<(), _> = killed.recv().await;
            };
            future::or(killed, connection.run(&*handler)).await;
            drop(slot);
        });
    }
}

impl<H> Acceptor<H> {
    fn reject(&self, connection: Connection) {
        let shared = Arc::clone(&self.shared);
        if shared.rejecting.fetch_add(1, Ordering::Relaxed) >= MAX_REJECTING {
            shared.rejecting.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        task::spawn(async move {
            connection.reject().await;
            shared.rejecting.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// One of the permitted open connections; dropping it releases the slot.
#[derive(Debug)]
struct ConnectionSlot {
    shared: Arc<Shared>,
    _alive: Sender<()>,
}

impl ConnectionSlot {
    fn acquire(shared: Arc<Shared>, alive: Sender<()>) -> Self {
        shared.open_connections.fetch_add(1, Ordering::Relaxed);
        Self {
            shared,
            _alive: alive,
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.shared.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}
