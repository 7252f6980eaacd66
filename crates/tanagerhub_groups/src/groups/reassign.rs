//! Reassigns VMs of one model to a larger group of another model that lacks a member.
//!
//! A group that lacks a member leaves all its other members idle. If its domain has no spare with
//! its model, a VM is ordered to load the model: a free VM, or one of a smaller group, which is
//! dissolved.

use std::collections::BTreeSet;
use std::time::Duration;

use tanagerhub_catalogue::{DomainId, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{Decision, EngineSpec, ModelSpec};

use super::Groups;
use super::group::{Dissolving, Group};
use super::term::ActiveTerm;
use super::vm_entry::VmEntry;

/// How long a group waits for a spare VM before a VM with another model is reassigned to it.
const SPARE_TIMEOUT: Duration = Duration::from_secs(2);

/// A broken group that waits for a VM with its model.
#[derive(Debug, Clone, Copy)]
struct WaitingGroup {
    group: GroupId,
    domain: DomainId,
}

impl Groups {
    /// Returns the groups of an engine that have waited longer than [`SPARE_TIMEOUT`] and will get
    /// too few spares, the largest first.
    fn waiting_groups(&self, now: Moment, engine: &EngineSpec) -> Vec<WaitingGroup> {
        let of_engine = self
            .by_id
            .values()
            .filter(|group| group.row.service == engine.service && group.dissolving.is_none());
        let waiting = of_engine.filter(|group| {
            let since = group.broken_since;
            since.is_some_and(|since| now.since(since) >= SPARE_TIMEOUT)
                && self.lacks_member(now, group)
        });
        let mut waiting: Vec<&Group> = waiting.collect();
        waiting.sort_by_key(|group| std::cmp::Reverse(group.members.len()));
        waiting
            .into_iter()
            .filter_map(|group| {
                let domain = self.domain_of(&group.members)?;
                let members = group.members.iter();
                let missing = members.filter(|vm| self.is_missing(now, group, **vm));
                let is_short = self.supply(now, domain, &group.row.model) < missing.count();
                let group = group.id;
                is_short.then_some(WaitingGroup { group, domain })
            })
            .collect()
    }

    /// Returns the domains in which a group waits and the free VMs have other models.
    pub(super) fn waiting_domains(&self, now: Moment, engine: &EngineSpec) -> BTreeSet<DomainId> {
        let waiting = self.waiting_groups(now, engine);
        waiting.iter().map(|waiting| waiting.domain).collect()
    }

    /// Counts the free VMs of a domain that have a model, are loading it, or have no model and may
    /// load it.
    fn supply(&self, now: Moment, domain: DomainId, model: &str) -> usize {
        let free = self.unassigned_vms();
        let entries = free.iter().filter_map(|vm| self.vms.get(*vm));
        entries
            .filter(|entry| entry.domain == domain && !entry.is_unresponsive(now))
            .filter(|entry| match &entry.staging {
                Some((staged, _)) => staged == model,
                None => entry.report.staged.is_empty() || entry.report.has_staged(model),
            })
            .count()
    }

    /// Returns a free VM to load the model of a waiting group, and the model.
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

    /// Returns a free VM of a domain that may load `model`, and whose own models no broken group of
    /// the domain needs.
    pub(super) fn find_reassignable(
        &self,
        now: Moment,
        domain: DomainId,
        model: &ModelSpec,
        engine: &EngineSpec,
    ) -> Option<VmId> {
        let is_free = |entry: &VmEntry| {
            entry.domain == domain
                && entry.report.vm.service.as_deref() == Some(&engine.service)
                && entry.staging.is_none()
                && entry.report.busy != Some(true)
                && !entry.is_unresponsive(now)
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
        let free = self.available_vms();
        free.into_iter().find(|vm| {
            self.vms
                .get(*vm)
                .is_some_and(|entry| is_free(entry) && !wanted(entry))
        })
    }

    /// Selects a group to dissolve for each waiting group that no free VM can serve, at most one in a
    /// domain at a time.
    pub(super) fn release_for_waiting(&mut self, now: Moment) {
        for engine in self.engines.clone() {
            let all = self.waiting_groups(now, &engine);
            for waiting in all.iter().copied() {
                let reassignable = self.by_id.get(&waiting.group).and_then(|group| {
                    let model = engine.model(&group.row.model)?;
                    self.find_reassignable(now, waiting.domain, model, &engine)
                });
                if reassignable.is_none()
                    && !self.has_yielding_group(waiting.domain)
                    && let Some(id) = self
                        .find_broken_group(now, waiting, &all)
                        .or_else(|| self.find_yielding_group(now, waiting, &engine))
                    && let Some(group) = self.by_id.get_mut(&id)
                {
                    group.yields_to = Some(waiting.group);
                    let to = waiting.group;
                    self.record(Decision::GivesWay { group: id, to });
                }
            }
        }
    }

    fn has_yielding_group(&self, domain: DomainId) -> bool {
        let mut groups = self.by_id.values();
        groups.any(|group| {
            group.yields_to.is_some() && self.domain_of(&group.members) == Some(domain)
        })
    }

    /// Returns the smallest other group of the domain that waits too, if the members of all of them
    /// suffice for this one. They serve nobody, and none of them can be repaired alone.
    fn find_broken_group(
        &self,
        now: Moment,
        waiting: WaitingGroup,
        all: &[WaitingGroup],
    ) -> Option<GroupId> {
        let group = self.by_id.get(&waiting.group)?;
        let missing = |group: &Group| {
            let members = group.members.iter();
            members
                .filter(|vm| self.is_missing(now, group, **vm))
                .count()
        };
        let is_other =
            |it: &&WaitingGroup| it.domain == waiting.domain && it.group != waiting.group;
        let others = all.iter().filter(is_other);
        let others: Vec<&Group> = others.filter_map(|it| self.by_id.get(&it.group)).collect();
        let usable = others.iter().map(|it| it.members.len() - missing(it));
        let free = self.supply(now, waiting.domain, &group.row.model);
        let suffices = free + usable.sum::<usize>() >= missing(group);
        let may_yield = |it: &&&Group| it.stays_until <= now;
        let smallest = others.iter().filter(may_yield);
        let smallest = smallest.min_by_key(|it| (it.members.len(), it.id));
        smallest.filter(|_| suffices).map(|it| it.id)
    }

    /// Returns the smallest group to dissolve, of a model with more groups in the domain than the
    /// target.
    fn find_yielding_group(
        &self,
        now: Moment,
        waiting: WaitingGroup,
        engine: &EngineSpec,
    ) -> Option<GroupId> {
        let larger = self.by_id.get(&waiting.group)?.members.len();
        let compositions = self.configured_compositions(engine);
        let wanted = compositions.get(&waiting.domain)?;
        let in_domain = |group: &&Group| self.domain_of(&group.members) == Some(waiting.domain);
        let surplus = |group: &&Group| {
            let index = engine
                .models
                .iter()
                .position(|it| it.name == group.row.model);
            index.is_some_and(|index| {
                let model = &engine.models[index];
                self.group_count(waiting.domain, model) > wanted.group_counts[index]
            })
        };
        self.by_id
            .values()
            .filter(|group| group.members.len() < larger && group.broken_since.is_none())
            .filter(|group| group.dissolving.is_none() && group.stays_until <= now)
            .filter(in_domain)
            .filter(surplus)
            .min_by_key(|group| (group.members.len(), group.id))
            .map(|group| group.id)
    }

    /// Dissolves a group in favour of another one once its head has finished its requests.
    ///
    /// Returns whether the group is still to be dissolved.
    pub(super) fn yield_to_other(&mut self, now: Moment, term: ActiveTerm, id: GroupId) -> bool {
        let Some(group) = self.by_id.get(&id) else {
            return false;
        };
        let other = group.yields_to.and_then(|to| self.by_id.get(&to));
        if other.is_none_or(|other| other.broken_since.is_none()) {
            if let Some(group) = self.by_id.get_mut(&id) {
                group.yields_to = None;
            }
            return false;
        }
        if self.finish_requests(now, term, id)
            && let Some(group) = self.by_id.get_mut(&id)
        {
            group.dissolving = Some(Dissolving::HeadLeaves);
        }
        true
    }
}
