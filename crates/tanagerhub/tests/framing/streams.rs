//! Streams whose bytes come in unusual pieces, or whose end isn't marked.

use async_std::io::prelude::*;
use async_std::net::TcpStream;
use async_std::task;
use yare::parameterized;

use super::endless::chunk;
use crate::deployment::{BackendServer, Script, TestSetup, status};

const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 X\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";

fn events(ids: std::ops::RangeInclusive<u32>) -> String {
    let events = ids.map(|id| format!("id: {id}\ndata: {id}\n\n"));
    events.collect::<Vec<_>>().concat()
}

fn event_ids(response: &str) -> Vec<u32> {
    let ids = response
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

/// The events before the malformed one come in the same chunk and must not be lost.
#[parameterized(
    gap = { "id: 9\ndata: 9\n\n" },
    bad_id = { "id: x\ndata: x\n\n" },
)]
fn resume_after_malformed_event(malformed: &str) {
    task::block_on(async {
        let body = chunk(&(events(1..=3) + malformed));
        let broken = Script::parts(&[CHUNKED_HEAD, &body]);
        let whole = Script::events(1, 6, true);
        let llm = BackendServer::start(vec![broken, whole]).await;
        let setup = TestSetup::with_backends(&[("llm", &llm), ("llm", &llm)]).await;
        let response = setup.send("POST", "/stream/x").await;
        assert_eq!(event_ids(&response), [1, 2, 3, 4, 5, 6], "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
    });
}

/// The caller has the head of a stream, so nothing but its continuation may follow.
#[parameterized(
    failed = { &["HTTP/1.1 500 X\r\nContent-Length: 8\r\n\r\nerror!\n\n"] },
    unavailable = { &["HTTP/1.1 503 X\r\nnot-run: 1\r\nContent-Length: 8\r\n\r\nerror!\n\n"] },
    not_found = { &["HTTP/1.1 404 X\r\nConnection: close\r\n\r\nerror!\n\n"] },
    text = { &[UNFRAMED, "error!\n\n"] },
    unfinished_text = { &[UNFRAMED, "error!"] },
    comment = { &[UNFRAMED, ": error!\n\n"] },
    unnamed_event = { &[UNFRAMED, "data: error!\n\n"] },
    retry_field = { &[UNFRAMED, "retry: 9 error!\n\n"] },
    whole_head = { &[UNFRAMED, "HTTP/1.1 500 X\r\nname: error!\r\n\r\n"] },
    chunks = { &[CHUNKED_HEAD, "8\r\nerror!\n\n\r\n0\r\n\r\n"] },
    nothing = { &[UNFRAMED] },
    earlier_event = { &[UNFRAMED, "id: 1\ndata: 1\n\n"] },
)]
fn error_of_next_server_stays_out_of_stream(response: &[&str]) {
    task::block_on(async {
        let broken = Script::parts(&[CHUNKED_HEAD, &chunk(&events(1..=2))]);
        let scripts = vec![broken, Script::parts(response)];
        let llm = BackendServer::start(scripts).await;
        let setup = TestSetup::with_backends(&[("llm", &llm), ("llm", &llm)]).await;
        let response = setup.send("POST", "/stream/x").await;
        assert_eq!(llm.request_heads().len(), 2);
        assert_eq!(event_ids(&response), [1, 2], "{response}");
        assert!(!response.contains("error!"), "{response}");
        assert!(response.trim_end().ends_with("data: 2"), "{response}");
    });
}

/// A continuation may repeat what the caller has, and have comments between its events.
#[test]
fn continuation_from_start_completes_stream() {
    task::block_on(async {
        let broken = Script::parts(&[CHUNKED_HEAD, &chunk(&events(1..=2))]);
        let body = format!("{}: comment\n\n{}", events(1..=3), events(4..=4));
        let whole = Script::parts(&[UNFRAMED, &body]);
        let llm = BackendServer::start(vec![broken, whole]).await;
        let setup = TestSetup::with_backends(&[("llm", &llm), ("llm", &llm)]).await;
        let response = setup.send("POST", "/stream/x").await;
        assert_eq!(event_ids(&response), [1, 2, 3, 4], "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
    });
}

const UNFRAMED: &str = "HTTP/1.1 200 X\r\n\r\n";
const UNFRAMED_EVENTS: &str = "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n\r\n";
const OLD_VERSION: &str = "HTTP/1.0 200 X\r\n\r\n";
const CLOSING: &str = "HTTP/1.1 200 X\r\nConnection: close\r\n\r\n";
const CLOSING_EVENTS: &str =
    "HTTP/1.1 200 X\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\n";

/// A response that ends with its connection is complete, unless the connection was reset.
#[parameterized(
    unframed = { UNFRAMED, &["one", "two"] },
    event_stream = { UNFRAMED_EVENTS, &["data: one\n\n", "data: two\n\n"] },
    old_version = { OLD_VERSION, &["one", "two"] },
    closing = { CLOSING, &["one", "two"] },
    empty = { UNFRAMED, &[] },
)]
fn response_ended_by_connection(head: &str, body: &[&str]) {
    task::block_on(async {
        let whole = Script::parts(&[&[head], body].concat());
        let reset = whole.clone().then_reset();
        let scripts = vec![whole.clone(), whole.clone(), reset.clone(), whole, reset];
        let desk = BackendServer::start(scripts).await;
        let setup = TestSetup::with_backends(&[("desk", &desk), ("desk", &desk)]).await;
        let expected = body.concat();
        let length = format!("content-length: {}\r\n", expected.len());
        for path in ["/safe/x", "/unsafe/x", "/safe/x"] {
            let response = setup.send("POST", path).await;
            assert_eq!(status(&response), 200, "{response}");
            assert!(response.to_lowercase().contains(&length), "{response}");
            assert!(
                response.ends_with(&format!("\r\n\r\n{expected}")),
                "{response}"
            );
        }
        // The third request was sent twice, since its first response was reset.
        assert_eq!(desk.request_heads().len(), 4);
        let response = setup.send("POST", "/unsafe/x").await;
        assert_eq!(status(&response), 502, "{response}");
        assert_eq!(desk.request_heads().len(), 5);
    });
}

