//! What happens to the groups.

use serde::Serialize;
use tanagerhub_catalogue::{DataCentreId, Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{Commit, FeedPage};

use crate::{EngineSpec, Order, OrderResult, VmReport};

/// A fact that reaches [`Groups`](crate::Groups).
#[derive(Debug, Clone)]
pub enum GroupsEvent {
    /// Time has passed; comes several times a second.
    Tick,
    /// The engines in the configuration in force.
    Engines(Vec<EngineSpec>),
    /// Data centres that operators have taken out of service.
    Evacuated(Vec<DataCentreId>),
    /// All VMs that the store lists.
    AllVms(Vec<VmReport>),
    /// A VM's report changed in the store.
    VmChanged(VmReport),
    /// The store no longer lists a VM.
    VmRemoved(VmId),
    /// A request has come: the system is in use.
    InUse,
    /// The store does not answer this node.
    StoreUnreachable,
    /// The store failed this node's calls until now.
    StoreReachable,
    /// No other node plans, so this one shall try.
    BecomePlanner(KnownBoots),
    /// Another node plans, or this one stops.
    ResignPlanner,
    /// The answer to [`GroupsAction::ReadRows`](crate::GroupsAction::ReadRows).
    RowsRead(Option<FeedPage>),
    /// What became of [`GroupsAction::Commit`](crate::GroupsAction::Commit).
    Committed(Commit),
    /// What became of [`GroupsAction::Order`](crate::GroupsAction::Order).
    Ordered {
        /// The VM.
        vm: VmId,
        /// The order.
        order: Order,
        /// Its fate.
        result: OrderResult,
    },
    /// What became of [`GroupsAction::Probe`](crate::GroupsAction::Probe).
    Probed {
        /// The VM.
        vm: VmId,
        /// When it was asked.
        sent: Moment,
        /// What it reports.
        result: Result<VmReport, ProbeFailure>,
    },
    /// So many nodes share the VMs, this one included.
    NodeCount(usize),
    /// The requests at a group have gone silent or failed.
    Suspected {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
}

/// The starts of nodes, by what this node knows of them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct KnownBoots {
    /// Those that are there.
    pub live: Vec<u64>,
    /// Those that are gone, or stop.
    pub ended: Vec<u64>,
}

/// Why a probe brought no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum ProbeFailure {
    /// The VM could not be reached or did not answer in time.
    #[error("the probe was not answered")]
    Unanswered,
    /// The VM is there, but took no connection.
    #[error("the VM closed the connection")]
    TurnedAway,
    /// Another VM has the address.
    #[error("another VM has the address")]
    Misdirected,
    /// The answer can't be read.
    #[error("the report can't be read")]
    Malformed,
}
