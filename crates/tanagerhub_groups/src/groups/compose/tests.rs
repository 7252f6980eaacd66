use std::time::Duration;

use tanagerhub_catalogue::{DomainId, EntryId};
use yare::parameterized;

use super::compose;
use crate::{ModelSpec, SpareRule};

fn model(name: &str, group_size: usize) -> ModelSpec {
    ModelSpec {
        name: name.to_owned(),
        entry: EntryId::of(name),
        group_size,
        share: 0.5,
        load_time: Duration::from_secs(10),
        join_time: Duration::from_secs(1),
    }
}

#[parameterized(
    pairs = { 2, &[2], 0 },
    four = { 4, &[2], 1 },
    six = { 6, &[2], 1 },
    ten = { 10, &[4, 2], 2 },
    eighteen = { 18, &[8, 2], 2 },
    thirty_two = { 32, &[8, 2], 3 },
)]
fn compose_keeps_spares(vms: usize, sizes: &[usize], spares: usize) {
    let models: Vec<_> = sizes
        .iter()
        .map(|size| model(&format!("m{size}"), *size))
        .collect();
    let domains = [(DomainId::of("d"), vms)].into_iter();
    let composed = compose(&models, domains, SpareRule::default());
    let composition = &composed[&DomainId::of("d")];
    let groups = composition.group_counts.iter().zip(sizes);
    let used: usize = groups.map(|(count, size)| count * size).sum();
    assert!(vms - used >= spares, "{composition:?}");
    // The remaining VMs are too few for another group.
    let smallest = sizes.iter().min().unwrap();
    assert!(vms - used < spares + smallest, "{composition:?}");
    assert_eq!(composition.spare_counts.iter().sum::<usize>(), vms - used);
}

/// Each domain of 18 VMs has room for a large group and four small ones.
#[test]
fn compose_serves_large_model_in_each_domain() {
    let models = [model("large", 8), model("small", 2)];
    let names = ["a", "b", "c", "d"];
    let domains = names.iter().map(|name| (DomainId::of(name), 18));
    let composed = compose(&models, domains, SpareRule::default());
    for composition in composed.values() {
        assert_eq!(composition.group_counts, [1, 4], "{composition:?}");
    }
}

#[parameterized(
    fair = { 10, &[4, 2], &[1, 1] },
    large_groups_first = { 18, &[8, 2], &[2, 0] },
    one_model = { 10, &[2], &[2] },
    small_domain = { 6, &[2, 2], &[1, 1] },
)]
fn compose_assigns_spares_by_expected_benefit(vms: usize, sizes: &[usize], spares: &[usize]) {
    let names = ["a", "b"];
    let models: Vec<_> = sizes
        .iter()
        .zip(names)
        .map(|(size, name)| model(name, *size))
        .collect();
    let domains = [(DomainId::of("d"), vms)].into_iter();
    let composed = compose(&models, domains, SpareRule::default());
    assert_eq!(composed[&DomainId::of("d")].spare_counts, spares);
}
