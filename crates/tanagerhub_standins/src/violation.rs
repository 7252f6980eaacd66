//! Violations of the promises of the system.

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{CatalogueVersion, GroupId, VmId};

use crate::RequestId;

/// A property of the system that must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// No replica group serves while any of its members is missing.
    CompleteGroups,
    /// No VM belongs to two groups at once.
    DisjointGroups,
    /// A backend server in cold start receives no more requests than its limit.
    ColdLimit,
    /// A data centre that is marked out receives no new requests after a few seconds.
    DataCentreOut,
    /// Every caller receives the complete response to its own request.
    CompleteResponses,
    /// A request that is refused as "not run" did not run.
    TrueNotRun,
    /// A request that is not repeatable runs at most once.
    AtMostOnce,
    /// A backend server that is leaving receives no new requests after a few seconds.
    LeavingServer,
    /// A graceful shutdown cuts off no request in flight.
    GracefulShutdown,
    /// An accepted configuration is in force at every node within seconds and never reverts.
    Configuration,
}

/// One violation of a promise, or a log that can't be checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// The log is not complete, so the promises can't be checked.
    LogOverflow {
        /// Number of events that were dropped because the log was full.
        dropped: u64,
    },
    /// A group started or finished a request without one of its members.
    MemberMissing {
        /// The request.
        request_id: RequestId,
        /// The group.
        group: GroupId,
        /// The member.
        member: VmId,
        /// For how long it had been missing; zero when it was missing at the end of the request.
        age: Duration,
    },
    /// Two groups that share a VM ran requests at the same time.
    SharedVm {
        /// The VM.
        vm: VmId,
        /// The groups.
        groups: [GroupId; 2],
    },
    /// An engine in cold start received more requests than its limit.
    ColdOverload {
        /// The engine's VM.
        vm: VmId,
        /// Number of requests in flight.
        running: u32,
        /// Maximum number of requests in flight while cold.
        limit: u32,
    },
    /// A data centre that was marked out received a new request.
    RequestInDataCentre {
        /// The request.
        request_id: RequestId,
        /// Name of the data centre.
        data_centre: String,
        /// Time since it was marked out.
        age: Duration,
    },
    /// A response ended cleanly but is short, or belongs to another request.
    WrongResponse {
        /// The request.
        request_id: RequestId,
    },
    /// A request never completed for its caller.
    Unanswered {
        /// The request.
        request_id: RequestId,
    },
    /// A request that was refused as "not run" did run.
    FalseNotRun {
        /// The request.
        request_id: RequestId,
    },
    /// A request that is not repeatable ran more than once.
    RanTwice {
        /// The request.
        request_id: RequestId,
        /// How often it ran.
        times: u32,
    },
    /// A backend server that is leaving or marked out received a new request.
    RequestOnLeavingServer {
        /// The request.
        request_id: RequestId,
        /// The VM of the backend server.
        vm: VmId,
        /// Time since it was announced as leaving or marked out.
        age: Duration,
    },
    /// A graceful shutdown cut off a request in flight.
    TruncatedByShutdown {
        /// The request.
        request_id: RequestId,
        /// The node's address.
        node: SocketAddr,
    },
    /// An accepted version was not in force in time.
    NotInForce {
        /// The node's address.
        node: SocketAddr,
        /// The version in force there.
        found: CatalogueVersion,
        /// The version that was accepted.
        accepted: CatalogueVersion,
        /// Time since it was accepted.
        age: Duration,
    },
    /// A node reverted to an older version.
    Reverted {
        /// The node's address.
        node: SocketAddr,
        /// The newer version.
        from: CatalogueVersion,
        /// The older version.
        to: CatalogueVersion,
    },
}

impl Violation {
    /// Returns the promise that was violated; `None` when the log can't be checked.
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
