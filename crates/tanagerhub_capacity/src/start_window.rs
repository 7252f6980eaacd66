//! The starts that were granted at a backend server within the last window.

use std::collections::VecDeque;

use tanagerhub_clock::Moment;

use crate::timing::START_WINDOW;

/// Counts the grants of the last [`START_WINDOW`] at one backend server.
#[derive(Debug, Default)]
pub(crate) struct StartWindow {
    grants: VecDeque<Moment>,
}

impl StartWindow {
    /// Counts a grant.
    pub(crate) fn record(&mut self, now: Moment) {
        self.grants.push_back(now);
    }

    /// Returns how many more starts fit into the window if `limit` are available.
    pub(crate) fn left(&mut self, now: Moment, limit: u32) -> u32 {
        while self
            .grants
            .front()
            .is_some_and(|&at| now.since(at) >= START_WINDOW)
        {
            self.grants.pop_front();
        }
        limit.saturating_sub(u32::try_from(self.grants.len()).unwrap_or(u32::MAX))
    }

    /// Returns how many starts would fit at `now`, without forgetting former ones.
    pub(crate) fn peek(&self, now: Moment, limit: u32) -> u32 {
        let counted = self
            .grants
            .iter()
            .rev()
            .take_while(|&&at| now.since(at) < START_WINDOW)
            .count();
        limit.saturating_sub(u32::try_from(counted).unwrap_or(u32::MAX))
    }

    /// Returns when a start becomes free if the window is full.
    pub(crate) fn next_free(&self, limit: u32) -> Option<Moment> {
        let surplus = self
            .grants
            .len()
            .checked_sub(usize::try_from(limit).ok()?)?;
        let at = self.grants.get(surplus)?;
        (limit > 0).then(|| *at + START_WINDOW)
    }

    /// Removes the oldest grants of the window beyond `kept`, but at most `count`. Returns when the
    /// last of them leaves the window.
    ///
    /// They move with shares to another coordinator, which grants nothing on these before that
    /// moment.
    pub(crate) fn hand_over(&mut self, now: Moment, kept: u32, count: u32) -> Option<Moment> {
        self.left(now, 0);
        let used = u32::try_from(self.grants.len()).unwrap_or(u32::MAX);
        let moved = used.saturating_sub(kept).min(count);
        let moved = usize::try_from(moved).ok()?;
        let last = self.grants.drain(..moved).next_back();
        last.map(|at| at + START_WINDOW)
    }

    /// Returns whether the window holds no grant.
    pub(crate) fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}
