//! Tests of the transport between nodes, over loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_channel::Receiver;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream, UdpSocket};
use async_std::task::{self, block_on};
use futures_lite::StreamExt;
use tanagerhub_catalogue::{BootId, NodeId};
use tanagerhub_clock::Clock;
use tanagerhub_membership::{
    AckRequest, Beacon, BeaconBody, CatalogueHead, Identity, PeerRequest, PeerResponse,
};
use tanagerhub_wire::peers::{
    Frame, MAX_DATAGRAM_BYTES, PeerCounters, PeerError, PeerEvent, PeerKey, PeerSender,
    PeerTransport,
};

const KEY: &str = "a key that all nodes share";
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn key(text: &str) -> PeerKey {
    text.parse().expect("a long key")
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn node(boot: u64, secret: &str, clock: Clock) -> (PeerSender, Receiver<PeerEvent>) {
    let transport = PeerTransport::new(any_port(), key(secret), BootId(boot), clock);
    transport.bind().await.expect("binds")
}

fn beacon(token: u64) -> Beacon {
    let ack_request = AckRequest {
        token,
        round: 0,
        head: CatalogueHead::default(),
        slots: 0,
    };
    Beacon {
        node: NodeId(1),
        identity: Identity::default(),
        body: BeaconBody::AckRequest(ack_request),
    }
}

/// Waits until the counters satisfy a condition.
async fn wait_until(sender: &PeerSender, reached: impl Fn(PeerCounters) -> bool) {
    let clock = Clock::real();
    let poll = async {
        while !reached(sender.counters()) {
            task::sleep(Duration::from_millis(2)).await;
        }
    };
    let done = clock.timeout(TEST_TIMEOUT, poll).await;
    assert!(done.is_some(), "{:?}", sender.counters());
}

/// A body that is sent in many HTTP/2 frames.
fn large() -> Vec<u8> {
    vec![3; 1_000_000]
}

/// Responds to requests for groups and VMs with a large body, and to others with a pong.
fn echo(events: Receiver<PeerEvent>) {
    task::spawn(async move {
        while let Ok(event) = events.recv().await {
            if let PeerEvent::Request { request, responder } = event {
                let response = match request {
                    PeerRequest::Fleet => PeerResponse::Fleet(large()),
                    _ => PeerResponse::Pong(BootId(2)),
                };
                responder.send(response).await.expect("the sender waits");
            }
        }
    });
}

#[test]
fn beacon_delivered() {
    block_on(async {
        let (one, _events) = node(1, KEY, Clock::real()).await;
        let (two, events) = node(2, KEY, Clock::real()).await;
        let sent = one.send_beacon(two.address(), &beacon(7)).await;
        sent.expect("sent");
        match events.recv().await.expect("open") {
            PeerEvent::Beacon {
                from,
                beacon: received,
            } => {
                assert_eq!(from, one.address());
                assert_eq!(received, beacon(7));
            }
            other @ PeerEvent::Request { .. } => panic!("{other:?}"),
        }
    });
}

#[test]
fn beacon_unauthenticated() {
    block_on(async {
        let (one, _events) = node(1, "another key, of others", Clock::real()).await;
        let (two, events) = node(2, KEY, Clock::real()).await;
        let sent = one.send_beacon(two.address(), &beacon(7)).await;
        sent.expect("sent");
        wait_until(&two, |counters| counters.foreign == 1).await;
        assert!(events.is_empty());
    });
}

/// Sends a datagram of raw bytes to a node.
async fn send_raw(bytes: &[u8], to: &PeerSender) {
    let socket = UdpSocket::bind(any_port()).await.expect("binds");
    socket.send_to(bytes, to.address()).await.expect("sent");
}

#[test]
fn beacon_replayed() {
    block_on(async {
        let (two, events) = node(2, KEY, Clock::real()).await;
        let frame = Frame {
            boot: BootId(1),
            sequence: 5,
            body: beacon(7),
        };
        let bytes = frame
            .seal(&key(KEY), &[], MAX_DATAGRAM_BYTES)
            .expect("fits");
        for _ in 0..3 {
            send_raw(&bytes, &two).await;
        }
        wait_until(&two, |counters| counters.replayed == 2).await;
        assert_eq!(two.counters().received, 1);
        assert_eq!(events.len(), 1);
    });
}

#[test]
fn beacon_oversized_or_garbage() {
    block_on(async {
        let (two, events) = node(2, KEY, Clock::real()).await;
        let long = vec![0; MAX_DATAGRAM_BYTES + 1];
        send_raw(&long, &two).await;
        send_raw(b"x", &two).await;
        send_raw(&long[..100], &two).await;
        wait_until(&two, |it| it.oversized == 1 && it.foreign == 2).await;
        assert!(events.is_empty());
    });
}

#[test]
fn beacon_malformed() {
    block_on(async {
        let (two, events) = node(2, KEY, Clock::real()).await;
        let frame = Frame {
            boot: BootId(1),
            sequence: 1,
            body: [255_u8; 9],
        };
        let bytes = frame
            .seal(&key(KEY), &[], MAX_DATAGRAM_BYTES)
            .expect("fits");
        send_raw(&bytes, &two).await;
        wait_until(&two, |counters| counters.malformed == 1).await;
        assert!(events.is_empty());
    });
}

#[test]
fn send_request_responded() {
    block_on(async {
        let (one, _events) = node(1, KEY, Clock::real()).await;
        let (two, events) = node(2, KEY, Clock::real()).await;
        echo(events);
        for _ in 0..3 {
            let response = one
                .send_request(two.address(), &PeerRequest::Fleet, TEST_TIMEOUT)
                .await;
            assert_eq!(response.expect("responded"), PeerResponse::Fleet(large()));
        }
        assert_eq!(one.counters().dials, 1);
    });
}

#[test]
fn send_request_unauthenticated() {
    block_on(async {
        let (one, _events) = node(1, "another key, of others", Clock::real()).await;
        let (two, events) = node(2, KEY, Clock::real()).await;
        let response = one
            .send_request(two.address(), &PeerRequest::Slots, TEST_TIMEOUT)
            .await;
        let refused = matches!(response, Err(PeerError::Status { status: 403, .. }));
        assert!(refused, "{response:?}");
        assert_eq!(two.counters().foreign, 1);
        assert!(events.is_empty());
    });
}

#[test]
fn send_request_unreachable() {
    block_on(async {
        let (one, _events) = node(1, KEY, Clock::real()).await;
        let closed = TcpListener::bind(any_port()).await.expect("binds");
        let address = closed.local_addr().expect("bound");
        drop(closed);
        let response = one
            .send_request(address, &PeerRequest::Slots, TEST_TIMEOUT)
            .await;
        let refused = matches!(response, Err(PeerError::Connect { .. }));
        assert!(refused, "{response:?}");
        assert_eq!(one.counters().ask_failures, 1);
    });
}

/// Starts a relay that forwards bytes. Once `drop_bytes` is set, it discards the bytes of the
/// connections that are open; new connections still work.
async fn dropping_relay(to: SocketAddr, drop_bytes: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.expect("binds");
    let address = listener.local_addr().expect("bound");
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(near)) = incoming.next().await {
            let far = TcpStream::connect(to).await.expect("connects");
            // Only connections opened before the switch become silent.
            let silent = if drop_bytes.load(Ordering::SeqCst) {
                Arc::default()
            } else {
                Arc::clone(&drop_bytes)
            };
            task::spawn(forward(near.clone(), far.clone(), Arc::clone(&silent)));
            task::spawn(forward(far, near, silent));
        }
    });
    address
}

