//! All groups that this node sees, and the choice among them.

use std::collections::HashMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use slotmap::{SlotMap, new_key_type};
use smallvec::SmallVec;
use tanagerhub_catalogue::{DataCentreId, EntryId, GroupId};
use tanagerhub_clock::Moment;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::group::{Group, GroupLimits};
use crate::prefix_index::PrefixIndex;
use crate::{RouteTable, Selection, TrafficSettings};

new_key_type! {
    /// A group in the arena.
    pub(crate) struct GroupKey;
}

/// The prefix, counted in blocks, by which all nodes place a prompt that none of them knows.
const ANCHOR_BLOCKS: usize = 4;
/// Load, in requests, that a group in another data centre must be ahead by.
const REMOTE_LOAD: f64 = 1.0;

/// A group up to this many times slower than usual may just have had longer prompts.
const SLOWNESS_NOISE: f64 = 2.0;

/// What a request asks of a group.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wish<'a> {
    pub(crate) entry: EntryId,
    /// Requests in flight on one group, over all nodes.
    pub(crate) limit: u32,
    pub(crate) prefixes: &'a [u64],
    /// Groups that have already failed the request.
    pub(crate) tried: &'a [GroupKey],
    /// Whether the request may crash a back end.
    pub(crate) suspect: bool,
    /// The usual wait for a first byte, in seconds.
    pub(crate) usual: Option<f64>,
    /// Whether it has an objective.
    pub(crate) paced: bool,
}

/// The arena of groups.
#[derive(Debug)]
pub(crate) struct Groups {
    pub(crate) arena: SlotMap<GroupKey, Group>,
    by_id: HashMap<GroupId, GroupKey>,
    by_entry: HashMap<EntryId, Vec<GroupKey>>,
    pub(crate) prefixes: PrefixIndex,
    candidates: Vec<Candidate>,
    home: DataCentreId,
    bound: f64,
    limits: GroupLimits,
    selection: Selection,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: GroupKey,
    id: GroupId,
    load: f64,
    /// Whether a group of the same data centre has failed the request.
    distrusted: bool,
}

impl Groups {
    pub(crate) fn new(settings: &TrafficSettings) -> Self {
        Self {
            arena: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_entry: HashMap::new(),
            prefixes: PrefixIndex::new(settings.prefixes),
            candidates: Vec::new(),
            home: settings.data_centre,
            bound: settings.load_bound,
            limits: GroupLimits {
                window: settings.first_window.max(1),
                failures: settings.failures.max(1),
                suspension: settings.suspension,
            },
            selection: settings.selection,
        }
    }

