//! Tests of the server's limits and validation, over real sockets.

use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use http::StatusCode;
use tanagerhub_clock::Clock;
use tanagerhub_wire::http::{HttpLimits, HttpServer, Request, Response, ResponseBody, json, serve};
use yare::parameterized;

/// Far more than a call over loopback takes; it only keeps a failing test from hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

async fn echo(request: Request) -> Response {
    let text = format!(
        "{} {} {}",
        request.method(),
        request.uri(),
        request.body().len()
    );
    json(StatusCode::OK, &text)
}

async fn start(limits: HttpLimits) -> HttpServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    serve(listener, limits, Clock::real(), echo).unwrap()
}

/// Sends bytes and reads until the server closes the connection.
async fn exchange(server: &HttpServer, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    read_to_end(&mut stream).await
}

/// Reads until `text` has arrived.
async fn read_until(stream: &mut TcpStream, text: &str) {
    let mut seen = String::new();
    let mut byte = [0];
    while !seen.ends_with(text) {
        stream.read_exact(&mut byte).await.unwrap();
        seen.push(byte[0].into());
    }
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    async_std::future::timeout(TEST_TIMEOUT, read)
        .await
        .unwrap()
        .unwrap();
    String::from_utf8(response).unwrap()
}

#[parameterized(
    differing_lengths = { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400, "differ" },
    length_and_chunks = { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "exclude" },
    signed_length = { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +2\r\n\r\nab", 400, "not a number" },
    other_encoding = { "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", 400, "chunked" },
    no_host = { "GET / HTTP/1.1\r\n\r\n", 400, "Host" },
    two_hosts = { "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400, "Host" },
    no_request_line = { "nonsense\r\n\r\n", 400, "malformed_request" },
    bad_header = { "GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n", 400, "malformed_request" },
    not_ascii = { "GET / HTTP/1.1\r\nHost: a\r\nX-Name: \u{e9}\r\n\r\n", 400, "ASCII" },
    old_version = { "GET / HTTP/1.0\r\nHost: a\r\n\r\n", 505, "HTTP/1.0" },
    strange_method = { "BREW / HTTP/1.1\r\nHost: a\r\n\r\n", 501, "BREW" },
    absolute_target = { "GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400, "path" },
    broken_chunk = { "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "chunks" },
    long_body = { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", 413, "100 bytes" },
)]
fn refuse_request(bytes: &str, status: u16, text: &str) {
    task::block_on(async {
        let limits = HttpLimits {
            max_body_bytes: 100,
            ..HttpLimits::default()
        };
        let server = start(limits).await;
        let response = exchange(&server, bytes.as_bytes()).await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status} ")),
            "{response}"
        );
        assert!(
            response.contains("x-tanagerhub-outcome: not-run"),
            "{response}"
        );
        assert!(response.contains(text), "{response}");
        server.stop().await;
    });
}

#[test]
fn refuse_long_head() {
    task::block_on(async {
        let server = start(HttpLimits::default()).await;
        let request = format!(
            "GET / HTTP/1.1\r\nHost: a\r\nX-Long: {}\r\n\r\n",
            "x".repeat(9_000)
        );
        let response = exchange(&server, request.as_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 431 "), "{response}");
        server.stop().await;
    });
}

#[test]
fn refuse_long_chunks() {
    task::block_on(async {
        let limits = HttpLimits {
            max_body_bytes: 100,
            ..HttpLimits::default()
        };
        let server = start(limits).await;
        let request = format!(
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nC8\r\n{}\r\n0\r\n\r\n",
            "x".repeat(200)
        );
        let response = exchange(&server, request.as_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
        server.stop().await;
    });
}

#[test]
fn serve_pipelined() {
    task::block_on(async {
        let server = start(HttpLimits::default()).await;
        let requests = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxyGET /b HTTP/1.1\r\nHost: a\r\n\r\n\
            POST /c HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        let response = exchange(&server, requests.as_bytes()).await;
        assert!(response.contains("POST /a 2"), "{response}");
        assert!(response.contains("GET /b 0"), "{response}");
        assert!(response.contains("POST /c 3"), "{response}");
        server.stop().await;
    });
}

#[parameterized(head = { "GET / HT" }, body = { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc" })]
fn time_out_slow_sender(bytes: &str) {
    task::block_on(async {
        let limits = HttpLimits {
            head_timeout: Duration::from_millis(50),
            body_timeout: Duration::from_millis(50),
            ..HttpLimits::default()
        };
        let server = start(limits).await;
        let response = exchange(&server, bytes.as_bytes()).await;
        assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
        server.stop().await;
    });
}

#[test]
fn reject_above_connection_limit() {
    task::block_on(async {
        let limits = HttpLimits {
            max_connections: 1,
            ..HttpLimits::default()
        };
        let server = start(limits).await;
        let mut first = TcpStream::connect(server.address()).await.unwrap();
        first
            .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        let mut byte = [0];
        first.read_exact(&mut byte).await.unwrap();
        let response = exchange(&server, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await;
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(response.contains("retry-after: 1"), "{response}");
        server.stop().await;
    });
}

#[test]
fn stream_caller_disconnected() {
    task::block_on(async {
        let (notify, notified) = async_channel::bounded(1);
        let handler = move |_: Request| {
            let notify = notify.clone();
            async move {
                let (sender, body) = ResponseBody::stream();
                task::spawn(async move {
                    sender.send("one".into()).await.unwrap();
                    sender.disconnected().await;
                    notify.send(()).await.unwrap();
                });
                Response::new(body)
            }
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = serve(listener, HttpLimits::default(), Clock::real(), handler).unwrap();
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        read_until(&mut stream, "one").await;
        drop(stream);
        // Nothing more is written, so the disconnect can be detected only by reading the socket.
        async_std::future::timeout(TEST_TIMEOUT, notified.recv())
            .await
            .unwrap()
            .unwrap();
        server.stop().await;
    });
}

#[test]
fn handler_caller_disconnected() {
    task::block_on(async {
        let (alive, dropped) = async_channel::bounded::<()>(1);
        let (start, started) = async_channel::bounded(1);
        let handler = move |_: Request| {
            let (alive, start) = (alive.clone(), start.clone());
            async move {
                start.send(()).await.unwrap();
                std::future::pending::<()>().await;
                drop(alive);
                Response::default()
            }
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = serve(listener, HttpLimits::default(), Clock::real(), handler).unwrap();
        let counters = server.counters();
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        started.recv().await.unwrap();
        drop(stream);
        // Ends only once the pending handler and the server have been dropped.
        async_std::future::timeout(TEST_TIMEOUT, server.stop())
            .await
            .unwrap();
        dropped.recv().await.unwrap_err();
        assert_eq!(
            counters
                .disconnected
                .load(std::sync::atomic::Ordering::Relaxed),
            1
        );
    });
}

/// Guards against a request that is truncated after any of its bytes reaching the handler.
#[parameterized(
    length = { b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", 0 },
    chunks = { b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 2 },
)]
fn request_truncated_anywhere(bytes: &[u8], optional_tail: usize) {
    task::block_on(async {
        let server = start(HttpLimits::default()).await;
        for cut in 1..bytes.len() - optional_tail {
            let mut stream = TcpStream::connect(server.address()).await.unwrap();
            stream.write_all(&bytes[..cut]).await.unwrap();
            stream.shutdown(std::net::Shutdown::Write).unwrap();
            read_to_end(&mut stream).await;
        }
        let counters = server.counters();
        assert_eq!(
            counters.requests.load(std::sync::atomic::Ordering::Relaxed),
            0
        );
        server.stop().await;
    });
}

#[test]
fn continue_before_body() {
    task::block_on(async {
        let server = start(HttpLimits::default()).await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head = b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n";
        stream.write_all(head).await.unwrap();
        let mut interim = [0; 25];
        stream.read_exact(&mut interim).await.unwrap();
        assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
        stream.write_all(b"abc").await.unwrap();
        let response = read_to_end(&mut stream).await;
        assert!(response.contains("POST / 3"), "{response}");
        server.stop().await;
    });
}

#[test]
fn stall_closes_stream() {
    task::block_on(async {
        let (notify, notified) = async_channel::bounded(1);
        let handler = move |_: Request| {
            let notify = notify.clone();
            async move {
                let (sender, body) = ResponseBody::stream();
                task::spawn(async move {
                    // More than the socket buffers hold.
                    while sender.send(vec![0; 1 << 20].into()).await.is_ok() {}
                    notify.send(()).await.unwrap();
                });
                Response::new(body)
            }
        };
        let limits = HttpLimits {
            stall_timeout: Duration::from_millis(100),
            ..HttpLimits::default()
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = serve(listener, limits, Clock::real(), handler).unwrap();
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        async_std::future::timeout(TEST_TIMEOUT, notified.recv())
            .await
            .unwrap()
            .unwrap();
        assert_eq!(
            server
                .counters()
                .timed_out
                .load(std::sync::atomic::Ordering::Relaxed),
            1
        );
        server.stop().await;
    });
}

#[parameterized(finished = { true }, sender_dropped = { false })]
fn stream_end(finished: bool) {
    task::block_on(async {
        let handler = move |_: Request| async move {
            let (sender, body) = ResponseBody::stream();
            task::spawn(async move {
                sender.send("one".into()).await.unwrap();
                if finished {
                    sender.finish().await.unwrap();
                }
            });
            Response::new(body)
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = serve(listener, HttpLimits::default(), Clock::real(), handler).unwrap();
        let request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let response = exchange(&server, request).await;
        assert!(response.contains("3\r\none\r\n"), "{response}");
        assert_eq!(response.ends_with("0\r\n\r\n"), finished, "{response}");
        server.stop().await;
    });
}

#[test]
fn stop_finishes_stream() {
    task::block_on(async {
        let (release, gate) = async_channel::bounded::<()>(1);
        let handler = move |_: Request| {
            let gate = gate.clone();
            async move {
                let (sender, body) = ResponseBody::stream();
                task::spawn(async move {
                    sender.send("one".into()).await.unwrap();
                    gate.recv().await.unwrap();
                    sender.send("two".into()).await.unwrap();
                    sender.finish().await.unwrap();
                });
                Response::new(body)
            }
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = serve(listener, HttpLimits::default(), Clock::real(), handler).unwrap();
        let mut idle = TcpStream::connect(server.address()).await.unwrap();
        let mut busy = TcpStream::connect(server.address()).await.unwrap();
        busy.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        let mut byte = [0];
        busy.read_exact(&mut byte).await.unwrap();
        let address = server.address();
        let stopping = task::spawn(server.stop());
        assert_eq!(read_to_end(&mut idle).await, "");
        release.send(()).await.unwrap();
        let rest = read_to_end(&mut busy).await;
        assert!(rest.ends_with("3\r\ntwo\r\n0\r\n\r\n"), "{rest}");
        async_std::future::timeout(TEST_TIMEOUT, stopping)
            .await
            .unwrap();
        TcpStream::connect(address).await.unwrap_err();
    });
}
