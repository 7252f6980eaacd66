//! Backend servers that send bytes without end in place of a response.

use std::time::Duration;

use async_std::sync::Mutex;
use async_std::task;
use yare::parameterized;

use crate::deployment::backend_server::EndlessResult;
use crate::deployment::{BackendServer, Script, TestSetup, status};

/// Within this time after the first byte the gateway closes a connection that floods it.
const CLOSE_TIME: Duration = Duration::from_secs(2);
/// The size of the pieces that are repeated.
const PIECE_BYTES: usize = 16_000;
/// More than the gateway reads of any response that it buffers, with the sockets' buffers.
const MAX_READ_BYTES: usize = 32 << 20;

/// The pause after each piece, which leaves time to other tests.
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// Held while a server floods the gateway, so that other tests are not slowed down much.
pub static FLOOD: Mutex<()> = Mutex::new(());

/// Returns a response that begins with `start` and never ends.
pub fn endless(start: &str, piece: &str) -> Script {
    let start = Script {
        parts: vec![start.as_bytes().to_vec()],
        endless_pause: PIECE_PAUSE,
        ..Script::default()
    };
    let count = (PIECE_BYTES / piece.len()).max(1);
    start.then_endless(piece.repeat(count).as_bytes())
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Checks that the gateway closed each connection early and promptly.
pub fn assert_closed(results: &[EndlessResult]) {
    for result in results {
        assert!(result.closed, "{results:?}");
        assert!(result.took < CLOSE_TIME, "{results:?}");
        assert!(result.sent_bytes < MAX_READ_BYTES, "{results:?}");
    }
}

/// An idempotent request gets the response of a sound server, and an unrepeatable one a failure.
#[parameterized(
    garbage = { "", "garbage" },
    garbage_lines = { "", "garbage\r\n" },
    blank_lines = { "", "\r\n" },
    header_lines = { "HTTP/1.1 200 X\r\n", "name: value\r\n" },
    header_value = { "HTTP/1.1 200 X\r\nname: ", "value" },
    status_line = { "HTTP/1.1 200 ", "X" },
    interim_responses = { "", "HTTP/1.1 100 X\r\n\r\n" },
    interim_headers = { "", "HTTP/1.1 103 X\r\nname: value\r\n\r\n" },
    chunks = { "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", &chunk(&"garbage".repeat(100)) },
    chunk_extension = { "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n7;", "extension" },
    chunk_size = { "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", "0" },
    trailers = { "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "name: value\r\n" },
    invalid_chunks = { "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", "garbage\r\n" },
    unframed_body = { "HTTP/1.1 200 X\r\n\r\n", "garbage" },
    body_with_length = { "HTTP/1.1 200 X\r\nContent-Length: 900000000000\r\n\r\n", "a" },
    failure_body = { "HTTP/1.1 500 X\r\n\r\n", "garbage" },
)]
fn endless_response_closed(start: &str, piece: &str) {
    task::block_on(async {
        let script = endless(start, piece);
        let sound = Script::response(200, "", "found");
        let desk = BackendServer::start(vec![script.clone(), sound.clone(), script, sound]).await;
        let setup = TestSetup::with_backends(&[("desk", &desk), ("desk", &desk)]).await;
        let _flood = FLOOD.lock().await;
        let response = setup.send("POST", "/safe/x").await;
        assert!(response.ends_with("found"), "{response}");
        assert_closed(&desk.endless_results(1).await);
        let response = setup.send("POST", "/unsafe/x").await;
        assert_eq!(status(&response), 502, "{response}");
        assert!(!response.contains("garbage"), "{response}");
        assert_closed(&desk.endless_results(2).await);
        assert_eq!(desk.request_heads().len(), 3);
    });
}

/// Without another server an idempotent request fails, within its deadline.
#[parameterized(
    garbage = { "", "garbage" },
    interim_responses = { "", "HTTP/1.1 100 X\r\n\r\n" },
    unframed_body = { "HTTP/1.1 200 X\r\n\r\n", "garbage" },
    trailers = { "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "name: value\r\n" },
)]
fn endless_response_everywhere(start: &str, piece: &str) {
    task::block_on(async {
        let script = endless(start, piece);
        let desk = BackendServer::start(vec![script]).await;
        let setup = TestSetup::with_backends(&[("desk", &desk), ("desk", &desk)]).await;
        let _flood = FLOOD.lock().await;
        let response = setup.send("POST", "/safe/x").await;
        assert_eq!(status(&response), 502, "{response}");
        assert_closed(&desk.endless_results(2).await);
        assert_eq!(desk.request_heads().len(), 2);
    });
}

/// The connection ends with the request that used it, though its server sends little.
#[parameterized(
    header_value = { "HTTP/1.1 200 X\r\nname: ", "a" },
    interim_responses = { "", "HTTP/1.1 100 X\r\n\r\n" },
    unframed_body = { "HTTP/1.1 200 X\r\n\r\n", "a" },
)]
fn slow_endless_response_closed(start: &str, piece: &str) {
    task::block_on(async {
        let script = Script {
            endless: piece.as_bytes().to_vec(),
            endless_pause: Duration::from_millis(20),
            ..endless(start, piece)
        };
        let desk = BackendServer::start(vec![script]).await;
        let setup = TestSetup::with_backends(&[("desk", &desk)]).await;
        let headers = "key: k1\r\ndeadline: 500\r\n";
        let response = setup.send_with_headers("POST", "/unsafe/x", headers).await;
        assert_eq!(status(&response), 504, "{response}");
        assert_closed(&desk.endless_results(1).await);
    });
}

/// The same for a stream that has not begun.
#[parameterized(
    garbage = { "", "garbage" },
    interim_responses = { "", "HTTP/1.1 100 X\r\n\r\n" },
    one_event = { "HTTP/1.1 200 X\r\n\r\n", "garbage" },
)]
fn endless_start_of_stream_closed(start: &str, piece: &str) {
    task::block_on(async {
        let whole = Script::events(1, 2, true);
        let llm = BackendServer::start(vec![endless(start, piece), whole]).await;
        let setup = TestSetup::with_backends(&[("llm", &llm), ("llm", &llm)]).await;
        let _flood = FLOOD.lock().await;
        let response = setup.send("POST", "/stream/x").await;
        assert!(response.contains("id: 2"), "{response}");
        assert!(response.ends_with("0\r\n\r\n"));
        assert_closed(&llm.endless_results(1).await);
    });
}
