//! The view of a group for request routing and for operators.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{DataCentreId, EntryId, Epoch, GroupId, VmId};

use crate::Health;

/// The state of a group at one moment, from the data that this node has.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GroupView {
    /// The group's id; for a plain service it is derived from the VM's id.
    pub id: GroupId,
    /// The group's fencing token; zero for a plain service.
    pub epoch: Epoch,
    /// The entry that the group serves.
    pub entry: EntryId,
    /// The members by rank; the head, at rank 0, receives the requests.
    pub members: Vec<MemberView>,
    /// The data centre of the members.
    pub data_centre: DataCentreId,
    /// The stage of the group's lifecycle.
    pub phase: Phase,
    /// The age of the latest attestation that counts; in milliseconds when serialised.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub age: Option<Duration>,
    /// Whether this node may send it new requests now.
    pub eligible: bool,
    /// Whether it can take full load, is cold, or is leaving.
    pub health: Health,
    /// The number of requests that this node may have in flight while the group is cold; 0
    /// otherwise.
    pub cold_slots: u32,
    /// Why this node sends it no new requests; `None` when it is eligible.
    pub why_not: Option<NotServing>,
}

/// A member of a group at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct MemberView {
    /// The VM that the member runs on.
    pub vm: VmId,
    /// The VM's address; `None` when the platform no longer lists the VM.
    pub address: Option<SocketAddr>,
}

/// The stage of a group's lifecycle.
///
/// `Draining` follows from the group's row or from a leaving member, the other stages from
/// attestations and probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The group was never attested at this epoch.
    Loading,
    /// Complete, and in cold start.
    Warming,
    /// Complete and warm.
    Serving,
    /// It was complete at this epoch, and its attestation has lapsed.
    Broken,
    /// It accepts no new requests and finishes running ones.
    Draining,
}

/// Why this node sends a group no new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotServing {
    /// The catalogue has no entry for the group.
    NoEntry,
    /// The group's row is marked as draining.
    Draining,
    /// It is a standby group, held ready to replace a broken one.
    Standby,
    /// A member or the data centre is marked out of service.
    MarkedOut,
    /// The platform or an engine reports that a member is leaving, or the platform no longer lists
    /// it.
    Leaving,
    /// The group has not yet been complete at this epoch.
    Loading,
    /// The last attestation is too old: a member or the group's watchers are unreachable.
    Unattested,
    /// A request of this node failed on the group recently.
    Suspected,
    /// The group is cold, and this node holds none of its cold slots.
    NoColdSlots,
    /// The group is cold, and this node's last read of the rows is too old for it to use its cold
    /// slots.
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
