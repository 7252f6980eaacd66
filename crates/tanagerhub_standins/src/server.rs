//! A small HTTP server with fault injection.

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

use crate::connection_faults::ConnectionFaults;
use crate::loopback::{PortOwner, loopback};

/// The future of a response.
pub(crate) type ResponseFuture = Pin<Box<dyn Future<Output = http_types::Result<Response>> + Send>>;

/// Handles one request; an error closes the connection without a response, except for status 400.
pub(crate) type Handler = Arc<dyn Fn(Request, ClientConnection) -> ResponseFuture + Send + Sync>;

/// A server on a loopback port that can be stopped, restarted, paused and stalled.
pub(crate) struct Server {
    address: SocketAddr,
    faults: Arc<ConnectionFaults>,
    handler: Handler,
    accept_task: Mutex<Option<JoinHandle<()>>>,
}

impl Server {
    /// Starts listening on a free port.
    pub(crate) async fn start(handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind((loopback(PortOwner::Standins), 0)).await?;
        let server = Self {
            address: listener.local_addr()?,
            faults: Arc::new(ConnectionFaults::default()),
            handler,
            accept_task: Mutex::new(None),
        };
        server.accept(listener);
        Ok(server)
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the fault injection for the server's connections.
    pub(crate) fn faults(&self) -> &ConnectionFaults {
        &self.faults
    }

    /// Closes every connection and refuses new ones.
    pub(crate) async fn stop(&self) {
        let accept_task = self.accept_task().take();
        if let Some(accept_task) = accept_task {
            accept_task.cancel().await;
        }
        self.faults.close_all();
    }

    /// Listens on the same port again, unless the server is running.
    pub(crate) async fn restart(&self) -> io::Result<()> {
        if self.accept_task().is_some() {
            return Ok(());
        }
        let listener = TcpListener::bind(self.address).await?;
        self.accept(listener);
        Ok(())
    }

    fn accept(&self, listener: TcpListener) {
        let faults = Arc::clone(&self.faults);
        let handler = Arc::clone(&self.handler);
        let accept_task = task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(serve(stream, Arc::clone(&faults), Arc::clone(&handler)));
            }
        });
        *self.accept_task() = Some(accept_task);
    }

    fn accept_task(&self) -> MutexGuard<'_, Option<JoinHandle<()>>> {
        self.accept_task
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
        if let Some(accept_task) = self.accept_task().take() {
            task::spawn(accept_task.cancel());
        }
        self.faults.close_all();
    }
}

async fn serve(stream: TcpStream, faults: Arc<ConnectionFaults>, handler: Handler) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let number = faults.add(stream.clone());
    let client = ClientConnection {
        stream: stream.clone(),
    };
    let faulty_stream = FaultyStream {
        stream: stream.clone(),
        number,
        faults: Arc::clone(&faults),
    };
    let result = async_h1::accept(faulty_stream, |request| {
        let response = handler(request, client.clone());
        async { response.await.or_else(malformed_request_response) }
    })
    .await;
    if let Err(error) = result {
        log::debug!("connection ended with an error: {error}");
    }
    faults.remove(number);
    drop(stream.shutdown(Shutdown::Both));
}

/// Creates the response to a malformed request; any other error closes the connection.
fn malformed_request_response(error: http_types::Error) -> http_types::Result<Response> {
    if error.status() != StatusCode::BadRequest {
        return Err(error);
    }
    let mut response = Response::new(StatusCode::BadRequest);
    response.set_body(error.to_string());
    Ok(response)
}

/// The connection over which a request was received.
#[derive(Clone)]
pub(crate) struct ClientConnection {
    stream: TcpStream,
}

impl ClientConnection {
    /// Waits until the client has closed its connection; waits forever once the client sends more
    /// data.
    pub(crate) async fn disconnected(&self) {
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => futures_lite::future::pending().await,
        }
    }
}

/// A connection whose reads and writes block while it is paused or stalled.
#[derive(Clone)]
struct FaultyStream {
    stream: TcpStream,
    number: u64,
    faults: Arc<ConnectionFaults>,
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.faults.is_blocked(self.number, context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.faults.is_blocked(self.number, context) {
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