async fn forward(mut from: TcpStream, mut to: TcpStream, silent: Arc<AtomicBool>) {
    let mut buffer = vec![0; 4_096];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            return;
        }
        if !silent.load(Ordering::SeqCst) && to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

#[test]
fn send_request_over_silent_connection() {
    block_on(async {
        let (clock, hand) = Clock::manual();
        let (one, _events) = node(1, KEY, clock).await;
        let (two, events) = node(2, KEY, Clock::real()).await;
        echo(events);
        let drop_bytes = Arc::new(AtomicBool::new(false));
        let relay = dropping_relay(two.address(), Arc::clone(&drop_bytes)).await;
        let response = one
            .send_request(relay, &PeerRequest::Slots, TEST_TIMEOUT)
            .await;
        response.expect("responded");
        drop_bytes.store(true, Ordering::SeqCst);
        let mut advances = 0;
        while one.counters().dead == 0 {
            assert!(advances < 1_000, "the silent connection stays open");
            advances += 1;
            hand.advance(Duration::from_millis(500));
            task::sleep(Duration::from_millis(5)).await;
        }
        let response = one
            .send_request(relay, &PeerRequest::Slots, TEST_TIMEOUT)
            .await;
        response.expect("responded on a new connection");
        assert_eq!(one.counters().dials, 2);
    });
}

#[test]
fn accept_silent_dialler() {
    block_on(async {
        let (clock, hand) = Clock::manual();
        let (two, _events) = node(2, KEY, clock).await;
        let mut stream = TcpStream::connect(two.address()).await.expect("connects");
        // The HTTP/2 connection preface and empty settings, after which nothing is sent.
        let opening = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
        stream.write_all(opening).await.expect("sent");
        let mut advances = 0;
        while two.counters().dead == 0 {
            assert!(advances < 1_000, "the silent connection stays open");
            advances += 1;
            hand.advance(Duration::from_millis(500));
            task::sleep(Duration::from_millis(5)).await;
        }
    });
}
