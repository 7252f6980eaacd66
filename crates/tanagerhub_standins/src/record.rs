//! What stand-ins and test clients saw.

use std::net::SocketAddr;

use tanagerhub_catalogue::{BootId, CatalogueVersion, Epoch, GroupId, Rank, VmId};
use tanagerhub_clock::Moment;

/// One fact with its time.
#[derive(Debug, Clone)]
pub struct Record {
    /// When it happened, on the clock that all stand-ins share.
    pub at: Moment,
    /// What happened.
    pub event: Event,
}

/// Names one piece of a caller's work, as its sender put it into the body.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub String);

/// Why a member is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingCause {
    /// Its process is gone, with all that it held.
    Dead,
    /// It stands still and may come back as it was.
    Paused,
}

/// What became of a request, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The whole answer came, and it is the one to this request.
    Complete,
    /// The answer ended cleanly, but it is short or belongs to another request.
    Wrong,
    /// The answer broke off, or ended in an explicit error.
    Truncated,
    /// Refused with an outcome.
    Refused(Outcome),
    /// No answer came at all.
    Lost,
}

/// The outcome that a refusal states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// No part of the request ran.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run, or not.
    Unknown,
}

impl Outcome {
    /// Reads the value of the outcome header; anything unclear is unknown.
    #[must_use]
    pub fn parse(value: &str) -> Self {
        match value {
            "not-run" => Self::NotRun,
            "ran" => Self::Ran,
            _ => Self::Unknown,
        }
    }
}

/// Something that can be taken out of service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum MarkTarget {
    /// A data centre, by name.
    DataCentre(String),
    /// A VM.
    Vm(VmId),
}

/// One thing that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// An engine or service was started.
    Deployed {
        /// Its VM.
        vm: VmId,
        /// The data centre that it stands in.
        data_centre: String,
    },
    /// An engine obeyed an order to join a group.
    JoinedGroup {
        /// Its VM.
        vm: VmId,
        /// The engine's start.
        boot: BootId,
        /// The group.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
        /// Its place.
        rank: Rank,
        /// All members, by rank.
        members: Vec<VmId>,
    },
    /// An engine left its group, by order or by death.
    LeftGroup {
        /// Its VM.
        vm: VmId,
        /// The group.
        group: GroupId,
    },
    /// A member went missing.
    Missing {
        /// Its VM.
        vm: VmId,
        /// Why.
        cause: MissingCause,
    },
    /// A member came back.
    Returned {
        /// Its VM.
        vm: VmId,
    },
    /// An engine began to run a request.
    Started(Started),
    /// An engine generated the last token of an answer.
    Finished {
        /// The request.
        request_id: RequestId,
        /// The VM of rank 0.
        vm: VmId,
        /// The group.
        group: GroupId,
    },
    /// An engine stopped before the last token.
    Stopped {
        /// The request.
        request_id: RequestId,
        /// The VM of rank 0.
        vm: VmId,
        /// Why.
        cause: StopCause,
    },
    /// An engine in cold start got more work than it can bear, and died of it.
    ColdCrash {
        /// Its VM.
        vm: VmId,
    },
    /// A service ran a call.
    Ran {
        /// The call.
        request_id: RequestId,
        /// The VM that ran it.
        vm: VmId,
        /// Whether it may run more than once.
        repeatable: bool,
    },
    /// Operators were told that a place is out of service.
    MarkedOut(MarkTarget),
    /// Operators asked for a place to be brought back.
    MarkedIn(MarkTarget),
    /// A VM was announced as leaving.
    Leaving {
        /// The VM.
        vm: VmId,
    },
    /// A configuration was accepted.
    Accepted {
        /// Its version.
        version: CatalogueVersion,
    },
    /// A node stated the version that is in force at it.
    InForce {
        /// The node.
        node: SocketAddr,
        /// The version.
        version: CatalogueVersion,
    },
    /// A caller sent a request.
    Sent {
        /// The request.
        request_id: RequestId,
        /// The node that took it.
        node: SocketAddr,
    },
    /// A caller knows what became of its request.
    Completed {
        /// The request.
        request_id: RequestId,
        /// The node that was asked.
        node: SocketAddr,
        /// What the caller saw.
        verdict: Verdict,
    },
    /// A node was asked to stop gracefully.
    NodeStopping {
        /// Its address for callers.
        node: SocketAddr,
    },
    /// A node was killed, or stopped on its own.
    NodeKilled {
        /// Its address for callers.
        node: SocketAddr,
    },
}

/// The start of a request at an engine.
#[derive(Debug, Clone)]
pub struct Started {
    /// The request.
    pub request_id: RequestId,
    /// The VM of rank 0.
    pub vm: VmId,
    /// The group.
    pub group: GroupId,
    /// The group's epoch.
    pub epoch: Epoch,
    /// The engine's start.
    pub boot: BootId,
    /// Whether the engine is in cold start.
    pub cold: bool,
    /// Requests in flight, this one included.
    pub running: u32,
    /// What it bears while cold.
    pub cold_limit: u32,
}

/// Why an engine stopped before the last token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopCause {
    /// The caller closed the connection.
    Cancelled,
    /// A member of the group is missing.
    Broken,
    /// The request crashed the engine.
    Crashed,
}
