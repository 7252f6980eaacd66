//! Names of entries, VMs and data centres, for output that operators read.

use tanagerhub_catalogue::{Catalogue, DataCentreId, EntryId, Vm, VmId};

/// Looks up names by id.
#[derive(Debug, Clone, Copy)]
pub(super) struct Names<'a> {
    pub(super) catalogue: &'a Catalogue,
    pub(super) vms: &'a [Vm],
}

impl Names<'_> {
    /// Returns the name of an entry, or its id if it is no longer in the catalogue.
    pub(super) fn entry(&self, id: EntryId) -> String {
        let entry = self.catalogue.entry(id);
        entry.map_or_else(|| id.to_string(), |entry| entry.name.clone())
    }

    /// Returns the name of a VM, or its id if the platform no longer lists it.
    pub(super) fn vm(&self, id: VmId) -> String {
        let vm = self.vms.iter().find(|vm| vm.id() == id);
        vm.map_or_else(|| id.to_string(), |vm| vm.name.clone())
    }

    /// Returns the name of a data centre, or its id if neither the catalogue nor a VM names it.
    pub(super) fn data_centre(&self, id: DataCentreId) -> String {
        let named = self
            .catalogue
            .data_centres
            .iter()
            .map(|data_centre| &data_centre.name);
        let listed = self.vms.iter().map(|vm| &vm.data_centre);
        let found = named
            .chain(listed)
            .find(|name| DataCentreId::of(name) == id);
        found.map_or_else(|| id.to_string(), Clone::clone)
    }
}
