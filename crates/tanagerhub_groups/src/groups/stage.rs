//! Decides which models to load onto which hosts.

use std::collections::BTreeMap;

use tanagerhub_catalogue::{DomainId, VmId};
use tanagerhub_clock::Moment;

use crate::{Decision, EngineSpec, GroupsAction, ModelSpec, Order};

use super::Groups;
use super::compose::Composition;
use super::vms::VmEntry;

/// A load may take this multiple of its expected time before it is ordered again.
const LOAD_TIMEOUT_FACTOR: u32 = 3;

impl Groups {
    /// Orders model loads within the limit of the store of weights.
    pub(super) fn stage_models(&mut self, now: Moment) {
        let engines = self.engines.clone();
        for engine in &engines {
            self.expire_late_loads(now, engine);
            let mut running = self.running_loads(engine);
            while self
                .load_meter
                .allows(now, engine.load_limit, running, self.in_use)
            {
                let next = self
                    .next_load(engine)
                    .or_else(|| self.next_reassignment(now, engine));
                let Some((vm, model)) = next else {
                    break;
                };
                self.stage(now, vm, &model);
                running += 1;
            }
        }
    }

    fn expire_late_loads(&mut self, now: Moment, engine: &EngineSpec) {
        for entry in self.vms.list.values_mut() {
            let late = entry.staging.as_ref().is_some_and(|(model, at)| {
                let load = engine.model(model).map(|model| model.load_time);
                load.is_some_and(|load| now.since(*at) > load * LOAD_TIMEOUT_FACTOR)
            });
            if late {
                entry.staging = None;
            }
        }
    }

    fn running_loads(&self, engine: &EngineSpec) -> usize {
        self.vms
            .list
            .values()
            .filter(|entry| entry.report.vm.service.as_deref() == Some(&engine.service))
            .filter(|entry| entry.staging.is_some() || entry.report.busy == Some(true))
            .filter(|entry| !entry.is_lost(&self.settings) && entry.report.staged.is_empty())
            .count()
    }

    /// Returns the next VM without a model to load one, and the model.
    fn next_load(&self, engine: &EngineSpec) -> Option<(VmId, ModelSpec)> {
        let idle = self.idle_vms(engine);
        let compositions = self.compositions(engine);
        let mut supply = vec![0_usize; engine.models.len()];
        let mut candidates = Vec::new();
        let wanted_groups = |index: usize| -> usize {
            let groups = compositions
                .values()
                .map(|wanted| wanted.group_counts[index]);
            groups.sum()
        };
        for (domain, wanted) in &compositions {
            for (index, model) in engine.models.iter().enumerate() {
                let have = self.staged_in(*domain, model);
                supply[index] += have;
                let vm = idle.get(domain).copied();
                candidates.extend(vm.and_then(|vm| load_candidate(vm, index, have, model, wanted)));
            }
        }
        let rank = |candidate: &LoadCandidate| {
            let share = engine.models[candidate.index].share.max(f64::MIN_POSITIVE);
            let supplied = f64::from(u32::try_from(supply[candidate.index]).unwrap_or(u32::MAX));
            let size = engine.models[candidate.index].group_size;
            let has_enough_groups = supply[candidate.index] * GROUPS_BEFORE_SPARES.1
                >= wanted_groups(candidate.index) * size * GROUPS_BEFORE_SPARES.0;
            (
                candidate.purpose.urgency(has_enough_groups),
                supplied / share,
            )
        };
        let next = candidates.iter().min_by(|one, other| {
            let ((urgency, supplied), (other_urgency, other_supplied)) = (rank(one), rank(other));
            urgency
                .cmp(&other_urgency)
                .then(supplied.total_cmp(&other_supplied))
        })?;
        Some((next.vm, engine.models[next.index].clone()))
    }

    /// Returns a free VM of each domain that has no model and is not loading one.
    fn idle_vms(&self, engine: &EngineSpec) -> BTreeMap<DomainId, VmId> {
        let is_idle = |entry: &VmEntry| {
            entry.report.vm.service.as_deref() == Some(&engine.service)
                && entry.staging.is_none()
                && entry.report.busy == Some(false)
                && !engine
                    .models
                    .iter()
                    .any(|model| entry.report.has_staged(&model.name))
        };
        self.available_vms()
            .iter()
            .filter_map(|vm| Some((vm, self.vms.get(*vm)?)))
            .filter(|(_, entry)| is_idle(entry))
            .map(|(vm, entry)| (entry.report.vm.domain_id(), *vm))
            .collect()
    }

    /// Counts the usable VMs of a domain that have a model or are loading it.
    fn staged_in(&self, domain: DomainId, model: &ModelSpec) -> usize {
        let has = |vm: &VmId| {
            self.vms.get(*vm).is_some_and(|entry| {
                entry.report.vm.domain_id() == domain
                    && (entry.report.has_staged(&model.name)
                        || entry
                            .staging
                            .as_ref()
                            .is_some_and(|(staged, _)| *staged == model.name))
            })
        };
        let vms = self.vms.list.keys();
        vms.filter(|vm| !self.is_unusable(**vm) && has(vm)).count()
    }

    fn stage(&mut self, now: Moment, vm: VmId, model: &ModelSpec) {
        let Some(entry) = self.vms.list.get_mut(&vm) else {
            return;
        };
        entry.staging = Some((model.name.clone(), now));
        let name = entry.report.vm.name.clone();
        let address = entry.report.vm.address;
        self.load_meter.record_start(now);
        self.record(Decision::Staging {
            vm: name.clone(),
            model: model.name.clone(),
        });
        self.actions.push(GroupsAction::Order {
            vm,
            name,
            address,
            order: Order::Stage {
                model: model.name.clone(),
            },
        });
    }
}

/// A VM that could load a model that its domain lacks, and the purpose of the load.
#[derive(Debug)]
struct LoadCandidate {
    vm: VmId,
    /// The model's index in the engine's list.
    index: usize,
    purpose: LoadPurpose,
}

/// The fraction of a model's target groups (numerator, denominator) from which on its spares are
/// loaded before further groups.
const GROUPS_BEFORE_SPARES: (usize, usize) = (3, 5);

/// The purpose of a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoadPurpose {
    /// Completes a group of which other members already have the model.
    CompletesGroup,
    /// Starts a new group.
    StartsGroup,
    /// Prepares a spare for repairs.
    Spare,
}

impl LoadPurpose {
    /// Returns the rank of a load among others; lower ranks are loaded first.
    const fn urgency(self, has_enough_groups: bool) -> u8 {
        match (self, has_enough_groups) {
            (Self::CompletesGroup, _) => 0,
            (Self::StartsGroup, false) => 1,
            (Self::Spare, _) => 2,
            (Self::StartsGroup, true) => 3,
        }
    }
}

fn load_candidate(
    vm: VmId,
    index: usize,
    have: usize,
    model: &ModelSpec,
    wanted: &Composition,
) -> Option<LoadCandidate> {
    let members = wanted.group_counts[index] * model.group_size;
    let purpose = if have >= members + wanted.spare_counts[index] {
        return None;
    } else if have >= members {
        LoadPurpose::Spare
    } else if have.is_multiple_of(model.group_size) {
        LoadPurpose::StartsGroup
    } else {
        LoadPurpose::CompletesGroup
    };
    Some(LoadCandidate { vm, index, purpose })
}
