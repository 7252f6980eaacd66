//! Changes in what a node knows about requests and parts of prompts that crash backend servers.

use serde::Serialize;
use tanagerhub_catalogue::{Epoch, GroupId};

use crate::CrashSubject;

/// A change in what a node knows about crashing requests and parts, for the log and the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum CrashDecision {
    /// An attempt ended in a way that a crash of the group would explain.
    Suspected {
        /// The request or part.
        #[serde(flatten)]
        subject: CrashSubject,
        /// The group that ran the attempt.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
    },
    /// The group of a suspicion was confirmed as crashed.
    Struck {
        /// The request or part.
        #[serde(flatten)]
        subject: CrashSubject,
        /// The group that crashed.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
        /// The number of crashes counted for the request, including this one.
        strikes: u32,
    },
    /// A crash or suspicion of this node is to be written to the store.
    Shared {
        /// The request or part.
        #[serde(flatten)]
        subject: CrashSubject,
        /// The group that failed.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
        /// Whether the group was confirmed as crashed.
        confirmed: bool,
    },
    /// A row of the store told of a crash or suspicion of another node.
    Reported {
        /// The request or part.
        #[serde(flatten)]
        subject: CrashSubject,
        /// The group that failed.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
        /// Whether the group was confirmed as crashed.
        confirmed: bool,
    },
    /// A complete response cleared a request that had strikes or suspicions.
    Cleared {
        /// The request or part.
        #[serde(flatten)]
        subject: CrashSubject,
        /// The number of strikes that were cleared.
        strikes: u32,
    },
    /// A part is to blame for crashes, so that requests with it are refused.
    Blamed {
        /// The part.
        #[serde(flatten)]
        subject: CrashSubject,
        /// The number of crashes that it explains.
        strikes: u32,
    },
    /// A part is no longer to blame.
    Absolved {
        /// The part.
        #[serde(flatten)]
        subject: CrashSubject,
    },
    /// The failure of a group that held more tokens than its memory counts for no request.
    Excused {
        /// The group that failed.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
    },
    /// A request was refused because of its crashes, or those of a part.
    Refused {
        /// The request or part.
        #[serde(flatten)]
        subject: CrashSubject,
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
            Self::Blamed { .. } => "blamed",
            Self::Absolved { .. } => "absolved",
            Self::Excused { .. } => "excused",
            Self::Refused { .. } => "refused",
        }
    }
}
