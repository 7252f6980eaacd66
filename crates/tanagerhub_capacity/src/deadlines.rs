//! One deadline for each of a set of keys.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

use tanagerhub_clock::Moment;

/// Deadlines of keys, ordered by time.
#[derive(Debug)]
pub(crate) struct Deadlines<K> {
    times: HashMap<K, Moment>,
    order: BTreeSet<(Moment, K)>,
}

impl<K: Copy + Ord + Hash> Deadlines<K> {
    /// Sets the deadline of a key in place of its former one.
    pub(crate) fn set(&mut self, key: K, at: Moment) {
        if let Some(former) = self.times.insert(key, at) {
            self.order.remove(&(former, key));
        }
        self.order.insert((at, key));
    }

    /// Removes the deadline of a key.
    pub(crate) fn remove(&mut self, key: K) {
        if let Some(at) = self.times.remove(&key) {
            self.order.remove(&(at, key));
        }
    }

    /// Returns the deadline of a key.
    pub(crate) fn get(&self, key: K) -> Option<Moment> {
        self.times.get(&key).copied()
    }

    /// Returns the earliest deadline.
    pub(crate) fn first(&self) -> Option<Moment> {
        self.order.first().map(|&(at, _)| at)
    }

    /// Returns the latest deadline.
    pub(crate) fn last(&self) -> Option<Moment> {
        self.order.last().map(|&(at, _)| at)
    }

    /// Removes a key whose deadline has come, the earliest first.
    pub(crate) fn pop_due(&mut self, now: Moment) -> Option<K> {
        let &(at, key) = self.order.first()?;
        if at > now {
            return None;
        }
        self.remove(key);
        Some(key)
    }
}

impl<K> Default for Deadlines<K> {
    fn default() -> Self {
        Self {
            times: HashMap::new(),
            order: BTreeSet::new(),
        }
    }
}
