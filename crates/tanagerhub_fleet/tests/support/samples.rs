//! Sample catalogues and lists of VMs.

use std::net::{Ipv4Addr, SocketAddr};

use tanagerhub_catalogue::{
    Catalogue, CatalogueVersion, Class, ColdLimit, Entry, EntryKind, Fencing, Limits, ModelEntry,
    Vm, VmState,
};

/// Returns a catalogue with one model entry for each `(name, span, min, max)`.
pub fn model_catalogue(list: &[(&str, u16, u32, u32)]) -> Catalogue {
    let entry = |&(name, span, min, max): &(&str, u16, u32, u32)| Entry {
        name: name.to_owned(),
        owner: "owner".to_owned(),
        class: Class::Interactive,
        limits: Limits {
            replicas_min: min,
            replicas_max: max,
            cold: ColdLimit { concurrency: 2 },
            ..Limits::default()
        },
        kind: EntryKind::Model(ModelEntry {
            weights: format!("{name}-weights"),
            span,
            fencing: Fencing::Ignored,
        }),
    };
    Catalogue {
        version: CatalogueVersion(1),
        entries: list.iter().map(entry).collect(),
        ..Catalogue::default()
    }
}

/// Returns the VMs of `count` domains of `size` VMs each, spread over three data centres.
pub fn domains(count: usize, size: usize) -> Vec<Vm> {
    let vm = |domain: usize, index: usize| Vm {
        name: format!("vm-{domain}-{index}"),
        address: SocketAddr::from((
            Ipv4Addr::new(
                10,
                u8::try_from(domain / 256).unwrap(),
                u8::try_from(domain % 256).unwrap(),
                u8::try_from(index).unwrap(),
            ),
            8_000,
        )),
        data_centre: format!("dc-{}", domain % 3),
        domain: format!("domain-{domain}"),
        service: None,
        state: VmState::Live,
    };
    (0..count)
        .flat_map(|domain| (0..size).map(move |index| vm(domain, index)))
        .collect()
}
