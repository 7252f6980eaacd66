//! The actions that the state machine requests.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use tanagerhub_catalogue::{Epoch, GroupId, Health, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{RowKey, Transaction};

use crate::Order;

/// An action that [`Fleet`](crate::Fleet) requests from the code that does its I/O.
///
/// The caller reports the result of each `Commit`, `Read`, `Probe` and `Order` with exactly one
/// event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetAction {
    /// Sends a transaction to the table exactly once, without retries.
    Commit(Transaction),
    /// Reads rows of the table.
    Read {
        /// Identifies the read in its response.
        read: ReadId,
        /// The rows to read.
        query: RowQuery,
    },
    /// Requests the report of the engine on a VM.
    Probe {
        /// The VM to probe.
        vm: VmId,
        /// The address of the VM's engine.
        address: SocketAddr,
    },
    /// Sends an order to an engine.
    Order {
        /// The address of the engine, as the platform last listed it.
        address: SocketAddr,
        /// The order to send.
        order: Order,
        /// The deadline for sending: an order that is not sent by then is dropped as expired.
        until: Moment,
    },
    /// Publishes to all peers that a group is complete.
    Attest {
        /// The attested group.
        group: GroupId,
        /// The epoch at which all members were present.
        epoch: Epoch,
        /// The age of the oldest member report behind the attestation, at the time of this action.
        age: Duration,
        /// The group's health: whether it can take full load, is cold, or is leaving.
        health: Health,
    },
}

/// Identifies one read of the table; unique within one `Fleet`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct ReadId(pub u64);

/// Selects the rows of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowQuery {
    /// The rows with these keys; keys without a row are omitted from the result.
    Keys(Vec<RowKey>),
    /// All rows whose keys start with this prefix, over all pages.
    Prefix(&'static str),
}
