//! Lets VMs of one model serve a larger one that waits for them.
//!
//! A group that lacks a member idles all its others. Where its domain has no spare with its model,
//! a VM is told to load it: a free one, or one of a smaller group that gives way.

use std::collections::BTreeSet;
use std::time::Duration;

use tanagerhub_catalogue::{DomainId, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{Decision, EngineSpec, ModelSpec};

use super::Groups;
use super::group::{Dissolving, Group};
use super::vms::VmEntry;

/// How long a group waits for a spare VM before others are given another model for it.
const SPARE_TIMEOUT: Duration = Duration::from_secs(2);

/// A group that waits for a VM with its model.
#[derive(Debug, Clone, Copy)]
struct WaitingGroup {
    group: GroupId,
    domain: DomainId,
}

impl Groups {
    /// The groups of an engine that have waited for a VM, and for which none is on its way.
    fn waiting_groups(&self, now: Moment, engine: &EngineSpec) -> Vec<WaitingGroup> {
        let of_engine = self
            .by_id
            .values()
            .filter(|group| group.row.service == engine.service && group.dissolving.is_none());
        let waiting = of_engine.filter(|group| {
            let since = group.broken_since;
            since.is_some_and(|since| now.since(since) >= SPARE_TIMEOUT)
                && self.has_unusable_member(group)
        });
        waiting
            .filter_map(|group| {
                let domain = self.domain_of(&group.members)?;
                let members = group.members.iter();
                let missing = members.filter(|vm| self.is_unusable(**vm)).count();
                let lacks = self.supply(domain, &group.row.model) < missing;
                let group = group.id;
                lacks.then_some(WaitingGroup { group, domain })
            })
            .collect()
    }

    /// The domains in which a group waits for a VM with another model than the free ones have.
    pub(super) fn waiting_domains(&self, now: Moment, engine: &EngineSpec) -> BTreeSet<DomainId> {
        let waiting = self.waiting_groups(now, engine);
        waiting.iter().map(|waiting| waiting.domain).collect()
    }

    /// Free VMs of a domain that have a model, load it, or have none and so may load it.
    fn supply(&self, domain: DomainId, model: &str) -> usize {
        let free = self.unassigned_vms();
        let entries = free.iter().filter_map(|vm| self.vms.get(*vm));
        entries
            .filter(|entry| entry.report.vm.domain_id() == domain)
            .filter(|entry| match &entry.staging {
                Some((staged, _)) => staged == model,
                None => entry.report.staged.is_empty() || entry.report.has_staged(model),
            })
            .count()
    }

    /// A free VM that may load the model of a group that waits, and the model.
    pub(super) fn next_reassignment(
        &self,
        now: Moment,
        engine: &EngineSpec,
    ) -> Option<(VmId, ModelSpec)> {
        let waiting = self.waiting_groups(now, engine);
        waiting.iter().find_map(|waiting| {
            let group = self.by_id.get(&waiting.group)?;
            let model = engine.model(&group.row.model)?;
            let vm = self.find_reassignable(now, waiting.domain, model, engine)?;
            Some((vm, model.clone()))
        })
    }

    /// A free VM of a domain whose model no group there waits for.
    fn find_reassignable(
        &self,
        now: Moment,
        domain: DomainId,
        model: &ModelSpec,
        engine: &EngineSpec,
    ) -> Option<VmId> {
        let is_free = |entry: &VmEntry| {
            entry.report.vm.domain_id() == domain
                && entry.report.vm.service.as_deref() == Some(&engine.service)
                && entry.staging.is_none()
                && entry.report.busy != Some(true)
                && entry.may_serve(now, &self.settings).is_none()
                && !entry.report.has_staged(&model.name)
        };
        let wanted = |entry: &VmEntry| {
            self.by_id.values().any(|group| {
                group.broken_since.is_some()
                    && entry.report.has_staged(&group.row.model)
                    && self.domain_of(&group.members) == Some(domain)
            })
        };
        let free = self.unassigned_vms();
        free.into_iter().find(|vm| {
            self.vms
                .get(*vm)
                .is_some_and(|entry| is_free(entry) && !wanted(entry))
        })
    }

    /// Lets a smaller group of the domain give way to each group that waits in vain.
    pub(super) fn release_for_waiting(&mut self, now: Moment) {
        for engine in self.engines.clone() {
            for waiting in self.waiting_groups(now, &engine) {
                let may_load = self.by_id.get(&waiting.group).and_then(|group| {
                    let model = engine.model(&group.row.model)?;
                    self.find_reassignable(now, waiting.domain, model, &engine)
                });
                if may_load.is_none()
                    && let Some(id) = self.find_yielding_group(waiting, &engine)
                    && let Some(group) = self.by_id.get_mut(&id)
                {
                    group.yields_to = Some(waiting.group);
                    let to = waiting.group;
                    self.record(Decision::GivesWay { group: id, to });
                }
            }
        }
    }

    /// The group that gives way: of a model of which the domain has more than it should.
    fn find_yielding_group(&self, waiting: WaitingGroup, engine: &EngineSpec) -> Option<GroupId> {
        let larger = self.by_id.get(&waiting.group)?.members.len();
        let compositions = self.compositions(engine);
        let wanted = compositions.get(&waiting.domain)?;
        let in_domain = |group: &&Group| self.domain_of(&group.members) == Some(waiting.domain);
        if self
            .by_id
            .values()
            .any(|group| group.yields_to.is_some() && in_domain(&group))
        {
            return None;
        }
        let surplus = |group: &&Group| {
            let index = engine
                .models
                .iter()
                .position(|it| it.name == group.row.model);
            index.is_some_and(|index| {
                let model = &engine.models[index];
                self.groups_in(waiting.domain, model) > wanted.group_counts[index]
            })
        };
        self.by_id
            .values()
            .filter(|group| group.members.len() < larger && group.broken_since.is_none())
            .filter(|group| group.dissolving.is_none())
            .filter(in_domain)
            .filter(surplus)
            .min_by_key(|group| (group.members.len(), group.id))
            .map(|group| group.id)
    }

    /// Dissolves a group that gives way once its head has finished its requests.
    ///
    /// Says whether it still gives way.
    pub(super) fn yield_to_larger(&mut self, now: Moment, id: GroupId) -> bool {
        let Some(group) = self.by_id.get(&id) else {
            return false;
        };
        let larger = group.yields_to.and_then(|to| self.by_id.get(&to));
        if larger.is_none_or(|larger| larger.broken_since.is_none()) {
            if let Some(group) = self.by_id.get_mut(&id) {
                group.yields_to = None;
            }
            return false;
        }
        if self.finish_requests(now, id)
            && let Some(group) = self.by_id.get_mut(&id)
        {
            group.dissolving = Some(Dissolving::HeadLeaves);
        }
        true
    }
}
