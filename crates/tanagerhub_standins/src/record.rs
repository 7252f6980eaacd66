//! The events that stand-ins and test clients record.

use std::net::SocketAddr;

use tanagerhub_catalogue::{BootId, CatalogueVersion, Epoch, GroupId, Rank, VmId};
use tanagerhub_clock::Moment;

/// One event with its time.
#[derive(Debug, Clone)]
pub struct Record {
    /// When it happened, on the clock that all stand-ins share.
    pub at: Moment,
    /// What happened.
    pub event: Event,
}

/// Id of a request, which its sender puts into the body.
///
/// It stays the same when the request is sent again.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub String);

/// Why a backend server is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingCause {
    /// Its process has ended; an engine loses all its state with it.
    Dead,
    /// Its process is paused, and may resume with its state kept.
    Paused,
}

/// The result of a request, as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The complete response was received, and it is the one to this request.
    Complete,
    /// The response ended cleanly, but it is short or belongs to another request.
    Wrong,
    /// The response was truncated, or ended in an explicit error.
    Truncated,
    /// The request was refused, with the outcome that the refusal states.
    Refused(Outcome),
    /// No response was received.
    Lost,
}

/// The outcome that a refusal states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// No part of the request ran.
    NotRun,
    /// The request ran.
    Ran,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Parses the value of the outcome header; any other value means [`Self::Unknown`].
    #[must_use]
    pub fn parse(value: &str) -> Self {
        match value {
            "not-run" => Self::NotRun,
            "ran" => Self::Ran,
            _ => Self::Unknown,
        }
    }
}

/// Something that operators can mark out of service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum MarkTarget {
    /// A data centre, by name.
    DataCentre(String),
    /// A VM, by id.
    Vm(VmId),
}

/// One event that a stand-in or a test client records.
#[derive(Debug, Clone)]
pub enum Event {
    /// An engine or service was started.
    Deployed {
        /// Its VM.
        vm: VmId,
        /// Name of the data centre of the VM.
        data_centre: String,
    },
    /// An engine joined a group, as ordered.
    JoinedGroup {
        /// Its VM.
        vm: VmId,
        /// The engine's boot id.
        boot: BootId,
        /// The group.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
        /// Its rank in the group.
        rank: Rank,
        /// All members, by rank.
        members: Vec<VmId>,
    },
    /// An engine left its group, because of an order or because its process ended.
    LeftGroup {
        /// Its VM.
        vm: VmId,
        /// The group.
        group: GroupId,
    },
    /// A backend server went missing.
    Missing {
        /// Its VM.
        vm: VmId,
        /// Why.
        cause: MissingCause,
    },
    /// A missing backend server returned.
    Returned {
        /// Its VM.
        vm: VmId,
    },
    /// An engine started to run a request.
    Started(Started),
    /// An engine generated the last token of a response.
    Finished {
        /// The request.
        request_id: RequestId,
        /// The VM of the group's head.
        vm: VmId,
        /// The group.
        group: GroupId,
    },
    /// An engine stopped running a request before its last token.
    Stopped {
        /// The request.
        request_id: RequestId,
        /// The VM of the group's head.
        vm: VmId,
        /// Why.
        cause: StopCause,
    },
    /// An engine in cold start crashed, because it received more requests than its limit.
    ColdCrash {
        /// Its VM.
        vm: VmId,
    },
    /// A service ran a request.
    Ran {
        /// The request.
        request_id: RequestId,
        /// The VM that ran it.
        vm: VmId,
        /// Whether the request is repeatable.
        repeatable: bool,
    },
    /// An operator received the confirmation that a data centre or VM is marked out of service.
    MarkedOut(MarkTarget),
    /// An operator requested that a data centre or VM is marked in again.
    MarkedIn(MarkTarget),
    /// A VM was announced as leaving.
    Leaving {
        /// The VM.
        vm: VmId,
    },
    /// A configuration was reported to an operator as accepted.
    Accepted {
        /// Its catalogue version.
        version: CatalogueVersion,
    },
    /// A node reported the catalogue version that is in force at it.
    InForce {
        /// The node's address.
        node: SocketAddr,
        /// The version in force.
        version: CatalogueVersion,
    },
    /// A caller sent a request.
    Sent {
        /// The request.
        request_id: RequestId,
        /// The address of the node that received it.
        node: SocketAddr,
    },
    /// A request completed for its caller.
    Completed {
        /// The request.
        request_id: RequestId,
        /// The address of the node that received it.
        node: SocketAddr,
        /// The caller's verdict.
        verdict: Verdict,
    },
    /// A node was asked to stop gracefully.
    NodeStopping {
        /// Its address for callers.
        node: SocketAddr,
    },
    /// A node was killed or ended unexpectedly.
    NodeKilled {
        /// Its address for callers.
        node: SocketAddr,
    },
}

/// The start of a request on an engine.
#[derive(Debug, Clone)]
pub struct Started {
    /// The request.
    pub request_id: RequestId,
    /// The VM of the group's head.
    pub vm: VmId,
    /// The group.
    pub group: GroupId,
    /// The group's epoch.
    pub epoch: Epoch,
    /// The engine's boot id.
    pub boot: BootId,
    /// Whether the engine is in cold start.
    pub cold: bool,
    /// Number of requests in flight, this one included.
    pub running: u32,
    /// Maximum number of requests in flight while cold.
    pub cold_limit: u32,
}

/// Why an engine stopped running a request before its last token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopCause {
    /// The client closed the connection.
    Cancelled,
    /// A member of the group is missing.
    Broken,
    /// The request crashed the engine.
    Crashed,
}
