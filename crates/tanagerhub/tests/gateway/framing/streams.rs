//! Streams whose bytes come in unusual pieces, or whose end isn't marked.

use async_std::task;
use yare::parameterized;

use super::endless::chunk;
use crate::deployment::{BackendServer, Script, TestSetup};

const CHUNKED_HEAD: &str = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";

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

fn script(parts: &[&str]) -> Script {
    Script {
        parts: parts.iter().map(|part| part.as_bytes().to_vec()).collect(),
        ..Script::default()
    }
}

/// The events before the malformed one come in the same chunk and must not be lost.
#[parameterized(
    gap = { "id: 9\ndata: 9\n\n" },
    bad_id = { "id: x\ndata: x\n\n" },
)]
fn resume_after_malformed_event(malformed: &str) {
    task::block_on(async {
        let body = chunk(&(events(1..=3) + malformed));
        let broken = script(&[CHUNKED_HEAD, &body]);
        let whole = Script::events(1, 6, true);
        let llm = BackendServer::start(vec![broken, whole]).await;
        let setup = TestSetup::with_backends(&[("llm", &llm), ("llm", &llm)]).await;
        let response = setup.send("POST", "/stream/x").await;
        assert_eq!(event_ids(&response), [1, 2, 3, 4, 5, 6], "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
    });
}
