//! Tests of the client against faulty backend servers, over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use http::Method;
use tanagerhub_clock::Clock;
use tanagerhub_wire::backend::{
    BackendClient, BackendError, BackendRequest, BodyError, ConnectionRule, PoolLimits, Timeouts,
};
use yare::parameterized;

/// Starts a backend server that responds to the requests of each connection with the given bytes,
/// then closes it. A `|` separates parts that are sent one by one.
async fn backend(responses: Vec<&'static [u8]>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            task::spawn(respond(stream, responses.clone()));
        }
    });
    address
}

async fn respond(mut stream: TcpStream, responses: Vec<&'static [u8]>) {
    let mut buffer = [0; 4_096];
    for response in responses {
        if stream.read(&mut buffer).await.unwrap_or(0) == 0 {
            return;
        }
        for part in response.split_inclusive(|byte| *byte == b'|') {
            let part = part.strip_suffix(b"|").unwrap_or(part);
            stream.write_all(part).await.unwrap();
            // Makes the client receive the parts separately.
            task::sleep(Duration::from_millis(5)).await;
        }
    }
}

fn client() -> BackendClient {
    BackendClient::new(PoolLimits::default(), Clock::real())
}

fn get() -> BackendRequest {
    BackendRequest::new(Method::GET, "/")
}

#[parameterized(
    length = { b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc" },
    length_in_parts = { b"HTTP/1.1 200 OK\r\nContent-|Length: 3\r\n\r|\na|bc", "abc" },
    chunks = { b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "abc" },
    chunks_in_parts = { b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na|bc\r\n0\r\n\r|\n", "abc" },
    no_content = { b"HTTP/1.1 204 No Content\r\n\r\n", "" },
    after_continue = { b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "a" },
)]
fn read_complete(bytes: &'static [u8], expected: &str) {
    task::block_on(async {
        let address = backend(vec![bytes, bytes]).await;
        let client = client();
        for _ in 0..2 {
            let response = client.send(address, get()).await.unwrap();
            assert_eq!(response.body.read(100).await.unwrap(), expected);
            assert_eq!(client.idle_connections(), 1);
        }
    });
}

#[parameterized(
    length = { b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc" },
    chunk = { b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc" },
    final_chunk = { b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n" },
)]
fn read_truncated(bytes: &'static [u8]) {
    task::block_on(async {
        let address = backend(vec![bytes]).await;
        let client = client();
        let response = client.send(address, get()).await.unwrap();
        let error = response.body.read(100).await.unwrap_err();
        assert_eq!(
            error,
            BodyError::Truncated {
                address,
                received: 3
            }
        );
        assert_eq!(client.idle_connections(), 0);
    });
}

#[parameterized(
    no_framing = { b"HTTP/1.1 200 OK\r\n\r\nabc", "neither" },
    differing_lengths = { b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "differ" },
    length_and_chunks = { b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "exclude" },
    garbage = { b"garbage\r\n\r\n", "can't be read" },
    not_ascii = { b"HTTP/1.1 200 OK\r\nX-Name: \xe9\r\nContent-Length: 0\r\n\r\n", "ASCII" },
)]
fn refuse_response(bytes: &'static [u8], text: &str) {
    task::block_on(async {
        let address = backend(vec![bytes]).await;
        let error = client().send(address, get()).await.unwrap_err();
        assert!(matches!(error, BackendError::Malformed { .. }), "{error}");
        assert!(error.to_string().contains(text), "{error}");
        assert!(error.may_have_run());
    });
}

#[test]
fn refuse_broken_chunks() {
    task::block_on(async {
        let bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcde\r\n";
        let address = backend(vec![bytes]).await;
        let response = client().send(address, get()).await.unwrap();
        let error = response.body.read(100).await.unwrap_err();
        assert!(matches!(error, BodyError::Malformed { .. }), "{error}");
    });
}

#[test]
fn drop_connection_after_surplus() {
    task::block_on(async {
        let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n\r\n";
        let address = backend(vec![bytes]).await;
        let client = client();
        let response = client.send(address, get()).await.unwrap();
        assert_eq!(response.body.read(100).await.unwrap(), "a");
        assert_eq!(client.idle_connections(), 0);
    });
}

#[test]
fn drop_connection_after_unread_body() {
    task::block_on(async {
        let address = backend(vec![b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"]).await;
        let client = client();
        drop(client.send(address, get()).await.unwrap());
        assert_eq!(client.idle_connections(), 0);
    });
}

#[test]
fn send_refused() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let error = client().send(address, get()).await.unwrap_err();
        assert!(matches!(error, BackendError::NotSent { .. }), "{error}");
        assert!(!error.may_have_run());
    });
}

#[test]
fn send_closed_without_response() {
    task::block_on(async {
        let address = backend(vec![b""]).await;
        let error = client().send(address, get()).await.unwrap_err();
        assert!(matches!(error, BackendError::Broken { .. }), "{error}");
        assert!(error.may_have_run());
    });
}

