//! Refusals of requests whose body is still on its way.

use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::TcpStream;
use async_std::task;
use yare::parameterized;

use crate::deployment::{BackendServer, Script, TestSetup, status};

/// The size of a body that doesn't fit into the socket's buffers at once.
const LONG_BODY_BYTES: usize = 400_000;
/// The number of requests per case, since a lost response depends on timing.
const REQUESTS: usize = 30;
/// The permission to send a body.
const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const PIECES: usize = 4;
/// Far longer than a refusal may take; it only keeps a fault from blocking the test run.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A caller that sends its whole request before it reads the response.
#[derive(Debug, Clone, Copy)]
struct Sending {
    chunked: bool,
    /// The pause after each piece of the body.
    pause: Duration,
    /// How long the caller waits before it reads.
    delay: Duration,
}

impl Sending {
    fn request(self, head: &str) -> Vec<Vec<u8>> {
        let piece = vec![b'a'; LONG_BODY_BYTES / PIECES];
        let framing = if self.chunked {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {LONG_BODY_BYTES}")
        };
        let head = format!("{head}{framing}\r\n\r\n");
        let mut parts = vec![head.into_bytes()];
        for _ in 0..PIECES {
            parts.push(self.encode(&piece));
        }
        if self.chunked {
            parts.push(b"0\r\n\r\n".to_vec());
        }
        parts
    }

    fn encode(self, piece: &[u8]) -> Vec<u8> {
        if !self.chunked {
            return piece.to_vec();
        }
        let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
        chunk.extend_from_slice(piece);
        chunk.extend_from_slice(b"\r\n");
        chunk
    }

    /// Sends a request, and reads one response to its end.
    async fn exchange(self, stream: &mut TcpStream, head: &str) -> Result<String, String> {
        for part in self.request(head) {
            let written = stream.write_all(&part).await;
            written.map_err(|error| format!("the request can't be sent: {error}"))?;
            task::sleep(self.pause).await;
        }
        task::sleep(self.delay).await;
        let response = async_std::future::timeout(RESPONSE_TIMEOUT, read_response(stream));
        response
            .await
            .unwrap_or_else(|timeout| Err(timeout.to_string()))
    }
}

/// Reads one response with a `Content-Length`.
async fn read_response(stream: &mut TcpStream) -> Result<String, String> {
    let mut received = String::new();
    let mut buffer = [0; 1_024];
    while !is_complete(&received) {
        match stream.read(&mut buffer).await {
            Ok(0) => return Err(format!("closed after {received:?}")),
            Ok(count) => received.push_str(&String::from_utf8_lossy(&buffer[..count])),
            Err(error) => return Err(format!("{error} after {received:?}")),
        }
    }
    Ok(received)
}

fn is_complete(response: &str) -> bool {
    let response = response.trim_start_matches(CONTINUE);
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_lowercase();
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    length.is_some_and(|length| body.len() >= length.parse().unwrap())
}

const AT_ONCE: Sending = Sending {
    chunked: false,
    pause: Duration::ZERO,
    delay: Duration::ZERO,
};

const IN_PIECES: Sending = Sending {
    pause: Duration::from_millis(5),
    ..AT_ONCE
};

const READ_LATE: Sending = Sending {
    delay: Duration::from_millis(30),
    ..AT_ONCE
};

const fn chunked(sending: Sending) -> Sending {
    Sending {
        chunked: true,
        ..sending
    }
}

const NO_ROUTE: &str = "POST /removed/ HTTP/1.1\r\nHost: shop\r\nid: 1\r\nkey: k1\r\n";
const NO_KEY: &str = "POST /safe/ HTTP/1.1\r\nHost: shop\r\nid: 1\r\nkey: k9\r\n";
const NO_ID: &str = "POST /safe/ HTTP/1.1\r\nHost: shop\r\nkey: k1\r\n";
const TOO_LONG: &str = "POST /safe/ HTTP/1.1\r\nHost: shop\r\nid: 1\r\nkey: k1\r\n";

#[parameterized(
    route_at_once = { NO_ROUTE, AT_ONCE, 404 },
    route_in_pieces = { NO_ROUTE, IN_PIECES, 404 },
    route_read_late = { NO_ROUTE, READ_LATE, 404 },
    route_chunks = { NO_ROUTE, chunked(AT_ONCE), 404 },
    route_chunks_in_pieces = { NO_ROUTE, chunked(IN_PIECES), 404 },
    key_at_once = { NO_KEY, AT_ONCE, 401 },
    key_in_pieces = { NO_KEY, IN_PIECES, 401 },
    key_chunks_read_late = { NO_KEY, chunked(READ_LATE), 401 },
    id_at_once = { NO_ID, AT_ONCE, 400 },
    too_long_at_once = { TOO_LONG, AT_ONCE, 413 },
    too_long_in_pieces = { TOO_LONG, IN_PIECES, 413 },
    too_long_chunks = { TOO_LONG, chunked(READ_LATE), 413 },
)]
fn refusal_delivered(head: &str, sending: Sending, expected: u16) {
    task::block_on(async {
        let setup = TestSetup::with_backends(&[]).await;
        let mut lost = Vec::new();
        for _ in 0..REQUESTS {
            let address = setup.settings.caller_address;
            let mut stream = TcpStream::connect(address).await.unwrap();
            // A connection whose request was received completely stays open for the next one.
            for _ in 0..if expected == 413 { 1 } else { 2 } {
                match sending.exchange(&mut stream, head).await {
                    Ok(response) => assert_eq!(status(&response), expected, "{response}"),
                    Err(error) => lost.push(error),
                }
            }
        }
        assert!(lost.is_empty(), "{} of {REQUESTS}: {lost:?}", lost.len());
    });
}

/// A request whose body never ends is refused at its deadline and not run.
#[parameterized(
    length = { "Content-Length: 10\r\n\r\na" },
    no_body = { "Content-Length: 10\r\n\r\n" },
    chunks = { "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n" },
    awaited = { "Content-Length: 10\r\nExpect: 100-continue\r\n\r\n" },
)]
fn stalled_body_refused(rest: &str) {
    task::block_on(async {
        let desk = BackendServer::start(vec![Script::response(200, "", "found")]).await;
        let setup = TestSetup::with_backends(&[("desk", &desk)]).await;
        let address = setup.settings.caller_address;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = "POST /safe/ HTTP/1.1\r\nHost: shop\r\nid: 1\r\nkey: k1\r\ndeadline: 300\r\n";
        let request = format!("{head}{rest}");
        stream.write_all(request.as_bytes()).await.unwrap();
        let response = async_std::future::timeout(RESPONSE_TIMEOUT, read_response(&mut stream));
        let response = response.await.unwrap().unwrap();
        let response = response.trim_start_matches(CONTINUE);
        assert_eq!(status(response), 408, "{response}");
        assert!(desk.request_heads().is_empty());
    });
}
