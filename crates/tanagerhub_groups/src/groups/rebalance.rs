//! Moves VMs from one model to another according to the demand.
//!
//! It serves a shift of the demand between models that lasts for minutes, while the capacity of all
//! models together suffices. A load of weights takes longer than a burst, so
//! bursts are left to the refusals of the coordinators. Groups are dissolved only if the shortage
//! has lasted for at least half of the time that the change takes, and if the model that loses them
//! keeps room. Both conditions hold without interruption, so demand that flaps changes nothing.
//!
//! The composition of each domain starts from the groups that exist, so a new planner continues
//! with what it finds, and its shares only decide on further groups.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tanagerhub_catalogue::{DomainId, EntryId, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::{Decision, EngineSpec, ModelSpec};

use super::Groups;
use super::compose::{Composition, as_float, compose_from};
use super::demand::SHORTAGE;
use super::group::{Dissolving, Group};
use super::term::ActiveTerm;

/// The minimum time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(10);
/// The share of its limit that the model which loses groups may use afterwards.
const MAX_USAGE_AFTER: f64 = 0.7;
/// The share of missed asks from which on a model loses no groups.
const MAX_MISSED: f64 = 0.02;
/// The bounds of a model's share of the VMs in groups, relative to its configured share.
const SHARE_BOUNDS: (f64, f64) = (0.5, 2.0);
/// A change may take this multiple of its expected time before it ends incomplete.
const TIMEOUT_FACTOR: u32 = 3;
/// Conditions that were not checked for this time are not known to have lasted.
const MAX_CHECK_GAP: Duration = Duration::from_secs(3);

/// The change in progress, and since when the conditions of others hold.
#[derive(Debug, Default)]
pub(super) struct Rebalance {
    shift: Option<Shift>,
    ended_at: Option<Moment>,
    checked_at: Option<Moment>,
    /// Since when a model is short while another one has room, by their entries.
    since: BTreeMap<(EntryId, EntryId), Moment>,
}

/// The exchange of groups of one model for groups of another in a domain.
#[derive(Debug, Clone)]
struct Shift {
    domain: DomainId,
    service: String,
    from: String,
    to: String,
    /// The groups to dissolve.
    leaving: BTreeSet<GroupId>,
    /// The number of groups of the model `to` that the domain is to have.
    group_count: usize,
    started_at: Moment,
    expected_time: Duration,
}

/// The VMs of a domain that a shift may use.
struct DomainSupply {
    domain: DomainId,
    /// Usable VMs.
    vms: usize,
    /// Available VMs in no group.
    free: usize,
}

impl Groups {
    /// Returns whether the composition of an engine's groups follows the demand.
    fn follows_demand(&self, engine: &EngineSpec) -> bool {
        let mut models = engine.models.iter();
        self.in_use && models.any(|model| self.demand.is_known(model.entry))
    }

    /// Returns the target composition of each domain by the demand, from the existing groups;
    /// `None` if the configured shares decide alone.
    pub(super) fn demanded_compositions(
        &self,
        engine: &EngineSpec,
        sizes: &BTreeMap<DomainId, usize>,
    ) -> Option<BTreeMap<DomainId, Composition>> {
        if !self.follows_demand(engine) {
            return None;
        }
        let counts = self.group_counts();
        let shift = self.rebalance.shift.as_ref();
        let shift = shift.filter(|shift| shift.service == engine.service);
        let existing = |domain: DomainId, model: &ModelSpec| {
            let count = counts.get(&(domain, &*model.name)).copied().unwrap_or(0);
            match shift.filter(|shift| shift.domain == domain) {
                Some(shift) if shift.to == model.name => count.max(shift.group_count),
                Some(shift) if shift.from == model.name => {
                    count.saturating_sub(self.leaving_count(shift))
                }
                _ => count,
            }
        };
        let domains = sizes.iter().map(|(&domain, &vms)| {
            let models = engine.models.iter();
            let groups = models.map(|model| existing(domain, model)).collect();
            (domain, vms, groups)
        });
        let models = self.weighted_models(engine);
        Some(compose_from(
            &models,
            domains.collect(),
            self.settings.spares,
        ))
    }

