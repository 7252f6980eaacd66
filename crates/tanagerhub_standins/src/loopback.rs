//! Loopback addresses that are used by one process only.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

/// The kind of server that listens; its value is the last byte of the IP address.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PortOwner {
    /// The stand-ins.
    Standins = 2,
    /// The nodes.
    Nodes = 3,
}

/// Returns the IP address that the stand-ins or the nodes of this process listen on.
///
/// Outgoing connections take their ports from another address, and other processes listen on
/// others, so that a server finds its port free when it is restarted.
pub(crate) fn loopback(owner: PortOwner) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // The second byte avoids 127.0.0.0/16, where other programs listen.
    Ipv4Addr::new(127, 64 | (high & 0x3f), low, owner as u8)
}

/// Last byte of the first address that [`unused_address`] returns.
const FIRST_SINGLE_USE_BYTE: u8 = 16;

/// Returns an address that nothing listens on until the caller of this function does.
///
/// Each call returns another IP address, repeated after 239 calls, so that no other program can
/// take the port in the meantime, as happens on an address that several programs share.
///
/// # Errors
///
/// Returns an error when the operating system has no free port.
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
