//! Loads another model onto VMs that already have one, before the first request.
//!
//! Hosts keep the models of an earlier system. If a domain has too few VMs with one model and too
//! many with another, it can't form its target number of groups, although it has enough VMs. Before
//! the first request loads are quick and not limited, and no VM serves anybody, so surplus VMs load
//! the model that is short. Once requests arrive such loads are slow, and take the place of others.

use std::collections::BTreeSet;

use tanagerhub_catalogue::{DomainId, VmId};
use tanagerhub_clock::Moment;

use crate::{EngineSpec, ModelSpec};

use super::super::Groups;
use super::super::vm_entry::VmEntry;
use super::{DomainStock, StagingPlan};

impl Groups {
    /// Returns whether free VMs may load another model than the one they have staged.
    ///
    /// While a change of groups has no result yet, the new members may count as free.
    fn may_restage(&self, now: Moment) -> bool {
        !self.in_use && !self.store_unreachable && self.planner.can_commit(now)
    }

    /// Adds to a staging plan the free VMs that may load another model.
    pub(super) fn add_restageable_vms(
        &self,
        now: Moment,
        engine: &EngineSpec,
        plan: &mut StagingPlan<'_>,
    ) {
        if !self.may_restage(now) {
            return;
        }
        for vm in self.available_vms() {
            if let Some(entry) = self.vms.get(vm)
                && entry.report.vm.service.as_deref() == Some(&engine.service)
                && entry.staging.is_none()
                && entry.report.busy != Some(true)
                && !entry.is_unresponsive(now)
                && entry.may_serve(now, &self.settings).is_none()
                && let Some(index) = only_model(entry, engine)
                && let Some(stock) = plan.domains.get_mut(&entry.domain)
            {
                stock.restageable[index].push(vm);
            }
        }
    }

    /// Returns the domains in which VMs still load models, or may do so, before the first request.
    ///
    /// Groups beyond the target number would use VMs that another model needs: VMs to be restaged,
    /// or, while VMs are still being listed, those of the target of a larger domain.
    pub(in super::super) fn unsettled_domains(&self, now: Moment) -> BTreeSet<DomainId> {
        if self.in_use {
            return BTreeSet::new();
        }
        let are_arriving = self.vms.are_arriving(now);
        let may_load = |entry: &VmEntry| {
            entry.staging.is_some()
                || entry.report.staged.is_empty() && entry.report.busy != Some(false)
        };
        let usable = self
            .vms
            .list
            .iter()
            .filter(|(vm, _)| self.is_available(**vm));
        usable
            .filter(|(_, entry)| are_arriving || may_load(entry))
            .map(|(_, entry)| entry.domain)
            .collect()
    }
}

/// Returns the index of the only model that a VM has staged.
fn only_model(entry: &VmEntry, engine: &EngineSpec) -> Option<usize> {
    let [staged] = &*entry.report.staged else {
        return None;
    };
    let is_staged = |model: &ModelSpec| model.name == *staged;
    engine.models.iter().position(is_staged)
}

impl StagingPlan<'_> {
    /// Returns the next VM to load another model, and that model, which counts as loading from then
    /// on.
    pub(super) fn take_restage(&mut self) -> Option<(VmId, ModelSpec)> {
        let models = self.models;
        self.domains.values_mut().find_map(|stock| {
            let wanted = (0..models.len()).find(|index| stock.can_complete(*index, models))?;
            let from = stock.most_surplus(models, wanted)?;
            let vm = stock.restageable[from].pop()?;
            stock.staged[from] -= 1;
            stock.staged[wanted] += 1;
            self.supply[from] -= 1;
            self.supply[wanted] += 1;
            Some((vm, models[wanted].clone()))
        })
    }
}

impl DomainStock {
    /// Returns whether surplus VMs of other models suffice to complete a further group of a model
    /// that has fewer groups than its target.
    fn can_complete(&self, index: usize, models: &[ModelSpec]) -> bool {
        let size = models[index].group_size;
        let staged = self.staged[index];
        if size == 0 || staged >= self.members(index, models) {
            return false;
        }
        let missing = size - staged % size;
        let others = (0..models.len()).filter(|other| *other != index);
        let surplus: usize = others.map(|other| self.surplus(other, models)).sum();
        surplus >= missing
    }

    /// Returns the model other than `wanted` with the most surplus VMs.
    fn most_surplus(&self, models: &[ModelSpec], wanted: usize) -> Option<usize> {
        let others = (0..models.len()).filter(|other| *other != wanted);
        others.max_by_key(|other| self.surplus(*other, models))
    }

    /// Returns the number of VMs of a model that may load another one: free VMs that no group of
    /// the target needs.
    fn surplus(&self, index: usize, models: &[ModelSpec]) -> usize {
        let unneeded = self.staged[index].saturating_sub(self.members(index, models));
        unneeded.min(self.restageable[index].len())
    }

    /// Returns the number of VMs in the target number of groups of a model.
    fn members(&self, index: usize, models: &[ModelSpec]) -> usize {
        self.wanted.group_counts[index] * models[index].group_size
    }
}
