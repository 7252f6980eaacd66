use std::sync::Arc;
use std::time::Duration;

use bincode::config::standard;
use bincode::serde::{decode_from_slice, encode_to_vec};
use http_body_util::BodyExt as _;
use tanagerhub_clock::Clock;
use tanagerhub_table::{
    FeedPage, PageKind, RowKey, RowVersion, StoreAnswer, StoreEra, StoreTime, VersionedRow,
};
use yare::parameterized;

use super::{
    Relay, RelayClient, RelayQuery, RelayTable, compression, decode_query, decode_response,
    encode_query, encode_value, era_section,
};
use crate::gateway::GatewayMetrics;
use crate::gateway::relay_log::RelayResponse;

fn page(at: u64) -> FeedPage {
    FeedPage {
        rows: Vec::new(),
        version: RowVersion(7),
        at: StoreTime(at),
        era: None,
    }
}

fn query(table: &str, wait: u64) -> RelayQuery {
    RelayQuery {
        table: table.to_owned(),
        after: RowVersion(7),
        at: StoreTime(100),
        wait: Duration::from_millis(wait),
        era: None,
    }
}

#[async_std::test]
async fn wait_for_changes_returns_new_page() {
    let table = Arc::new(RelayTable::default());
    table.apply_page(&page(100), PageKind::All);
    let clock = Clock::real();
    let waiting = {
        let (table, clock) = (Arc::clone(&table), clock.clone());
        async_std::task::spawn(
            async move { table.wait_for_changes(&clock, &query("vms", 5_000)).await },
        )
    };
    async_std::task::sleep(Duration::from_millis(20)).await;
    table.apply_page(&page(200), PageKind::Changes);
    assert_eq!(waiting.await.result, RelayResponse::Page(page(200)));
}

#[async_std::test]
async fn wait_for_changes_times_out() {
    let table = RelayTable::default();
    table.apply_page(&page(100), PageKind::All);
    let (clock, manual_clock) = Clock::manual();
    let unchanged_query = query("vms", 1_000);
    let waiting = table.wait_for_changes(&clock, &unchanged_query);
    let advance_clock = async {
        async_std::task::sleep(Duration::from_millis(20)).await;
        manual_clock.advance(Duration::from_secs(1));
        std::future::pending::<StoreAnswer<RelayResponse>>().await
    };
    let response = futures_lite::future::or(waiting, advance_clock).await;
    assert_eq!(response.result, RelayResponse::NoChange);
}

/// Returns a page with a configuration of many routes.
fn large_page() -> FeedPage {
    let routes = (0..1_000).map(|route| format!("host-{route}.example /path-{route}/\n"));
    let row = VersionedRow {
        key: RowKey::in_table("vms", "large"),
        version: RowVersion(8),
        value: Some(routes.collect::<String>().into_bytes()),
    };
    FeedPage {
        rows: vec![row],
        version: RowVersion(8),
        ..page(200)
    }
}

/// Guards against configurations that fill narrow links, and against nodes of another build that
/// don't know the compression.
#[async_std::test]
async fn large_pages_are_compressed_if_accepted() {
    let body = encode_to_vec(RelayResponse::Page(large_page()), standard()).unwrap();
    let uncompressed = super::page_response(body.clone(), false);
    assert!(!compression::is_compressed(uncompressed.headers()));
    let sent = uncompressed.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(sent, body);
    let compressed = super::page_response(body.clone(), true);
    assert!(compression::is_compressed(compressed.headers()));
    let sent = compressed.into_body().collect().await.unwrap().to_bytes();
    assert!(4 * sent.len() < body.len(), "{} bytes", sent.len());
    let small = super::page_response(vec![0; 99], true);
    assert!(!compression::is_compressed(small.headers()));
}

/// Guards against a peer whose small response needs all memory.
#[test]
fn decompressed_size_is_bounded() {
    let body = vec![0; 100_000];
    let compressed = compression::compress(&body).unwrap();
    assert_eq!(compression::decompress(&compressed, 100_000).unwrap(), body);
    compression::decompress(&compressed, 99_999).unwrap_err();
    compression::decompress(b"no data of this kind", 100_000).unwrap_err();
}

