//! Backend servers that fall silent while they run requests.

use std::time::Duration;

use async_std::task;
use yare::parameterized;

use crate::deployment::{BackendServer, Script, TestSetup, status};

const HEADERS: &str = "key: k1\r\nmodel: model\r\n";
/// A pause that is long enough for the probes of a silent server to fail.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Sends a stream to a group of its own and lets the group's VM ignore probes from then on.
async fn stream_at_silent_group(setup: &TestSetup, llm: &BackendServer) -> String {
    let request = setup.send_with_headers("POST", "/grouped/x", HEADERS);
    let silence = async {
        while llm.request_heads().is_empty() {
            task::sleep(Duration::from_millis(5)).await;
        }
        let head = llm.request_heads().remove(0);
        let vm = head.lines().find_map(|line| line.strip_prefix("vm: "));
        let mut unreachable = setup.engines.unreachable.lock().unwrap();
        unreachable.insert(vm.unwrap().to_owned());
    };
    let (response, ()) = futures_lite::future::zip(request, silence).await;
    response
}

fn event_ids(response: &str) -> Vec<&str> {
    let ids = response
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    ids.collect()
}

/// Three events, a pause in which the server is silent, and three more events.
fn pausing_stream() -> Script {
    Script::events(1, 6, true).pausing(4, SILENCE)
}

#[parameterized(
    alone = { 1, pausing_stream(), 1 },
    other_refuses = { 2, Script::response(503, "not-run: 1\r\n", ""), 2 },
    other_breaks = { 2, Script::default(), 2 },
    other_fails = { 2, Script::response(500, "", "failed"), 2 },
    other_silent = { 2, Script::silence(), 2 },
)]
fn silent_stream_not_given_up(heads: usize, other: Script, sent: usize) {
    task::block_on(async {
        let llm = BackendServer::start(vec![pausing_stream(), other]).await;
        let setup = TestSetup::with_backends(&[]).await;
        for head in 0..heads {
            setup.register_head(&format!("vm-{head}"), &llm).await;
        }
        let response = stream_at_silent_group(&setup, &llm).await;
        assert_eq!(event_ids(&response), ["1", "2", "3", "4", "5", "6"]);
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
        assert_eq!(llm.request_heads().len(), sent);
    });
}

#[test]
fn silent_stream_resumed_elsewhere() {
    task::block_on(async {
        let silent = Script::events(1, 3, false).then_silent();
        let llm = BackendServer::start(vec![silent, Script::events(4, 6, true)]).await;
        let setup = TestSetup::with_backends(&[]).await;
        for head in ["vm-1", "vm-2"] {
            setup.register_head(head, &llm).await;
        }
        let response = stream_at_silent_group(&setup, &llm).await;
        assert_eq!(event_ids(&response), ["1", "2", "3", "4", "5", "6"]);
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
        let request_heads = llm.request_heads();
        assert!(request_heads[1].contains("after: 3"), "{request_heads:?}");
    });
}

#[test]
fn silent_stream_breaks_during_takeover() {
    task::block_on(async {
        let breaks = Script::events(1, 3, false).pausing(4, SILENCE);
        let resumed = Script::events(4, 6, true).after(SILENCE + Duration::from_millis(500));
        let llm = BackendServer::start(vec![breaks, resumed]).await;
        let setup = TestSetup::with_backends(&[]).await;
        for head in ["vm-1", "vm-2"] {
            setup.register_head(head, &llm).await;
        }
        let response = stream_at_silent_group(&setup, &llm).await;
        assert_eq!(event_ids(&response), ["1", "2", "3", "4", "5", "6"]);
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
        assert_eq!(llm.request_heads().len(), 2);
    });
}

#[parameterized(
    refused = { Script::response(503, "not-run: 1\r\n", "") },
    failed = { Script::response(500, "", "failed") },
)]
fn request_at_silent_group_not_given_up(other: Script) {
    task::block_on(async {
        let late = Script::events(1, 3, true).after(SILENCE);
        let llm = BackendServer::start(vec![late, other]).await;
        let setup = TestSetup::with_backends(&[]).await;
        for head in ["vm-1", "vm-2"] {
            setup.register_head(head, &llm).await;
        }
        let response = stream_at_silent_group(&setup, &llm).await;
        assert_eq!(status(&response), 200, "{response}");
        assert_eq!(event_ids(&response), ["1", "2", "3"]);
    });
}

/// A late request is sent to another backend server too, and the first response counts.
#[parameterized(
    refused = { Script::response(503, "not-run: 1\r\n", "") },
    failed = { Script::response(500, "", "failed") },
    broken = { Script::default() },
    silent = { Script::silence() },
)]
fn late_request_not_given_up(other: Script) {
    task::block_on(async {
        let late = Script::response(200, "", "found").after(SILENCE);
        let desk = BackendServer::start(vec![late, other]).await;
        let setup = TestSetup::with_backends(&[("desk", &desk), ("desk", &desk)]).await;
        let response = setup.send("GET", "/safe/x").await;
        assert!(response.ends_with("found"), "{response}");
        assert_eq!(desk.request_heads().len(), 2);
    });
}

#[test]
fn late_request_moved() {
    task::block_on(async {
        let scripts = vec![Script::silence(), Script::response(200, "", "found")];
        let desk = BackendServer::start(scripts).await;
        let setup = TestSetup::with_backends(&[("desk", &desk), ("desk", &desk)]).await;
        let response = setup.send("GET", "/safe/x").await;
        assert!(response.ends_with("found"), "{response}");
    });
}
