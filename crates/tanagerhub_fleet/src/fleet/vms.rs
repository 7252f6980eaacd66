//! The VMs that the platform lists, with operators' marks and recent failures.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{Catalogue, DataCentreId, DomainId, EntryId, Vm, VmId, VmState};
use tanagerhub_clock::Moment;

use crate::FleetSettings;

/// The platform's data on one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct VmInfo {
    pub(super) address: SocketAddr,
    pub(super) data_centre: DataCentreId,
    pub(super) domain: DomainId,
    pub(super) service: Option<EntryId>,
    pub(super) leaving: bool,
}

impl VmInfo {
    fn of(vm: &Vm) -> Self {
        Self {
            address: vm.address,
            data_centre: vm.data_centre_id(),
            domain: vm.domain_id(),
            service: vm.service.as_deref().map(EntryId::of),
            leaving: vm.state == VmState::Leaving,
        }
    }
}

/// The recent failures of one VM, and until when it is left out of formations.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    count: u32,
    until: Moment,
}

/// All listed VMs, with the reasons not to use some of them.
#[derive(Debug, Default)]
pub(super) struct Vms {
    pub(super) list: BTreeMap<VmId, VmInfo>,
    marked_out: BTreeSet<VmId>,
    marked_out_data_centres: BTreeSet<DataCentreId>,
    backoffs: BTreeMap<VmId, Backoff>,
}

impl Vms {
    /// Replaces the platform's list. Returns whether it differs from the last one.
    pub(super) fn set_list(&mut self, list: &[Vm]) -> bool {
        let list: BTreeMap<VmId, VmInfo> =
            list.iter().map(|vm| (vm.id(), VmInfo::of(vm))).collect();
        let changed = list != self.list;
        self.list = list;
        changed
    }

    /// Replaces the marks by those of a catalogue.
    pub(super) fn set_marks(&mut self, catalogue: &Catalogue) {
        let marks = &catalogue.marks;
        self.marked_out = marks.vms_out.iter().map(|name| VmId::of(name)).collect();
        self.marked_out_data_centres = marks
            .data_centres_out
            .iter()
            .map(|name| DataCentreId::of(name))
            .collect();
    }

    pub(super) fn address(&self, vm: VmId) -> Option<SocketAddr> {
        self.list.get(&vm).map(|info| info.address)
    }

    /// Returns whether operators marked the VM or its data centre out of service.
    pub(super) fn is_marked_out(&self, vm: VmId, data_centre: DataCentreId) -> bool {
        self.marked_out.contains(&vm) || self.marked_out_data_centres.contains(&data_centre)
    }

    /// Returns whether the platform lists the VM as leaving, or no longer lists it.
    pub(super) fn is_leaving(&self, vm: VmId) -> bool {
        self.list.get(&vm).is_none_or(|info| info.leaving)
    }

    /// Returns whether the VM is missing from the platform's list; false while there is no list.
    pub(super) fn is_removed(&self, vm: VmId) -> bool {
        !self.list.is_empty() && !self.list.contains_key(&vm)
    }

    /// Returns the VMs for model engines that are neither leaving, marked out nor left out for
    /// failures. VMs that belong to a group are included.
    pub(super) fn usable(&self, now: Moment) -> impl Iterator<Item = (VmId, &VmInfo)> {
        self.list
            .iter()
            .filter(move |(id, info)| {
                info.service.is_none()
                    && !info.leaving
                    && !self.is_marked_out(**id, info.data_centre)
                    && !self.is_left_out(now, **id)
            })
            .map(|(id, info)| (*id, info))
    }

    /// Returns whether the VM is left out of formations because of its failures.
    pub(super) fn is_left_out(&self, now: Moment, vm: VmId) -> bool {
        self.backoffs
            .get(&vm)
            .is_some_and(|backoff| now < backoff.until)
    }

    /// Returns the number of VMs that are left out of formations now.
    pub(super) fn left_out(&self, now: Moment) -> usize {
        self.backoffs.values().filter(|one| now < one.until).count()
    }

    /// Records a failure. Returns the number of recent failures and the time for which the VM is
    /// left out of formations.
    pub(super) fn record_failure(
        &mut self,
        now: Moment,
        vm: VmId,
        settings: &FleetSettings,
    ) -> (u32, Duration) {
        let backoff = self.backoffs.entry(vm).or_insert(Backoff {
            count: 0,
            until: Moment::ZERO,
        });
        if now.since(backoff.until) > settings.backoff_max {
            backoff.count = 0;
        }
        let factor = 1_u32 << backoff.count.min(16);
        let pause = settings
            .backoff_min
            .saturating_mul(factor)
            .min(settings.backoff_max);
        backoff.count += 1;
        backoff.until = now + pause;
        (backoff.count, pause)
    }

    /// Removes failures that ended longer ago than `backoff_max`.
    pub(super) fn expire_backoffs(&mut self, now: Moment, settings: &FleetSettings) {
        self.backoffs
            .retain(|_, one| now.since(one.until) <= settings.backoff_max);
    }
}
