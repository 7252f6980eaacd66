//! Placement of a replica's members on free VMs.

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

/// The VMs chosen for a replica, with their location.
#[derive(Debug, Clone)]
pub(crate) struct Placement {
    pub(crate) domain: DomainId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) vms: Vec<VmId>,
}

/// Takes `span` free VMs of one domain out of `free`, in the data centre with the fewest replicas.
///
/// Among the domains of that data centre it takes the one with the fewest free VMs (best fit), so
/// that larger spans still find room in the others.
pub(crate) fn place_replica(
    free: &mut FreeVms,
    span: usize,
    replicas: &BTreeMap<DataCentreId, u32>,
) -> Option<Placement> {
    let replicas_in = |centre: DataCentreId| replicas.get(&centre).copied().unwrap_or(0);
    let (&domain, _) = free
        .iter()
        .filter(|(_, free_domain)| free_domain.vms.len() >= span)
        .min_by_key(|(id, free_domain)| {
            (
                replicas_in(free_domain.data_centre),
                free_domain.vms.len(),
                **id,
            )
        })?;
    let free_domain = free.get_mut(&domain)?;
    let vms = free_domain.vms.drain(..span).collect();
    Some(Placement {
        domain,
        data_centre: free_domain.data_centre,
        vms,
    })
}

/// Returns whether any single domain has `span` free VMs.
pub(crate) fn has_room(free: &FreeVms, span: usize) -> bool {
    free.values()
        .any(|free_domain| free_domain.vms.len() >= span)
}