#[async_std::test]
async fn query_over_socket() {
    let clock = Clock::real();
    let table = Arc::new(RelayTable::default());
    table.apply_page(&page(100), PageKind::All);
    table.apply_page(&large_page(), PageKind::Changes);
    let relay = Arc::new(Relay::new(
        clock.clone(),
        GatewayMetrics::default(),
        vec![("vms", table)],
    ));
    let handler = move |request| Arc::clone(&relay).handle(request);
    let listener = async_std::net::TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let limits = tanagerhub_proxy::ServerLimits::default();
    let server = tanagerhub_proxy::serve(listener, limits, clock.clone(), handler).unwrap();
    let client = RelayClient::new(clock);
    let timeout = Duration::from_secs(5);
    let response = client.query(address, &query("vms", 1_000), timeout).await;
    assert_eq!(response.unwrap().result, RelayResponse::Page(large_page()));
    let unknown = client.query(address, &query("none", 1_000), timeout).await;
    unknown.unwrap_err();
    drop(server);
}

/// Golden bytes of commit 1edf371. A node of another build would misread another encoding.
#[test]
fn query_bytes() {
    let query = query("vms", 1_000);
    let bytes = b"\x03vms\x07\x64\xfb\xe8\x03";
    assert_eq!(encode_to_vec(&query, standard()).unwrap(), bytes);
    let decoded = decode_from_slice(bytes, standard()).unwrap();
    assert_eq!(decoded, (query, bytes.len()));
    assert_eq!(super::PATH, "/changes");
}

/// Guards against eras that are lost on the way to a peer, and against sections that a node of
/// commit 1edf371 or of a build without eras misreads: it ignores what follows the content.
#[parameterized(
    named = { Some(StoreEra(3)) },
    unnamed = { None },
)]
fn era_in_section(era: Option<StoreEra>) {
    let sent = RelayQuery {
        era,
        ..query("vms", 1_000)
    };
    let bytes = encode_query(&sent);
    assert_eq!(decode_query(&bytes).unwrap(), sent);
    let (content, _): (RelayQuery, usize) = decode_from_slice(&bytes, standard()).unwrap();
    assert_eq!(content, query("vms", 1_000));
    let current = FeedPage { era, ..page(200) };
    let response = RelayResponse::Page(current);
    let bytes = encode_value(&response, &era_section(era));
    let decoded = decode_response(&bytes).unwrap();
    assert_eq!(decoded, StoreAnswer::new(response, era));
    let (content, _): (RelayResponse, usize) = decode_from_slice(&bytes, standard()).unwrap();
    assert_eq!(content, RelayResponse::Page(page(200)));
}

/// Guards against a peer, or another process at its address, that sends bytes without end: what a
/// node reads of them is bounded, and it closes the connection.
#[parameterized(
    garbage = { "", "garbage" },
    header_lines = { "HTTP/1.1 200 X\r\n", "name: value\r\n" },
    interim_responses = { "", "HTTP/1.1 100 X\r\n\r\n" },
    body = { "HTTP/1.1 200 X\r\n\r\n", "body" },
    chunk_extension = { "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n7;", "extension" },
    trailers = { "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "name: value\r\n" },
)]
fn endless_peer_closed(start: &'static str, piece: &'static str) {
    use std::io::{Read as _, Write as _};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream
            .set_write_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        let received = stream.read(&mut [0; 4_096]).unwrap();
        assert!(received > 0, "no query");
        let bytes = piece.repeat(1_000);
        let mut sent = 0;
        let mut is_open = stream.write_all(start.as_bytes()).is_ok();
        while is_open && sent < 64 << 20 {
            is_open = stream.write_all(bytes.as_bytes()).is_ok();
            sent += bytes.len();
        }
        (is_open, sent)
    });
    let client = RelayClient::new(Clock::real());
    let timeout = Duration::from_millis(500);
    let query = query("vms", 100);
    let result = async_std::task::block_on(client.query(address, &query, timeout));
    result.unwrap_err();
    drop(client);
    let (is_open, sent) = server.join().unwrap();
    assert!(!is_open, "still open after {sent} bytes");
}
