//! The groups listed in the routes, and the choice among them.

use std::collections::HashMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;
use tanagerhub_capacity::{Borrower, SharedServer};
use tanagerhub_catalogue::{DataCentreId, EntryId, GroupId};
use tanagerhub_clock::Moment;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::group::{Group, GroupLimits};
use crate::prefix_index::PrefixIndex;
use crate::self_reports::SelfReports;
use crate::server_limits::ServerLimits;
use crate::{RouteTable, Selection, TrafficSettings};

new_key_type! {
    /// A group in the arena.
    pub(crate) struct GroupKey;
}

/// Length, in blocks, of the prefix by which all nodes choose the same group for a prompt that is
/// in no known cache.
const ANCHOR_BLOCKS: usize = 4;
/// Load, in requests, added to a group in another data centre.
const REMOTE_LOAD_PENALTY: f64 = 1.0;

/// Slowness up to this factor is ignored, because it may come from longer prompts.
const SLOWNESS_TOLERANCE: f64 = 2.0;

/// Requirements of a request for a group.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GroupQuery<'a> {
    pub(crate) entry: EntryId,
    /// Maximum number of requests in flight at one group, over all nodes.
    pub(crate) concurrency_limit: u32,
    pub(crate) prefixes: &'a [u64],
    /// Groups where an attempt of the request failed or still runs.
    pub(crate) tried: &'a [GroupKey],
    /// Whether the request is suspected of crashing backend servers.
    pub(crate) suspect: bool,
    /// Usual wait for a first byte over all groups of the entry, in seconds.
    pub(crate) usual_first_byte: Option<f64>,
    /// Whether the first byte has an objective.
    pub(crate) has_objective: bool,
    /// Tells which of the node's own shares are lent; `None` if it lends none.
    pub(crate) borrower: Option<&'a Borrower>,
}

/// The groups, with indices by id, entry and cached prefix.
#[derive(Debug)]
pub(crate) struct Groups {
    pub(crate) arena: SlotMap<GroupKey, Group>,
    by_id: HashMap<GroupId, GroupKey>,
    by_entry: HashMap<EntryId, Vec<GroupKey>>,
    pub(crate) prefixes: PrefixIndex,
    pub(crate) server_limits: ServerLimits,
    pub(crate) self_reports: SelfReports,
    /// Buffer of [`pick`](Self::pick), kept so that no request allocates a new one.
    candidates: Vec<Candidate>,
    own_data_centre: DataCentreId,
    load_bound: f64,
    limits: GroupLimits,
    selection: Selection,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: GroupKey,
    id: GroupId,
    load: f64,
    /// Whether a group of the same data centre has failed the request.
    in_failed_data_centre: bool,
}

impl Groups {
    pub(crate) fn new(settings: &TrafficSettings) -> Self {
        Self {
            arena: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_entry: HashMap::new(),
            prefixes: PrefixIndex::new(settings.prefixes),
            server_limits: ServerLimits::default(),
            self_reports: SelfReports::default(),
            candidates: Vec::new(),
            own_data_centre: settings.data_centre,
            load_bound: settings.load_bound,
            limits: GroupLimits {
                first_byte_window: settings.first_window.max(1),
                failures: settings.failures.max(1),
                suspension: settings.suspension,
            },
            selection: settings.selection,
        }
    }

    /// Applies the control thread's routes. Groups that are no longer listed are removed once their
    /// attempts have ended.
    pub(crate) fn update(&mut self, now: Moment, table: RouteTable) {
        self.server_limits.apply_routes(now, &table);
        self.self_reports.apply_routes(now, &table);
        for group in self.arena.values_mut() {
            group.route.eligible = false;
            group.listed = false;
        }
        self.by_entry.clear();
        for route in table.routes {
            let entry = route.entry;
            let key = self.upsert(now, route);
            self.by_entry.entry(entry).or_default().push(key);
        }
        self.arena
            .retain(|_, group| group.listed || group.in_flight > 0);
        let arena = &self.arena;
        self.by_id.retain(|_, key| arena.contains_key(*key));
    }

    fn upsert(&mut self, now: Moment, route: crate::Route) -> GroupKey {
        let id = route.group;
        if let Some(key) = self.by_id.get(&id).copied()
            && let Some(group) = self.arena.get_mut(key)
        {
            group.update(now, route);
            return key;
        }
        let key = self.arena.insert(Group::new(now, route, self.limits));
        self.by_id.insert(id, key);
        key
    }

