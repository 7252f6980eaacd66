//! A small HTTP server with faults.

use std::fmt;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures_lite::{AsyncRead, AsyncWrite};
use http_types::{Request, Response, StatusCode};

use crate::gate::Gate;
use crate::loopback::{Side, loopback};

/// An answer that is being made.
pub(crate) type Answering = Pin<Box<dyn Future<Output = http_types::Result<Response>> + Send>>;

/// Answers one request; an error closes the connection without an answer.
pub(crate) type Handler = Arc<dyn Fn(Request, Caller) -> Answering + Send + Sync>;

/// A server on a loopback port that can die, come back, pause and go silent.
pub(crate) struct Server {
    address: SocketAddr,
    gate: Arc<Gate>,
    handler: Handler,
    accepting: Mutex<Option<JoinHandle<()>>>,
}

impl Server {
    /// Starts to listen on a free port.
    pub(crate) async fn start(handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind((loopback(Side::Standins), 0)).await?;
        let server = Self {
            address: listener.local_addr()?,
            gate: Arc::new(Gate::default()),
            handler,
            accepting: Mutex::new(None),
        };
        server.accept(listener);
        Ok(server)
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The faults of the server's connections.
    pub(crate) fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Closes every connection and refuses new ones.
    pub(crate) async fn stop(&self) {
        let accepting = self.accepting().take();
        if let Some(accepting) = accepting {
            accepting.cancel().await;
        }
        self.gate.close_all();
    }

    /// Listens again on the same port.
    pub(crate) async fn restart(&self) -> io::Result<()> {
        if self.accepting().is_some() {
            return Ok(());
        }
        let listener = TcpListener::bind(self.address).await?;
        self.accept(listener);
        Ok(())
    }

    fn accept(&self, listener: TcpListener) {
        let gate = Arc::clone(&self.gate);
        let handler = Arc::clone(&self.handler);
        let accepting = task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(serve(stream, Arc::clone(&gate), Arc::clone(&handler)));
            }
        });
        *self.accepting() = Some(accepting);
    }

    fn accepting(&self) -> MutexGuard<'_, Option<JoinHandle<()>>> {
        self.accepting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(accepting) = self.accepting().take() {
            task::spawn(accepting.cancel());
        }
        self.gate.close_all();
    }
}

async fn serve(stream: TcpStream, gate: Arc<Gate>, handler: Handler) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let number = gate.opened(stream.clone());
    let caller = Caller {
        stream: stream.clone(),
    };
    let gated = GatedStream {
        stream: stream.clone(),
        number,
        gate: Arc::clone(&gate),
    };
    let answered = async_h1::accept(gated, |request| {
        let answering = handler(request, caller.clone());
        async { answering.await.or_else(explain) }
    })
    .await;
    if let Err(error) = answered {
        log::debug!("a connection ended: {error}");
    }
    gate.closed(number);
    drop(stream.shutdown(Shutdown::Both));
}

/// Answers a malformed request; any other error closes the connection.
fn explain(error: http_types::Error) -> http_types::Result<Response> {
    if error.status() != StatusCode::BadRequest {
        return Err(error);
    }
    let mut response = Response::new(StatusCode::BadRequest);
    response.set_body(error.to_string());
    Ok(response)
}

/// The connection that a request came over.
#[derive(Clone)]
pub(crate) struct Caller {
    stream: TcpStream,
}

impl Caller {
    /// Waits until the caller has closed its connection.
    pub(crate) async fn gone(&self) {
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => futures_lite::future::pending().await,
        }
    }
}

/// A connection whose reads and writes stop while its server is paused.
#[derive(Clone)]
struct GatedStream {
    stream: TcpStream,
    number: u64,
    gate: Arc<Gate>,
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.gate.is_blocked(self.number, context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.gate.is_blocked(self.number, context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
