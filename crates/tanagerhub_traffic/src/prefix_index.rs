//! An index of the groups that are likely to have a prompt prefix in their cache.

use std::collections::HashMap;

use xxhash_rust::xxh3::Xxh3DefaultBuilder;

use crate::groups::GroupKey;

type Generation = HashMap<u64, GroupKey, Xxh3DefaultBuilder>;

/// A bounded map from prefixes to groups.
///
/// It has two generations. When the young one is full, the old one is dropped and replaced by it,
/// which evicts the half of the prefixes that were inserted least recently.
#[derive(Debug)]
pub(crate) struct PrefixIndex {
    generation_limit: usize,
    young: Generation,
    old: Generation,
}

impl PrefixIndex {
    /// Creates an index of at most `limit` prefixes, or two if `limit` is smaller.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            generation_limit: (limit / 2).max(1),
            young: Generation::default(),
            old: Generation::default(),
        }
    }

    /// Returns the group that last computed this prefix.
    pub(crate) fn get(&self, prefix: u64) -> Option<GroupKey> {
        self.young
            .get(&prefix)
            .or_else(|| self.old.get(&prefix))
            .copied()
    }

    /// Records that a group computes this prefix.
    pub(crate) fn insert(&mut self, prefix: u64, group: GroupKey) {
        if self.young.len() >= self.generation_limit && !self.young.contains_key(&prefix) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(prefix, group);
    }

    /// Removes a prefix that a group has evicted, unless another group has computed it since.
    pub(crate) fn remove(&mut self, prefix: u64, group: GroupKey) {
        for generation in [&mut self.young, &mut self.old] {
            if generation.get(&prefix) == Some(&group) {
                generation.remove(&prefix);
            }
        }
    }

    /// Returns the number of prefixes in both generations.
    pub(crate) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }
}
