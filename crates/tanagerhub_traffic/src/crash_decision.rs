//! Changes in what a node knows about requests that crash backend servers.

use serde::Serialize;
use serde_with::serde_as;
use tanagerhub_catalogue::{Epoch, GroupId, IdHex};

/// A change in what a node knows about crashing requests, for the log and the metrics.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum CrashDecision {
    /// An attempt ended in a way that a crash of the group would explain.
    Suspected {
        /// Fingerprint of the request.
        #[serde_as(as = "IdHex")]
        fingerprint: u64,
        /// The group that ran the attempt.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
    },
    /// The group of a suspicion was confirmed as crashed.
    Struck {
        /// Fingerprint of the request.
        #[serde_as(as = "IdHex")]
        fingerprint: u64,
        /// The group that crashed.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
        /// The number of crashes counted for the request, including this one.
        strikes: u32,
    },
    /// A crash or suspicion of this node is to be written to the store.
    Shared {
        /// Fingerprint of the request.
        #[serde_as(as = "IdHex")]
        fingerprint: u64,
        /// The group that failed.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
        /// Whether the group was confirmed as crashed.
        confirmed: bool,
    },
    /// A row of the store told of a crash or suspicion of another node.
    Reported {
        /// Fingerprint of the request.
        #[serde_as(as = "IdHex")]
        fingerprint: u64,
        /// The group that failed.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
        /// Whether the group was confirmed as crashed.
        confirmed: bool,
    },
    /// A complete response cleared a request that had strikes or suspicions.
    Cleared {
        /// Fingerprint of the request.
        #[serde_as(as = "IdHex")]
        fingerprint: u64,
        /// The number of strikes that were cleared.
        strikes: u32,
    },
    /// A request was refused because of its crashes.
    Refused {
        /// Fingerprint of the request.
        #[serde_as(as = "IdHex")]
        fingerprint: u64,
        /// The number of strikes that it has.
        strikes: u32,
    },
}

impl CrashDecision {
    /// Returns the name of the decision in metrics.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Suspected { .. } => "suspected",
            Self::Struck { .. } => "struck",
            Self::Shared { .. } => "shared",
            Self::Reported { .. } => "reported",
            Self::Cleared { .. } => "cleared",
            Self::Refused { .. } => "refused",
        }
    }
}
