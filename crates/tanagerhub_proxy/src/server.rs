//! HTTP server for callers, which drains connections without truncating responses.

use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures_lite::future;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustix::net::sockopt::set_socket_linger;
use tanagerhub_clock::{Clock, Moment};

use crate::connection_io::ConnectionIo;
use crate::metered_stream::{MeteredStream, SMALL_READ_BYTES};
use crate::request_body::{UnreadBody, linger};
use crate::response_body::GuardedBody;
use crate::write_stall::WriteStall;
use crate::{ResponseBody, StallLimit};

/// Delay after a failed accept, such as when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval at which expired idle connections are closed.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// Minimum read buffer size that `hyper` accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Limits of a server; can be changed while it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Maximum number of open connections; further ones are closed immediately.
    pub max_connections: usize,
    /// Maximum size of a request head in bytes; smaller values count as 8,192.
    pub max_head_bytes: usize,
    /// How long a connection may stay open until the next request head has been received.
    pub idle_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 2_048,
            max_head_bytes: 16_384,
            idle_timeout: Duration::from_mins(1),
        }
    }
}

/// A running server, which [`Self::stop`] drains and stops.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept_task: Option<JoinHandle<()>>,
    sweep_task: JoinHandle<()>,
}

/// Changes the limits of a running server.
#[derive(Debug, Clone)]
pub struct LimitsHandle(Arc<Shared>);

impl LimitsHandle {
    /// Sets the limits; the maximum head size applies to new connections only.
    pub fn set(&self, limits: ServerLimits) {
        *self.0.limits() = limits;
    }
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    limits: Mutex<ServerLimits>,
    /// The limit for callers that take no bytes, if memory is limited.
    stall: Option<StallLimit>,
    draining: AtomicBool,
    connections: Mutex<HashMap<u64, Arc<ConnectionState>>>,
    next_id: AtomicU64,
    accepted: AtomicU64,
}

/// State of one open connection.
#[derive(Debug)]
struct ConnectionState {
    /// Number of requests whose response has not been fully sent.
    in_flight: AtomicUsize,
    /// When the connection last became idle, in milliseconds since the clock's start.
    idle_since_ms: AtomicU64,
    /// Whether the caller may still be sending the request of the last response.
    unread: AtomicBool,
    /// Whether the body of the last response ends with the connection, as callers of HTTP/1.0 need it.
    ends_body: AtomicBool,
    close_tx: Sender<()>,
}

/// Serves callers on `listener` until [`Server::stop`].
///
/// The handler's future and its response body are dropped when the caller closes the connection.
///
/// # Errors
///
/// Fails when the local address of the listener can't be determined.
///
/// # Examples
///
/// ```
/// use async_std::net::TcpListener;
/// use http::Response;
/// use tanagerhub_clock::Clock;
/// use tanagerhub_proxy::{ServerLimits, full_body, serve};
///
/// # async_std::task::block_on(async {
/// let listener = TcpListener::bind("127.0.0.1:0").await?;
/// let server = serve(listener, ServerLimits::default(), Clock::real(), |_| async {
///     Response::new(full_body("hello"))
/// })?;
/// server.stop().await;
/// # Ok::<(), std::io::Error>(())
/// # }).unwrap();
/// ```
pub fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    clock: Clock,
    handler: H,
) -> io::Result<Server>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    serve_within(listener, limits, clock, None, handler)
}

/// Serves callers like [`serve`], but with a limit for those that take no bytes of their response:
/// their connection is closed, and the buffers of all connections are bounded.
///
/// # Errors
///
/// Fails like [`serve`].
pub fn serve_within<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    clock: Clock,
    stall: Option<StallLimit>,
    handler: H,
) -> io::Result<Server>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let address = listener.local_addr()?;
    let shared = Arc::new(Shared {
        clock,
        limits: Mutex::new(limits),
        stall,
        draining: AtomicBool::new(false),
        connections: Mutex::default(),
        next_id: AtomicU64::new(0),
        accepted: AtomicU64::new(0),
    });
    let accept_task = task::spawn(accept(listener, Arc::clone(&shared), handler));
    let sweep_task = task::spawn(sweep(Arc::clone(&shared)));
    Ok(Server {
        address,
        shared,
        accept_task: Some(accept_task),
        sweep_task,
    })
}

impl Server {
    /// Returns the address that the server listens on, with the port that the system chose.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.shared.connections().len()
    }

    /// Returns the number of connections accepted since the start, including those closed again
    /// because of `max_connections`.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// Returns a handle that changes the limits while the server runs.
    #[must_use]
    pub fn limits_handle(&self) -> LimitsHandle {
        LimitsHandle(Arc::clone(&self.shared))
    }

    /// Continues to serve, but closes each connection after its next response.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Relaxed);
    }

    /// Drains, and closes idle connections; the others close after their response.
    pub fn close_idle(&self) {
        self.drain();
        for state in self.shared.connections().values() {
            state.request_close();
        }
    }

    /// Closes the listener, so that new connections are refused; open connections continue.
    pub async fn stop_accepting(&mut self) {
        if let Some(accept_task) = self.accept_task.take() {
            accept_task.cancel().await;
        }
    }

    /// Stops accepting, closes idle connections and waits until all responses in flight are sent.
    pub async fn stop(mut self) {
        self.stop_accepting().await;
        self.close_idle();
        while self.open_connections() > 0 {
            self.shared.clock.sleep(Duration::from_millis(10)).await;
        }
        self.sweep_task.cancel().await;
    }
}