    /// Takes in control's view; groups that are gone stay until their work has ended.
    pub(crate) fn update(&mut self, now: Moment, table: RouteTable) {
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

    /// The arena's key of a group.
    pub(crate) fn key(&self, id: GroupId) -> Option<GroupKey> {
        self.by_id.get(&id).copied()
    }

    /// Groups of an entry that take work.
    pub(crate) fn serving(&self, entry: EntryId) -> usize {
        self.by_entry.get(&entry).map_or(0, |keys| {
            keys.iter()
                .filter(|key| self.arena[**key].route.takes_work())
                .count()
        })
    }

    /// Chooses a group for a request, or none when every group is full, cold or out.
    pub(crate) fn pick(
        &mut self,
        now: Moment,
        live: u32,
        wish: &Wish<'_>,
        random: &mut ChaCha8Rng,
    ) -> Option<Choice> {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        self.collect(now, live, wish, &mut candidates);
        let choice = self.choose(wish, &candidates, random);
        self.candidates = candidates;
        let choice = choice?;
        for prefix in wish.prefixes {
            self.prefixes.insert(*prefix, choice.group);
        }
        Some(choice)
    }

    fn collect(&self, now: Moment, live: u32, wish: &Wish<'_>, candidates: &mut Vec<Candidate>) {
        let keys = self
            .by_entry
            .get(&wish.entry)
            .map_or(&[][..], Vec::as_slice);
        for key in keys {
            let group = &self.arena[*key];
            let centre = group.route.data_centre;
            let apart = !wish.suspect || group.suspects == 0;
            let apart = apart && (!wish.paced || group.keeps_pace());
            if apart && group.has_room(now, wish.limit, live) && !wish.tried.contains(key) {
                let distance = if centre == self.home {
                    0.0
                } else {
                    REMOTE_LOAD
                };
                let excess = (group.slowness(now, wish.usual) - SLOWNESS_NOISE).max(0.0);
                let load = group.load(now) + 1.0 + excess * f64::from(wish.limit) + distance;
                candidates.push(Candidate {
                    key: *key,
                    id: group.route.group,
                    load,
                    distrusted: self.has_failed(centre, wish.tried),
                });
            }
        }
        // A data centre that failed the request may have failed as a whole.
        if candidates.iter().any(|it| !it.distrusted) {
            candidates.retain(|it| !it.distrusted);
        }
    }

    fn has_failed(&self, centre: DataCentreId, tried: &[GroupKey]) -> bool {
        tried
            .iter()
            .filter_map(|key| self.arena.get(*key))
            .any(|group| group.route.data_centre == centre)
    }

    fn choose(
        &self,
        wish: &Wish<'_>,
        candidates: &[Candidate],
        random: &mut ChaCha8Rng,
    ) -> Option<Choice> {
        if candidates.is_empty() {
            return None;
        }
        if self.selection == Selection::LeastLoaded {
            return Some(Choice {
                group: least_loaded(candidates, random),
                blocks: 0,
            });
        }
        let count = f64::from(u32::try_from(candidates.len()).unwrap_or(u32::MAX));
        let mean = candidates.iter().map(|it| it.load).sum::<f64>() / count;
        let bound = (mean * self.bound).ceil() + 1.0;
        if let Some(choice) = self.cached(wish, candidates, bound) {
            return Some(choice);
        }
        let anchor = wish
            .prefixes
            .get(ANCHOR_BLOCKS - 1)
            .or(wish.prefixes.last());
        let key = anchor
            .and_then(|anchor| rendezvous(*anchor, candidates, bound))
            .unwrap_or_else(|| two_choices(candidates, random));
        Some(Choice {
            group: key,
            blocks: 0,
        })
    }

    /// The group with the longest cached prefix, within the load bound.
    fn cached(&self, wish: &Wish<'_>, candidates: &[Candidate], bound: f64) -> Option<Choice> {
        let known: SmallVec<[(usize, GroupKey); 8]> = wish
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
                    blocks: index + 1,
                })
        })
    }
}

/// A chosen group.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Choice {
    pub(crate) group: GroupKey,
    /// Blocks of the prompt that the group has in its cache, as far as known.
    pub(crate) blocks: usize,
}

/// The group that every node ranks highest for this prefix, within the load bound.
fn rendezvous(anchor: u64, candidates: &[Candidate], bound: f64) -> Option<GroupKey> {
    candidates
        .iter()
        .filter(|it| it.load <= bound)
        .max_by_key(|it| xxh3_64_with_seed(&it.id.0.to_le_bytes(), anchor))
        .map(|it| it.key)
}

/// The candidate with the least load; one of them at random where several have it.
fn least_loaded(candidates: &[Candidate], random: &mut ChaCha8Rng) -> GroupKey {
    let offset = random.random_range(0..candidates.len());
    let rotated = candidates[offset..].iter().chain(&candidates[..offset]);
    rotated
        .min_by(|one, other| one.load.total_cmp(&other.load))
        .map_or(candidates[0].key, |best| best.key)
}

/// The less loaded of two groups drawn at random.
fn two_choices(candidates: &[Candidate], random: &mut ChaCha8Rng) -> GroupKey {
    let first = candidates[random.random_range(0..candidates.len())];
    let second = candidates[random.random_range(0..candidates.len())];
    if second.load < first.load {
        second.key
    } else {
        first.key
    }
}