    /// Returns the models with the shares by which further groups are chosen: a model that is short
    /// counts double, within the bounds of its share.
    fn weighted_models(&self, engine: &EngineSpec) -> Vec<ModelSpec> {
        let models = engine.models.iter().cloned();
        models
            .map(|mut model| {
                if self.demand.is_short(model.entry) {
                    model.share *= SHARE_BOUNDS.1;
                }
                model
            })
            .collect()
    }

    /// Counts the groups of a shift that are not being dissolved yet.
    fn leaving_count(&self, shift: &Shift) -> usize {
        let groups = shift.leaving.iter().filter_map(|id| self.by_id.get(id));
        groups.filter(|group| group.dissolving.is_none()).count()
    }

    /// Returns the domain whose VMs change their model.
    pub(super) fn shifting_domain(&self) -> Option<DomainId> {
        self.rebalance.shift.as_ref().map(|shift| shift.domain)
    }

    /// Ends the change in progress, because this node may not decide on groups now.
    pub(super) fn suspend_rebalance(&mut self, now: Moment) {
        self.rebalance.since.clear();
        if self.rebalance.shift.is_some() {
            self.end_shift(now, false);
        }
    }

    /// Continues the change in progress, or begins one if the demand justifies it.
    pub(super) fn plan_rebalance(&mut self, now: Moment) {
        if let Some(shift) = self.rebalance.shift.clone() {
            self.check_shift(now, &shift);
            return;
        }
        let is_gap = |at: Moment| now.since(at) > MAX_CHECK_GAP;
        if self.rebalance.checked_at.replace(now).is_none_or(is_gap)
            || !self.in_use
            || !self.demand.is_current(now)
        {
            self.rebalance.since.clear();
            return;
        }
        let mut justified = BTreeMap::new();
        for engine in &self.engines {
            self.collect_shifts(now, engine, &mut justified);
        }
        let since = &mut self.rebalance.since;
        since.retain(|pair, _| justified.contains_key(pair));
        for pair in justified.keys() {
            since.entry(*pair).or_insert(now);
        }
        let has_rested = |at: Moment| now.since(at) >= CHANGE_INTERVAL;
        if !self.rebalance.ended_at.is_none_or(has_rested) {
            return;
        }
        let since = &self.rebalance.since;
        let due = justified.into_iter().find(|(pair, shift)| {
            let lasted = since.get(pair).map(|at| now.since(*at));
            lasted.is_some_and(|lasted| lasted >= shift.expected_time / 2)
        });
        if let Some((_, shift)) = due {
            self.begin_shift(shift);
        }
    }

    /// Adds the shifts of an engine that the demand justifies now, by the entries of the models.
    fn collect_shifts(
        &self,
        now: Moment,
        engine: &EngineSpec,
        shifts: &mut BTreeMap<(EntryId, EntryId), Shift>,
    ) {
        for to in &engine.models {
            if to.group_size == 0 || self.demand.missed_share(to.entry) < SHORTAGE {
                continue;
            }
            for from in &engine.models {
                let may_lose = from.name != to.name
                    && from.group_size > 0
                    && self.demand.missed_share(from.entry) < MAX_MISSED;
                if may_lose && let Some(shift) = self.best_shift(now, engine, from, to) {
                    shifts.insert((to.entry, from.entry), shift);
                }
            }
        }
    }

    /// Returns the shift between two models in the domain where the fewest VMs change.
    fn best_shift(
        &self,
        now: Moment,
        engine: &EngineSpec,
        from: &ModelSpec,
        to: &ModelSpec,
    ) -> Option<Shift> {
        let domains = self.domains(engine);
        let free = self.available_vms();
        let supplies = domains.iter().map(|(&domain, vms)| DomainSupply {
            domain,
            vms: vms.len(),
            free: vms.iter().filter(|vm| free.contains(vm)).count(),
        });
        let shifts = supplies.filter_map(|supply| self.shift_in(now, engine, from, to, &supply));
        shifts.min_by_key(|shift| (shift.leaving.len(), shift.domain))
    }

