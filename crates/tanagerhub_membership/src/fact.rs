//! Facts that the nodes of a region share.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{Epoch, GroupId, Health};

/// An observation of one node that other nodes may rely on until its TTL ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fact {
    /// The group was observed to be complete.
    Attested {
        /// The group.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
        /// How much load the group can take: full load, only its cold slots, or no new work.
        health: Health,
    },
    /// The group's backend server became cold, or a member of the group was observed to be missing.
    Cold {
        /// The group.
        group: GroupId,
        /// The group's epoch.
        epoch: Epoch,
    },
    /// A request was followed by crashes of backend servers.
    Crashed {
        /// The fingerprint of the request.
        fingerprint: u64,
        /// The number of crashes that followed it.
        count: u8,
    },
    /// The load of a group, as its engine last reported it.
    Load {
        /// The group.
        group: GroupId,
        /// The number of running requests.
        running: u16,
        /// The number of waiting requests.
        waiting: u16,
    },
}

/// The kind and subject of a fact; a newer fact replaces an older one with the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FactKey {
    /// The attestation of a complete group.
    Attested(GroupId),
    /// The cold signal of a group.
    Cold(GroupId),
    /// The crash count of a request, by its fingerprint.
    Crashed(u64),
    /// The load of a group.
    Load(GroupId),
}

/// Time after which attestations and loads are no longer shared.
const SHORT_TTL: Duration = Duration::from_secs(4);
/// Time after which cold signals are no longer shared.
const COLD_TTL: Duration = Duration::from_mins(1);
/// Time after which the crash count of a request is dropped.
const CRASH_TTL: Duration = Duration::from_mins(15);

impl Fact {
    /// Returns the key under which newer facts replace this one.
    #[must_use]
    pub const fn key(&self) -> FactKey {
        match *self {
            Self::Attested { group, .. } => FactKey::Attested(group),
            Self::Cold { group, .. } => FactKey::Cold(group),
            Self::Crashed { fingerprint, .. } => FactKey::Crashed(fingerprint),
            Self::Load { group, .. } => FactKey::Load(group),
        }
    }

    /// Returns the age at which the fact is dropped.
    #[must_use]
    pub const fn ttl(&self) -> Duration {
        match self {
            Self::Attested { .. } | Self::Load { .. } => SHORT_TTL,
            Self::Cold { .. } => COLD_TTL,
            Self::Crashed { .. } => CRASH_TTL,
        }
    }

    /// Returns whether the fact is sent to other regions too.
    #[must_use]
    pub const fn is_global(&self) -> bool {
        matches!(self, Self::Crashed { .. })
    }

    /// Returns what takes precedence over the age of facts with the same key: the epoch or the
    /// count.
    pub(crate) const fn precedence(&self) -> u64 {
        match *self {
            Self::Attested { epoch, .. } | Self::Cold { epoch, .. } => epoch.0,
            Self::Crashed { count, .. } => count as u64,
            Self::Load { .. } => 0,
        }
    }
}

/// A fact and its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgedFact {
    /// The fact.
    pub fact: Fact,
    /// An upper bound on the time since the fact was observed.
    pub age: Duration,
}
