//! What the groups want done.

use std::net::SocketAddr;

use tanagerhub_catalogue::VmId;
use tanagerhub_table::Transaction;

use crate::Order;

/// Something that [`Groups`](crate::Groups) wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GroupsAction {
    /// Commit a transaction, and report its fate.
    Commit(Transaction),
    /// Read all rows of the groups' table.
    ReadRows,
    /// Send an order to a VM.
    Order {
        /// The VM.
        vm: VmId,
        /// Its name.
        name: String,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: Order,
    },
    /// Ask a VM for its report.
    Probe {
        /// The VM.
        vm: VmId,
    },
}
