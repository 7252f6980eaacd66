//! The heads that requests may be sent to, and the statuses of groups and VMs for the state dump.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{DataCentreId, EntryId, Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{GroupReport, GroupState};

use super::Groups;
use super::vm_entry::VmEntry;

/// A VM that requests may be sent to.
#[derive(Debug, Clone, PartialEq)]
pub struct Head {
    /// The group's id; for a service without an engine, an id derived from the VM's.
    pub group: GroupId,
    /// The group's epoch; for a service without an engine, the start time of the VM's backend
    /// server.
    pub epoch: Epoch,
    /// The catalogue entry that the VM serves.
    pub entry: EntryId,
    /// The VM's name.
    pub name: String,
    /// The start of the backend server, as in [`VmReport::started_ms`](crate::VmReport).
    pub started_ms: u64,
    /// The other members of the group and the starts of their backend servers.
    pub members: Vec<(VmId, u64)>,
    /// The address that requests are sent to.
    pub address: SocketAddr,
    /// The VM's data centre.
    pub data_centre: DataCentreId,
    /// The number of requests that the group or VM runs concurrently.
    pub slots: u32,
    /// The remaining time for which the VM is cold.
    pub cold_remaining: Duration,
}

/// The status of a group in the state dump.
#[derive(Debug, Clone, Serialize)]
pub struct GroupStatus {
    /// The group's id.
    pub group: GroupId,
    /// The group's epoch.
    pub epoch: Epoch,
    /// The name of the model that the group serves.
    pub model: String,
    /// Names of the members, the head first.
    pub members: Vec<String>,
    /// How long this node has known the epoch, in milliseconds.
    pub known_ms: u64,
    /// How long the group has been broken, in milliseconds; `None` if it is not.
    pub broken_ms: Option<u64>,
}

/// The status of a VM in the state dump.
#[serde_as]
#[derive(Debug, Clone, Serialize)]
pub struct VmStatus {
    /// The VM's name.
    pub name: String,
    /// The service that runs on the VM, if any.
    pub service: Option<String>,
    /// Names of the models staged on the VM's host.
    pub staged: Vec<String>,
    /// The VM's membership in a group, as it reports it.
    pub group: Option<GroupReport>,
    /// Whether the VM is considered unavailable: unreachable, or removed from the store.
    pub lost: bool,
    /// Whether the VM is leaving.
    pub leaving: bool,
    /// Whether it reports and has begun none of the last orders of this node, which plans.
    pub ignores_orders: bool,
    /// The remaining time for which the VM is cold, as it reports it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "cold_ms")]
    pub cold_remaining: Duration,
}

/// How many backend servers this node reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Reach {
    /// VMs that accept requests, according to the store.
    pub listed: usize,
    /// Those of them that leave this node's probes unanswered or refuse them.
    pub unreachable: usize,
}

impl Reach {
    /// Returns whether most backend servers are unreachable, so that rather this node's own links
    /// have failed than the servers.
    #[must_use]
    pub const fn is_cut_off(self) -> bool {
        self.unreachable * 2 > self.listed
    }
}

/// The members of each group and epoch, with the starts of their backend servers.
pub(super) type ReportedMembers = BTreeMap<(GroupId, Epoch), Vec<(VmId, u64)>>;

impl Groups {
    /// Counts the VMs that accept requests according to the store, and those out of reach.
    #[must_use]
    pub fn reach(&self) -> Reach {
        let entries = self.vms.list.values();
        let listed = entries.filter(|entry| self.is_routable(entry) && self.is_serving(entry));
        listed.fold(Reach::default(), |reach, entry| Reach {
            listed: reach.listed + 1,
            unreachable: reach.unreachable + usize::from(entry.is_unreachable(&self.settings)),
        })
    }

    /// Returns whether a VM is the head of a group, or serves without groups.
    fn is_serving(&self, entry: &VmEntry) -> bool {
        let service = entry.report.vm.service.as_deref();
        let is_engine = |name: &str| self.engines.iter().any(|engine| engine.service == name);
        entry.is_serving_head() || service.is_some_and(|name| !is_engine(name))
    }

