//! Requests while a node stops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::io::{self, prelude::*};
use async_std::net::TcpStream;
use async_std::task;
use yare::parameterized;

use crate::RESPONSE_TIMEOUT;
use crate::deployment::{BackendServer, Script, TestSetup, status};

/// The time between requests, in which a node may see no open connection.
const PAUSE: Duration = Duration::from_millis(15);

#[test]
fn stop_finishes_stream() {
    task::block_on(async {
        let llm = BackendServer::start(vec![Script::events(1, 300, true)]).await;
        let mut setup = TestSetup::with_backends(&[("llm", &llm)]).await;
        let gateway = setup.gateway.take().unwrap();
        let caller_address = setup.settings.caller_address;
        let stream = task::spawn(async move {
            let mut stream = TcpStream::connect(caller_address).await.unwrap();
            let request = "POST /stream/x HTTP/1.1\r\nHost: shop\r\nid: 1\r\nkey: k1\r\n\r\n";
            stream.write_all(request.as_bytes()).await.unwrap();
            let mut response = Vec::new();
            stream.read_to_end(&mut response).await.unwrap();
            String::from_utf8(response).unwrap()
        });
        task::sleep(Duration::from_millis(100)).await;
        gateway.stop().await;
        let response = stream.await;
        assert!(response.contains("id: 300\n"), "the stream was cut off");
        assert!(response.ends_with("0\r\n\r\n"));
    });
}

/// Callers that ignore the load balancer's readiness check open connections until the end.
#[test]
fn stop_cuts_no_late_request() {
    task::block_on(async {
        let llm = BackendServer::start(vec![Script::events(1, 200, true)]).await;
        let mut setup = TestSetup::with_backends(&[("llm", &llm)]).await;
        let mut gateway = setup.gateway.take().unwrap();
        gateway.reload(setup.settings.clone().grace(Duration::from_secs(4)));
        let caller_address = setup.settings.caller_address;
        let served = Arc::new(Served::default());
        for _ in 0..4 {
            task::spawn(request_until_refused(caller_address, Arc::clone(&served)));
        }
        task::sleep(Duration::from_millis(200)).await;
        gateway.stop().await;
        assert!(served.complete.load(Ordering::SeqCst) > 0);
        assert_eq!(served.open.load(Ordering::SeqCst), 0, "responses cut off");
    });
}

/// The numbers of responses that callers have received.
#[derive(Debug, Default)]
struct Served {
    /// Responses that have started and not ended.
    open: AtomicUsize,
    /// Responses that have ended.
    complete: AtomicUsize,
}

/// Requests streams, each on a new connection, until no connection can be opened.
async fn request_until_refused(caller_address: SocketAddr, served: Arc<Served>) {
    let request = "POST /stream/x HTTP/1.1\r\nHost: shop\r\nid: 1\r\nkey: k1\r\n\r\n";
    while let Ok(mut stream) = TcpStream::connect(caller_address).await {
        if stream.write_all(request.as_bytes()).await.is_err() {
            return;
        }
        let mut first = [0];
        let started = io::timeout(RESPONSE_TIMEOUT, stream.read_exact(&mut first));
        if started.await.is_err() {
            return;
        }
        served.open.fetch_add(1, Ordering::SeqCst);
        let mut rest = Vec::new();
        let ended = io::timeout(RESPONSE_TIMEOUT, stream.read_to_end(&mut rest)).await;
        if ended.is_err() {
            return;
        }
        served.open.fetch_sub(1, Ordering::SeqCst);
        served.complete.fetch_add(1, Ordering::SeqCst);
    }
}

/// Guards against a request that arrives between the last look at open connections and the closing
/// of the listener: it reaches a backend server, and its connection ends without a response.
#[test]
fn stop_answers_requests_that_ran() {
    task::block_on(async {
        let desk = Script::response(200, "id: 1\r\n", "hello").after(Duration::from_millis(5));
        let desk = BackendServer::start(vec![desk]).await;
        let mut setup = TestSetup::with_backends(&[("desk", &desk)]).await;
        let gateway = setup.gateway.take().unwrap();
        let caller_address = setup.settings.caller_address;
        let caller = task::spawn(count_responses(caller_address));
        task::sleep(Duration::from_millis(100)).await;
        gateway.stop().await;
        let complete = caller.await;
        assert_eq!(complete, desk.request_heads().len(), "responses cut off");
    });
}

/// Sends a request every few milliseconds, each on a new connection, until no connection can be
/// opened. Returns the number of complete responses.
async fn count_responses(caller_address: SocketAddr) -> usize {
    let mut calls = Vec::new();
    while let Ok(stream) = TcpStream::connect(caller_address).await {
        calls.push(task::spawn(is_answered(stream)));
        task::sleep(PAUSE).await;
    }
    let mut complete = 0;
    for call in calls {
        complete += usize::from(call.await);
    }
    complete
}

/// Sends a request and returns whether the response is complete.
async fn is_answered(mut stream: TcpStream) -> bool {
    let request = "GET /public/x HTTP/1.1\r\nHost: shop\r\nid: 1\r\n\r\n";
    let mut response = Vec::new();
    // A connection that is closed before its request was read has run nothing.
    if stream.write_all(request.as_bytes()).await.is_ok() {
        let read = stream.read_to_end(&mut response);
        drop(io::timeout(RESPONSE_TIMEOUT, read).await);
    }
    response.ends_with(b"hello")
}

