//! The server's handling of callers' connections, over real sockets.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bytes::Bytes;
use futures_lite::stream;
use http::{Request, Response};
use hyper::body::Incoming;
use tanagerhub_clock::Clock;
use tanagerhub_proxy::{
    IncompleteBody, ResponseBody, Server, ServerLimits, full_body, serve, stream_body,
};

async fn start_server<H, F>(limits: ServerLimits, handler: H) -> Server
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    serve(listener, limits, Clock::real(), handler).unwrap()
}

/// Responds with the request target.
async fn echo_target(request: Request<Incoming>) -> Response<ResponseBody> {
    Response::new(full_body(request.uri().to_string()))
}

async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut received = String::new();
    let mut buffer = [0; 1_024];
    while !received.contains(text) {
        let count = stream.read(&mut buffer).await.unwrap();
        assert!(count > 0, "closed after {received:?}");
        received.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    received
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.unwrap();
    String::from_utf8(received).unwrap()
}

#[test]
fn serve_target_unchanged() {
    task::block_on(async {
        let server = start_server(ServerLimits::default(), echo_target).await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let request = b"GET /a//b/../c%2f HTTP/1.1\r\nHost: a\r\n\r\n";
        stream.write_all(request).await.unwrap();
        read_until(&mut stream, "/a//b/../c%2f").await;
        server.stop().await;
    });
}

#[test]
fn stream_body_incomplete() {
    task::block_on(async {
        let handler = |_| async {
            let chunks = vec![Ok(Bytes::from_static(b"one")), Err(IncompleteBody)];
            Response::new(stream_body(stream::iter(chunks)))
        };
        let server = start_server(ServerLimits::default(), handler).await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        let response = read_to_end(&mut stream).await;
        assert!(!response.ends_with("0\r\n\r\n"), "{response}");
        server.stop().await;
    });
}

#[test]
fn serve_drops_handler_on_disconnect() {
    task::block_on(async {
        struct RunningGuard(Arc<AtomicUsize>);
        impl Drop for RunningGuard {
            fn drop(&mut self) {
                self.0.fetch_sub(1, Ordering::SeqCst);
            }
        }
        let running = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&running);
        let handler = move |_| {
            let count = Arc::clone(&count);
            async move {
                count.fetch_add(1, Ordering::SeqCst);
                let _guard = RunningGuard(count);
                task::sleep(Duration::from_mins(1)).await;
                Response::new(full_body(""))
            }
        };
        let server = start_server(ServerLimits::default(), handler).await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        while running.load(Ordering::SeqCst) == 0 {
            task::sleep(Duration::from_millis(5)).await;
        }
        drop(stream);
        let handler_dropped = async {
            while running.load(Ordering::SeqCst) > 0 {
                task::sleep(Duration::from_millis(5)).await;
            }
        };
        let timeout = Duration::from_millis(500);
        async_std::future::timeout(timeout, handler_dropped)
            .await
            .unwrap();
        server.stop().await;
    });
}

#[test]
fn serve_closes_idle_connections() {
    task::block_on(async {
        let limits = ServerLimits {
            idle_timeout: Duration::from_millis(100),
            ..ServerLimits::default()
        };
        let server = start_server(limits, echo_target).await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream
            .write_all(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        read_until(&mut stream, "/x").await;
        let received = async_std::future::timeout(Duration::from_secs(3), read_to_end(&mut stream));
        assert_eq!(received.await.unwrap(), "");
        server.stop().await;
    });
}

#[test]
fn stop_completes_responses() {
    task::block_on(async {
        let handler = |_| async {
            let chunks = stream::unfold(0, |count| async move {
                task::sleep(Duration::from_millis(30)).await;
                (count < 5).then(|| (Ok(Bytes::from_static(b"piece")), count + 1))
            });
            Response::new(stream_body(chunks))
        };
        let server = start_server(ServerLimits::default(), handler).await;
        let mut idle = TcpStream::connect(server.address()).await.unwrap();
        let mut busy = TcpStream::connect(server.address()).await.unwrap();
        busy.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        read_until(&mut busy, "piece").await;
        let stop_task = task::spawn(server.stop());
        let rest = read_to_end(&mut busy).await;
        assert!(rest.ends_with("0\r\n\r\n"), "{rest}");
        assert_eq!(read_to_end(&mut idle).await, "");
        stop_task.await;
    });
}

#[test]
fn drain_closes_after_response() {
    task::block_on(async {
        let server = start_server(ServerLimits::default(), echo_target).await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        server.drain();
        stream
            .write_all(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        let response = read_to_end(&mut stream).await.to_lowercase();
        assert!(response.contains("connection: close"), "{response}");
        server.stop().await;
    });
}
