//! The VMs of the platform, with marks and failures.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{Catalogue, DataCentreId, DomainId, EntryId, Vm, VmId, VmState};
use tanagerhub_clock::Moment;

use crate::FleetSettings;

/// One VM, as the platform lists it.
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

/// The failures of one VM.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    count: u32,
    until: Moment,
}

/// All VMs, and which of them may take work.
#[derive(Debug, Default)]
pub(super) struct Vms {
    pub(super) list: BTreeMap<VmId, VmInfo>,
    vms_out: BTreeSet<VmId>,
    data_centres_out: BTreeSet<DataCentreId>,
    backoffs: BTreeMap<VmId, Backoff>,
}

impl Vms {
    /// Takes the platform's list; says whether it differs from the last one.
    pub(super) fn set_list(&mut self, list: &[Vm]) -> bool {
        let list: BTreeMap<VmId, VmInfo> =
            list.iter().map(|vm| (vm.id(), VmInfo::of(vm))).collect();
        let changed = list != self.list;
        self.list = list;
        changed
    }

    /// Takes the marks of a catalogue.
    pub(super) fn set_marks(&mut self, catalogue: &Catalogue) {
        let marks = &catalogue.marks;
        self.vms_out = marks.vms_out.iter().map(|name| VmId::of(name)).collect();
        self.data_centres_out = marks
            .data_centres_out
            .iter()
            .map(|name| DataCentreId::of(name))
            .collect();
    }

    pub(super) fn address(&self, vm: VmId) -> Option<SocketAddr> {
        self.list.get(&vm).map(|info| info.address)
    }

    /// Whether operators took out the VM or its data centre.
    pub(super) fn is_marked_out(&self, vm: VmId, data_centre: DataCentreId) -> bool {
        self.vms_out.contains(&vm) || self.data_centres_out.contains(&data_centre)
    }

    /// Whether the platform says that the VM leaves, or lists it no more.
    pub(super) fn is_leaving(&self, vm: VmId) -> bool {
        self.list.get(&vm).is_none_or(|info| info.leaving)
    }

    /// Whether the platform lists the VM no more.
    pub(super) fn is_removed(&self, vm: VmId) -> bool {
        !self.list.is_empty() && !self.list.contains_key(&vm)
    }

    /// VMs for model engines that may be enlisted now, as far as marks and failures go.
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

    /// Whether the VM is left out of formations because of its failures.
    pub(super) fn is_left_out(&self, now: Moment, vm: VmId) -> bool {
        self.backoffs
            .get(&vm)
            .is_some_and(|backoff| now < backoff.until)
    }

    /// How many VMs are left out now.
    pub(super) fn left_out(&self, now: Moment) -> usize {
        self.backoffs.values().filter(|one| now < one.until).count()
    }

    /// Counts a failure; gives the failures so far and the time that the VM is left out.
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

    /// Forgets failures that are long past.
    pub(super) fn expire_backoffs(&mut self, now: Moment, settings: &FleetSettings) {
        self.backoffs
            .retain(|_, one| now.since(one.until) <= settings.backoff_max);
    }
}