    /// Returns the arena key of a group.
    pub(crate) fn key(&self, id: GroupId) -> Option<GroupKey> {
        self.by_id.get(&id).copied()
    }

    /// Returns the number of an entry's groups that are eligible and neither drain nor leave.
    pub(crate) fn serving(&self, entry: EntryId) -> usize {
        self.by_entry.get(&entry).map_or(0, |keys| {
            keys.iter()
                .map(|key| &self.arena[*key].route)
                .filter(|route| route.takes_work() && !self.self_reports.has_leaving(route))
                .count()
        })
    }

    /// Returns the groups of an entry that must get no request because of what their servers
    /// report.
    pub(crate) fn blocked(&self, now: Moment, entry: EntryId) -> impl Iterator<Item = GroupId> {
        let keys = self.by_entry.get(&entry).into_iter().flatten();
        let routes = keys.map(|key| &self.arena[*key].route);
        routes
            .filter(move |route| self.self_reports.blocks(now, route))
            .map(|route| route.group)
    }

    /// Returns the soonest end of a pause if all groups of an entry that would take requests are
    /// paused.
    pub(crate) fn all_paused_until(&self, now: Moment, entry: EntryId) -> Option<Moment> {
        self.self_reports.next_end()?;
        let keys = self.by_entry.get(&entry)?.iter();
        let groups = keys.map(|key| &self.arena[*key]);
        let mut soonest: Option<Moment> = None;
        for group in groups.filter(|group| group.takes_work(now)) {
            if self.self_reports.has_leaving(&group.route) {
                continue;
            }
            let end = self.self_reports.paused_until(now, group.route.server)?;
            soonest = Some(soonest.map_or(end, |soonest| soonest.min(end)));
        }
        soonest
    }

    /// Whether a coordinator grants the starts at a group of the entry.
    pub(crate) fn is_coordinated(&self, entry: EntryId) -> bool {
        let mut keys = self.by_entry.get(&entry).into_iter().flatten();
        keys.any(|key| self.arena[*key].route.shared.is_some())
    }

    /// Returns the node's own shares of coordinated servers.
    pub(crate) fn shared_servers(&self) -> Vec<SharedServer> {
        let routes = self.arena.values().filter(|group| group.listed);
        routes
            .filter_map(|group| {
                Some(SharedServer {
                    server: group.route.server,
                    entry: group.route.entry,
                    shard: group.route.shared?,
                    starts: group.route.starts?,
                })
            })
            .collect()
    }

    /// Chooses a group for a request and records the prompt's prefixes for it in the index. Returns
    /// `None` when every group is full, cold, suspended or otherwise excluded.
    pub(crate) fn pick(
        &mut self,
        now: Moment,
        live_nodes: u32,
        query: &GroupQuery<'_>,
        random: &mut ChaCha8Rng,
    ) -> Option<Choice> {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        self.collect(now, live_nodes, query, &mut candidates);
        let choice = self.choose(query, &candidates, random);
        self.candidates = candidates;
        let choice = choice?;
        for prefix in query.prefixes {
            self.prefixes.insert(*prefix, choice.group);
        }
        Some(choice)
    }

    fn collect(
        &self,
        now: Moment,
        live_nodes: u32,
        query: &GroupQuery<'_>,
        candidates: &mut Vec<Candidate>,
    ) {
        let keys = self
            .by_entry
            .get(&query.entry)
            .map_or(&[][..], Vec::as_slice);
        for key in keys {
            let group = &self.arena[*key];
            let data_centre = group.route.data_centre;
            if self.may_take(now, live_nodes, query, group) && !query.tried.contains(key) {
                let remote_penalty = if data_centre == self.own_data_centre {
                    0.0
                } else {
                    REMOTE_LOAD_PENALTY
                };
                let excess =
                    (group.slowness(now, query.usual_first_byte) - SLOWNESS_TOLERANCE).max(0.0);
                let load = group.load(now)
                    + 1.0
                    + excess * f64::from(query.concurrency_limit)
                    + remote_penalty;
                candidates.push(Candidate {
                    key: *key,
                    id: group.route.group,
                    load,
                    in_failed_data_centre: self.has_failed_in(data_centre, query.tried),
                });
            }
        }
        // After a failure, another data centre is preferred, because the whole data centre may be
        // down.
        if candidates.iter().any(|it| !it.in_failed_data_centre) {
            candidates.retain(|it| !it.in_failed_data_centre);
        }
    }

