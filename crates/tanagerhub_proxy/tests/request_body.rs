//! Refusals of requests whose body is still on its way, over real sockets.

use std::time::{Duration, Instant};

use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tanagerhub_clock::Clock;
use tanagerhub_proxy::{RequestBody, ResponseBody, Server, ServerLimits, full_body, serve};
use yare::parameterized;

/// Maximum size of a body that the server accepts.
const BODY_LIMIT: usize = 100;
/// Far longer than any body takes that a test sends to its end.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Within this time a caller has a refusal, even if it never ends its body.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// Within this time the server closes a connection whose caller never stops sending.
const CLOSE_TIME: Duration = Duration::from_secs(4);
const LONG_BYTES: usize = 1 << 20;
const HEAD: &str = "POST /refused HTTP/1.1\r\nHost: a\r\n";

/// Refuses requests to `/refused` unread, and responds to others with the size of their body.
async fn respond(request: Request<Incoming>) -> Response<ResponseBody> {
    let (parts, mut body) = RequestBody::split(request);
    let mut response = Response::new(full_body("refused"));
    *response.status_mut() = StatusCode::NOT_FOUND;
    if parts.uri.path() != "/refused" {
        match body.read(&Clock::real(), BODY_LIMIT, BODY_TIMEOUT).await {
            Ok(bytes) => return Response::new(full_body(format!("{} bytes", bytes.len()))),
            Err(_) => *response.status_mut() = StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
    body.discard(&Clock::real(), response).await
}

async fn start_server() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    serve(listener, ServerLimits::default(), Clock::real(), respond).unwrap()
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

/// Writes pieces until the server closes the connection, or for twice the permitted time.
async fn write_without_end(mut stream: TcpStream, piece: Vec<u8>) -> Duration {
    let started = Instant::now();
    while started.elapsed() < CLOSE_TIME * 2 {
        let timeout = Duration::from_secs(1);
        let written = async_std::future::timeout(timeout, stream.write_all(&piece)).await;
        if matches!(written, Ok(Err(_))) {
            break;
        }
        task::sleep(Duration::from_millis(1)).await;
    }
    started.elapsed()
}

#[parameterized(
    length = { "Content-Length: 9000000000", &[b'a'; 1_000] },
    chunks = { "Transfer-Encoding: chunked", b"5\r\naaaaa\r\n" },
    extension = { "Transfer-Encoding: chunked", b"5;aaaaaaaaaaaaa" },
)]
fn refuse_endless_body(framing: &str, piece: &[u8]) {
    task::block_on(async {
        let server = start_server().await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head = format!("{HEAD}{framing}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        let write_task = task::spawn(write_without_end(stream.clone(), piece.to_vec()));
        let refusal = async_std::future::timeout(REFUSAL_TIME, read_until(&mut stream, "refused"));
        let refusal = refusal.await.unwrap().to_lowercase();
        assert!(refusal.contains("connection: close"), "{refusal}");
        let open = write_task.await;
        assert!(open < CLOSE_TIME, "{open:?}");
        server.stop().await;
    });
}

/// A body that never comes must not delay the refusal for long.
#[parameterized(
    silent = { "Content-Length: 5" },
    awaited = { "Content-Length: 5\r\nExpect: 100-continue" },
)]
fn refuse_missing_body(headers: &str) {
    task::block_on(async {
        let server = start_server().await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head = format!("{HEAD}{headers}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        let response = async_std::future::timeout(REFUSAL_TIME, read_to_end(&mut stream));
        let response = response.await.unwrap();
        assert!(response.starts_with("HTTP/1.1 404 "), "{response}");
        assert!(response.ends_with("refused"), "{response}");
        server.stop().await;
    });
}

/// The caller sends the rest of its body long after the refusal has been sent.
#[parameterized(
    refused = { "/refused", "Content-Length: 90", "aaaaaaaaa" },
    malformed = { "/read", "Transfer-Encoding: chunked", "no chunk" },
)]
fn refusal_survives_late_body(path: &str, framing: &str, late: &str) {
    task::block_on(async {
        let server = start_server().await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head = format!("POST {path} HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..10 {
            task::sleep(Duration::from_millis(100)).await;
            stream.write_all(late.as_bytes()).await.unwrap();
        }
        let response = read_to_end(&mut stream).await;
        assert!(response.ends_with("refused"), "{response}");
        server.stop().await;
    });
}

#[test]
fn refusal_survives_long_head() {
    task::block_on(async {
        let server = start_server().await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head = format!("{HEAD}long: {}\r\n\r\n", "a".repeat(LONG_BYTES));
        stream.write_all(head.as_bytes()).await.unwrap();
        let response = read_to_end(&mut stream).await;
        assert!(response.starts_with("HTTP/1.1 431 "), "{response}");
        server.stop().await;
    });
}

#[parameterized(
    length = { "Content-Length: 1048576", 1 },
    chunks = { "Transfer-Encoding: chunked", 16 },
)]
fn refusal_keeps_connection(framing: &str, chunks: usize) {
    task::block_on(async {
        let server = start_server().await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let piece = "a".repeat(LONG_BYTES / chunks);
        let body = if chunks == 1 {
            piece
        } else {
            let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
            format!("{}0\r\n\r\n", chunk.repeat(chunks))
        };
        for _ in 0..3 {
            let request = format!("{HEAD}{framing}\r\n\r\n{body}");
            stream.write_all(request.as_bytes()).await.unwrap();
            read_until(&mut stream, "refused").await;
            let request = "POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
            stream.write_all(request.as_bytes()).await.unwrap();
            read_until(&mut stream, "3 bytes").await;
        }
        assert_eq!(server.accepted(), 1);
        drop(stream);
        server.stop().await;
    });
}

/// After a request that was read, the server closes at once and doesn't read what crosses the close.
#[test]
fn close_at_once_after_read_body() {
    task::block_on(async {
        let server = start_server().await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let request = b"POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
        stream.write_all(request).await.unwrap();
        read_until(&mut stream, "3 bytes").await;
        let started = Instant::now();
        server.stop().await;
        assert!(started.elapsed() < REFUSAL_TIME);
    });
}