    /// Returns the smallest shift in a domain that yields a group of the model `to`, if no other
    /// change is in progress there and the models keep within their bounds.
    fn shift_in(
        &self,
        now: Moment,
        engine: &EngineSpec,
        from: &ModelSpec,
        to: &ModelSpec,
        supply: &DomainSupply,
    ) -> Option<Shift> {
        if !self.is_unchanging(engine, supply.domain) {
            return None;
        }
        let spares = self.settings.spares.count(supply.vms);
        let surplus = supply.free.saturating_sub(spares);
        let lost = to
            .group_size
            .saturating_sub(surplus)
            .div_ceil(from.group_size)
            .max(1);
        let gained = (surplus + lost * from.group_size) / to.group_size;
        let ids = self.groups_in(engine, supply.domain, from).map(|it| it.id);
        let leaving: BTreeSet<GroupId> = ids.take(lost).collect();
        if leaving.len() < lost || !self.keeps_bounds(engine, (from, lost), (to, gained)) {
            return None;
        }
        Some(Shift {
            domain: supply.domain,
            service: engine.service.clone(),
            from: from.name.clone(),
            to: to.name.clone(),
            leaving,
            group_count: self.group_count(supply.domain, to) + gained,
            started_at: now,
            expected_time: self.change_time(engine, to, gained),
        })
    }

    /// Returns whether no group or VM of a domain is changing, and the demand of its data centre is
    /// known.
    fn is_unchanging(&self, engine: &EngineSpec, domain: DomainId) -> bool {
        let mut groups = self.by_id.values();
        let is_settled = |group: &Group| {
            group.was_ready
                && group.broken_since.is_none()
                && group.closing_since.is_none()
                && group.yields_to.is_none()
                && group.dissolving.is_none()
                && !group.change_pending
        };
        let mut entries = self.vms.list.values().filter(|entry| {
            entry.domain == domain && entry.report.vm.service.as_deref() == Some(&engine.service)
        });
        groups.all(|group| self.domain_of(&group.members) != Some(domain) || is_settled(group))
            && entries.all(|entry| entry.staging.is_none() && self.demand.covers(entry.data_centre))
    }

