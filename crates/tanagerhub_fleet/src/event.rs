//! What happens to the control state.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tanagerhub_catalogue::{Catalogue, DataCentreId, Epoch, GroupId, NodeId, Vm, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{CommitOutcome, Row, TransactionId};

use crate::{Health, MemberReport, OrderResponse, ReadId};

/// A fact that reaches [`Fleet`](crate::Fleet).
#[derive(Debug, Clone)]
pub enum FleetEvent {
    /// Time has passed; comes a few times a second.
    Tick,
    /// A catalogue is in force.
    Catalogue(Arc<Catalogue>),
    /// The platform's list of VMs, whole.
    Vms(Vec<Vm>),
    /// The live nodes, with this one.
    Peers(Vec<Peer>),
    /// The answer to [`FleetAction::Read`](crate::FleetAction::Read).
    Rows {
        /// The read that is answered.
        read: ReadId,
        /// The rows, or that the table gave no answer.
        result: Result<Vec<Row>, StoreFailure>,
    },
    /// Rows that a peer holds, for a node that starts while the table is down.
    PeerRows(Vec<Row>),
    /// What became of [`FleetAction::Commit`](crate::FleetAction::Commit).
    Committed {
        /// The transaction.
        transaction: TransactionId,
        /// Its outcome, as far as it is known.
        outcome: CommitOutcome,
    },
    /// What became of [`FleetAction::Probe`](crate::FleetAction::Probe).
    Probed {
        /// The probed VM.
        vm: VmId,
        /// When the probe was sent.
        sent: Moment,
        /// The engine's report; for a plain service only `vm`, `boot` and `state` count.
        result: Result<MemberReport, ProbeFailure>,
    },
    /// A peer attests that a group is whole.
    Attested {
        /// The peer.
        from: NodeId,
        /// The group.
        group: GroupId,
        /// The epoch that was seen at every member.
        epoch: Epoch,
        /// The age of the oldest report in it, with the time it spent on its way.
        age: Duration,
        /// Whether the group can bear full load.
        health: Health,
    },
    /// What became of [`FleetAction::Order`](crate::FleetAction::Order).
    Ordered {
        /// The VM.
        vm: VmId,
        /// The group that the order belonged to.
        group: GroupId,
        /// The order's epoch.
        epoch: Epoch,
        /// The engine's answer.
        result: Result<OrderResponse, OrderFailure>,
    },
    /// Traffic saw a back end of a group fail.
    BackendFailed {
        /// The group.
        group: GroupId,
        /// The epoch that the request was sent to.
        epoch: Epoch,
    },
    /// Traffic saw that a group is cold.
    TurnedCold {
        /// The group.
        group: GroupId,
        /// The epoch that the request was sent to.
        epoch: Epoch,
    },
    /// A streamed token or a whole answer, which proves that every member takes part.
    TokenStreamed {
        /// The group.
        group: GroupId,
        /// The epoch that the request was sent to.
        epoch: Epoch,
        /// When the token arrived.
        at: Moment,
    },
}

/// A live node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Peer {
    /// The node.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

/// Why the table gave no rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum StoreFailure {
    /// It could not be reached, or answered too late.
    #[error("the table is unavailable")]
    Unavailable,
    /// It refused the call because of its rate limit.
    #[error("the table's rate limit was hit")]
    RateLimited,
}

/// Why a probe brought no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum ProbeFailure {
    /// No answer in time: the member is paused, dead or cut off.
    #[error("the probe timed out")]
    Timeout,
    /// The VM refused the connection: it runs, its engine doesn't.
    #[error("the connection was refused")]
    Refused,
    /// The answer can't be read.
    #[error("the report is malformed")]
    Malformed,
}

/// Why the answer to an order is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum OrderFailure {
    /// The order was not sent: its time had passed.
    #[error("the order expired before it was sent")]
    Expired,
    /// It may or may not have been obeyed.
    #[error("the answer to the order was lost")]
    Lost,
}
