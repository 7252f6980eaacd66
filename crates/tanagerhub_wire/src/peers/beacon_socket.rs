//! Sends and receives beacons over UDP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Sender, TrySendError};
use async_std::net::UdpSocket;
use tanagerhub_membership::Beacon;

use crate::peers::peer_counters::{add, increment};
use crate::peers::peer_transport::Shared;
use crate::peers::{Frame, FrameError, MAX_DATAGRAM_BYTES, PeerError, PeerEvent};

/// The delay after a failed receive, so that a broken socket doesn't cause a busy loop.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Sends a beacon in one datagram.
pub(crate) async fn send(
    socket: &UdpSocket,
    shared: &Shared,
    to: SocketAddr,
    beacon: &Beacon,
) -> Result<(), PeerError> {
    let frame = Frame {
        boot: shared.boot,
        sequence: shared.next_sequence(),
        body: beacon,
    };
    let bytes = frame.seal(&shared.key, &[], MAX_DATAGRAM_BYTES);
    let bytes = bytes.map_err(|source| PeerError::Frame {
        address: to,
        source,
    })?;
    let sent = socket.send_to(&bytes, to).await;
    sent.map_err(|source| PeerError::Connect {
        address: to,
        source,
    })?;
    increment(&shared.counters.sent);
    add(&shared.counters.sent_bytes, bytes.len());
    Ok(())
}

/// Receives datagrams until the receiver of `events` is dropped.
pub(crate) async fn receive(
    socket: Arc<UdpSocket>,
    shared: Arc<Shared>,
    events: Sender<PeerEvent>,
) {
    // One byte more than allowed, so that an oversized datagram is detected.
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        // The error reports that an earlier datagram reached no receiver; the socket stays usable.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            async_std::task::sleep(RETRY_DELAY).await;
            continue;
        };
        match open(&buffer[..length], &shared) {
            Ok(Some(beacon)) => {
                let event = PeerEvent::Beacon { from, beacon };
                match events.try_send(event) {
                    Ok(()) => {}
                    Err(TrySendError::Full(_)) => increment(&shared.counters.overrun),
                    Err(TrySendError::Closed(_)) => return,
                }
            }
            Ok(None) => {}
            Err(error) => shared.counters.count_dropped(&error),
        }
    }
}

fn open(bytes: &[u8], shared: &Shared) -> Result<Option<Beacon>, FrameError> {
    let frame = Frame::<Beacon>::open(bytes, &shared.key, &[], MAX_DATAGRAM_BYTES)?;
    if !shared.is_first(frame.boot, frame.sequence) {
        return Ok(None);
    }
    increment(&shared.counters.received);
    add(&shared.counters.received_bytes, bytes.len());
    Ok(Some(frame.body))
}
