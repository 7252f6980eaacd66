//! The events that the state machine handles.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tanagerhub_catalogue::{Catalogue, DataCentreId, Epoch, GroupId, NodeId, Vm, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{CommitOutcome, Row, TransactionId};

use crate::{Health, MemberReport, OrderResponse, ReadId};

/// An input of [`Fleet`](crate::Fleet): the passing of time, new data, or the result of an action.
#[derive(Debug, Clone)]
pub enum FleetEvent {
    /// Time has passed; sent a few times a second.
    Tick,
    /// A catalogue came into force; one older than the present one is ignored.
    Catalogue(Arc<Catalogue>),
    /// The platform's complete list of VMs.
    Vms(Vec<Vm>),
    /// All live nodes, including this one.
    Peers(Vec<Peer>),
    /// The result of [`FleetAction::Read`](crate::FleetAction::Read).
    Rows {
        /// The read that ended.
        read: ReadId,
        /// The rows, or why the read failed.
        result: Result<Vec<Row>, StoreFailure>,
    },
    /// Group rows that a peer holds, for a node that starts while the table is down.
    PeerRows(Vec<Row>),
    /// The result of [`FleetAction::Commit`](crate::FleetAction::Commit).
    Committed {
        /// The id of the transaction that was sent.
        transaction: TransactionId,
        /// Its outcome, which is unknown when the response was lost.
        outcome: CommitOutcome,
    },
    /// The result of [`FleetAction::Probe`](crate::FleetAction::Probe).
    Probed {
        /// The VM to which the probe was sent.
        vm: VmId,
        /// The moment at which the probe was sent.
        sent: Moment,
        /// The engine's report, or why there is none; for a plain service only `vm`, `boot` and
        /// `state` are used.
        result: Result<MemberReport, ProbeFailure>,
    },
    /// A peer attests that a group is complete.
    Attested {
        /// The peer that sent the attestation.
        from: NodeId,
        /// The group.
        group: GroupId,
        /// The epoch that every member reported.
        epoch: Epoch,
        /// The age of the oldest member report behind it, including the time in transit.
        age: Duration,
        /// The group's health: whether it can take full load, is cold, or is leaving.
        health: Health,
    },
    /// The result of [`FleetAction::Order`](crate::FleetAction::Order).
    Ordered {
        /// The VM that the order was for.
        vm: VmId,
        /// The group that the order belonged to.
        group: GroupId,
        /// The order's epoch.
        epoch: Epoch,
        /// The engine's response, or why there is none.
        result: Result<OrderResponse, OrderFailure>,
    },
    /// A request of this node failed on a backend server of a group.
    BackendFailed {
        /// The group.
        group: GroupId,
        /// The epoch that the request was sent to.
        epoch: Epoch,
    },
    /// The response to a request of this node showed that a group is cold.
    TurnedCold {
        /// The group.
        group: GroupId,
        /// The epoch that the request was sent to.
        epoch: Epoch,
    },
    /// A group streamed a token or completed a response, which proves that every member takes part.
    TokenStreamed {
        /// The group.
        group: GroupId,
        /// The epoch that the request was sent to.
        epoch: Epoch,
        /// The moment at which the token arrived.
        at: Moment,
    },
}

/// A live node and its location.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Peer {
    /// The id of the node, by which rendezvous hashing ranks it.
    pub node: NodeId,
    /// The data centre of the node.
    pub data_centre: DataCentreId,
}

/// Why a read of the table failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum StoreFailure {
    /// The table could not be reached, or did not respond in time.
    #[error("the table is unavailable")]
    Unavailable,
    /// The table refused the call because of its rate limit.
    #[error("the table's rate limit was hit")]
    RateLimited,
}

/// Why a probe returned no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum ProbeFailure {
    /// No response before the timeout: the member is paused, dead or unreachable.
    #[error("the probe timed out")]
    Timeout,
    /// The VM refused the connection: the VM is running, but its engine is not.
    #[error("the connection was refused")]
    Refused,
    /// The response could not be decoded, or came from another VM.
    #[error("the report is malformed")]
    Malformed,
}

/// Why there is no response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum OrderFailure {
    /// The order was not sent because its deadline had passed.
    #[error("the order expired before it was sent")]
    Expired,
    /// No response arrived; the engine may or may not have applied the order.
    #[error("the response to the order was lost")]
    Lost,
}
