//! Placement of a replica's members.

use std::collections::BTreeMap;

use tanagerhub_catalogue::{DataCentreId, DomainId, VmId};

/// The free VMs of one fabric domain.
#[derive(Debug, Clone)]
pub(crate) struct FreeDomain {
    pub(crate) data_centre: DataCentreId,
    pub(crate) vms: Vec<VmId>,
}

/// The free VMs by fabric domain.
pub(crate) type FreeVms = BTreeMap<DomainId, FreeDomain>;

/// Where a replica goes.
#[derive(Debug, Clone)]
pub(crate) struct Place {
    pub(crate) domain: DomainId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) vms: Vec<VmId>,
}

/// Takes `span` free VMs of one domain, in the data centre with the fewest replicas.
///
/// Among its domains the one with the fewest VMs left over is taken, so that larger spans keep
/// their room elsewhere.
pub(crate) fn take(
    free: &mut FreeVms,
    span: usize,
    replicas: &BTreeMap<DataCentreId, u32>,
) -> Option<Place> {
    let held = |centre: DataCentreId| replicas.get(&centre).copied().unwrap_or(0);
    let (&domain, _) = free
        .iter()
        .filter(|(_, room)| room.vms.len() >= span)
        .min_by_key(|(id, room)| (held(room.data_centre), room.vms.len(), **id))?;
    let room = free.get_mut(&domain)?;
    let vms = room.vms.drain(..span).collect();
    Some(Place {
        domain,
        data_centre: room.data_centre,
        vms,
    })
}

/// Whether one domain has `span` free VMs.
pub(crate) fn fits(free: &FreeVms, span: usize) -> bool {
    free.values().any(|room| room.vms.len() >= span)
}
