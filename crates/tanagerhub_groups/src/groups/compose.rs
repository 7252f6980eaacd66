//! Target numbers of groups and spares for each model in a fabric domain.

use std::collections::{BTreeMap, BTreeSet};

use tanagerhub_catalogue::{DomainId, VmId};
use tanagerhub_clock::Moment;

use crate::{EngineSpec, ModelSpec, SpareRule};

use super::Groups;

/// A group that could be formed.
#[derive(Debug, Clone)]
pub(super) struct FormationCandidate {
    pub(super) domain: DomainId,
    pub(super) service: String,
    pub(super) model: String,
    pub(super) group_size: usize,
    /// The number of matching free VMs that must remain after the group is formed.
    pub(super) reserve: usize,
}

/// The target numbers of groups and spares in one domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Composition {
    /// The number of groups of each model, in the order of the engine's models.
    pub(super) group_counts: Vec<usize>,
    /// The number of VMs outside groups that should have each model staged, in the order of the
    /// engine's models.
    pub(super) spare_counts: Vec<usize>,
}

impl Composition {
    /// Returns the number of VMs in groups.
    pub(super) fn members(&self, models: &[ModelSpec]) -> usize {
        let groups = self.group_counts.iter().zip(models);
        groups.map(|(count, model)| count * model.group_size).sum()
    }
}

impl Groups {
    /// Returns the usable VMs of an engine's service by fabric domain.
    pub(super) fn domains(&self, engine: &EngineSpec) -> BTreeMap<DomainId, Vec<VmId>> {
        let mut domains: BTreeMap<DomainId, Vec<VmId>> = BTreeMap::new();
        for (vm, entry) in &self.vms.list {
            let serves = entry.report.vm.service.as_deref() == Some(&engine.service);
            if serves && !self.is_unusable(*vm) {
                domains.entry(entry.domain).or_default().push(*vm);
            }
        }
        domains
    }

    /// Returns the target composition of each domain with VMs of an engine's service.
    pub(super) fn compositions(&self, engine: &EngineSpec) -> BTreeMap<DomainId, Composition> {
        let sizes = self.domain_sizes(engine);
        self.demanded_compositions(engine, &sizes)
            .unwrap_or_else(|| compose(&engine.models, sizes.into_iter(), self.settings.spares))
    }

    /// Returns the composition of each domain by the configured shares.
    pub(super) fn configured_compositions(
        &self,
        engine: &EngineSpec,
    ) -> BTreeMap<DomainId, Composition> {
        let sizes = self.domain_sizes(engine);
        compose(&engine.models, sizes.into_iter(), self.settings.spares)
    }

    fn domain_sizes(&self, engine: &EngineSpec) -> BTreeMap<DomainId, usize> {
        let domains = self.domains(engine).into_iter();
        domains.map(|(id, vms)| (id, vms.len())).collect()
    }

    /// Returns the groups to form where enough free VMs have the model staged, by ascending
    /// reserve.
    pub(super) fn formation_candidates(&self, now: Moment) -> Vec<FormationCandidate> {
        let mut candidates = Vec::new();
        let counts = self.group_counts();
        let mut unsettled = self.unsettled_domains(now);
        unsettled.extend(self.shifting_domain());
        for engine in &self.engines {
            let waiting = self.waiting_domains(now, engine);
            for (domain, wanted) in self.compositions(engine) {
                for (index, model) in engine.models.iter().enumerate() {
                    let existing = counts.get(&(domain, &*model.name)).copied().unwrap_or(0);
                    let missing = wanted.group_counts[index].saturating_sub(existing);
                    let candidate = FormationCandidate {
                        domain,
                        service: engine.service.clone(),
                        model: model.name.clone(),
                        group_size: model.group_size,
                        reserve: 0,
                    };
                    candidates.extend(std::iter::repeat_n(candidate.clone(), missing));
                    if waiting.contains(&domain) || unsettled.contains(&domain) {
                        continue;
                    }
                    // Beyond the target number, a group is formed only if the spares for repairs
                    // remain.
                    let reserve = wanted.spare_counts[index].max(1);
                    candidates.push(FormationCandidate {
                        reserve,
                        ..candidate
                    });
                }
            }
        }
        candidates.sort_by_key(|candidate| candidate.reserve);
        candidates
    }

    /// Counts the groups of each model that have a member in a domain and are not being dissolved.
    pub(super) fn group_counts(&self) -> BTreeMap<(DomainId, &str), usize> {
        let mut counts = BTreeMap::new();
        for group in self
            .by_id
            .values()
            .filter(|group| group.dissolving.is_none())
        {
            let members = group.members.iter().filter_map(|vm| self.vms.get(*vm));
            let domains: BTreeSet<DomainId> = members.map(|entry| entry.domain).collect();
            for domain in domains {
                *counts.entry((domain, &*group.row.model)).or_default() += 1;
            }
        }
        counts
    }

