//! Accepts callers' connections, and closes them without cutting anything off.

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
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;
use tanagerhub_clock::{Clock, Moment};

use crate::ResponseBody;
use crate::response_body::GuardedBody;

/// The pause after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time between two sweeps of idle connections.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// The least size of a connection's read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// What a server accepts; may change while it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Open connections; further ones are closed at once.
    pub max_connections: usize,
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// How long a connection may stay open until the next request's head is there.
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

/// A running server.
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
    /// Sets the limits that hold from now on; the size of heads holds for new connections.
    pub fn set(&self, limits: ServerLimits) {
        *self.0.limits() = limits;
    }
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    limits: Mutex<ServerLimits>,
    draining: AtomicBool,
    connections: Mutex<HashMap<u64, Arc<ConnectionState>>>,
    next_id: AtomicU64,
    accepted: AtomicU64,
}

/// One open connection.
#[derive(Debug)]
struct ConnectionState {
    /// Requests whose answer is not out yet.
    in_flight: AtomicUsize,
    /// When it was last busy, in milliseconds of the clock.
    idle_since_ms: AtomicU64,
    close_tx: Sender<()>,
}

/// Serves callers until [`Server::stop`].
///
/// The handler's future and the body of its reply are dropped when the caller closes.
///
/// # Errors
///
/// Fails when the listener has no local address.
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
    let address = listener.local_addr()?;
    let shared = Arc::new(Shared {
        clock,
        limits: Mutex::new(limits),
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
    /// The address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The connections that are open.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.shared.connections().len()
    }

    /// The connections accepted since the start.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// A way to set the limits that hold from now on.
    #[must_use]
    pub fn limits_handle(&self) -> LimitsHandle {
        LimitsHandle(Arc::clone(&self.shared))
    }

    /// Goes on serving, but closes each connection after its next answer.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Relaxed);
    }

    /// Closes the connections that wait for a request; the others close after their answer.
    pub fn close_idle(&self) {
        self.drain();
        for state in self.shared.connections().values() {
            state.request_close();
        }
    }

    /// Refuses new connections from now on; those that are open go on.
    pub async fn stop_accepting(&mut self) {
        if let Some(accept_task) = self.accept_task.take() {
            accept_task.cancel().await;
        }
    }

    /// Stops accepting, and waits until the answers in flight are out.
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

    /// Asks connections to close that have been idle too long.
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

    /// A connection that was asked already closes without a second word.
    fn request_close(&self) {
        let _: Result<(), _> = self.close_tx.try_send(());
    }
}

/// Marks a connection busy until it is dropped.
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
                log::warn!(error:%; "accept failed");
                shared.clock.sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_connection<H, F>(stream: TcpStream, shared: &Arc<Shared>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    shared.accepted.fetch_add(1, Ordering::Relaxed);
    let limits = *shared.limits();
    if shared.connections().len() >= limits.max_connections {
        log::warn!(connections = limits.max_connections; "a connection is closed: too many are open");
        return;
    }
    let id = shared.next_id.fetch_add(1, Ordering::Relaxed);
    let (close_tx, close_rx) = async_channel::bounded(1);
    let state = Arc::new(ConnectionState {
        in_flight: AtomicUsize::new(0),
        idle_since_ms: AtomicU64::new(shared.now_ms()),
        close_tx,
    });
    shared.connections().insert(id, Arc::clone(&state));
    let shared = Arc::clone(shared);
    task::spawn(async move {
        run_connection(stream, limits, &state, &shared, close_rx, handler).await;
        shared.connections().remove(&id);
    });
}

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
    let service = service_fn(|request| {
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
        .serve_connection(FuturesIo::new(stream), service);
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
    if let Err(error) = result {
        log::debug!(error:%; "a caller's connection ended early");
    }
}

/// Completes a reply: the connection counts as busy until its body is out.
fn finish_response(
    response: Response<ResponseBody>,
    in_flight: InFlightGuard,
) -> Response<GuardedBody<InFlightGuard>> {
    let draining = in_flight.shared.draining.load(Ordering::Relaxed);
    let mut response = response.map(|body| GuardedBody {
        body,
        _guard: in_flight,
    });
    if draining {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn sweep(shared: Arc<Shared>) {
    loop {
        shared.clock.sleep(SWEEP_PERIOD).await;
        shared.close_expired();
    }
}
