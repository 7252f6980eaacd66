//! Decides which models to load onto which hosts.

mod restage;

use std::collections::BTreeMap;

use tanagerhub_catalogue::{DomainId, VmId};
use tanagerhub_clock::Moment;

use crate::{Decision, EngineSpec, ModelSpec, Order};

use super::Groups;
use super::compose::Composition;
use super::term::ActiveTerm;
use super::vm_entry::VmEntry;

/// A load may take this multiple of its expected time before it is ordered again.
pub(super) const LOAD_TIMEOUT_FACTOR: u32 = 3;

impl Groups {
    /// Orders model loads within the limit of the store of weights.
    pub(super) fn stage_models(&mut self, now: Moment, term: ActiveTerm) {
        let engines = self.engines.clone();
        for engine in &engines {
            self.expire_late_loads(now, engine);
            self.ask_about_loads(now);
            let mut running = self.running_loads(engine);
            let mut plan = None;
            while self
                .load_meter
                .allows(now, engine.load_limit, running, self.in_use)
            {
                let plan = plan.get_or_insert_with(|| self.staging_plan(now, engine));
                let next = plan
                    .take_next()
                    .or_else(|| plan.take_restage())
                    .or_else(|| self.next_reassignment(now, engine))
                    .or_else(|| self.next_shift_load(now, engine));
                let Some((vm, model)) = next else {
                    break;
                };
                self.stage(now, term, vm, &model);
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
            if late || entry.has_not_begun_load(now) {
                entry.staging = None;
            }
        }
    }

    /// Asks the VMs that have not answered the order to load a model whether they have begun it.
    fn ask_about_loads(&mut self, now: Moment) {
        let entries = self.vms.list.iter();
        let doubtful = entries.filter(|(_, entry)| entry.is_load_doubtful());
        let doubtful: Vec<VmId> = doubtful.map(|(vm, _)| *vm).collect();
        for vm in doubtful {
            self.ask_report(now, vm);
        }
    }

    /// Counts the VMs that were ordered to load a model, and those without one that may be loading
    /// it, because they have not told yet whether they are busy.
    fn running_loads(&self, engine: &EngineSpec) -> usize {
        let may_load = |entry: &&VmEntry| match entry.report.busy {
            _ if !entry.report.staged.is_empty() => false,
            Some(busy) => busy,
            None => !entry.is_unreachable(&self.settings),
        };
        self.vms
            .list
            .values()
            .filter(|entry| entry.report.vm.service.as_deref() == Some(&engine.service))
            .filter(|entry| entry.staging.is_some() || may_load(entry))
            .filter(|entry| !entry.is_lost(&self.settings))
            .count()
    }

    /// Returns the VMs that could load a model, and what their domains have and lack.
    fn staging_plan<'a>(&self, now: Moment, engine: &'a EngineSpec) -> StagingPlan<'a> {
        let compositions = self.compositions(engine);
        let mut plan = StagingPlan {
            models: &engine.models,
            wanted_groups: vec![0; engine.models.len()],
            supply: vec![0; engine.models.len()],
            domains: BTreeMap::new(),
        };
        for (domain, wanted) in compositions {
            for (sum, count) in plan.wanted_groups.iter_mut().zip(&wanted.group_counts) {
                *sum += count;
            }
            let stock = DomainStock {
                wanted,
                staged: vec![0; engine.models.len()],
                idle: Vec::new(),
                restageable: vec![Vec::new(); engine.models.len()],
            };
            plan.domains.insert(domain, stock);
        }
        for (vm, entry) in &self.vms.list {
            if !self.is_unusable(*vm) {
                plan.count_staged(entry);
            }
        }
        for vm in self.available_vms() {
            if let Some(entry) = self.vms.get(vm).filter(|entry| is_idle(now, entry, engine))
                && let Some(stock) = plan.domains.get_mut(&entry.domain)
            {
                stock.idle.push(vm);
            }
        }
        self.add_restageable_vms(now, engine, &mut plan);
        plan
    }

    fn stage(&mut self, now: Moment, term: ActiveTerm, vm: VmId, model: &ModelSpec) {
        let Some(entry) = self.vms.list.get_mut(&vm) else {
            return;
        };
        entry.staging = Some((model.name.clone(), now));
        let vm_name = entry.report.vm.name.clone();
        self.load_meter.record_start(now);
        let model = model.name.clone();
        self.record(Decision::Staging {
            vm: vm_name,
            model: model.clone(),
        });
        self.give_order(now, term, vm, Order::Stage { model });
    }
}

