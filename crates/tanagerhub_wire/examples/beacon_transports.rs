//! Compares beacons over UDP with requests over HTTP/2 under loss, on loopback.
//!
//! Run it with `cargo run --release -p tanagerhub_wire --example beacon_transports`.
//!
//! A relay drops datagrams. It can't drop TCP segments, so for each simulated loss it delays the
//! stream by a retransmission timeout, which doubles with each further loss, as the operating
//! system does for a stream with too few segments in flight for fast retransmit. The byte counts
//! include the headers of IP and of the transport, and TCP's acknowledgements.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream, UdpSocket};
use async_std::task::{self, block_on};
use futures_lite::StreamExt;
use rand::RngExt;
use tanagerhub_catalogue::{BootId, CatalogueVersion, NodeId};
use tanagerhub_clock::Clock;
use tanagerhub_membership::{
    Beacon, BeaconBody, DirectoryDigest, FactBatch, Identity, PeerRequest, PeerResponse, Probe,
    ProbeResponse, ProbeResponseHead, ShortAge, Standing,
};
use tanagerhub_wire::peers::{PeerEvent, PeerKey, PeerSender, PeerTransport};

/// The time between two probes.
const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// How long each transport is measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(15);
/// The time between two samples of the age of the newest response.
const SAMPLE_PERIOD: Duration = Duration::from_millis(5);
/// The number of pairs of nodes that communicate at the same time.
const PAIRS: usize = 24;
/// The number of slots whose ages a response carries, as in a region of 72 nodes.
const SLOT_COUNT: usize = 312;
/// The minimum retransmission timeout of TCP.
const MIN_RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// The length of the headers of IP and UDP.
const UDP_HEADER_BYTES: u64 = 28;
/// The length of the headers of IP and TCP with time stamps.
const TCP_HEADER_BYTES: u64 = 52;

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn node(boot: u64) -> (PeerSender, Receiver<PeerEvent>) {
    let key: PeerKey = "a key that all nodes share".parse().expect("long enough");
    let transport = PeerTransport::new(any_port(), key, BootId(boot), Clock::real());
    transport.bind().await.expect("binds")
}

fn probe(nonce: u64) -> Beacon {
    beacon(BeaconBody::Probe(Probe {
        nonce,
        region: nonce,
        version: CatalogueVersion(9),
        digest: DirectoryDigest::default(),
        slots: nonce,
    }))
}

fn response(nonce: u64) -> Beacon {
    beacon(BeaconBody::Response(Box::new(ProbeResponse {
        nonce,
        standing: Standing::Member,
        head: ProbeResponseHead::Version(CatalogueVersion(9)),
        store_age: ShortAge::UNKNOWN,
        prober: Identity::default(),
        slots: nonce,
        ages: vec![ShortAge::UNKNOWN; SLOT_COUNT],
        leaving: Vec::new(),
        load: 0,
        facts: FactBatch::default(),
    })))
}

fn beacon(body: BeaconBody) -> Beacon {
    Beacon {
        node: NodeId(u64::MAX / 3),
        identity: Identity::default(),
        body,
    }
}

/// Starts a relay of datagrams between one prober and `to` that drops some of them.
async fn udp_relay(to: SocketAddr, loss: f64, bytes: Arc<AtomicU64>) -> SocketAddr {
    let near = UdpSocket::bind(any_port()).await.expect("binds");
    let far = UdpSocket::bind(any_port()).await.expect("binds");
    let address = near.local_addr().expect("bound");
    task::spawn(async move {
        let mut request = vec![0; 8_192];
        let mut response = vec![0; 8_192];
        while let Ok((length, prober)) = near.recv_from(&mut request).await {
            bytes.fetch_add(length as u64 + UDP_HEADER_BYTES, Ordering::Relaxed);
            if rand::rng().random_bool(loss) {
                continue;
            }
            far.send_to(&request[..length], to).await.expect("sent");
            let Ok((length, _)) = far.recv_from(&mut response).await else {
                return;
            };
            bytes.fetch_add(length as u64 + UDP_HEADER_BYTES, Ordering::Relaxed);
            if !rand::rng().random_bool(loss) {
                near.send_to(&response[..length], prober)
                    .await
                    .expect("sent");
            }
        }
    });
    address
}

/// Starts a relay of streams to `to` that delays a stream for each simulated loss.
async fn tcp_relay(to: SocketAddr, loss: f64, bytes: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.expect("binds");
    let address = listener.local_addr().expect("bound");
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(near)) = incoming.next().await {
            let far = TcpStream::connect(to).await.expect("connects");
            near.set_nodelay(true).expect("open");
            far.set_nodelay(true).expect("open");
            task::spawn(forward(near.clone(), far.clone(), loss, Arc::clone(&bytes)));
            task::spawn(forward(far, near, loss, Arc::clone(&bytes)));
        }
    });
    address
}