impl Shared {
    fn limits(&self) -> MutexGuard<'_, ServerLimits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<u64, Arc<ConnectionState>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.clock.now().as_millis()
    }

    /// Closes connections that exceeded the idle timeout.
    fn close_expired(&self) {
        let idle_timeout = self.limits().idle_timeout;
        let now = self.clock.now();
        for state in self.connections().values() {
            if state.is_expired(now, idle_timeout) {
                state.request_close();
            }
        }
    }
}

impl ConnectionState {
    fn is_expired(&self, now: Moment, idle_timeout: Duration) -> bool {
        let since = Moment::from_millis(self.idle_since_ms.load(Ordering::Relaxed));
        self.in_flight.load(Ordering::Relaxed) == 0 && now.since(since) >= idle_timeout
    }

    /// Requests a graceful close; has no effect if one has already been requested.
    fn request_close(&self) {
        let _: Result<(), _> = self.close_tx.try_send(());
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard {
    state: Arc<ConnectionState>,
    shared: Arc<Shared>,
}

impl InFlightGuard {
    fn new(state: &Arc<ConnectionState>, shared: &Arc<Shared>) -> Self {
        state.in_flight.fetch_add(1, Ordering::Relaxed);
        Self {
            state: Arc::clone(state),
            shared: Arc::clone(shared),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let now = self.shared.now_ms();
        self.state.idle_since_ms.store(now, Ordering::Relaxed);
        self.state.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn accept<H, F>(listener: TcpListener, shared: Arc<Shared>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(stream, &shared, handler.clone()),
            Err(error) => {
                log::warn!(error:%; "accepting a connection failed");
                shared.clock.sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Registers a connection and spawns its task, unless too many are open.
fn spawn_connection<H, F>(stream: TcpStream, shared: &Arc<Shared>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    shared.accepted.fetch_add(1, Ordering::Relaxed);
    let limits = *shared.limits();
    if shared.connections().len() >= limits.max_connections {
        log::warn!(
            connections = limits.max_connections;
            "connection closed: the limit on open connections is reached"
        );
        return;
    }
    let id = shared.next_id.fetch_add(1, Ordering::Relaxed);
    let (close_tx, close_rx) = async_channel::bounded(1);
    let state = Arc::new(ConnectionState {
        in_flight: AtomicUsize::new(0),
        idle_since_ms: AtomicU64::new(shared.now_ms()),
        unread: AtomicBool::new(false),
        ends_body: AtomicBool::new(false),
        close_tx,
    });
    shared.connections().insert(id, Arc::clone(&state));
    let shared = Arc::clone(shared);
    task::spawn(async move {
        run_connection(stream, limits, &state, &shared, close_rx, handler).await;
        shared.connections().remove(&id);
    });
}

/// Serves one connection until it ends, or until a close is requested and the response in flight
/// has been sent.
async fn run_connection<H, F>(
    stream: TcpStream,
    limits: ServerLimits,
    state: &Arc<ConnectionState>,
    shared: &Arc<Shared>,
    close_rx: Receiver<()>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<ResponseBody>>,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let stream = Arc::new(stream);
    let mut metered = MeteredStream::new(Arc::clone(&stream), None);
    if let Some(stall) = &shared.stall {
        let stall = WriteStall::new(stall.clone(), shared.clock.clone());
        metered = metered.max_read(SMALL_READ_BYTES).stall(stall);
    }
    let service = service_fn(|request: Request<Incoming>| {
        let ends_body = request.version() < Version::HTTP_11;
        state.ends_body.store(ends_body, Ordering::Relaxed);
        let in_flight = InFlightGuard::new(state, shared);
        let response = handler(request);
        async {
            let response = response.await;
            Ok::<_, Infallible>(finish_response(response, in_flight))
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .auto_date_header(false)
        .title_case_headers(true)
        .serve_connection(ConnectionIo::new(metered, shared.stall.is_some()), service);
    let mut connection = std::pin::pin!(connection);
    let close_requested = async {
        let _: Result<(), _> = close_rx.recv().await;
        None
    };
    let result = future::or(async { Some(connection.as_mut().await) }, close_requested).await;
    let result = if let Some(result) = result {
        result
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    if result.is_err() && state.ends_body.load(Ordering::Relaxed) {
        reset_on_close(&stream);
    }
    let refused_head = result.as_ref().is_err_and(hyper::Error::is_parse);
    if let Err(error) = result {
        log::debug!(error:%; "a caller's connection failed");
    }
    if refused_head || state.unread.load(Ordering::Relaxed) {
        linger(&shared.clock, &stream).await;
    }
}

/// Makes the close of a connection a reset, so that an incomplete body that ends with it does not look
/// complete.
fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = set_socket_linger(stream, Some(Duration::ZERO)) {
        log::debug!(error:%; "a connection can't be reset");
    }
}

/// Keeps the request in flight until the response body is sent. When draining, or if the request
/// has not been read to its end, closes the connection after the response.
fn finish_response(
    response: Response<ResponseBody>,
    in_flight: InFlightGuard,
) -> Response<GuardedBody<InFlightGuard>> {
    let draining = in_flight.shared.draining.load(Ordering::Relaxed);
    let unread = response.extensions().get::<UnreadBody>().is_some();
    in_flight.state.unread.store(unread, Ordering::Relaxed);
    let mut response = response.map(|body| GuardedBody {
        body,
        _guard: in_flight,
    });
    if draining || unread {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Periodically closes expired connections.
async fn sweep(shared: Arc<Shared>) {
    loop {
        shared.clock.sleep(SWEEP_PERIOD).await;
        shared.close_expired();
    }
}
