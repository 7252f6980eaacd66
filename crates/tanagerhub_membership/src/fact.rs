//! Facts that nodes of a region share.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{Epoch, GroupId, Health};

/// Something that one node has seen and that others may rely on for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fact {
    /// Every member of the group was seen in place.
    Attested {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
        /// What it can bear.
        health: Health,
    },
    /// The group's backend turned cold, or was seen with a member missing.
    Cold {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// A request crashed backend servers.
    Crashed {
        /// The request's fingerprint.
        fingerprint: u64,
        /// Crashes that followed it.
        count: u8,
    },
    /// Work at a group, as its engine last reported it.
    Load {
        /// The group.
        group: GroupId,
        /// Requests that run.
        running: u16,
        /// Requests that wait.
        waiting: u16,
    },
}

/// What a fact is about; a newer fact replaces an older one with the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FactKey {
    /// That a group is whole.
    Attested(GroupId),
    /// That a group is cold.
    Cold(GroupId),
    /// A crashing request.
    Crashed(u64),
    /// The load of a group.
    Load(GroupId),
}

/// How long attestations and loads travel.
const SHORT_TTL: Duration = Duration::from_secs(4);
/// How long cold signals travel.
const COLD_TTL: Duration = Duration::from_mins(1);
/// How long crashing requests are remembered.
const CRASH_TTL: Duration = Duration::from_mins(15);

impl Fact {
    /// What the fact is about.
    #[must_use]
    pub const fn key(&self) -> FactKey {
        match *self {
            Self::Attested { group, .. } => FactKey::Attested(group),
            Self::Cold { group, .. } => FactKey::Cold(group),
            Self::Crashed { fingerprint, .. } => FactKey::Crashed(fingerprint),
            Self::Load { group, .. } => FactKey::Load(group),
        }
    }

    /// The age at which the fact is dropped.
    #[must_use]
    pub const fn ttl(&self) -> Duration {
        match self {
            Self::Attested { .. } | Self::Load { .. } => SHORT_TTL,
            Self::Cold { .. } => COLD_TTL,
            Self::Crashed { .. } => CRASH_TTL,
        }
    }

    /// Whether the fact is told to other regions too.
    #[must_use]
    pub const fn is_global(&self) -> bool {
        matches!(self, Self::Crashed { .. })
    }

    /// What outranks the age of two facts with the same key: the epoch, or the count.
    pub(crate) const fn rank(&self) -> u64 {
        match *self {
            Self::Attested { epoch, .. } | Self::Cold { epoch, .. } => epoch.0,
            Self::Crashed { count, .. } => count as u64,
            Self::Load { .. } => 0,
        }
    }
}

/// A fact with the time since it was seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgedFact {
    /// The fact.
    pub fact: Fact,
    /// How long ago it was seen, at most.
    pub age: Duration,
}
