//! Tests of the platform client against invalid responses of a faulty server.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task::{self, block_on};
use tanagerhub_catalogue::{Vm, VmState};
use tanagerhub_clock::Clock;
use tanagerhub_table::{CommitOutcome, Transaction, TransactionId};
use tanagerhub_wire::platform::{HttpPlatform, Platform, PlatformError};
use yare::parameterized;

/// Starts a server that reads one request and responds with these bytes; returns its client.
async fn client_of(response: impl Into<String>) -> HttpPlatform {
    let response = response.into();
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

/// An odd entry of another writer names no VM, and the others hold.
#[parameterized(
    port = { r#"{"name":"b","address":"10.0.0.1:70000","data_centre":"x","domain":"d","state":"live"}"#.to_owned() },
    number = { r#"{"name":"b","further":1e999}"#.to_owned() },
    beyond_64_bits = { "18446744073709551616".to_owned() },
    deep = { format!("{}{}", "[".repeat(200_000), "]".repeat(200_000)) },
)]
fn odd_vm_leaves_others_listed(odd: String) {
    block_on(async {
        let vm = |name: &str| Vm {
            name: name.to_owned(),
            address: "10.0.0.1:9000".parse().unwrap(),
            data_centre: "x".to_owned(),
            domain: "d".to_owned(),
            service: None,
            state: VmState::Live,
        };
        let entries = [vm("a"), vm("c")].map(|vm| serde_json::to_string(&vm).unwrap());
        let body = format!("[{},{odd},{}]", entries[0], entries[1]);
        let length = body.len();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        let client = client_of(response).await;
        let listed = client.vms().await.unwrap();
        assert_eq!(listed, [vm("a"), vm("c")]);
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