/// A stream that ends with its connection after a whole event is complete.
#[parameterized(
    unframed = { UNFRAMED },
    event_stream = { UNFRAMED_EVENTS },
    old_version = { OLD_VERSION },
    closing = { CLOSING },
    closing_events = { CLOSING_EVENTS },
    length = { "HTTP/1.1 200 X\r\nContent-Length: 45\r\n\r\n" },
    chunks = { CHUNKED_HEAD },
)]
fn stream_ended_after_event(head: &str) {
    task::block_on(async {
        let mut pieces = [events(1..=1), events(2..=2), events(3..=3)];
        if head == CHUNKED_HEAD {
            pieces = pieces.map(|piece| chunk(&piece));
            pieces[2].push_str("0\r\n\r\n");
        }
        let whole = Script::parts(&[head, &pieces[0], &pieces[1], &pieces[2]]);
        let llm = BackendServer::start(vec![whole]).await;
        let setup = TestSetup::with_backends(&[("llm", &llm), ("llm", &llm)]).await;
        for path in ["/stream/x", "/once/x"] {
            let response = setup.send("POST", path).await;
            assert_eq!(event_ids(&response), [1, 2, 3], "{response}");
            assert!(response.ends_with("0\r\n\r\n"), "{response}");
        }
        assert_eq!(llm.request_heads().len(), 2);
    });
}

/// A stream that was broken off resumes if it may, and must not look complete otherwise.
#[parameterized(
    unframed = { UNFRAMED, "id: 3\nda", false },
    event_stream = { UNFRAMED_EVENTS, "id: 3\nda", false },
    in_blank_line = { UNFRAMED, "id: 3\ndata: 3\n", false },
    old_version = { OLD_VERSION, "id: 3\nda", false },
    closing = { CLOSING_EVENTS, "id", false },
    length = { "HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: 31\r\n\r\n", "i", false },
    short_length = { "HTTP/1.1 200 X\r\nContent-Length: 45\r\n\r\n", "", false },
    chunks_in_event = { CHUNKED_HEAD, "2\r\nid\r\n0\r\n\r\n", false },
    chunks_cut = { CHUNKED_HEAD, "", false },
    reset = { UNFRAMED, "", true },
    reset_events = { CLOSING_EVENTS, "", true },
    reset_in_event = { UNFRAMED, "id: 3\nda", true },
)]
fn stream_broken_off(head: &str, last: &str, reset: bool) {
    task::block_on(async {
        let mut first = events(1..=2);
        if head == CHUNKED_HEAD {
            first = chunk(&first);
        }
        let mut broken = Script::parts(&[head, &first, last]);
        broken.reset = reset;
        let scripts = vec![broken.clone(), Script::events(3, 4, true), broken];
        let llm = BackendServer::start(scripts).await;
        let setup = TestSetup::with_backends(&[("llm", &llm), ("llm", &llm)]).await;
        let response = setup.send("POST", "/stream/x").await;
        assert_eq!(event_ids(&response), [1, 2, 3, 4], "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
        assert!(llm.request_heads()[1].contains("after: 2"));
        let response = setup.send("POST", "/once/x").await;
        assert_eq!(event_ids(&response), [1, 2], "{response}");
        assert!(!response.ends_with("0\r\n\r\n"), "{response}");
        assert_eq!(llm.request_heads().len(), 3);
    });
}

/// The body of a caller of HTTP/1.0 ends with its connection, so only a reset tells it apart.
#[test]
fn broken_stream_is_reset_for_old_caller() {
    task::block_on(async {
        let broken = Script::parts(&[CHUNKED_HEAD, &chunk(&events(1..=2))]);
        let llm = BackendServer::start(vec![broken]).await;
        let setup = TestSetup::with_backends(&[("llm", &llm)]).await;
        let mut stream = TcpStream::connect(setup.settings.caller_address)
            .await
            .unwrap();
        let request = "POST /once/x HTTP/1.0\r\nHost: shop\r\nid: 1\r\nkey: k1\r\n\r\n";
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut response = Vec::new();
        let read = stream.read_to_end(&mut response).await;
        assert!(read.is_err(), "{}", String::from_utf8_lossy(&response));
    });
}
