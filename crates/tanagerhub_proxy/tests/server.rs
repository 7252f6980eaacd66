//! The server's treatment of callers, over real sockets.

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
use tanagerhub_proxy::{CutBody, ReplyBody, Server, ServerLimits, full_body, serve, stream_body};

async fn start<H, F>(limits: ServerLimits, handler: H) -> Server
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ReplyBody>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    serve(listener, limits, Clock::real(), handler).unwrap()
}

async fn hello(request: Request<Incoming>) -> Response<ReplyBody> {
    Response::new(full_body(request.uri().to_string()))
}

async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut read = String::new();
    let mut buffer = [0; 1_024];
    while !read.contains(text) {
        let count = stream.read(&mut buffer).await.unwrap();
        assert!(count > 0, "closed after {read:?}");
        read.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    read
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    stream.read_to_end(&mut read).await.unwrap();
    String::from_utf8(read).unwrap()
}

#[test]
fn serve_target_unchanged() {
    task::block_on(async {
        let server = start(ServerLimits::default(), hello).await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let request = b"GET /a//b/../c%2f HTTP/1.1\r\nHost: a\r\n\r\n";
        stream.write_all(request).await.unwrap();
        read_until(&mut stream, "/a//b/../c%2f").await;
        server.stop().await;
    });
}

#[test]
fn cut_stream_is_no_end() {
    task::block_on(async {
        let handler = |_| async {
            let pieces = vec![Ok(Bytes::from_static(b"one")), Err(CutBody)];
            Response::new(stream_body(stream::iter(pieces)))
        };
        let server = start(ServerLimits::default(), handler).await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        let answer = read_to_end(&mut stream).await;
        assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
        server.stop().await;
    });
}

#[test]
fn drop_work_when_caller_leaves() {
    task::block_on(async {
        struct Working(Arc<AtomicUsize>);
        impl Drop for Working {
            fn drop(&mut self) {
                self.0.fetch_sub(1, Ordering::SeqCst);
            }
        }
        let working = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&working);
        let handler = move |_| {
            let count = Arc::clone(&count);
            async move {
                count.fetch_add(1, Ordering::SeqCst);
                let _working = Working(count);
                task::sleep(Duration::from_mins(1)).await;
                Response::new(full_body(""))
            }
        };
        let server = start(ServerLimits::default(), handler).await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        while working.load(Ordering::SeqCst) == 0 {
            task::sleep(Duration::from_millis(5)).await;
        }
        drop(stream);
        let gone = async {
            while working.load(Ordering::SeqCst) > 0 {
                task::sleep(Duration::from_millis(5)).await;
            }
        };
        let limit = Duration::from_millis(500);
        async_std::future::timeout(limit, gone).await.unwrap();
        server.stop().await;
    });
}

#[test]
fn close_idle_connections() {
    task::block_on(async {
        let limits = ServerLimits {
            idle: Duration::from_millis(100),
            ..ServerLimits::default()
        };
        let server = start(limits, hello).await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream
            .write_all(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        read_until(&mut stream, "/x").await;
        let end = async_std::future::timeout(Duration::from_secs(3), read_to_end(&mut stream));
        assert_eq!(end.await.unwrap(), "");
        server.stop().await;
    });
}

#[test]
fn stop_finishes_answers() {
    task::block_on(async {
        let handler = |_| async {
            let pieces = stream::unfold(0, |count| async move {
                task::sleep(Duration::from_millis(30)).await;
                (count < 5).then(|| (Ok(Bytes::from_static(b"piece")), count + 1))
            });
            Response::new(stream_body(pieces))
        };
        let server = start(ServerLimits::default(), handler).await;
        let mut idle = TcpStream::connect(server.address()).await.unwrap();
        let mut busy = TcpStream::connect(server.address()).await.unwrap();
        busy.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        read_until(&mut busy, "piece").await;
        let stopped = task::spawn(server.stop());
        let rest = read_to_end(&mut busy).await;
        assert!(rest.ends_with("0\r\n\r\n"), "{rest}");
        assert_eq!(read_to_end(&mut idle).await, "");
        stopped.await;
    });
}

#[test]
fn drain_closes_after_answer() {
    task::block_on(async {
        let server = start(ServerLimits::default(), hello).await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        server.drain();
        stream
            .write_all(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        let answer = read_to_end(&mut stream).await.to_lowercase();
        assert!(answer.contains("connection: close"), "{answer}");
        server.stop().await;
    });
}
