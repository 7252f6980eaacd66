//! Broken promises.

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{CatalogueVersion, GroupId, VmId};

use crate::RequestId;

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// No replica group serves while any of its members is missing.
    CompleteGroups,
    /// No VM belongs to two groups at once.
    DisjointGroups,
    /// A backend server in cold start receives no more work than it can bear.
    ColdLimit,
    /// A data centre taken out receives no new work after a few seconds.
    DataCentreOut,
    /// Every caller receives the whole answer to its own request.
    CompleteResponses,
    /// A refusal that says "not run" is true.
    TrueNotRun,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A backend server that is leaving receives no new work after a few seconds.
    LeavingServer,
    /// A graceful shutdown cuts off no request in flight.
    GracefulShutdown,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    Configuration,
}

/// One broken promise, or a log that can't be judged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// The log is not complete, so nothing can be said of it.
    LogOverflow {
        /// Records that found no room.
        dropped: u64,
    },
    /// A group took or finished a request without one of its members.
    MemberMissing {
        /// The request.
        request_id: RequestId,
        /// The group.
        group: GroupId,
        /// The member.
        member: VmId,
        /// For how long it had been missing.
        age: Duration,
    },
    /// Two groups that share a VM ran requests at the same time.
    SharedVm {
        /// The VM.
        vm: VmId,
        /// The groups.
        groups: [GroupId; 2],
    },
    /// An engine in cold start got too much work.
    ColdOverload {
        /// The engine's VM.
        vm: VmId,
        /// Requests in flight.
        running: u32,
        /// What it bears.
        limit: u32,
    },
    /// A data centre that was taken out got new work.
    RequestInDataCentre {
        /// The request.
        request_id: RequestId,
        /// The data centre.
        data_centre: String,
        /// The time since it was taken out.
        age: Duration,
    },
    /// An answer ended cleanly but is short, or belongs to another request.
    WrongResponse {
        /// The request.
        request_id: RequestId,
    },
    /// A request never got an answer of any kind.
    Unanswered {
        /// The request.
        request_id: RequestId,
    },
    /// A request that was said not to have run did run.
    FalseNotRun {
        /// The request.
        request_id: RequestId,
    },
    /// A call that may not be repeated ran more than once.
    RanTwice {
        /// The call.
        request_id: RequestId,
        /// How often it ran.
        times: u32,
    },
    /// A leaving server got new work.
    RequestOnLeavingServer {
        /// The request.
        request_id: RequestId,
        /// The server's VM.
        vm: VmId,
        /// The time since it was announced or marked.
        age: Duration,
    },
    /// A graceful shutdown cut a request off.
    TruncatedByShutdown {
        /// The request.
        request_id: RequestId,
        /// The node.
        node: SocketAddr,
    },
    /// An accepted version was not in force in time.
    NotInForce {
        /// The node.
        node: SocketAddr,
        /// The version in force there.
        found: CatalogueVersion,
        /// The version that was accepted.
        accepted: CatalogueVersion,
        /// The time since.
        age: Duration,
    },
    /// A node went back to an older version.
    Reverted {
        /// The node.
        node: SocketAddr,
        /// The newer version.
        from: CatalogueVersion,
        /// The older version.
        to: CatalogueVersion,
    },
}

impl Violation {
    /// The promise that was broken; `None` when the log can't be judged.
    #[must_use]
    pub const fn promise(&self) -> Option<Promise> {
        let promise = match self {
            Self::LogOverflow { .. } => return None,
            Self::MemberMissing { .. } => Promise::CompleteGroups,
            Self::SharedVm { .. } => Promise::DisjointGroups,
            Self::ColdOverload { .. } => Promise::ColdLimit,
            Self::RequestInDataCentre { .. } => Promise::DataCentreOut,
            Self::WrongResponse { .. } | Self::Unanswered { .. } => Promise::CompleteResponses,
            Self::FalseNotRun { .. } => Promise::TrueNotRun,
            Self::RanTwice { .. } => Promise::AtMostOnce,
            Self::RequestOnLeavingServer { .. } => Promise::LeavingServer,
            Self::TruncatedByShutdown { .. } => Promise::GracefulShutdown,
            Self::NotInForce { .. } | Self::Reverted { .. } => Promise::Configuration,
        };
        Some(promise)
    }
}