/// Returns whether a VM has no model and is not loading one.
fn is_idle(now: Moment, entry: &VmEntry, engine: &EngineSpec) -> bool {
    let has_staged = |model: &ModelSpec| entry.report.has_staged(&model.name);
    entry.report.vm.service.as_deref() == Some(&engine.service)
        && entry.staging.is_none()
        && entry.report.busy == Some(false)
        && !entry.is_unresponsive(now)
        && !engine.models.iter().any(has_staged)
}

/// The VMs of an engine that could load a model, and what their domains have and lack.
///
/// Vectors with a value for each model are in the order of the engine's models.
#[derive(Debug)]
struct StagingPlan<'a> {
    models: &'a [ModelSpec],
    /// Target number of groups of each model in all domains.
    wanted_groups: Vec<usize>,
    /// Number of VMs in all domains that have each model or are loading it.
    supply: Vec<usize>,
    domains: BTreeMap<DomainId, DomainStock>,
}

/// The VMs of one domain by their models.
#[derive(Debug)]
struct DomainStock {
    wanted: Composition,
    /// Number of VMs that have each model or are loading it.
    staged: Vec<usize>,
    /// Available VMs without a model.
    idle: Vec<VmId>,
    /// Available VMs that have only the model and may load another one instead.
    restageable: Vec<Vec<VmId>>,
}

impl StagingPlan<'_> {
    /// Counts a VM for the model that it is loading, which replaces others, or for the models that
    /// it has.
    fn count_staged(&mut self, entry: &VmEntry) {
        let Some(stock) = self.domains.get_mut(&entry.domain) else {
            return;
        };
        for (index, model) in self.models.iter().enumerate() {
            let counts = match &entry.staging {
                Some((loading, _)) => *loading == model.name,
                None => entry.report.has_staged(&model.name),
            };
            if counts {
                stock.staged[index] += 1;
                self.supply[index] += 1;
            }
        }
    }

    /// Returns the next VM to load a model, and the model, which counts as loading from then on.
    fn take_next(&mut self) -> Option<(VmId, ModelSpec)> {
        let best = self.candidates().min_by(|one, other| {
            let ((urgency, supplied), (other_urgency, other_supplied)) =
                (self.rank(one), self.rank(other));
            urgency
                .cmp(&other_urgency)
                .then(supplied.total_cmp(&other_supplied))
        })?;
        let stock = self.domains.get_mut(&best.domain)?;
        let vm = stock.idle.pop()?;
        stock.staged[best.index] += 1;
        self.supply[best.index] += 1;
        Some((vm, self.models[best.index].clone()))
    }

    /// Returns the possible loads, at most one for each domain and model.
    fn candidates(&self) -> impl Iterator<Item = LoadCandidate> {
        let with_idle = self
            .domains
            .iter()
            .filter(|(_, stock)| !stock.idle.is_empty());
        with_idle.flat_map(|(domain, stock)| {
            let models = self.models.iter().enumerate();
            models.filter_map(|(index, model)| {
                let purpose = stock.purpose(index, model)?;
                let domain = *domain;
                Some(LoadCandidate {
                    domain,
                    index,
                    purpose,
                })
            })
        })
    }

    /// Returns the order of a load among others: its urgency, then the supply of its model.
    fn rank(&self, candidate: &LoadCandidate) -> (u8, f64) {
        let model = &self.models[candidate.index];
        let supply = self.supply[candidate.index];
        let wanted = self.wanted_groups[candidate.index] * model.group_size;
        let has_enough_groups = supply * GROUPS_BEFORE_SPARES.1 >= wanted * GROUPS_BEFORE_SPARES.0;
        let supplied = f64::from(u32::try_from(supply).unwrap_or(u32::MAX));
        let share = model.share.max(f64::MIN_POSITIVE);
        (
            candidate.purpose.urgency(has_enough_groups),
            supplied / share,
        )
    }
}

impl DomainStock {
    /// Returns the purpose of loading a model onto one more VM; `None` if there are enough.
    fn purpose(&self, index: usize, model: &ModelSpec) -> Option<LoadPurpose> {
        let have = self.staged[index];
        let members = self.wanted.group_counts[index] * model.group_size;
        if have >= members + self.wanted.spare_counts[index] {
            None
        } else if have >= members {
            Some(LoadPurpose::Spare)
        } else if have.is_multiple_of(model.group_size) {
            Some(LoadPurpose::StartsGroup)
        } else {
            Some(LoadPurpose::CompletesGroup)
        }
    }
}

/// A possible load of a model in a domain that lacks it.
#[derive(Debug)]
struct LoadCandidate {
    domain: DomainId,
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