    /// Returns the groups of a model in a domain.
    fn groups_in<'a>(
        &'a self,
        engine: &'a EngineSpec,
        domain: DomainId,
        model: &'a ModelSpec,
    ) -> impl Iterator<Item = &'a Group> {
        self.groups_of(engine, model)
            .filter(move |group| self.domain_of(&group.members) == Some(domain))
    }

    pub(super) fn groups_of<'a>(
        &'a self,
        engine: &'a EngineSpec,
        model: &'a ModelSpec,
    ) -> impl Iterator<Item = &'a Group> {
        let groups = self.by_id.values();
        groups.filter(|group| {
            group.row.service == engine.service
                && group.row.model == model.name
                && group.dissolving.is_none()
        })
    }

    /// Returns whether both models keep within the bounds of their shares, and the one that loses
    /// groups keeps room for its requests.
    fn keeps_bounds(
        &self,
        engine: &EngineSpec,
        (from, lost): (&ModelSpec, usize),
        (to, gained): (&ModelSpec, usize),
    ) -> bool {
        let groups = |model| self.groups_of(engine, model).count();
        let (from_groups, to_groups) = (groups(from), groups(to));
        let models = engine.models.iter();
        let total: usize = models.map(|model| groups(model) * model.group_size).sum();
        let total = total + gained * to.group_size - lost * from.group_size;
        let shares: f64 = engine.models.iter().map(|model| model.share).sum();
        let relative = |model: &ModelSpec, groups: usize| {
            let share = as_float(groups * model.group_size) / as_float(total.max(1));
            share * shares / model.share.max(f64::MIN_POSITIVE)
        };
        let left = from_groups - lost;
        let usage = self.demand.usage(from.entry);
        let keeps_room = usage
            .is_some_and(|usage| usage * as_float(from_groups) < MAX_USAGE_AFTER * as_float(left));
        left > 0
            && keeps_room
            && relative(from, left) >= SHARE_BOUNDS.0
            && relative(to, to_groups + gained) <= SHARE_BOUNDS.1
    }

    /// Returns the time from the decision until the new groups serve: the requests end, the VMs
    /// load the model within the limit of loads, and the groups join.
    fn change_time(&self, engine: &EngineSpec, to: &ModelSpec, groups: usize) -> Duration {
        let vms = groups * to.group_size;
        let rounds = vms.div_ceil(engine.load_limit.concurrent.max(1));
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        let loads = to.load_time.saturating_mul(rounds);
        self.settings.close_timeout + loads + to.join_time
    }

    fn begin_shift(&mut self, shift: Shift) {
        self.record(Decision::Rebalancing {
            service: shift.service.clone(),
            from: shift.from.clone(),
            to: shift.to.clone(),
            leaving: shift.leaving.iter().copied().collect(),
            expected_s: shift.expected_time.as_secs(),
        });
        self.rebalance.since.clear();
        self.rebalance.shift = Some(shift);
    }

    /// Ends a shift that is complete, took too long, or has lost the VMs that it needs.
    fn check_shift(&mut self, now: Moment, shift: &Shift) {
        let engine = self.engines.iter().find(|it| it.service == shift.service);
        let Some((engine, to)) = engine.and_then(|it| Some((it, it.model(&shift.to)?))) else {
            return self.end_shift(now, false);
        };
        let is_complete = self.group_count(shift.domain, to) >= shift.group_count;
        let usable = self.domains(engine).get(&shift.domain).map_or(0, Vec::len);
        let composition = self.compositions(engine).remove(&shift.domain);
        let needed = composition.map_or(0, |it| it.members(&engine.models));
        let is_late = now.since(shift.started_at) > shift.expected_time * TIMEOUT_FACTOR;
        if is_complete || is_late || usable < needed {
            self.end_shift(now, is_complete);
        }
    }

    fn end_shift(&mut self, now: Moment, completed: bool) {
        if let Some(shift) = self.rebalance.shift.take() {
            self.rebalance.ended_at = Some(now);
            self.record(Decision::Rebalanced {
                service: shift.service,
                to: shift.to,
                completed,
            });
        }
    }

    /// Dissolves a group in favour of another model once its head has finished its requests.
    ///
    /// Returns whether the group is to be dissolved.
    pub(super) fn dissolve_for_other_model(
        &mut self,
        now: Moment,
        term: ActiveTerm,
        id: GroupId,
    ) -> bool {
        let shift = self.rebalance.shift.as_ref();
        let leaves = shift.is_some_and(|shift| shift.leaving.contains(&id));
        let stays = |group: &Group| now < group.stays_until;
        if self.store_unreachable || !leaves || self.by_id.get(&id).is_some_and(stays) {
            return false;
        }
        let is_unusable = self
            .by_id
            .get(&id)
            .is_some_and(|group| self.lacks_member(now, group));
        let is_finished = self.finish_requests(now, term, id);
        if let Some(group) = self.by_id.get_mut(&id) {
            if is_unusable {
                group.broken_since.get_or_insert(now);
            }
            if is_finished {
                group.dissolving = Some(Dissolving::HeadLeaves);
            }
        }
        true
    }

    /// Returns the next free VM of the changing domain to load the model that is short, once the
    /// groups of the other model are dissolved.
    pub(super) fn next_shift_load(
        &self,
        now: Moment,
        engine: &EngineSpec,
    ) -> Option<(VmId, ModelSpec)> {
        let shift = self.rebalance.shift.as_ref()?;
        let is_dissolved = |id| !self.by_id.contains_key(id);
        if self.store_unreachable
            || shift.service != engine.service
            || !self.planner.can_commit(now)
            || !shift.leaving.iter().all(is_dissolved)
        {
            return None;
        }
        let to = engine.model(&shift.to)?;
        let mut have = 0;
        for (vm, entry) in &self.vms.list {
            let is_loading = entry
                .staging
                .as_ref()
                .is_some_and(|(name, _)| *name == to.name);
            let has_model = is_loading || entry.report.has_staged(&to.name);
            have +=
                usize::from(entry.domain == shift.domain && has_model && !self.is_unusable(*vm));
        }
        if have >= shift.group_count * to.group_size {
            return None;
        }
        let vm = self.find_reassignable(now, shift.domain, to, engine)?;
        Some((vm, to.clone()))
    }
}