    /// Returns the VMs that requests may be sent to now.
    #[must_use]
    pub fn heads(&self) -> Vec<Head> {
        let reported = self.reported_members();
        self.vms
            .list
            .values()
            .filter(|entry| self.is_routable(entry))
            .filter_map(|entry| self.head(entry, &reported))
            .collect()
    }

    /// Returns the groups whose rows this node has read. The list is complete only on the planner.
    #[must_use]
    pub fn group_statuses(&self, now: Moment) -> Vec<GroupStatus> {
        let millis =
            |since: Moment| u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
        self.by_id
            .values()
            .map(|group| GroupStatus {
                group: group.id,
                epoch: group.epoch,
                model: group.row.model.clone(),
                members: group.row.members.clone(),
                known_ms: millis(group.known_since),
                broken_ms: group.broken_since.map(millis),
            })
            .collect()
    }

    /// Returns the number of VMs that report and have begun none of the last orders of this node.
    #[must_use]
    pub fn vms_ignoring_orders(&self) -> usize {
        let entries = self.vms.list.values();
        entries.filter(|entry| entry.tries.is_told()).count()
    }

    /// Returns all VMs that this node knows.
    #[must_use]
    pub fn vm_statuses(&self) -> Vec<VmStatus> {
        self.vms
            .list
            .values()
            .map(|entry| VmStatus {
                name: entry.report.vm.name.clone(),
                service: entry.report.vm.service.clone(),
                staged: entry.report.staged.clone(),
                group: entry.report.group,
                lost: entry.is_unavailable(&self.settings),
                leaving: entry.is_leaving(),
                ignores_orders: entry.tries.is_told(),
                cold_remaining: entry.report.cold_remaining,
            })
            .collect()
    }

    fn is_routable(&self, entry: &VmEntry) -> bool {
        entry.is_listed() && !entry.is_leaving() && !self.evacuated.contains(&entry.data_centre)
    }

    /// Returns the members that report each group and epoch, are routable and reachable, and have
    /// finished joining, with the starts of their backend servers.
    pub(super) fn reported_members(&self) -> ReportedMembers {
        let mut members = ReportedMembers::new();
        for entry in self.vms.list.values() {
            let Some(membership) = entry.report.group else {
                continue;
            };
            let responds = !entry.is_unreachable(&self.settings);
            if responds && self.is_routable(entry) && membership.state != GroupState::Joining {
                members
                    .entry((membership.group, membership.epoch))
                    .or_default()
                    .push((entry.report.vm.id(), entry.report.started_ms));
            }
        }
        members
    }

    pub(super) fn head(&self, entry: &VmEntry, reported: &ReportedMembers) -> Option<Head> {
        let vm = &entry.report.vm;
        let service = vm.service.as_deref()?;
        let engine = self.engines.iter().find(|engine| engine.service == service);
        let Some(engine) = engine else {
            return Some(service_head(entry, service));
        };
        let membership = entry.report.group?;
        let model = engine.model(entry.report.served_model.as_deref()?)?;
        let members = reported.get(&(membership.group, membership.epoch));
        let complete = members.is_some_and(|members| members.len() >= model.group_size);
        (membership.state == GroupState::Open && complete).then(|| Head {
            group: membership.group,
            epoch: membership.epoch,
            entry: model.entry,
            name: vm.name.clone(),
            started_ms: entry.report.started_ms,
            members: members.map_or_else(Vec::new, |members| {
                let others = members.iter().filter(|(member, _)| *member != vm.id());
                others.copied().collect()
            }),
            address: vm.address,
            data_centre: entry.data_centre,
            slots: engine.slots,
            cold_remaining: entry.report.cold_remaining,
        })
    }
}

fn service_head(entry: &VmEntry, service: &str) -> Head {
    let vm = &entry.report.vm;
    let (group, epoch) = entry.report.service_group();
    Head {
        group,
        epoch,
        entry: EntryId::of(service),
        name: vm.name.clone(),
        started_ms: entry.report.started_ms,
        members: Vec::new(),
        address: vm.address,
        data_centre: entry.data_centre,
        slots: entry.report.slots,
        cold_remaining: entry.report.cold_remaining,
    }
}
