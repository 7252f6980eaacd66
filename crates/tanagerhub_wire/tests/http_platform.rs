//! Tests of the platform client against invalid responses of a faulty server.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task::{self, block_on};
use tanagerhub_clock::Clock;
use tanagerhub_table::{CommitOutcome, Transaction, TransactionId};
use tanagerhub_wire::platform::{HttpPlatform, Platform, PlatformError};
use yare::parameterized;

/// Starts a server that reads one request and responds with these bytes; returns its client.
async fn client_of(response: &'static str) -> HttpPlatform {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        let mut read = 0;
        while !is_complete(&request[..read]) {
            read += stream.read(&mut request[read..]).await.unwrap();
        }
        stream.write_all(response.as_bytes()).await.unwrap();
    });
    HttpPlatform::new(address, Clock::real())
}

/// Returns whether the request has arrived completely, up to the last brace of its JSON body.
fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request);
    text.split_once("\r\n\r\n")
        .is_some_and(|(head, body)| head.starts_with("GET") || body.ends_with('}'))
}

#[parameterized(
    truncated = { "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n\"not_applied\"" },
    unframed = { "HTTP/1.1 200 OK\r\n\r\n\"not_applied\"" },
    truncated_chunk = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n\"not_applied\"\r\n" },
    server_error = { "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n" },
    garbage = { "SSH-2.0\r\n\r\n" },
    not_json = { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi" },
    nothing = { "" },
)]
fn commit_broken_response_is_unknown(response: &'static str) {
    block_on(async {
        let client = client_of(response).await;
        let outcome = client.commit(Transaction::new(TransactionId(1))).await;
        assert_eq!(outcome, CommitOutcome::Unknown);
    });
}

#[parameterized(
    limited = { "HTTP/1.1 429 Slow down\r\nContent-Length: 0\r\n\r\n" },
    refused = { "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n" },
)]
fn commit_refused_is_not_applied(response: &'static str) {
    block_on(async {
        let client = client_of(response).await;
        let outcome = client.commit(Transaction::new(TransactionId(1))).await;
        assert_eq!(outcome, CommitOutcome::NotApplied);
    });
}

#[test]
fn vms_truncated_is_unavailable() {
    block_on(async {
        let client = client_of("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n[]").await;
        let listed = client.vms().await;
        assert!(matches!(listed, Err(PlatformError::Unavailable { .. })));
    });
}
