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

use crate::ReplyBody;
use crate::connection::HoldingBody;

/// The pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time between two sweeps of idle connections.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// The least size of a connection's read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER: usize = 8_192;

/// What a server accepts; may change while it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Open connections; further ones are closed at once.
    pub connections: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// How long a connection may stay open until the next request's head is there.
    pub idle: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 2_048,
            head_bytes: 16_384,
            idle: Duration::from_mins(1),
        }
    }
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: Option<JoinHandle<()>>,
    sweeping: JoinHandle<()>,
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
    open: Mutex<HashMap<u64, Arc<Open>>>,
    next: AtomicU64,
    accepted: AtomicU64,
}

/// One open connection.
#[derive(Debug)]
struct Open {
    /// Requests whose answer is not out yet.
    busy: AtomicUsize,
    /// When it was last busy, in milliseconds of the clock.
    quiet_since: AtomicU64,
    close: Sender<()>,
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
    F: Future<Output = Response<ReplyBody>> + Send + 'static,
{
    let address = listener.local_addr()?;
    let shared = Arc::new(Shared {
        clock,
        limits: Mutex::new(limits),
        draining: AtomicBool::new(false),
        open: Mutex::default(),
        next: AtomicU64::new(0),
        accepted: AtomicU64::new(0),
    });
    let accepting = task::spawn(accept(listener, Arc::clone(&shared), handler));
    let sweeping = task::spawn(sweep(Arc::clone(&shared)));
    Ok(Server {
        address,
        shared,
        accepting: Some(accepting),
        sweeping,
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
    pub fn open(&self) -> usize {
        self.shared.connections().len()
    }

    /// The connections accepted since the start.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// A way to set the limits that hold from now on.
    #[must_use]
    pub fn limits(&self) -> LimitsHandle {
        LimitsHandle(Arc::clone(&self.shared))
    }

    /// Goes on serving, but closes each connection after its next answer.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Relaxed);
    }

    /// Closes the connections that wait for a request; the others close after their answer.
    pub fn close_idle(&self) {
        self.drain();
        for open in self.shared.connections().values() {
            open.ask_close();
        }
    }

    /// Refuses new connections from now on; those that are open go on.
    pub async fn stop_accepting(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
    }

    /// Stops accepting, and waits until the answers in flight are out.
    pub async fn stop(mut self) {
        self.stop_accepting().await;
        self.close_idle();
        while self.open() > 0 {
            self.shared.clock.sleep(Duration::from_millis(10)).await;
        }
        self.sweeping.cancel().await;
    }
}

impl Shared {
    fn limits(&self) -> MutexGuard<'_, ServerLimits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<u64, Arc<Open>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.clock.now().as_millis()
    }

    /// Asks connections to close that have been idle too long.
    fn close_stale(&self) {
        let idle = self.limits().idle;
        let now = self.clock.now();
        for open in self.connections().values() {
            if open.is_stale(now, idle) {
                open.ask_close();
            }
        }
    }
}

impl Open {
    fn is_stale(&self, now: Moment, idle: Duration) -> bool {
        let since = Moment::from_millis(self.quiet_since.load(Ordering::Relaxed));
        self.busy.load(Ordering::Relaxed) == 0 && now.since(since) >= idle
    }

    /// A connection that was asked already closes without a second word.
    fn ask_close(&self) {
        let _: Result<(), _> = self.close.try_send(());
    }
}

/// Marks a connection busy until it is dropped.
struct Busy {
    open: Arc<Open>,
    shared: Arc<Shared>,
}

impl Busy {
    fn new(open: &Arc<Open>, shared: &Arc<Shared>) -> Self {
        open.busy.fetch_add(1, Ordering::Relaxed);
        Self {
            open: Arc::clone(open),
            shared: Arc::clone(shared),
        }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let now = self.shared.now_ms();
        self.open.quiet_since.store(now, Ordering::Relaxed);
        self.open.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn accept<H, F>(listener: TcpListener, shared: Arc<Shared>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ReplyBody>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => start(stream, &shared, handler.clone()),
            Err(error) => {
                log::warn!(error:%; "accept failed");
                shared.clock.sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn start<H, F>(stream: TcpStream, shared: &Arc<Shared>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ReplyBody>> + Send + 'static,
{
    shared.accepted.fetch_add(1, Ordering::Relaxed);
    let limits = *shared.limits();
    if shared.connections().len() >= limits.connections {
        log::warn!(connections = limits.connections; "a connection is closed: too many are open");
        return;
    }
    let id = shared.next.fetch_add(1, Ordering::Relaxed);
    let (close, closing) = async_channel::bounded(1);
    let open = Arc::new(Open {
        busy: AtomicUsize::new(0),
        quiet_since: AtomicU64::new(shared.now_ms()),
        close,
    });
    shared.connections().insert(id, Arc::clone(&open));
    let shared = Arc::clone(shared);
    task::spawn(async move {
        run(stream, limits, &open, &shared, closing, handler).await;
        shared.connections().remove(&id);
    });
}

async fn run<H, F>(
    stream: TcpStream,
    limits: ServerLimits,
    open: &Arc<Open>,
    shared: &Arc<Shared>,
    closing: Receiver<()>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<ReplyBody>>,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| {
        let busy = Busy::new(open, shared);
        let reply = handler(request);
        async {
            let reply = reply.await;
            Ok::<_, Infallible>(finish(reply, busy))
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER))
        .auto_date_header(false)
        .title_case_headers(true)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let asked = async {
        let _: Result<(), _> = closing.recv().await;
        None
    };
    let ended = future::or(async { Some(connection.as_mut().await) }, asked).await;
    let ended = if let Some(ended) = ended {
        ended
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    if let Err(error) = ended {
        log::debug!(error:%; "a caller's connection ended early");
    }
}

/// Completes a reply: the connection counts as busy until its body is out.
fn finish(reply: Response<ReplyBody>, busy: Busy) -> Response<HoldingBody<Busy>> {
    let draining = busy.shared.draining.load(Ordering::Relaxed);
    let mut reply = reply.map(|body| HoldingBody { body, _held: busy });
    if draining {
        reply
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

async fn sweep(shared: Arc<Shared>) {
    loop {
        shared.clock.sleep(SWEEP_PERIOD).await;
        shared.close_stale();
    }
}
