//! Planning: which groups to form, drain, repair and dissolve, and which planner does it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tanagerhub_catalogue::{Entry, EntryId, GroupId, NodeId, VmId};
use tanagerhub_clock::Moment;

use crate::decision::{DrainCause, Reason};
use crate::placement::{self, FreeDomain, FreeVms};
use crate::rendezvous::rank_of;
use crate::{Health, Peer};

use super::Fleet;
use super::group::Group;
use super::job::JobKind;

/// The rendezvous key by which planners are ranked.
const PLANNER_KEY: u64 = 0x706c_616e;
/// The number of nodes that plan; each acts only when those before it don't.
const PLANNER_COUNT: usize = 3;
/// The interval between two runs of the planner.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// The limit on concurrent jobs.
const MAX_JOBS: usize = 32;
/// The time, beyond one read interval, for which nodes may still send requests to a group whose row
/// is marked as draining. Also the request deadline assumed for an entry that was removed.
const DRAIN_MARGIN: Duration = Duration::from_secs(5);

/// A change that is due, which the planners take over from each other by rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Task {
    /// Forming another replica of an entry that holds this many.
    Form(EntryId, u32),
    /// Repairing a broken group.
    Repair(GroupId),
    /// Draining a group.
    Drain(GroupId),
    /// Dissolving a drained group.
    Dissolve(GroupId),
    /// Reassigning cold slots of a node that left.
    MoveSlots(GroupId),
    /// Forming another standby group of an entry that has this many.
    Standby(EntryId, u32),
    /// Dissolving a standby group whose VMs a replica needs.
    DissolveStandby,
}

/// This node's rank among the planners, and since when each task has been due.
#[derive(Debug, Default)]
pub(super) struct Planner {
    pub(super) rank: Option<usize>,
    planned_at: Moment,
    since: BTreeMap<Task, Moment>,
    seen: BTreeSet<Task>,
}

impl Planner {
    /// Makes the planner run at the next tick.
    pub(super) const fn plan_at_next_tick(&mut self) {
        self.planned_at = Moment::ZERO;
    }
}

impl Fleet {
    pub(super) fn update_planner_rank(&mut self) {
        let node: NodeId = self.settings.node;
        let peers: &[Peer] = &self.peers;
        self.planner.rank = rank_of(PLANNER_KEY, peers, node).filter(|rank| *rank < PLANNER_COUNT);
    }

    /// Returns whether this node is the first or the second planner.
    pub(super) fn is_leading_planner(&self) -> bool {
        self.planner.rank.is_some_and(|rank| rank <= 1)
    }

    /// Runs the planner once per [`PLAN_INTERVAL`], or at the next tick after a change, if this
    /// node has read the rows since its start or last pause, has a list of VMs, and the table is
    /// reachable.
    pub(super) fn plan(&mut self, now: Moment) {
        let planner = &self.planner;
        let due =
            planner.planned_at == Moment::ZERO || now.since(planner.planned_at) >= PLAN_INTERVAL;
        if planner.rank.is_none() || !due {
            return;
        }
        let has_data = self.store.rows_confirmed_at.is_some() && !self.vms.list.is_empty();
        if !has_data || self.store.is_down() || !self.store.may_call(now) {
            return;
        }
        self.planner.planned_at = now;
        self.planner.seen.clear();
        self.vms.expire_backoffs(now, &self.settings);
        self.plan_groups(now);
        self.plan_formations(now);
        let planner = &mut self.planner;
        planner.since.retain(|task, _| planner.seen.contains(task));
    }

    /// Returns whether it is this node's turn to carry out a task: each planner waits one
    /// `takeover` per rank, and starts no job while it has [`MAX_JOBS`].
    pub(super) fn is_turn(&mut self, now: Moment, task: Task) -> bool {
        let planner = &mut self.planner;
        planner.seen.insert(task);
        let since = *planner.since.entry(task).or_insert(now);
        let rank = planner.rank.and_then(|rank| u32::try_from(rank).ok());
        let Some(rank) = rank else {
            return false;
        };
        let turn = now.since(since) >= self.settings.takeover.saturating_mul(rank);
        turn && self.jobs.len() < MAX_JOBS
    }

    fn plan_groups(&mut self, now: Moment) {
        let free = self.free_vms(now);
        let ids: Vec<GroupId> = self
            .groups
            .values()
            .filter(|group| group.has_row())
            .map(|group| group.id)
            .collect();
        let mut spares = free;
        let excess = self.excess_groups();
        for id in ids {
            if !self.jobs.has_job_for(id) {
                self.plan_group(now, id, &mut spares, &excess);
            }
        }
    }

