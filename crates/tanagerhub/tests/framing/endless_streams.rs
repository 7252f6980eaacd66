//! Backend servers that send a stream's event, or nothing of use, without end.

use async_std::task;
use yare::parameterized;

use super::endless::{FLOOD, assert_closed, chunk, endless};
use crate::deployment::{BackendServer, Script, TestSetup};

const CHUNKED_HEAD: &str = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 X\r\n\r\n";

/// A stream that may resume goes on at another server; another one is cut.
#[parameterized(
    one_event = { CHUNKED_HEAD, &chunk(&"data".repeat(100)) },
    lines = { CHUNKED_HEAD, &chunk(&"data: garbage\n".repeat(100)) },
    comments = { CHUNKED_HEAD, &chunk(&": garbage\n\n".repeat(100)) },
    blank_lines = { CHUNKED_HEAD, &chunk(&"\n".repeat(1_000)) },
    known_events = { CHUNKED_HEAD, &chunk(&"id: 1\ndata: 1\n\n".repeat(100)) },
    invalid_chunks = { CHUNKED_HEAD, "garbage\r\n" },
    unframed = { UNFRAMED_HEAD, "garbage" },
    unframed_comments = { UNFRAMED_HEAD, ": garbage\n\n" },
)]
fn endless_stream_closed(head: &str, piece: &str) {
    task::block_on(async {
        let first = "id: 1\ndata: 1\n\n";
        let first = if head == CHUNKED_HEAD {
            chunk(first)
        } else {
            first.to_owned()
        };
        let script = endless(&format!("{head}{first}"), piece);
        let rest = Script::events(2, 3, true);
        let llm = BackendServer::start(vec![script.clone(), rest, script]).await;
        let setup = TestSetup::with_backends(&[("llm", &llm), ("llm", &llm)]).await;
        let _flood = FLOOD.lock().await;
        let response = setup.send("POST", "/stream/x").await;
        let ids = response
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        assert_eq!(ids.collect::<Vec<_>>(), ["1", "2", "3"]);
        assert!(response.ends_with("0\r\n\r\n"));
        assert_closed(&llm.endless_results(1).await);
        let response = setup.send("POST", "/once/x").await;
        assert!(response.contains("id: 1"));
        assert!(!response.ends_with("0\r\n\r\n"));
        assert_closed(&llm.endless_results(2).await);
        assert_eq!(llm.request_heads().len(), 3);
    });
}