    /// Whether a request that has not been tried at a group may be sent there.
    fn may_take(
        &self,
        now: Moment,
        live_nodes: u32,
        query: &GroupQuery<'_>,
        group: &Group,
    ) -> bool {
        let awaiting = group.awaiting_first_byte;
        (!query.suspect || group.suspects == 0)
            && (!query.has_objective || group.has_pace_room())
            && group.has_room(now, query.concurrency_limit, live_nodes)
            && self.server_limits.may_start(now, group.route.server)
            && self.self_reports.may_start(now, &group.route, awaiting)
            && has_own_share(now, group, query.borrower)
    }

    fn has_failed_in(&self, data_centre: DataCentreId, tried: &[GroupKey]) -> bool {
        tried
            .iter()
            .filter_map(|key| self.arena.get(*key))
            .any(|group| group.route.data_centre == data_centre)
    }

    fn choose(
        &self,
        query: &GroupQuery<'_>,
        candidates: &[Candidate],
        random: &mut ChaCha8Rng,
    ) -> Option<Choice> {
        if candidates.is_empty() {
            return None;
        }
        if self.selection == Selection::LeastLoaded {
            return Some(Choice {
                group: least_loaded(candidates, random),
                cached_blocks: 0,
            });
        }
        let count = f64::from(u32::try_from(candidates.len()).unwrap_or(u32::MAX));
        let mean = candidates.iter().map(|it| it.load).sum::<f64>() / count;
        let bound = (mean * self.load_bound).ceil() + 1.0;
        if let Some(choice) = self.longest_cached(query, candidates, bound) {
            return Some(choice);
        }
        let anchor = query
            .prefixes
            .get(ANCHOR_BLOCKS - 1)
            .or(query.prefixes.last());
        let key = anchor
            .and_then(|anchor| rendezvous(*anchor, candidates, bound))
            .unwrap_or_else(|| two_choices(candidates, random));
        Some(Choice {
            group: key,
            cached_blocks: 0,
        })
    }

    /// Returns the group with the longest cached prefix among the groups within the load bound.
    fn longest_cached(
        &self,
        query: &GroupQuery<'_>,
        candidates: &[Candidate],
        bound: f64,
    ) -> Option<Choice> {
        let known: SmallVec<[(usize, GroupKey); 8]> = query
            .prefixes
            .iter()
            .enumerate()
            .filter_map(|(index, prefix)| Some((index, self.prefixes.get(*prefix)?)))
            .collect();
        known.iter().rev().find_map(|(index, key)| {
            candidates
                .iter()
                .find(|it| it.key == *key && it.load <= bound)
                .map(|it| Choice {
                    group: it.key,
                    cached_blocks: index + 1,
                })
        })
    }
}

/// Whether the node may use its own share of the group's start limit. A share may still be lent after
/// the entry is no longer coordinated.
fn has_own_share(now: Moment, group: &Group, borrower: Option<&Borrower>) -> bool {
    borrower.is_none_or(|borrower| borrower.may_start(now, group.route.server))
}

/// A chosen group.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Choice {
    pub(crate) group: GroupKey,
    /// Blocks of the prompt in the group's cache, according to the prefix index.
    pub(crate) cached_blocks: usize,
}

/// Chooses the group by rendezvous hashing, so that all nodes choose the same group for a prefix,
/// among the groups within the load bound.
fn rendezvous(anchor: u64, candidates: &[Candidate], bound: f64) -> Option<GroupKey> {
    candidates
        .iter()
        .filter(|it| it.load <= bound)
        .max_by_key(|it| xxh3_64_with_seed(&it.id.0.to_le_bytes(), anchor))
        .map(|it| it.key)
}

/// Returns the candidate with the least load, a random one among equals.
fn least_loaded(candidates: &[Candidate], random: &mut ChaCha8Rng) -> GroupKey {
    let offset = random.random_range(0..candidates.len());
    let rotated = candidates[offset..].iter().chain(&candidates[..offset]);
    rotated
        .min_by(|one, other| one.load.total_cmp(&other.load))
        .map_or(candidates[0].key, |best| best.key)
}

/// Returns the less loaded of two groups drawn at random.
fn two_choices(candidates: &[Candidate], random: &mut ChaCha8Rng) -> GroupKey {
    let first = candidates[random.random_range(0..candidates.len())];
    let second = candidates[random.random_range(0..candidates.len())];
    if second.load < first.load {
        second.key
    } else {
        first.key
    }
}
