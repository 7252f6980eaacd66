//! Requests that were refused a moment ago and may come again.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use tanagerhub_clock::Moment;

/// How long a refusal is remembered. Callers come back within a few seconds.
const MAX_AGE: Duration = Duration::from_secs(5);

/// The objectives of refused requests by fingerprint.
///
/// A caller that comes back may reach another node, so only the coordinator can tell a repeated
/// request from a new one. Its load is a lasting overload: the repeated requests, which are late in
/// any case, would take the places of new ones, which are then refused and come back late as well.
#[derive(Debug, Default)]
pub(crate) struct RefusedRequests {
    objectives: BTreeSet<(u64, Moment)>,
    expiries: VecDeque<(Moment, u64, Moment)>,
}

impl RefusedRequests {
    /// Remembers a refused request and when the objective of its first event passes.
    pub(crate) fn insert(&mut self, now: Moment, fingerprint: u64, objective_at: Moment) {
        if self.objectives.insert((fingerprint, objective_at)) {
            let expires = now + MAX_AGE;
            self.expiries
                .push_back((expires, fingerprint, objective_at));
        }
    }

    /// Returns the objective of a request that was refused before, and forgets it.
    pub(crate) fn take(&mut self, now: Moment, fingerprint: u64) -> Option<Moment> {
        self.expire(now);
        let mut known = self.objectives.range((fingerprint, Moment::ZERO)..);
        let &(found, objective_at) = known.next()?;
        (found == fingerprint).then(|| {
            self.objectives.remove(&(fingerprint, objective_at));
            objective_at
        })
    }

    fn expire(&mut self, now: Moment) {
        while let Some(&(_, fingerprint, objective_at)) =
            self.expiries.front().filter(|&&(at, ..)| at <= now)
        {
            self.expiries.pop_front();
            self.objectives.remove(&(fingerprint, objective_at));
        }
    }
}