/// The grace period of the nodes that stop in the tests below. They accept requests for half of it.
const GRACE: Duration = Duration::from_secs(4);
/// Later than a node accepts requests that may last as long as their route allows.
const LATE: Duration = Duration::from_millis(2_300);

async fn stopping_setup(desk: &BackendServer) -> TestSetup {
    let mut setup = TestSetup::with_backends(&[("desk", desk)]).await;
    let mut gateway = setup.gateway.take().unwrap();
    gateway.reload(setup.settings.clone().grace(GRACE));
    setup.gateway = Some(gateway);
    setup
}

fn head(method: &str, path: &str, headers: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: shop\r\nid: 1\r\nkey: k1\r\n{headers}\r\n")
}

/// Sends the parts of a request, the second one after a pause, and returns all that arrives.
async fn send_parts(address: SocketAddr, first: String, pause: Duration, second: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(first.as_bytes()).await.unwrap();
    task::sleep(pause).await;
    // The node may have answered and closed already.
    drop(stream.write_all(second.as_bytes()).await);
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    drop(io::timeout(2 * RESPONSE_TIMEOUT, read).await);
    String::from_utf8(response).unwrap()
}

/// Guards against requests that are cut with no answer at the end of the grace period, among them
/// ones that may not be repeated. The node says whether a backend server may have run them.
#[parameterized(
    idempotent = { "GET", "/safe/x" },
    unrepeatable = { "POST", "/unsafe/x" },
    stream = { "POST", "/stream/x" },
    unrepeatable_stream = { "POST", "/once/x" },
)]
fn stop_answers_running_requests(method: &str, path: &str) {
    task::block_on(async {
        let silent = BackendServer::start(vec![Script::silence()]).await;
        let mut setup = stopping_setup(&silent).await;
        setup.register("vm-2", "llm", &silent);
        task::sleep(Duration::from_millis(1_300)).await;
        let address = setup.settings.caller_address;
        let gateway = setup.gateway.take().unwrap();
        let stop = task::spawn(gateway.stop());
        // The stream's first byte would be waited for only until 1.9 s have passed.
        task::sleep(Duration::from_millis(1_900)).await;
        let first = head(method, path, "");
        let response = send_parts(address, first, Duration::ZERO, "").await;
        stop.await;
        assert_eq!(status(&response), 502, "{response}");
        assert!(response.ends_with('}'), "{response}");
    });
}

/// Guards against requests on open connections that are passed on late in the grace period. They
/// have not run, and their callers hear so at once.
#[parameterized(
    late_head = { "POST /unsafe/x HTTP/1.1\r\nHost: shop\r\nid: 1\r\nke", "y: k1\r\n\r\n" },
    late_body = { "POST /unsafe/x HTTP/1.1\r\nHost: shop\r\nid: 1\r\nkey: k1\r\nContent-Length: 2\r\n\r\na", "b" },
    late_chunk = { "POST /safe/x HTTP/1.1\r\nHost: shop\r\nid: 1\r\nkey: k1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n", "0\r\n\r\n" },
)]
fn stop_refuses_late_request(first: &str, second: &str) {
    task::block_on(async {
        let slow = Script::response(200, "", "late").after(Duration::from_secs(3));
        let desk = BackendServer::start(vec![slow]).await;
        let mut setup = stopping_setup(&desk).await;
        let address = setup.settings.caller_address;
        let gateway = setup.gateway.take().unwrap();
        let stop = task::spawn(gateway.stop());
        let response = send_parts(address, first.to_owned(), LATE, second).await;
        stop.await;
        assert_eq!(status(&response), 503, "{response}");
        assert!(response.ends_with('}'), "{response}");
        assert_eq!(desk.request_heads().len(), 0);
    });
}

/// A request whose body never ends is answered too.
#[test]
fn stop_answers_unfinished_request() {
    task::block_on(async {
        let desk = BackendServer::start(vec![Script::silence()]).await;
        let mut setup = stopping_setup(&desk).await;
        let address = setup.settings.caller_address;
        let gateway = setup.gateway.take().unwrap();
        let stop = task::spawn(gateway.stop());
        task::sleep(Duration::from_millis(1_500)).await;
        let first = head("POST", "/unsafe/x", "Content-Length: 2\r\n") + "a";
        let response = send_parts(address, first, Duration::ZERO, "").await;
        stop.await;
        assert_eq!(status(&response), 503, "{response}");
        assert_eq!(desk.request_heads().len(), 0);
    });
}

/// A request that ends in time is served as long as the node is up.
#[test]
fn stop_serves_short_late_request() {
    task::block_on(async {
        let desk = BackendServer::start(vec![Script::response(200, "", "hello")]).await;
        let mut setup = stopping_setup(&desk).await;
        let address = setup.settings.caller_address;
        let gateway = setup.gateway.take().unwrap();
        let stop = task::spawn(gateway.stop());
        let first = "GET /safe/x HTTP/1.1\r\nHost: shop\r\nid: 1\r\ndeadline: 300\r\nke".to_owned();
        let response = send_parts(address, first, LATE, "y: k1\r\n\r\n").await;
        stop.await;
        assert!(response.ends_with("hello"), "{response}");
    });
}
