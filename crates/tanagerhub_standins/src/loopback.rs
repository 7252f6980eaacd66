//! Loopback addresses that belong to one process.

use std::net::Ipv4Addr;

/// Who listens.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Side {
    /// Stand-ins.
    Standins = 2,
    /// Nodes.
    Nodes = 3,
}

/// The address that one side of this process listens on.
///
/// Outgoing connections take their ports from another address, and other processes listen on
/// others, so that whatever is restarted finds its port free.
pub(crate) fn loopback(side: Side) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // The second byte keeps clear of 127.0.0.0/16, where other programs listen.
    Ipv4Addr::new(127, 64 | (high & 0x3f), low, side as u8)
}
