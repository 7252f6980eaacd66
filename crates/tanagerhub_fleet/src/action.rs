//! What the control state wants done.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use tanagerhub_catalogue::{Epoch, GroupId, Health, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{RowKey, Transaction};

use crate::Order;

/// A request of [`Fleet`](crate::Fleet) to the edges.
///
/// Each `Commit`, `Read`, `Probe` and `Order` is answered by exactly one event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetAction {
    /// Send a transaction to the table, once.
    Commit(Transaction),
    /// Read rows of the table.
    Read {
        /// Names the read in its answer.
        read: ReadId,
        /// The wanted rows.
        query: RowQuery,
    },
    /// Ask a VM for its report.
    Probe {
        /// The VM.
        vm: VmId,
        /// Its address.
        address: SocketAddr,
    },
    /// Send an order to an engine.
    Order {
        /// The engine's address.
        address: SocketAddr,
        /// The order.
        order: Order,
        /// Don't send it after this moment.
        until: Moment,
    },
    /// Tell the peers that a group is whole.
    Attest {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
        /// The age of the oldest report in the attestation, now.
        age: Duration,
        /// Whether the group can bear full load.
        health: Health,
    },
}

/// Names one read of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct ReadId(pub u64);

/// Which rows to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowQuery {
    /// These rows; missing ones are left out.
    Keys(Vec<RowKey>),
    /// All rows whose names start so, over as many pages as it takes.
    Prefix(&'static str),
}
