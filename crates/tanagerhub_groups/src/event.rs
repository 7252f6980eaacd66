//! Events that the group state machine handles.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use tanagerhub_catalogue::{DataCentreId, Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{CommitResult, FeedPage, RowKey, StoreAnswer, StoreVersion, TransactionId};

use crate::{Demand, EngineSpec, Order, OrderResult, SeenVm, TermRow, VmReport};

/// An event that [`Groups`](crate::Groups) handles.
#[derive(Debug, Clone)]
pub enum GroupsEvent {
    /// Time has passed; sent several times a second.
    Tick,
    /// The engines of the current configuration.
    Engines(Vec<EngineSpec>),
    /// All data centres that operators have taken out of service.
    Evacuated(Vec<DataCentreId>),
    /// The reports of all VMs that the store lists.
    AllVms(Vec<VmReport>),
    /// A VM's report changed in the store.
    VmChanged(VmReport),
    /// The store no longer lists a VM.
    VmRemoved(VmId),
    /// The demand of the coordinated entries, at most a second old.
    Demand(Demand),
    /// The first request has arrived. From now on model loads are rate-limited.
    InUse,
    /// The store does not respond to this node.
    StoreUnreachable,
    /// The store responds again after it was unreachable.
    StoreReachable,
    /// The store returned from an older copy. Its rows, and the list of VMs, are complete from this
    /// time on.
    StoreReturned(Moment),
    /// The store names its era, which is the first that this node observes. Its rows, and the list of
    /// VMs, are complete from this time on.
    EraObserved(Moment),
    /// No other node is the planner, so this node tries to become it.
    BecomePlanner {
        /// The processes that may be the planner, and those that are not.
        boots: KnownBoots,
        /// The row that begins the term.
        row: TermRow,
    },
    /// The planner's presence row is due, which renews its term.
    RenewTerm(TermRow),
    /// Nodes have promised not to begin a term for a while, as
    /// [`GroupsAction::AskPromises`](crate::GroupsAction::AskPromises) asked them, and none refused.
    Promised {
        /// When they were asked.
        asked_at: Moment,
        /// The addresses of those that promised.
        by: Vec<SocketAddr>,
    },
    /// The answer to [`GroupsAction::AskConsent`](crate::GroupsAction::AskConsent).
    Consented {
        /// When the nodes were asked, as in the question.
        asked_at: Moment,
        /// After which time the first of them consents; zero if it does. `None` if no node answered
        /// or the planner goes on.
        wait: Option<Duration>,
    },
    /// Another node is the planner, or this node is stopping.
    ResignPlanner,
    /// The response to [`GroupsAction::ReadRows`](crate::GroupsAction::ReadRows); `None` if the
    /// read failed.
    RowsRead(Option<FeedPage>),
    /// The result of [`GroupsAction::Commit`](crate::GroupsAction::Commit).
    Committed {
        /// The transaction.
        id: TransactionId,
        /// The store's answer.
        answer: StoreAnswer<CommitResult>,
    },
    /// The result of [`GroupsAction::Order`](crate::GroupsAction::Order).
    Ordered {
        /// The VM that the order was sent to.
        vm: VmId,
        /// The order that was sent.
        order: Order,
        /// The result of the order.
        result: OrderResult,
    },
    /// The result of [`GroupsAction::Probe`](crate::GroupsAction::Probe).
    Probed {
        /// The VM that was probed.
        vm: VmId,
        /// When the probe was sent.
        sent: Moment,
        /// The VM's report, or why there is none.
        result: Result<VmReport, ProbeFailure>,
    },
    /// What other nodes found of a VM, in response to
    /// [`GroupsAction::AskPeers`](crate::GroupsAction::AskPeers).
    PeersReplied {
        /// The VM.
        vm: VmId,
        /// What one of them found; `None` if none reached the VM.
        seen: Option<SeenVm>,
    },
    /// The number of live nodes that probe the same VMs, including this one.
    NodeCount(usize),
    /// A backend server reported in a response that it is about to leave.
    Leaving {
        /// The VM.
        vm: VmId,
        /// The start of the backend server, as in [`VmReport::started_ms`].
        started_ms: u64,
    },
    /// The requests at a group stalled or failed.
    Suspected {
        /// The group's id.
        group: GroupId,
        /// The epoch at which the requests ran.
        epoch: Epoch,
    },
}

impl GroupsEvent {
    /// Returns whether the event may change what is known of VMs, or which of them are in use.
    pub(crate) const fn concerns_vms(&self) -> bool {
        match self {
            Self::Engines(_)
            | Self::Evacuated(_)
            | Self::AllVms(_)
            | Self::VmChanged(_)
            | Self::VmRemoved(_)
            | Self::Ordered { .. }
            | Self::Leaving { .. }
            | Self::PeersReplied { .. }
            | Self::Probed { .. } => true,
            Self::Tick
            | Self::Demand(_)
            | Self::InUse
            | Self::StoreUnreachable
            | Self::StoreReachable
            | Self::StoreReturned(_)
            | Self::EraObserved(_)
            | Self::BecomePlanner { .. }
            | Self::RenewTerm(_)
            | Self::Promised { .. }
            | Self::Consented { .. }
            | Self::ResignPlanner
            | Self::RowsRead(_)
            | Self::Committed { .. }
            | Self::NodeCount(_)
            | Self::Suspected { .. } => false,
        }
    }
}

/// The boot ids that a node has read from the presence rows of the nodes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct KnownBoots {
    /// Boot ids of live nodes.
    pub live: Vec<u64>,
    /// Boot ids of processes that have ended or are stopping, and those in this node's own row.
    pub ended: Vec<u64>,
    /// Processes that have not written their row for long enough to be replaced as the planner.
    pub lapsed: Vec<LapsedBoot>,
}

/// A process that has not written its row for a while, and may still run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LapsedBoot {
    /// The boot id of the process.
    pub boot: u64,
    /// Its presence row.
    pub row: RowKey,
    /// The version that the row has had for that time.
    pub version: StoreVersion,
    /// How long this node has observed the row without a change.
    pub unchanged: Duration,
}

/// Why a probe returned no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum ProbeFailure {
    /// The VM could not be reached, or did not respond before the timeout. It may go on later.
    #[error("the VM did not respond to the probe")]
    Unanswered,
    /// The VM's host refused the connection, because no backend server listens at the address.
    #[error("the connection for the probe was refused")]
    Refused,
    /// The VM is reachable, but closed the connection.
    #[error("the VM closed the connection")]
    TurnedAway,
    /// Another VM or another start of the backend server responds at the address.
    #[error("another VM responded at the address")]
    Misdirected,
    /// The response can't be decoded.
    #[error("the report can't be decoded")]
    Malformed,
    /// The backend server has asked for a pause, in response to this probe or before it, so that it
    /// was not sent. This says nothing about its health.
    #[error("the VM has asked for a pause")]
    Paused,
}