    fn plan_group(
        &mut self,
        now: Moment,
        id: GroupId,
        spares: &mut FreeVms,
        excess: &BTreeSet<GroupId>,
    ) {
        let Some(group) = self.groups.get(&id) else {
            return;
        };
        if group.row.draining {
            if self.has_drained(now, group) && self.is_turn(now, Task::Dissolve(id)) {
                self.record_group_decision(now, id, Reason::Drained);
                self.start_job(now, JobKind::Dissolve { group: id });
            }
            return;
        }
        let over = excess.contains(&id).then_some(DrainCause::Excess);
        if let Some(cause) = self.drain_cause(group).or(over) {
            if self.is_turn(now, Task::Drain(id)) {
                self.record_group_decision(now, id, Reason::Drain { cause });
                self.start_job(now, JobKind::Drain { group: id });
            }
            return;
        }
        if group.health == Health::Cold
            && let Some(from) = self.departed_holder(now, group)
            && self.is_turn(now, Task::MoveSlots(id))
        {
            self.record_group_decision(now, id, Reason::MoveSlots { from });
            self.start_job(now, JobKind::MoveSlots { group: id });
            return;
        }
        self.repair(now, id, spares);
    }

    /// Returns why the group must drain, or `None`.
    pub(super) fn drain_cause(&self, group: &Group) -> Option<DrainCause> {
        let span = |entry: &Entry| entry.model().map(|model| usize::from(model.span));
        let entry = self.catalogue.entry(group.row.entry);
        if entry.and_then(span) != Some(group.row.members.len()) {
            return Some(DrainCause::Entry);
        }
        let members = &group.row.members;
        let data_centre = group.row.data_centre;
        if members
            .iter()
            .any(|vm| self.vms.is_marked_out(*vm, data_centre))
        {
            return Some(DrainCause::MarkedOut);
        }
        let leaving = members
            .iter()
            .any(|vm| self.vms.is_leaving(*vm) && !self.vms.is_removed(*vm));
        if leaving || group.health == Health::Leaving {
            return Some(DrainCause::Leaving);
        }
        None
    }

    /// Returns, for each entry that holds more replicas than its maximum, one group to drain: an
    /// incomplete one if there is any, otherwise the newest.
    fn excess_groups(&self) -> BTreeSet<GroupId> {
        let mut held: BTreeMap<EntryId, Vec<&Group>> = BTreeMap::new();
        let groups = self.groups.values();
        for group in groups.filter(|group| group.has_row() && group.is_held()) {
            held.entry(group.row.entry).or_default().push(group);
        }
        let max = |entry: EntryId| {
            let entry = self.catalogue.entry(entry)?;
            usize::try_from(entry.limits.replicas_max).ok()
        };
        held.into_iter()
            .filter(|(entry, groups)| max(*entry).is_some_and(|max| groups.len() > max))
            .filter_map(|(_, groups)| {
                let drain_order =
                    |group: &&&Group| (!group.complete, group.epoch_seen_at, group.id);
                groups.iter().max_by_key(drain_order).map(|group| group.id)
            })
            .collect()
    }

    /// Returns the groups of an entry that are neither draining nor on standby.
    pub(super) fn held_groups(&self, entry: EntryId) -> impl Iterator<Item = &Group> {
        self.groups
            .values()
            .filter(move |group| group.row.entry == entry && group.is_held())
    }

    /// Returns whether a draining group can be dissolved: it is incomplete, or all nodes have had
    /// time to read the row and either its head is idle or the deadline of its requests has passed.
    fn has_drained(&self, now: Moment, group: &Group) -> bool {
        let Some(since) = group.draining_since else {
            return false;
        };
        let propagation_time = self.read_interval() + DRAIN_MARGIN;
        let incomplete = !group.is_complete(now, self.settings.age_limit);
        let waited = now.since(since);
        if waited < propagation_time && !incomplete {
            return false;
        }
        let deadline = self
            .catalogue
            .entry(group.row.entry)
            .map_or(DRAIN_MARGIN, |entry| entry.limits.timeout);
        let idle = group.members.first().and_then(|member| member.report);
        let is_idle = idle.is_some_and(|report| report.running + report.waiting == 0);
        incomplete || is_idle || waited >= propagation_time + deadline
    }

