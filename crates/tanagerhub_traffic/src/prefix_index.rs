//! Which group has a prompt prefix in its cache, as far as this node knows.

use std::collections::HashMap;

use xxhash_rust::xxh3::Xxh3DefaultBuilder;

use crate::groups::GroupKey;

type Generation = HashMap<u64, GroupKey, Xxh3DefaultBuilder>;

/// A bounded memory of prefixes; the least recently used half is dropped at a time.
#[derive(Debug)]
pub(crate) struct PrefixIndex {
    generation_limit: usize,
    young: Generation,
    old: Generation,
}

impl PrefixIndex {
    /// Remembers at most `limit` prefixes.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            generation_limit: (limit / 2).max(1),
            young: Generation::default(),
            old: Generation::default(),
        }
    }

    /// The group that last computed this prefix.
    pub(crate) fn get(&self, prefix: u64) -> Option<GroupKey> {
        self.young
            .get(&prefix)
            .or_else(|| self.old.get(&prefix))
            .copied()
    }

    /// Notes that a group computes this prefix now.
    pub(crate) fn insert(&mut self, prefix: u64, group: GroupKey) {
        if self.young.len() >= self.generation_limit && !self.young.contains_key(&prefix) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(prefix, group);
    }

    /// Forgets a prefix that a group says it has dropped.
    pub(crate) fn remove(&mut self, prefix: u64, group: GroupKey) {
        for generation in [&mut self.young, &mut self.old] {
            if generation.get(&prefix) == Some(&group) {
                generation.remove(&prefix);
            }
        }
    }

    /// Prefixes remembered.
    pub(crate) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }
}
