//! A group as traffic and operators see it.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{DataCentreId, EntryId, Epoch, GroupId, VmId};

use crate::Health;

/// A group at one moment, as this node knows it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GroupView {
    /// The group; for a plain service derived from its VM.
    pub id: GroupId,
    /// The fencing number; zero for a plain service.
    pub epoch: Epoch,
    /// The entry that it serves.
    pub entry: EntryId,
    /// The members by rank; rank 0 takes the requests.
    pub members: Vec<MemberView>,
    /// The data centre of the members.
    pub data_centre: DataCentreId,
    /// How far the group is.
    pub phase: Phase,
    /// The age of the youngest attestation, in milliseconds.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub age: Option<Duration>,
    /// Whether this node may send it new work now.
    pub eligible: bool,
    /// What it can bear.
    pub health: Health,
    /// The requests that this node may have in flight while the group is cold.
    pub cold_slots: u32,
    /// Why it gets no new work from this node.
    pub why_not: Option<NotServing>,
}

/// A member at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct MemberView {
    /// The VM.
    pub vm: VmId,
    /// Its address; unknown when the platform no longer lists it.
    pub address: Option<SocketAddr>,
}

/// How far a group is; all but `Draining` is derived from attestations and probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Its members were never attested at this epoch.
    Loading,
    /// Whole, and in cold start.
    Warming,
    /// Whole and warm.
    Serving,
    /// It was whole, and is not attested now.
    Broken,
    /// It takes no new work and finishes what runs.
    Draining,
}

/// Why a group gets no new work from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotServing {
    /// The catalogue has no such entry.
    NoEntry,
    /// The row says that it drains.
    Draining,
    /// It stands by for a broken group.
    Standby,
    /// A member, or the data centre, is marked out.
    MarkedOut,
    /// The platform or an engine says that a member is leaving, or lists it no more.
    Leaving,
    /// Its members were not yet seen whole at this epoch.
    Loading,
    /// The last attestation is too old: a member, or its watchers, can't be reached.
    Unattested,
    /// Traffic of this node saw it fail a moment ago.
    Suspected,
    /// It is cold, and this node holds no cold slots.
    NoColdSlots,
    /// It is cold, and this node has not read the rows lately enough to use its cold slots.
    StaleSlots,
}

impl fmt::Display for NotServing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoEntry => "the catalogue has no such entry",
            Self::Draining => "the group drains",
            Self::Standby => "the group stands by for a broken one",
            Self::MarkedOut => "a member or the data centre is marked out",
            Self::Leaving => "a member is leaving",
            Self::Loading => "the members have not yet been seen whole",
            Self::Unattested => "no recent attestation that all members are there",
            Self::Suspected => "requests from this node failed a moment ago",
            Self::NoColdSlots => "the group is cold and this node has no cold slots",
            Self::StaleSlots => "the group is cold and this node's view of the table is old",
        })
    }
}
