//! Communication between nodes: beacons over UDP and requests over HTTP/2.
//!
//! Each message carries a protocol version, the sender's boot id and an increasing sequence number,
//! and is authenticated with HMAC-SHA256 under a key that all nodes share. Messages that are
//! malformed, unauthenticated, oversized or replayed are counted and dropped.

mod beacon_socket;
mod frame;
mod keep_alive;
mod peer_client;
mod peer_counters;
mod peer_error;
mod peer_key;
mod peer_server;
mod peer_transport;
mod replay_window;

pub use frame::{Frame, FrameError, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};
pub use peer_counters::PeerCounters;
pub use peer_error::PeerError;
pub use peer_key::{PeerKey, PeerKeyError};
pub use peer_transport::{PeerEvent, PeerSender, PeerTransport};
pub use replay_window::{ReplayGuard, ReplayWindow};
