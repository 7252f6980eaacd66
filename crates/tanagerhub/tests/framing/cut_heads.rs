//! Backend servers that stop in the middle of the head of their response and close.

use async_std::task;
use yare::parameterized;

use crate::deployment::{BackendServer, Script, TestSetup, status};

const LENGTH: &str = "HTTP/1.1 200 OK\r\nServer: a\r\nContent-Length: 5\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nServer: a\r\nTransfer-Encoding: chunked\r\n\r\n";
const CLOSE: &str = "HTTP/1.1 200 OK\r\nServer: a\r\nConnection: close\r\n\r\n";
const OLD: &str = "HTTP/1.0 200 OK\r\nServer: a\r\n\r\n";

/// The number of bytes after which each head is cut, spread over it.
fn cuts(head: &str) -> impl Iterator<Item = usize> + '_ {
    // Requests that break are refused as crashing, so each has its own path, and servers that
    // break several requests rest for a while: not each byte is tried here, see the client's test.
    (1..head.len()).filter(|cut| cut % 9 == 0 || *cut >= head.len() - 3)
}

/// Guards against a 200 with an empty or short body, framed as whole: an idempotent request gets
/// the response of a sound server, an unrepeatable one a failure.
#[parameterized(
    length = { LENGTH },
    chunked = { CHUNKED },
    close = { CLOSE },
    old_version = { OLD },
)]
fn cut_head_is_no_response(head: &str) {
    task::block_on(async {
        for cut in cuts(head) {
            let broken = Script::parts(&[&head[..cut]]);
            let sound = Script::response(200, "", "found");
            let scripts = vec![broken.clone(), sound.clone(), broken, sound];
            let desk = BackendServer::start(scripts).await;
            let setup = TestSetup::with_backends(&[("desk", &desk), ("desk", &desk)]).await;
            let response = setup.send("POST", "/safe/x").await;
            assert!(response.ends_with("found"), "cut at {cut}: {response}");
            let response = setup.send("POST", "/unsafe/x").await;
            assert_eq!(status(&response), 502, "cut at {cut}: {response}");
        }
    });
}

/// The same for the first response of a stream and for the one that resumes it.
#[parameterized(
    length = { LENGTH },
    chunked = { CHUNKED },
    close = { CLOSE },
)]
fn cut_head_of_stream(head: &str) {
    task::block_on(async {
        let cut = &head[..head.len() - 2];
        let broken = Script::parts(&[cut]);
        let whole = Script::events(1, 4, true);
        let llm = BackendServer::start(vec![broken.clone(), whole]).await;
        let setup = TestSetup::with_backends(&[("llm", &llm), ("llm", &llm)]).await;
        let response = setup.send("POST", "/stream/x").await;
        assert_eq!(response.matches("id: ").count(), 4, "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");

        let begun = Script::events(1, 2, false);
        let llm = BackendServer::start(vec![begun, broken]).await;
        let setup = TestSetup::with_backends(&[("llm", &llm), ("llm", &llm)]).await;
        let response = setup.send("POST", "/stream/x").await;
        assert_eq!(response.matches("id: ").count(), 2, "{response}");
        assert!(!response.ends_with("0\r\n\r\n"), "{response}");
    });
}