#[test]
fn send_times_out() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let timeouts = Timeouts {
            first_byte: Duration::from_millis(50),
            ..Timeouts::default()
        };
        let error = client()
            .send(address, get().timeouts(timeouts))
            .await
            .unwrap_err();
        assert!(matches!(error, BackendError::Timeout { .. }), "{error}");
        assert!(error.may_have_run());
    });
}

#[test]
fn read_times_out() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (done, wait) = async_channel::bounded::<()>(1);
        task::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let head = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na";
            stream.write_all(head).await.unwrap();
            let _: Result<(), _> = wait.recv().await;
        });
        let timeouts = Timeouts {
            body_idle: Duration::from_millis(50),
            ..Timeouts::default()
        };
        let response = client()
            .send(address, get().timeouts(timeouts))
            .await
            .unwrap();
        let error = response.body.read(100).await.unwrap_err();
        assert!(matches!(error, BodyError::Timeout { .. }), "{error}");
        drop(done);
    });
}

#[parameterized(
    pooled = { ConnectionRule::Pooled, 2_000, 1 },
    pooled_expired = { ConnectionRule::Pooled, 16_000, 2 },
    proven = { ConnectionRule::Proven, 500, 1 },
    proven_old = { ConnectionRule::Proven, 2_000, 2 },
    fresh = { ConnectionRule::Fresh, 0, 2 },
)]
fn reuse_connection(rule: ConnectionRule, idle_ms: u64, connections: usize) {
    task::block_on(async {
        let complete: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (count, counted) = async_channel::unbounded();
        task::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                count.send(()).await.unwrap();
                task::spawn(respond(stream, vec![complete, complete]));
            }
        });
        let (clock, hand) = Clock::manual();
        let client = BackendClient::new(PoolLimits::default(), clock);
        for _ in 0..2 {
            let request = get().connection(rule);
            let response = client.send(address, request).await.unwrap();
            assert_eq!(response.body.read(100).await.unwrap(), "a");
            hand.advance(Duration::from_millis(idle_ms));
        }
        assert_eq!(counted.len(), connections);
    });
}

#[test]
fn skip_closed_connection() {
    task::block_on(async {
        // The backend server closes each connection after its first response.
        let address = backend(vec![b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"]).await;
        let client = client();
        for _ in 0..3 {
            let response = client.send(address, get()).await.unwrap();
            assert_eq!(response.body.read(100).await.unwrap(), "a");
            task::sleep(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn response_before_complete_request() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        task::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 4_096];
            stream.read_exact(&mut buffer).await.unwrap();
            let response = b"HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(response).await.unwrap();
            // Closing with the rest of the body unread resets the connection.
        });
        let request = BackendRequest::new(Method::POST, "/").body(vec![0; 64 << 20]);
        let client = client();
        let response = client.send(address, request).await.unwrap();
        assert_eq!(response.status, 413);
        response.body.read(10).await.unwrap();
        assert_eq!(client.idle_connections(), 0);
    });
}

#[test]
fn send_withdrawn_while_connecting() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let error = client()
            .send_if(address, get(), || false)
            .await
            .unwrap_err();
        assert!(!error.may_have_run());
        // The connection was open, and nothing was sent on it.
        let (mut stream, _) = listener.accept().await.unwrap();
        assert_eq!(stream.read(&mut [0]).await.unwrap(), 0);
    });
}

/// Guards against a response that is truncated after any of its bytes being read as complete.
#[parameterized(
    length = { b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde", 0 },
    // The last two bytes follow the line of the final chunk and carry no content.
    chunks = { b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n", 2 },
)]
fn read_truncated_anywhere(bytes: &'static [u8], optional_tail: usize) {
    task::block_on(async {
        let client = client();
        for cut in 1..bytes.len() - optional_tail {
            let address = backend(vec![&bytes[..cut]]).await;
            let complete = match client.send(address, get()).await {
                Ok(response) => response.body.read(100).await.is_ok(),
                Err(error) => {
                    assert!(error.may_have_run(), "{error}");
                    false
                }
            };
            assert!(!complete, "cut after {cut} bytes");
        }
        let address = backend(vec![bytes]).await;
        let response = client.send(address, get()).await.unwrap();
        assert_eq!(response.body.read(100).await.unwrap(), "abcde");
    });
}

/// A faulty server writes an earlier refusal once more before it runs the next request.
#[test]
fn old_refusal_reaches_no_request() {
    const REFUSED: &[u8] =
        b"HTTP/1.1 503 X\r\nx-tanagerhub-not-run: true\r\nContent-Length: 0\r\n\r\n";
    const SERVED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        task::spawn(async move {
            for responses in [vec![REFUSED, REFUSED], vec![SERVED]] {
                let (stream, _) = listener.accept().await.unwrap();
                task::spawn(respond(stream, responses));
            }
        });
        let client = client();
        for expected in [503, 200] {
            let request = get().connection(ConnectionRule::Proven);
            let response = client.send(address, request).await.unwrap();
            assert_eq!(response.status, expected);
            response.body.read(100).await.unwrap();
        }
    });
}
