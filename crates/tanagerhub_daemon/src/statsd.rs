//! A client that sends metrics to a StatsD server over UDP.

use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};

use cadence::{QueuingMetricSink, StatsdClient, UdpMetricSink};

/// The prefix of all metric names.
const METRIC_PREFIX: &str = "tanagerhub";
/// The number of metrics that may be queued; further ones are dropped.
const MAX_QUEUED_METRICS: usize = 4_096;

/// Creates a client that sends metrics from its own thread, so that the caller never waits.
///
/// # Errors
///
/// Fails if no UDP socket can be opened.
///
/// # Examples
///
/// ```
/// use cadence::Counted;
/// use tanagerhub_daemon::statsd_client;
///
/// let client = statsd_client("127.0.0.1:8125".parse()?)?;
/// client.count("requests", 1)?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn statsd_client(address: SocketAddr) -> io::Result<StatsdClient> {
    let socket = if address.is_ipv4() {
        UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?
    } else {
        UdpSocket::bind((Ipv6Addr::UNSPECIFIED, 0))?
    };
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
    let sink = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
    Ok(StatsdClient::from_sink(METRIC_PREFIX, sink))
}
