//! Loopback addresses that belong to one process.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

/// Who listens.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PortOwner {
    /// Stand-ins.
    Standins = 2,
    /// Nodes.
    Nodes = 3,
}

/// The address that one side of this process listens on.
///
/// Outgoing connections take their ports from another address, and other processes listen on
/// others, so that whatever is restarted finds its port free.
pub(crate) fn loopback(side: PortOwner) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // The second byte keeps clear of 127.0.0.0/16, where other programs listen.
    Ipv4Addr::new(127, 64 | (high & 0x3f), low, side as u8)
}

/// The last byte of the first address that is given out alone.
const FIRST_SINGLE_USE_BYTE: u8 = 16;

/// An address that nothing listens on until its taker does.
///
/// Each call gives another IP address, so nobody can take the port before its taker listens, as
/// happens on an address that several programs share.
///
/// # Errors
///
/// Fails when the system has no free port.
///
/// # Examples
///
/// ```
/// use std::net::TcpListener;
/// use tanagerhub_standins::unused_address;
///
/// let address = unused_address()?;
/// assert_ne!(address.ip(), unused_address()?.ip());
/// TcpListener::bind(address)?;
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn unused_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let offset = NEXT.fetch_add(1, Ordering::Relaxed) % (u8::MAX - FIRST_SINGLE_USE_BYTE);
    let [first, second, third, _] = loopback(PortOwner::Nodes).octets();
    let ip = Ipv4Addr::new(first, second, third, FIRST_SINGLE_USE_BYTE + offset);
    TcpListener::bind((ip, 0))?.local_addr()
}
