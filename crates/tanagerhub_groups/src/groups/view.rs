//! What this node says of the groups.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{DataCentreId, EntryId, Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{GroupReport, GroupState};

use super::Groups;
use super::vms::VmEntry;

/// A VM that requests may be sent to.
#[derive(Debug, Clone, PartialEq)]
pub struct Head {
    /// The group; for a plain service an id made of the VM's.
    pub group: GroupId,
    /// The group's epoch; for a plain service the start of the VM's backend server.
    pub epoch: Epoch,
    /// The catalogue entry that it serves.
    pub entry: EntryId,
    /// The VM's name.
    pub name: String,
    /// Where requests go.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How much longer it is cold.
    pub cold: Duration,
}

/// A group, for the dump of the state.
#[derive(Debug, Clone, Serialize)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// Its epoch.
    pub epoch: Epoch,
    /// Its model.
    pub model: String,
    /// Its members, the head first.
    pub members: Vec<String>,
    /// Milliseconds for which this node has known the epoch.
    pub known_ms: u64,
    /// Milliseconds for which it has been broken, if it is.
    pub broken_ms: Option<u64>,
}

/// A VM, for the dump of the state.
#[serde_as]
#[derive(Debug, Clone, Serialize)]
pub struct VmStatus {
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: Option<String>,
    /// Models on its host.
    pub staged: Vec<String>,
    /// Its place in a group, as it reports it.
    pub group: Option<GroupReport>,
    /// Whether it is believed lost.
    pub lost: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// How much longer it is cold, as it reports it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "cold_ms")]
    pub cold: Duration,
}

impl Groups {
    /// The VMs that requests may be sent to now.
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

    /// The groups whose rows this node has read; complete on the node that plans.
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

    /// The VMs, as this node knows them.
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
                cold: entry.report.cold,
            })
            .collect()
    }

    fn is_routable(&self, entry: &VmEntry) -> bool {
        let centre = entry.report.vm.data_centre_id();
        entry.is_listed() && !entry.is_leaving() && !self.evacuated.contains(&centre)
    }

    /// How many VMs that take part report each group and epoch.
    fn reported_members(&self) -> BTreeMap<(GroupId, Epoch), usize> {
        let mut counts = BTreeMap::new();
        for entry in self.vms.list.values() {
            let Some(report) = entry.report.group else {
                continue;
            };
            let responds = !entry.is_unreachable(&self.settings);
            if responds && self.is_routable(entry) && report.state != GroupState::Joining {
                *counts.entry((report.group, report.epoch)).or_default() += 1;
            }
        }
        counts
    }

    fn head(&self, entry: &VmEntry, reported: &BTreeMap<(GroupId, Epoch), usize>) -> Option<Head> {
        let vm = &entry.report.vm;
        let service = vm.service.as_deref()?;
        let engine = self.engines.iter().find(|engine| engine.service == service);
        let Some(engine) = engine else {
            return Some(service_head(entry, service));
        };
        let report = entry.report.group?;
        let model = engine.model(entry.report.serves.as_deref()?)?;
        let members = reported.get(&(report.group, report.epoch)).copied();
        let complete = members.is_some_and(|count| count >= model.group_size);
        (report.state == GroupState::Open && complete).then(|| Head {
            group: report.group,
            epoch: report.epoch,
            entry: model.entry,
            name: vm.name.clone(),
            address: vm.address,
            data_centre: vm.data_centre_id(),
            slots: engine.slots,
            cold: entry.report.cold,
        })
    }
}

fn service_head(entry: &VmEntry, service: &str) -> Head {
    let vm = &entry.report.vm;
    let VmId(id) = vm.id();
    Head {
        group: GroupId(id),
        epoch: Epoch(entry.report.started),
        entry: EntryId::of(service),
        name: vm.name.clone(),
        address: vm.address,
        data_centre: vm.data_centre_id(),
        slots: entry.report.slots,
        cold: entry.report.cold,
    }
}
