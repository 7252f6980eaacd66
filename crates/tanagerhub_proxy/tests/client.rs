//! The client's honesty towards faulty back ends, over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tanagerhub_clock::Clock;
use tanagerhub_proxy::{BodyError, Client, PoolLimits, Reuse, SendError};
use yare::parameterized;

/// A back end that answers each connection's requests with the given bytes, then closes.
async fn backend(answers: Vec<&'static [u8]>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            task::spawn(answer(stream, answers.clone()));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, answers: Vec<&'static [u8]>) {
    let mut buffer = [0; 4_096];
    for answer in answers {
        if stream.read(&mut buffer).await.unwrap_or(0) == 0 {
            return;
        }
        stream.write_all(answer).await.unwrap();
        task::sleep(Duration::from_millis(5)).await;
    }
}

fn client() -> Client {
    let connect = Duration::from_secs(1);
    Client::new(PoolLimits::default(), connect, Clock::real())
}

fn get() -> Request<Full<Bytes>> {
    let request = Request::get("/a//b/../c%2f?q=%20x").header("host", "shop.example");
    request.body(Full::default()).unwrap()
}

#[parameterized(
    length = { b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc" },
    chunks = { b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" },
    closed = { b"HTTP/1.1 200 OK\r\n\r\nabc" },
)]
fn read_whole(bytes: &'static [u8]) {
    task::block_on(async {
        let address = backend(vec![bytes]).await;
        let answer = client().send(address, get(), Reuse::Idle, || true).await;
        assert_eq!(answer.unwrap().body.read(100).await.unwrap(), "abc");
    });
}

#[parameterized(
    length = { b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc" },
    chunk = { b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabc" },
    no_last_chunk = { b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n" },
)]
fn read_cut(bytes: &'static [u8]) {
    task::block_on(async {
        let address = backend(vec![bytes]).await;
        let answer = client().send(address, get(), Reuse::Idle, || true).await;
        let error = answer.unwrap().body.read(100).await.unwrap_err();
        assert!(matches!(error, BodyError::Truncated { .. }), "{error}");
    });
}

#[test]
fn refuse_garbage() {
    task::block_on(async {
        let address = backend(vec![b"garbage\r\n\r\n"]).await;
        let error = client().send(address, get(), Reuse::Idle, || true).await;
        let error = error.unwrap_err();
        assert!(matches!(error, SendError::Malformed { .. }), "{error}");
        assert!(error.may_have_run());
    });
}

#[test]
fn refuse_second_answer() {
    task::block_on(async {
        let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb";
        let address = backend(vec![
            bytes,
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nc",
        ])
        .await;
        let client = client();
        for _ in 0..2 {
            let answer = client.send(address, get(), Reuse::Idle, || true).await;
            // The surplus belongs to no request, so the second one gets a connection of its own.
            assert_eq!(answer.unwrap().body.read(100).await.unwrap(), "a");
            task::sleep(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn send_unchanged() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let client = client();
        let sent = task::spawn(async move {
            let _: Result<_, _> = client.send(address, get(), Reuse::Never, || true).await;
        });
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = vec![0; 4_096];
        let count = stream.read(&mut buffer).await.unwrap();
        let head = String::from_utf8_lossy(&buffer[..count]).to_lowercase();
        assert!(
            head.starts_with("get /a//b/../c%2f?q=%20x http/1.1\r\n"),
            "{head}"
        );
        assert!(head.contains("host: shop.example\r\n"), "{head}");
        sent.cancel().await;
    });
}

#[test]
fn send_refused() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let error = client().send(address, get(), Reuse::Idle, || true).await;
        assert!(!error.unwrap_err().may_have_run());
    });
}

/// A back end that has too many connections takes a new one and closes it.
#[test]
fn send_turned_away() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (clock, hand) = Clock::manual();
        let client = Client::new(PoolLimits::default(), Duration::from_secs(1), clock);
        let sent = task::spawn(async move {
            let answer = client.send(address, get(), Reuse::Never, || true).await;
            answer.map(|_| ())
        });
        let (stream, _) = listener.accept().await.unwrap();
        task::sleep(Duration::from_millis(20)).await;
        drop(stream);
        task::sleep(Duration::from_millis(20)).await;
        hand.advance(Duration::from_millis(20));
        let error = sent.await.unwrap_err();
        assert!(matches!(error, SendError::TurnedAway { .. }), "{error}");
        assert!(!error.may_have_run());
    });
}

#[test]
fn send_withdrawn() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let error = client().send(address, get(), Reuse::Idle, || false).await;
        assert!(!error.unwrap_err().may_have_run());
        let (mut stream, _) = listener.accept().await.unwrap();
        // Nothing was written on the connection.
        assert_eq!(stream.read(&mut [0]).await.unwrap(), 0);
    });
}

#[parameterized(
    idle = { Reuse::Idle, 1 },
    never = { Reuse::Never, 2 },
)]
fn reuse_connection(reuse: Reuse, connections: usize) {
    task::block_on(async {
        let whole: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (count, counted) = async_channel::unbounded();
        task::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                count.send(()).await.unwrap();
                task::spawn(answer(stream, vec![whole, whole]));
            }
        });
        let client = client();
        for _ in 0..2 {
            let answer = client.send(address, get(), reuse, || true).await.unwrap();
            assert_eq!(answer.body.read(100).await.unwrap(), "a");
            task::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(counted.len(), connections);
    });
}

#[test]
fn close_unread_answer() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let served = task::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 4_096];
            stream.read(&mut buffer).await.unwrap();
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n";
            stream.write_all(head).await.unwrap();
            // Ends when the caller's connection does.
            stream.read(&mut buffer).await.unwrap_or(0)
        });
        let mut answer = client()
            .send(address, get(), Reuse::Idle, || true)
            .await
            .unwrap();
        assert_eq!(answer.body.next().await.unwrap().unwrap(), "a");
        drop(answer);
        assert_eq!(served.await, 0);
    });
}
