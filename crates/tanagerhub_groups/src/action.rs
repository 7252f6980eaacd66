//! Actions that the group state machine requests from its caller.

use std::net::SocketAddr;

use tanagerhub_catalogue::VmId;
use tanagerhub_clock::Moment;
use tanagerhub_table::Transaction;

use crate::Order;

/// An action that [`Groups`](crate::Groups) requests from its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GroupsAction {
    /// Commit a transaction, and return its result as [`Committed`](crate::GroupsEvent::Committed).
    Commit(Transaction),
    /// Read all rows of the groups' table, and return them as
    /// [`RowsRead`](crate::GroupsEvent::RowsRead).
    ReadRows,
    /// Send an order to a VM, and return its result as [`Ordered`](crate::GroupsEvent::Ordered).
    Order {
        /// The VM that receives the order.
        vm: VmId,
        /// The VM's name.
        name: String,
        /// The address of the VM's backend server.
        address: SocketAddr,
        /// The order to send.
        order: Order,
        /// When the planner's term ends; the order must not be sent from then on.
        expires_at: Moment,
    },
    /// Have other nodes probe a VM that this node doesn't reach, and return what they find as
    /// [`PeersReplied`](crate::GroupsEvent::PeersReplied).
    AskPeers {
        /// The VM to probe.
        vm: VmId,
    },
    /// Ask these and all other live nodes to promise not to begin a term for a while. Unless one of
    /// them refuses, return those that promise as [`Promised`](crate::GroupsEvent::Promised).
    AskPromises {
        /// The nodes without whose promises the term isn't extended.
        guarantors: Vec<SocketAddr>,
    },
    /// Ask the nodes that a planner asks without the store, and that planner, to consent to a
    /// takeover. Return the answer as [`Consented`](crate::GroupsEvent::Consented).
    AskConsent {
        /// The boot id of the planner.
        planner: u64,
        /// The nodes that it asks, this node perhaps among them.
        guarantors: Vec<SocketAddr>,
        /// The time that the answer names.
        asked_at: Moment,
    },
    /// Request a VM's report, and return it as [`Probed`](crate::GroupsEvent::Probed).
    Probe {
        /// The VM to probe.
        vm: VmId,
    },
}