    /// Counts the groups of one model that have a member in a domain and are not being dissolved.
    pub(super) fn group_count(&self, domain: DomainId, model: &ModelSpec) -> usize {
        let counts = self.group_counts();
        counts.get(&(domain, &*model.name)).copied().unwrap_or(0)
    }
}

/// Divides the VMs of each domain among the models by the models' shares of all VMs.
///
/// Each domain keeps some of its VMs free for repairs.
pub(super) fn compose(
    models: &[ModelSpec],
    domains: impl Iterator<Item = (DomainId, usize)>,
    rule: SpareRule,
) -> BTreeMap<DomainId, Composition> {
    let empty = vec![0; models.len()];
    let domains = domains.map(|(domain, vms)| (domain, vms, empty.clone()));
    compose_from(models, domains.collect(), rule)
}

/// Adds groups to the existing ones of each domain, by the models' shares of all VMs.
///
/// Each domain is given with its number of VMs and of groups of each model.
pub(super) fn compose_from(
    models: &[ModelSpec],
    domains: Vec<(DomainId, usize, Vec<usize>)>,
    rule: SpareRule,
) -> BTreeMap<DomainId, Composition> {
    let mut supplied = vec![0_usize; models.len()];
    for (_, _, existing) in &domains {
        for ((sum, count), model) in supplied.iter_mut().zip(existing).zip(models) {
            *sum += count * model.group_size;
        }
    }
    domains
        .into_iter()
        .map(|(domain, vms, mut group_counts)| {
            let used = |groups: &[usize]| -> usize {
                let groups = groups.iter().zip(models);
                groups.map(|(n, m)| n * m.group_size).sum()
            };
            let room = (vms - rule.count(vms)).saturating_sub(used(&group_counts));
            fill_groups(models, room, &mut supplied, &mut group_counts);
            let left = vms.saturating_sub(used(&group_counts));
            let spare_counts = share_spares(models, &group_counts, left);
            (
                domain,
                Composition {
                    group_counts,
                    spare_counts,
                },
            )
        })
        .collect()
}

/// Adds groups of the model that is furthest below its share, until no further group fits.
fn fill_groups(
    models: &[ModelSpec],
    mut room: usize,
    supplied: &mut [usize],
    groups: &mut [usize],
) {
    loop {
        let next = models
            .iter()
            .enumerate()
            .filter(|(_, model)| {
                model.group_size > 0 && model.group_size <= room && model.share > 0.0
            })
            .min_by(|(a, one), (b, other)| {
                let relative_supply = |index: usize, model: &ModelSpec| {
                    f64::from(u32::try_from(supplied[index]).unwrap_or(u32::MAX)) / model.share
                };
                relative_supply(*a, one).total_cmp(&relative_supply(*b, other))
            });
        let Some((index, model)) = next else {
            return;
        };
        groups[index] += 1;
        supplied[index] += model.group_size;
        room -= model.group_size;
    }
}

/// The expected share of a domain's VMs that fail within the time a new VM takes to load a model.
const EXPECTED_LOSS_SHARE: f64 = 0.1;

/// Divides spare VMs among the models by the expected benefit of each spare.
///
/// A group that lacks a member leaves all its other members idle. The benefit of a spare is
/// therefore the size of a complete group, times the probability that the spare is needed.
fn share_spares(models: &[ModelSpec], groups: &[usize], left: usize) -> Vec<usize> {
    let mut spares = vec![0; models.len()];
    for _ in 0..left {
        let value = |index: usize| {
            let members = groups[index] * models[index].group_size;
            chance_of_more(members, spares[index]) * as_float(models[index].group_size)
        };
        let next = (0..models.len())
            .filter(|index| groups[*index] > 0)
            .max_by(|a, b| value(*a).total_cmp(&value(*b)).then(b.cmp(a)));
        let Some(index) = next else {
            break;
        };
        spares[index] += 1;
    }
    spares
}

/// Returns the probability that more than `count` of `vms` VMs fail, if failures are independent
/// (Poisson distribution).
fn chance_of_more(vms: usize, count: usize) -> f64 {
    let mean = as_float(vms) * EXPECTED_LOSS_SHARE;
    let mut term = (-mean).exp();
    let mut rest = 1.0 - term;
    for failed in 1..=count {
        term *= mean / as_float(failed);
        rest -= term;
    }
    rest.max(0.0)
}

pub(super) fn as_float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

#[cfg(test)]
mod tests;
