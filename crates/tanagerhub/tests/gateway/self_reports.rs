//! Backend servers that report in their responses that they leave or want a pause.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::task;
use yare::parameterized;

use crate::deployment::{BackendServer, Script, TestSetup, status};

/// Number of requests after a report, of which some would go to the reported server.
const REQUESTS: usize = 12;

fn sound() -> Script {
    Script::response(200, "", "hello")
}

/// Sends requests until one has reached the server.
async fn send_until_reached(setup: &TestSetup, server: &BackendServer, path: &str) {
    while server.request_heads().is_empty() {
        setup.send("GET", path).await;
    }
}

/// Every kind of response tells, also one that is not passed on.
#[parameterized(
    success = { Script::response(200, "leaving: 1\r\n", "hello") },
    error = { Script::response(500, "leaving: 1\r\n", "failed") },
    not_run = { Script::response(503, "leaving: 1\r\nnot-run: 1\r\n", "") },
    misdirected = { Script::response(421, "leaving: 1\r\n", "") },
)]
fn leaving_server_gets_no_request_while_store_is_away(script: Script) {
    task::block_on(async {
        let leaving = BackendServer::start(vec![script]).await;
        let other = BackendServer::start(vec![sound()]).await;
        let setup = TestSetup::with_backends(&[("desk", &leaving), ("desk", &other)]).await;
        setup.store.down.store(true, Ordering::SeqCst);
        send_until_reached(&setup, &leaving, "/public/x").await;
        for _ in 0..REQUESTS {
            let response = setup.send("GET", "/public/x").await;
            assert_eq!(status(&response), 200, "{response}");
        }
        assert_eq!(leaving.request_heads().len(), 1);
        let name = "tanagerhub_self_reports_total{outcome=\"leaving\"}";
        assert_eq!(setup.metric(name).await, 1);
    });
}

/// The head of a stream tells before the stream ends, and the stream ends normally.
#[test]
fn leaving_server_finishes_its_stream() {
    task::block_on(async {
        let mut stream = Script::events(1, 3, true);
        let head = String::from_utf8(stream.parts[0].clone()).unwrap();
        stream.parts[0] = head.replacen("\r\n", "\r\nleaving: 1\r\n", 1).into_bytes();
        let leaving = BackendServer::start(vec![stream]).await;
        let other = BackendServer::start(vec![Script::events(1, 3, true)]).await;
        let setup = TestSetup::with_backends(&[("llm", &leaving), ("llm", &other)]).await;
        while leaving.request_heads().is_empty() {
            let response = setup.send("POST", "/stream/x").await;
            assert!(response.contains("id: 3"), "{response}");
        }
        for _ in 0..REQUESTS {
            setup.send("POST", "/stream/x").await;
        }
        assert_eq!(leaving.request_heads().len(), 1);
    });
}

/// A probe tells too, so that a server is known that gets no requests at the time.
#[test]
fn leaving_server_is_known_from_probe() {
    task::block_on(async {
        let leaving = BackendServer::start(vec![sound()]).await;
        let other = BackendServer::start(vec![sound()]).await;
        let setup = TestSetup::with_backends(&[("desk", &leaving), ("desk", &other)]).await;
        let names = &setup.engines.leaving;
        names.lock().unwrap().insert("vm-1".to_owned());
        // Without the store, nodes probe backend servers every 0.5 to 2 s.
        setup.store.down.store(true, Ordering::SeqCst);
        task::sleep(Duration::from_secs(4)).await;
        let before = leaving.request_heads().len();
        for _ in 0..REQUESTS {
            let response = setup.send("GET", "/public/x").await;
            assert_eq!(status(&response), 200, "{response}");
        }
        assert_eq!(leaving.request_heads().len(), before);
    });
}

#[test]
fn paused_server_gets_requests_again_after_pause() {
    task::block_on(async {
        let refusal = Script::response(503, "pause: 1500\r\nnot-run: 1\r\n", "");
        let paused = BackendServer::start(vec![refusal, sound()]).await;
        let other = BackendServer::start(vec![sound()]).await;
        let setup = TestSetup::with_backends(&[("desk", &paused), ("desk", &other)]).await;
        send_until_reached(&setup, &paused, "/unsafe/x").await;
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(1_400) {
            let response = setup.send("GET", "/unsafe/x").await;
            assert_eq!(status(&response), 200, "{response}");
        }
        assert_eq!(paused.request_heads().len(), 1);
        task::sleep(Duration::from_millis(200)).await;
        for _ in 0..REQUESTS {
            setup.send("GET", "/unsafe/x").await;
        }
        assert!(paused.request_heads().len() > 1);
        let name = "tanagerhub_self_reports_total{outcome=\"pause_ended\"}";
        assert_eq!(setup.metric(name).await, 1);
    });
}

/// Requests fail at once with the end of the pause while no other server is left.
#[test]
fn request_is_refused_while_all_servers_are_paused() {
    task::block_on(async {
        let refusal = Script::response(503, "pause: 20000\r\nnot-run: 1\r\n", "");
        let paused = BackendServer::start(vec![refusal]).await;
        let setup = TestSetup::with_backends(&[("desk", &paused)]).await;
        setup.send("GET", "/public/x").await;
        let response = setup.send("GET", "/public/x").await.to_lowercase();
        assert_eq!(status(&response), 503, "{response}");
        let is_end = ["retry-after: 19.", "retry-after: 20.00"];
        assert!(is_end.iter().any(|it| response.contains(it)), "{response}");
        assert!(response.contains("have asked for a pause"), "{response}");
        assert_eq!(paused.request_heads().len(), 1);
    });
}

/// A paused server must not be probed as if it had failed, nor more often than once.
#[test]
fn paused_server_is_not_probed() {
    task::block_on(async {
        let refusal = Script::response(503, "pause: 6000\r\nnot-run: 1\r\n", "");
        let paused = BackendServer::start(vec![refusal]).await;
        let other = BackendServer::start(vec![sound()]).await;
        let setup = TestSetup::with_backends(&[("desk", &paused), ("desk", &other)]).await;
        send_until_reached(&setup, &paused, "/public/x").await;
        setup.engines.probes.lock().unwrap().clear();
        setup.store.down.store(true, Ordering::SeqCst);
        task::sleep(Duration::from_millis(5_500)).await;
        let probes = setup.engines.probes.lock().unwrap().clone();
        assert!(probes.get("vm-1").copied().unwrap_or_default() <= 1);
        assert!(probes["vm-2"] > 2, "{probes:?}");
        assert_eq!(setup.metric("tanagerhub_unreachable_servers").await, 0);
    });
}
