//! Backend servers that write an earlier refusal once more on a connection that is kept.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use yare::parameterized;

use crate::deployment::{TestSetup, status};

/// The time after which a server that wrote an old refusal answers the request itself.
const RUN_TIME: Duration = Duration::from_millis(20);
const SERVED: &str = "HTTP/1.1 200 X\r\nid: 1\r\nContent-Length: 6\r\n\r\nserved";
const REFUSED: &str = "HTTP/1.1 503 X\r\nid: 1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
const UNNAMED: &str = "HTTP/1.1 503 X\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
const OF_OTHER: &str = "HTTP/1.1 503 X\r\nid: 7\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
const MISDIRECTED: &str = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n";

/// A server that keeps its connections. It answers the first request of the first connection with one
/// response, and writes another one before it runs each further request of that connection.
#[derive(Debug, Clone)]
struct KeepingServer {
    first: &'static str,
    old: &'static str,
    runs: Arc<AtomicUsize>,
}

impl KeepingServer {
    async fn start(first: &'static str, old: &'static str) -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = Self {
            first,
            old,
            runs: Arc::default(),
        };
        let accepting = server.clone();
        task::spawn(async move {
            for connection in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                task::spawn(accepting.clone().serve(stream, connection));
            }
        });
        (server, address)
    }

    async fn serve(self, mut stream: TcpStream, connection: usize) {
        let mut buffer = [0; 4_096];
        let mut index = 0;
        while let Ok(1..) = stream.read(&mut buffer).await {
            let mut responses = vec![SERVED];
            if connection == 0 {
                responses = match index {
                    0 => vec![self.first],
                    _ => vec![self.old, SERVED],
                };
            }
            if responses.contains(&SERVED) {
                self.runs.fetch_add(1, Ordering::SeqCst);
            }
            for response in responses {
                if stream.write_all(response.as_bytes()).await.is_err() {
                    return;
                }
                task::sleep(RUN_TIME).await;
            }
            index += 1;
        }
    }
}

/// Starts a node with two VMs whose backend server is the same one.
async fn node(address: SocketAddr) -> TestSetup {
    let mut setup = TestSetup::start().await;
    setup.configure(&["k1"]);
    for name in ["vm-1", "vm-2"] {
        setup
            .store
            .put("vms", name, &format!("desk {address} member"));
    }
    setup.wait_until_ready().await;
    setup
}

/// A refusal that doesn't name the request was there before it, or may have been.
#[parameterized(
    unnamed = { UNNAMED },
    of_other_request = { OF_OTHER },
    misdirected = { MISDIRECTED },
)]
fn old_refusal_is_no_refusal(old: &'static str) {
    task::block_on(async {
        let (server, address) = KeepingServer::start(SERVED, old).await;
        let setup = node(address).await;
        for _ in 0..2 {
            let response = setup.send("GET", "/safe/x").await;
            assert_eq!(status(&response), 200, "{response}");
        }
        assert_eq!(server.runs.load(Ordering::SeqCst), 3);
        let count = |outcome: &str| format!("tanagerhub_attempts_total{{outcome=\"{outcome}\"}}");
        assert_eq!(setup.metric(&count("foreign")).await, 1);
    });
}

/// The refusal of a request names it also where it is written again for its next attempt.
#[test]
fn old_refusal_of_same_request_is_no_refusal() {
    task::block_on(async {
        let (server, address) = KeepingServer::start(REFUSED, REFUSED).await;
        let setup = node(address).await;
        let response = setup.send("GET", "/safe/x").await;
        assert_eq!(status(&response), 200, "{response}");
        assert_eq!(server.runs.load(Ordering::SeqCst), 1);
    });
}

/// Starts a server that answers the first request of each connection, and closes a connection on
/// which another one arrives, as one does that has just dropped it as idle.
async fn start_dropping_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            task::spawn(async move {
                let mut buffer = [0; 4_096];
                if let Ok(1..) = stream.read(&mut buffer).await {
                    drop(stream.write_all(SERVED.as_bytes()).await);
                }
                drop(stream.read(&mut buffer).await);
            });
        }
    });
    address
}

/// Guards against sound requests that are refused as crashing, since two sound servers have closed
/// the kept connections on which one of them was sent.
#[test]
fn dropped_connections_are_no_crashes() {
    task::block_on(async {
        let mut setup = TestSetup::start().await;
        setup.configure(&["k1"]);
        for name in ["vm-1", "vm-2"] {
            let address = start_dropping_server().await;
            setup.store.put("vms", name, &format!("desk {address}"));
        }
        setup.wait_until_ready().await;
        for _ in 0..12 {
            let response = setup.send("GET", "/safe/x").await;
            assert_eq!(status(&response), 200, "{response}");
        }
    });
}
