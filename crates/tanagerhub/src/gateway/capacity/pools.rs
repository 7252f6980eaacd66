//! Decides which entries have a shard of their own.

use std::collections::BTreeMap;
use std::time::Duration;

use tanagerhub_catalogue::EntryId;
use tanagerhub_clock::Moment;

/// An entry becomes pooled if it has fewer groups than this per data centre: the coordinator of a
/// data centre then has too few groups to choose from.
const MIN_GROUPS_PER_CENTRE: usize = 5;
/// A pooled entry stays so until it has more groups than this per data centre.
const MAX_POOLED_PER_CENTRE: usize = 7;
/// How long the number of groups must call for a change before an entry in use changes.
///
/// Shares that change their coordinator rest for up to 2.3 s, so that groups which fail and form
/// again within seconds must not move all loans of an entry.
const CHANGE_DELAY: Duration = Duration::from_secs(10);
/// How long the coordinators of both kinds keep the groups after a change, for nodes that change
/// later. Nodes that have had no request yet change [`CHANGE_DELAY`] before the others.
const OVERLAP: Duration = Duration::from_secs(15);

/// The entries whose groups belong to a shard of their own instead of those of data centres.
#[derive(Debug, Default)]
pub(crate) struct PoolSwitch {
    entries: BTreeMap<EntryId, Pool>,
}

#[derive(Debug, Clone, Copy)]
struct Pool {
    is_pooled: bool,
    /// Since when the number of groups calls for a change.
    change_wanted_since: Option<Moment>,
    changed_at: Option<Moment>,
}

impl PoolSwitch {
    /// Decides for each coordinated entry with this number of groups in these data centres. An
    /// entry without groups stays as it is. Returns whether a decision has changed.
    ///
    /// The first decision on an entry, and all of them while the node has had no request
    /// (`in_use`), take effect at once.
    pub(crate) fn update(
        &mut self,
        now: Moment,
        groups: &BTreeMap<EntryId, usize>,
        centres: usize,
        in_use: bool,
    ) -> bool {
        let before = self.entries.len();
        self.entries.retain(|entry, _| groups.contains_key(entry));
        let mut changed = self.entries.len() != before;
        for (&entry, &count) in groups.iter().filter(|(_, count)| **count > 0) {
            changed |= if let Some(pool) = self.entries.get_mut(&entry) {
                pool.update(now, count, centres, in_use)
            } else {
                let is_pooled = has_few_groups(count, centres);
                self.entries.insert(entry, Pool::new(is_pooled));
                is_pooled
            };
        }
        changed
    }

    /// Whether the groups of the entry belong to a shard of their own.
    pub(crate) fn is_pooled(&self, entry: EntryId) -> bool {
        self.entries.get(&entry).is_some_and(|pool| pool.is_pooled)
    }

    /// Whether nodes may ask the coordinator of the entry for its groups.
    pub(crate) fn uses_entry_shard(&self, entry: EntryId) -> bool {
        let pool = self.entries.get(&entry);
        pool.is_some_and(|pool| pool.is_pooled || pool.is_unsettled())
    }

    /// Whether nodes may ask the coordinators of data centres for the groups of the entry.
    pub(crate) fn uses_centre_shards(&self, entry: EntryId) -> bool {
        let pool = self.entries.get(&entry);
        pool.is_none_or(|pool| !pool.is_pooled || pool.is_unsettled())
    }

    /// Whether [`update`](Self::update) has an effect now with the same groups.
    pub(crate) fn is_due(&self, now: Moment) -> bool {
        let is_over = |since: Option<Moment>, delay| since.is_some_and(|at| now.since(at) >= delay);
        self.entries.values().any(|pool| {
            is_over(pool.change_wanted_since, CHANGE_DELAY) || is_over(pool.changed_at, OVERLAP)
        })
    }

    /// Returns the number of pooled entries.
    pub(crate) fn count(&self) -> usize {
        self.entries.values().filter(|pool| pool.is_pooled).count()
    }
}

impl Pool {
    const fn new(is_pooled: bool) -> Self {
        Self {
            is_pooled,
            change_wanted_since: None,
            changed_at: None,
        }
    }

    fn update(&mut self, now: Moment, count: usize, centres: usize, in_use: bool) -> bool {
        if self.changed_at.is_some_and(|at| now.since(at) >= OVERLAP) {
            self.changed_at = None;
        }
        let calls_for_change = if self.is_pooled {
            centres < 2 || count > centres * MAX_POOLED_PER_CENTRE
        } else {
            has_few_groups(count, centres)
        };
        if !calls_for_change {
            self.change_wanted_since = None;
            return false;
        }
        let since = *self.change_wanted_since.get_or_insert(now);
        if in_use && now.since(since) < CHANGE_DELAY {
            return false;
        }
        *self = Self {
            changed_at: Some(now),
            ..Self::new(!self.is_pooled)
        };
        true
    }

    const fn is_unsettled(&self) -> bool {
        self.change_wanted_since.is_some() || self.changed_at.is_some()
    }
}

/// Whether an entry has too few groups for one coordinator per data centre. With a single data
/// centre they have one coordinator anyway.
const fn has_few_groups(count: usize, centres: usize) -> bool {
    centres > 1 && count < centres * MIN_GROUPS_PER_CENTRE
}

#[cfg(test)]
mod tests;
