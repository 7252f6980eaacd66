//! The asks that wait for room at the groups of an entry.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use tanagerhub_catalogue::NodeId;
use tanagerhub_clock::Moment;

use crate::message::{Ask, AskId};

/// The number of urgencies, from 0, the highest.
pub const URGENCIES: usize = 10;
/// The lowest urgency.
pub(crate) const LEAST_URGENT: u8 = 9;

/// The position of an ask: by urgency, then by whether it can still be on time, then by the moment
/// until which it may wait.
///
/// In a lasting overload half of the starts would otherwise go to callers who come back too late,
/// and those refused in their place would come back too late in turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct WaitKey {
    pub(crate) urgency: u8,
    pub(crate) overdue: bool,
    pub(crate) deadline: Moment,
    pub(crate) order: u64,
}

/// An ask that waits.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) node: NodeId,
    pub(crate) ask: Ask,
    pub(crate) since: Moment,
    /// The objective of the first event, if it has one.
    pub(crate) objective_at: Option<Moment>,
    /// Whether the same request was refused a moment ago.
    pub(crate) is_repeated: bool,
    /// Whether no decision round has passed over it yet.
    pub(crate) is_new: bool,
}

/// The waiting asks of an entry, in order.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    asks: BTreeMap<WaitKey, Waiting>,
    deadlines: BTreeSet<(Moment, WaitKey)>,
    /// The objectives of the asks that are not overdue.
    objectives: BTreeSet<(Moment, WaitKey)>,
    counts: [u32; URGENCIES],
}

impl WaitQueue {
    pub(crate) fn insert(&mut self, key: WaitKey, waiting: Waiting) {
        if let Some(at) = waiting.objective_at.filter(|_| !key.overdue) {
            self.objectives.insert((at, key));
        }
        if self.asks.insert(key, waiting).is_none() {
            self.deadlines.insert((key.deadline, key));
            self.counts[usize::from(key.urgency)] += 1;
        }
    }

    pub(crate) fn remove(&mut self, key: WaitKey) -> Option<Waiting> {
        let waiting = self.asks.remove(&key)?;
        self.deadlines.remove(&(key.deadline, key));
        if let Some(at) = waiting.objective_at {
            self.objectives.remove(&(at, key));
        }
        self.counts[usize::from(key.urgency)] -= 1;
        Some(waiting)
    }

    pub(crate) fn get(&self, key: WaitKey) -> Option<&Waiting> {
        self.asks.get(&key)
    }

    /// Returns the first ask behind `after`.
    pub(crate) fn next(&self, after: Option<WaitKey>) -> Option<WaitKey> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.asks
            .range((start, Bound::Unbounded))
            .next()
            .map(|(&key, _)| key)
    }

    /// Returns the first ask of an urgency.
    pub(crate) fn first_of(&self, urgency: u8) -> Option<WaitKey> {
        let start = WaitKey {
            urgency,
            overdue: false,
            deadline: Moment::ZERO,
            order: 0,
        };
        self.asks
            .range(start..)
            .next()
            .map(|(&key, _)| key)
            .filter(|key| key.urgency == urgency)
    }

    /// Returns an ask that may not wait at `now` any more.
    pub(crate) fn next_due(&self, now: Moment) -> Option<WaitKey> {
        self.deadlines
            .first()
            .filter(|&&(at, _)| at <= now)
            .map(|&(_, key)| key)
    }

    /// Puts the next ask whose objective is at `limit` or before behind the others of its urgency.
    /// Returns its node, its id and its new position.
    pub(crate) fn next_overdue(&mut self, limit: Moment) -> Option<(NodeId, AskId, WaitKey)> {
        let &(_, key) = self.objectives.first().filter(|&&(at, _)| at <= limit)?;
        let waiting = self.remove(key)?;
        let (node, id) = (waiting.node, waiting.ask.id);
        let key = WaitKey {
            overdue: true,
            ..key
        };
        self.insert(key, waiting);
        Some((node, id, key))
    }

    /// Returns when the objective of the next ask passes.
    pub(crate) fn next_objective(&self) -> Option<Moment> {
        self.objectives.first().map(|&(at, _)| at)
    }

    /// Returns when the next ask may not wait any more.
    pub(crate) fn next_deadline(&self) -> Option<Moment> {
        self.deadlines.first().map(|&(at, _)| at)
    }

    /// Returns the asks in order.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (WaitKey, &mut Waiting)> {
        self.asks.iter_mut().map(|(&key, waiting)| (key, waiting))
    }

    /// Returns the number of waiting asks of each urgency.
    pub(crate) const fn counts(&self) -> &[u32; URGENCIES] {
        &self.counts
    }

    pub(crate) fn len(&self) -> usize {
        self.asks.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.asks.is_empty()
    }
}
