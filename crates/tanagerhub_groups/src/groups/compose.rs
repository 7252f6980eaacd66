//! How many groups of each model a fabric domain should hold.

use std::collections::BTreeMap;

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
    /// Free VMs that must be left over.
    pub(super) reserve: usize,
}

/// What one domain should hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Composition {
    /// Groups, by the model's place in the engine's list.
    pub(super) group_counts: Vec<usize>,
    /// VMs that should have the model staged without being in a group.
    pub(super) spare_counts: Vec<usize>,
}

impl Groups {
    /// The VMs of each domain that serve an engine's service and are not lost.
    fn domains(&self, engine: &EngineSpec) -> BTreeMap<DomainId, Vec<VmId>> {
        let mut domains: BTreeMap<DomainId, Vec<VmId>> = BTreeMap::new();
        for (vm, entry) in &self.vms.list {
            let serves = entry.report.vm.service.as_deref() == Some(&engine.service);
            if serves && !self.is_unusable(*vm) {
                domains
                    .entry(entry.report.vm.domain_id())
                    .or_default()
                    .push(*vm);
            }
        }
        domains
    }

    /// What each domain of an engine's service should hold.
    pub(super) fn compositions(&self, engine: &EngineSpec) -> BTreeMap<DomainId, Composition> {
        let domains = self.domains(engine);
        let sizes = domains.iter().map(|(id, vms)| (*id, vms.len()));
        compose(&engine.models, sizes, self.settings.spares)
    }

    /// The groups that would be formed if free VMs have their models, the most wanted first.
    pub(super) fn formation_candidates(&self, now: Moment) -> Vec<FormationCandidate> {
        let mut candidates = Vec::new();
        for engine in &self.engines {
            let waiting = self.waiting_domains(now, engine);
            for (domain, wanted) in self.compositions(engine) {
                for (index, model) in engine.models.iter().enumerate() {
                    let existing = self.groups_in(domain, model);
                    let missing = wanted.group_counts[index].saturating_sub(existing);
                    let candidate = FormationCandidate {
                        domain,
                        service: engine.service.clone(),
                        model: model.name.clone(),
                        group_size: model.group_size,
                        reserve: 0,
                    };
                    candidates.extend(std::iter::repeat_n(candidate.clone(), missing));
                    if waiting.contains(&domain) {
                        continue;
                    }
                    // Beyond the wanted number, a group is formed from what repairs don't need.
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

    /// The groups of a model whose members are in a domain.
    pub(super) fn groups_in(&self, domain: DomainId, model: &ModelSpec) -> usize {
        let in_domain = |vm: &VmId| {
            let entry = self.vms.get(*vm);
            entry.is_some_and(|entry| entry.report.vm.domain_id() == domain)
        };
        self.by_id
            .values()
            .filter(|group| group.row.model == model.name && group.dissolving.is_none())
            .filter(|group| group.members.iter().any(in_domain))
            .count()
    }
}

/// Divides the VMs of domains among models, so that each model gets its share of all VMs.
///
/// Each domain keeps some of its VMs free for repairs.
pub(super) fn compose(
    models: &[ModelSpec],
    domains: impl Iterator<Item = (DomainId, usize)>,
    rule: SpareRule,
) -> BTreeMap<DomainId, Composition> {
    let mut supplied = vec![0_usize; models.len()];
    domains
        .map(|(domain, vms)| {
            let spares = rule.count(vms);
            let group_counts = fill_groups(models, vms - spares, &mut supplied);
            let used: usize = group_counts
                .iter()
                .zip(models)
                .map(|(n, m)| n * m.group_size)
                .sum();
            let spare_counts = share_spares(models, &group_counts, vms - used);
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

/// Adds groups of the model that is furthest below its share, as long as one fits.
fn fill_groups(models: &[ModelSpec], mut room: usize, supplied: &mut [usize]) -> Vec<usize> {
    let mut groups = vec![0; models.len()];
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
            return groups;
        };
        groups[index] += 1;
        supplied[index] += model.group_size;
        room -= model.group_size;
    }
}

/// The part of a domain's VMs that is lost in the time in which a new VM loads a model.
const EXPECTED_LOSS_SHARE: f64 = 0.1;

/// Divides spare VMs among the models, each to where it is expected to save the most.
///
/// A group that lacks a member idles all the others, so a spare is worth a whole group to the model
/// that needs it, times the chance that it is needed.
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

/// The chance that more than so many of some VMs are lost, if losses come independently.
fn chance_of_more(vms: usize, count: usize) -> f64 {
    let mean = as_float(vms) * EXPECTED_LOSS_SHARE;
    let mut term = (-mean).exp();
    let mut rest = 1.0 - term;
    for lost in 1..=count {
        term *= mean / as_float(lost);
        rest -= term;
    }
    rest.max(0.0)
}

fn as_float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

#[cfg(test)]
mod tests;