async fn forward(mut from: TcpStream, mut to: TcpStream, loss: f64, bytes: Arc<AtomicU64>) {
    let mut buffer = vec![0; 1_448];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let segment = length as u64 + TCP_HEADER_BYTES;
        let mut wait = MIN_RETRANSMISSION_TIMEOUT;
        while rand::rng().random_bool(loss) {
            bytes.fetch_add(segment, Ordering::Relaxed);
            task::sleep(wait).await;
            wait *= 2;
        }
        bytes.fetch_add(segment + TCP_HEADER_BYTES, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// When the newest probe with a response was sent, in microseconds since the start.
#[derive(Debug, Default)]
struct Newest(AtomicU64);

/// Returns the sampled ages of the newest response of one pair, in microseconds.
async fn sample(newest: Arc<Newest>, start: Instant) -> Vec<u64> {
    let mut ages = Vec::new();
    while start.elapsed() < MEASUREMENT_TIME {
        task::sleep(SAMPLE_PERIOD).await;
        let now = micros(start);
        ages.push(now.saturating_sub(newest.0.load(Ordering::Relaxed)));
    }
    ages
}

fn micros(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}

async fn over_udp(loss: f64, bytes: Arc<AtomicU64>) -> Vec<u64> {
    let (one, responses) = node(1).await;
    let (two, requests) = node(2).await;
    let relay = udp_relay(two.address(), loss, bytes).await;
    task::spawn(async move {
        while let Ok(PeerEvent::Beacon { from, beacon }) = requests.recv().await {
            if let BeaconBody::Probe(probe) = beacon.body {
                let sent = two.send_beacon(from, &response(probe.nonce)).await;
                sent.expect("sent");
            }
        }
    });
    let start = Instant::now();
    let newest = Arc::new(Newest::default());
    let received = Arc::clone(&newest);
    task::spawn(async move {
        while let Ok(PeerEvent::Beacon { beacon, .. }) = responses.recv().await {
            if let BeaconBody::Response(response) = beacon.body {
                received.0.fetch_max(response.nonce, Ordering::Relaxed);
            }
        }
    });
    task::spawn(async move {
        while start.elapsed() < MEASUREMENT_TIME {
            let sent = one.send_beacon(relay, &probe(micros(start))).await;
            sent.expect("sent");
            task::sleep(PROBE_PERIOD).await;
        }
    });
    sample(newest, start).await
}

async fn over_h2(loss: f64, bytes: Arc<AtomicU64>) -> Vec<u64> {
    let (one, _events) = node(1).await;
    let (two, requests) = node(2).await;
    let relay = tcp_relay(two.address(), loss, bytes).await;
    task::spawn(async move {
        let config = bincode::config::standard();
        while let Ok(PeerEvent::Request { responder, .. }) = requests.recv().await {
            let body = bincode::serde::encode_to_vec(response(u64::MAX / 3), config);
            let body = body.expect("encodes");
            drop(responder.send(PeerResponse::Fleet(body)).await);
        }
        drop(two);
    });
    let start = Instant::now();
    let newest = Arc::new(Newest::default());
    let received = Arc::clone(&newest);
    task::spawn(async move {
        while start.elapsed() < MEASUREMENT_TIME {
            let (one, received) = (one.clone(), Arc::clone(&received));
            task::spawn(async move {
                let sent = micros(start);
                if one
                    .send_request(relay, &PeerRequest::Slots, MEASUREMENT_TIME)
                    .await
                    .is_ok()
                {
                    received.0.fetch_max(sent, Ordering::Relaxed);
                }
            });
            task::sleep(PROBE_PERIOD).await;
        }
    });
    sample(newest, start).await
}

/// Prints the quantiles of the ages, and the bytes per second of one pair.
fn report(name: &str, loss: f64, mut ages: Vec<u64>, bytes: u64) {
    ages.sort_unstable();
    let at = |permille: usize| ages[ages.len() * permille / 1_000] / 1_000;
    let pairs = PAIRS as u64 * MEASUREMENT_TIME.as_secs();
    println!(
        "{name} loss {loss}: age p50 {} ms, p95 {} ms, p99 {} ms, p99.9 {} ms; {} B/s a pair",
        at(500),
        at(950),
        at(990),
        at(999),
        bytes / pairs
    );
}

fn main() {
    for loss in [0.0, 0.05, 0.2] {
        let measure = |is_udp: bool| {
            let bytes = Arc::new(AtomicU64::new(0));
            let pairs: Vec<_> = (0..PAIRS)
                .map(|_| {
                    let bytes = Arc::clone(&bytes);
                    task::spawn(async move {
                        if is_udp {
                            over_udp(loss, bytes).await
                        } else {
                            over_h2(loss, bytes).await
                        }
                    })
                })
                .collect();
            let ages = block_on(async {
                let mut ages = Vec::new();
                for pair in pairs {
                    ages.extend(pair.await);
                }
                ages
            });
            (ages, bytes.load(Ordering::Relaxed))
        };
        let (ages, bytes) = measure(true);
        report("UDP", loss, ages, bytes);
        let (ages, bytes) = measure(false);
        report("HTTP/2", loss, ages, bytes);
    }
}
