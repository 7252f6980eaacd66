//! Names for ids, for people who read a status.

use tanagerhub_catalogue::{Catalogue, DataCentreId, EntryId, Vm, VmId};

/// What the ids of a status are called.
#[derive(Debug, Clone, Copy)]
pub(super) struct Names<'a> {
    pub(super) catalogue: &'a Catalogue,
    pub(super) vms: &'a [Vm],
}

impl Names<'_> {
    /// The name of an entry, or its id when the catalogue has it no more.
    pub(super) fn entry(&self, id: EntryId) -> String {
        let entry = self.catalogue.entry(id);
        entry.map_or_else(|| id.to_string(), |entry| entry.name.clone())
    }

    /// The name of a VM, or its id when the platform lists it no more.
    pub(super) fn vm(&self, id: VmId) -> String {
        let vm = self.vms.iter().find(|vm| vm.id() == id);
        vm.map_or_else(|| id.to_string(), |vm| vm.name.clone())
    }

    /// The name of a data centre, or its id when no VM is in it.
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