    /// Returns the free VMs by fabric domain, without those that failed recently or that a job is
    /// about to use.
    pub(super) fn free_vms(&self, now: Moment) -> FreeVms {
        let claimed = self.jobs.claimed();
        let mut free = FreeVms::new();
        for (vm, info) in self.vms.usable(now) {
            if self.store.groups_by_vm.contains_key(&vm) || claimed.contains(&vm) {
                continue;
            }
            free.entry(info.domain)
                .or_insert_with(|| FreeDomain {
                    data_centre: info.data_centre,
                    vms: Vec::new(),
                })
                .vms
                .push(vm);
        }
        free
    }

    /// Returns the number of members that are loading or are about to.
    pub(super) fn loading_members(&self) -> usize {
        let limit = self.settings.load_limit;
        let now = self.last_event;
        let formed: usize = self
            .groups
            .values()
            .filter(|group| group.has_row() && group.attested_at.is_none())
            .filter(|group| now.since(group.epoch_seen_at) < limit)
            .map(|group| group.members.len())
            .sum();
        let starting: usize = self.jobs.kinds().map(|kind| kind.claimed_vms().len()).sum();
        formed + starting
    }

    /// Starts formations in the order of
    /// [`ReplicaDemand::urgency`](super::demand::ReplicaDemand::urgency).
    fn plan_formations(&mut self, now: Moment) {
        let mut free = self.free_vms(now);
        let mut loading = self.loading_members();
        let mut demands = self.demands();
        let mut unplaceable: BTreeSet<EntryId> = BTreeSet::new();
        loop {
            let best = demands
                .iter()
                .filter(|demand| demand.held < demand.max && !unplaceable.contains(&demand.entry))
                .min_by_key(|demand| demand.urgency());
            let Some(demand) = best.cloned() else {
                break;
            };
            let id = demand.entry;
            if let Some(group) = self.complete_standby(id) {
                if !self.is_turn(now, Task::Form(id, demand.held)) {
                    return;
                }
                self.record_group_decision(now, group, Reason::Promote);
                self.start_job(now, JobKind::Promote { group });
                let centre = self.groups.get(&group).map(|group| group.row.data_centre);
                if let Some((demand, centre)) = demands
                    .iter_mut()
                    .find(|demand| demand.entry == id)
                    .zip(centre)
                {
                    demand.add(centre);
                }
                continue;
            }
            if loading > 0 && loading + demand.span > self.settings.loads_max {
                self.record(now, Some(id), None, None, Reason::LoadsBusy { loading });
                return;
            }
            if !placement::has_room(&free, demand.span) {
                let span = u16::try_from(demand.span).unwrap_or(u16::MAX);
                self.record(now, Some(id), None, None, Reason::NoPlace { span });
                unplaceable.insert(id);
                continue;
            }
            if !self.is_turn(now, Task::Form(id, demand.held)) {
                return;
            }
            let Some(placement) =
                placement::place_replica(&mut free, demand.span, &demand.replicas_by_data_centre)
            else {
                return;
            };
            let reason = Reason::Form {
                held: demand.held,
                wanted: demand.max,
            };
            self.record(now, Some(id), None, None, reason);
            loading += demand.span;
            if let Some(demand) = demands.iter_mut().find(|demand| demand.entry == id) {
                demand.add(placement.data_centre);
            }
            self.start_job(
                now,
                JobKind::Form {
                    entry: id,
                    placement,
                    standby: false,
                },
            );
        }
        if unplaceable.is_empty() {
            self.plan_standbys(now, &demands, &mut free, loading);
        } else {
            self.yield_standby(now);
        }
    }

    /// Returns a complete standby group of an entry, without a job, if there is one.
    pub(super) fn complete_standby(&self, entry: EntryId) -> Option<GroupId> {
        self.groups
            .values()
            .filter(|group| group.row.entry == entry && group.row.standby && !group.row.draining)
            .filter(|group| group.complete && self.drain_cause(group).is_none())
            .max_by_key(|group| (group.health == Health::Warm, group.id))
            .map(|group| group.id)
            .filter(|id| !self.jobs.has_job_for(*id))
    }

    /// Returns the number of complete replicas of an entry.
    pub(super) fn complete_groups(&self, entry: EntryId) -> u32 {
        let complete = self
            .held_groups(entry)
            .filter(|group| group.complete)
            .count();
        u32::try_from(complete).unwrap_or(u32::MAX)
    }

    /// Returns whether a VM belongs to no group at this node.
    pub(super) fn is_free(&self, vm: VmId) -> bool {
        !self.store.groups_by_vm.contains_key(&vm)
    }
}
