//! Chooses the group for an ask.

use std::time::Duration;

use super::admission::{FirstByteBound, latest_grant};
use crate::coordinated_group::CoordinatedGroup;
use crate::first_byte::ExpectedWait;
use crate::load::Load;
use crate::message::Ask;
use crate::timing::START_WINDOW;

/// The part of its limit by which a plain service counts as more loaded if it is in another data
/// centre than the caller's node.
const DISTANCE_LOAD: f64 = 0.25;
/// The extra delay to a group in another data centre, as a part of the entry's objective.
const DISTANCE_DELAY: f64 = 0.1;
/// The delay that a full group counts more than an empty one, as a part of the entry's objective.
/// It spreads requests over groups that are expected to be equally early, because memory and the
/// time of each step depend on the running requests.
const LOAD_DELAY: f64 = 1.0;

/// The groups of an entry at the time of a decision.
#[derive(Debug)]
pub(super) struct Placement {
    pub(super) candidates: Vec<Candidate>,
    /// The time that new asks of the entry have left until their objectives.
    pub(super) objective: Duration,
    /// The time until more loans are available.
    pub(super) ready_in: Duration,
    /// Whether a group is kept for an ask that would be read too late now.
    pub(super) has_reserved: bool,
}

/// A group at the time of a decision.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) group: CoordinatedGroup,
    pub(super) load: Load,
    pub(super) limit: u32,
    /// Starts that are lent and available, whether or not they were granted.
    pub(super) starts: u32,
    pub(super) starts_left: u32,
    pub(super) slowness: f64,
    /// The expected first byte wait; `None` before any group of the entry has been measured.
    pub(super) expected: Option<ExpectedWait>,
    /// Whether an ask that goes first waits for this group.
    pub(super) is_needed: bool,
}

impl Candidate {
    const fn has_slot(&self) -> bool {
        self.load.requests < self.limit
    }

    const fn is_open(&self) -> bool {
        self.has_slot() && self.starts_left > 0 && !self.is_needed
    }

    /// Returns whether an ask may ever get the group.
    pub(super) fn suits(&self, ask: &Ask) -> bool {
        !ask.excluded.contains(&self.group.group) && self.holds(ask.tokens())
    }

    fn holds(&self, tokens: u64) -> bool {
        self.group
            .memory_tokens
            .is_none_or(|memory| tokens <= memory)
    }

    fn has_room(&self, ask: &Ask) -> bool {
        let tokens = self.load.tokens.saturating_add(ask.tokens());
        self.is_open() && self.suits(ask) && self.holds(tokens)
    }

    /// Whether the group uses less than a part of its limit.
    pub(super) fn is_used_below(&self, part: f64) -> bool {
        f64::from(self.load.requests) < part * f64::from(self.limit)
    }

    /// Returns the prompt tokens that the group is reading.
    pub(super) fn reading_tokens(&self) -> f64 {
        to_float(self.load.reading_tokens)
    }

    /// Returns the expected first byte wait of an ask.
    pub(super) fn first_byte(&self, ask: &Ask, objective: Duration) -> Duration {
        let ahead = self.reading_tokens();
        self.expected
            .unwrap_or_else(|| ExpectedWait::unmeasured(objective, self.group.token_read_time))
            .with(ahead + f64::from(ask.prompt_tokens))
    }

    /// Returns the load that the group would have, relative to its limit and speed.
    fn used(&self, ask: &Ask, mean_tokens: f64) -> f64 {
        let requests = f64::from(self.load.requests) + 1.0;
        let work = if self.group.memory_tokens.is_some() && mean_tokens > 0.0 {
            let tokens = to_float(self.load.tokens.saturating_add(ask.tokens()));
            f64::midpoint(requests, tokens / mean_tokens)
        } else {
            requests
        };
        work / f64::from(self.limit.max(1))
    }
}

impl Placement {
    /// Returns the best group that has room for an ask and may take it.
    pub(super) fn choose(&self, ask: &Ask, bound: FirstByteBound) -> Option<usize> {
        let mean_tokens = self.mean_tokens(ask);
        let fastest = self.fastest(ask);
        self.candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| candidate.has_room(ask))
            .filter(|(_, candidate)| bound.admits(candidate, ask, self.objective, fastest))
            .map(|(index, candidate)| (index, self.score(candidate, ask, mean_tokens)))
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .map(|(index, _)| index)
    }

    /// Returns the wait of an ask that few requests exceed at the fastest group while that reads
    /// nothing else.
    fn fastest(&self, ask: &Ask) -> Duration {
        let own = f64::from(ask.prompt_tokens);
        let usable = self.candidates.iter().filter(|it| it.suits(ask));
        let waits = usable.filter_map(|it| Some(it.expected?.at_most(own)));
        waits.min().unwrap_or_default()
    }

    /// Returns how long before its objective a waiting ask can't be on time any more.
    pub(super) fn latest_grant(&self) -> Duration {
        let models = self.candidates.iter();
        let models = models.filter(|it| it.group.memory_tokens.is_some());
        let waits = models.filter_map(|it| Some(it.expected?.at_most(0.0)));
        latest_grant(waits.min().unwrap_or_default(), self.objective)
    }

    /// Returns what orders the groups that have room: the expected first byte wait in units of the
    /// entry's objective, and the load; for plain services the load alone.
    fn score(&self, candidate: &Candidate, ask: &Ask, mean_tokens: f64) -> f64 {
        let used = candidate.used(ask, mean_tokens);
        let is_distant = candidate.group.data_centre != ask.data_centre;
        let distance = f64::from(u8::from(is_distant));
        if candidate.group.memory_tokens.is_none() {
            return (used + distance * DISTANCE_LOAD) * candidate.slowness;
        }
        let first_byte = candidate.first_byte(ask, self.objective);
        let first_byte = first_byte.as_secs_f64() / self.objective.as_secs_f64();
        first_byte + distance * DISTANCE_DELAY + LOAD_DELAY * used * candidate.slowness
    }

    /// Returns the mean number of tokens of the requests at all groups and of an ask.
    fn mean_tokens(&self, ask: &Ask) -> f64 {
        let requests: u32 = self.candidates.iter().map(|c| c.load.requests).sum();
        let tokens: u64 = self.candidates.iter().map(|c| c.load.tokens).sum();
        to_float(tokens.saturating_add(ask.tokens())) / f64::from(requests.saturating_add(1))
    }

    /// Counts a grant of a group.
    pub(super) fn take(&mut self, index: usize, ask: &Ask) -> CoordinatedGroup {
        let group = self.candidates[index].group;
        let load = &mut self.candidates[index].load;
        *load = load.plus(Load::of_ask(ask));
        for candidate in &mut self.candidates {
            if candidate.group.server == group.server {
                candidate.starts_left = candidate.starts_left.saturating_sub(1);
            }
        }
        group
    }

    /// Keeps the groups that an ask needs from the asks that go after it.
    pub(super) fn reserve_for(&mut self, ask: &Ask) {
        for candidate in &mut self.candidates {
            if candidate.suits(ask) {
                candidate.is_needed = true;
            }
        }
    }

    /// Keeps the group at which an ask is expected to be earliest from the asks that go after it,
    /// so that its prompts drain. The other groups stay open: behind an ask with a long prompt they
    /// would read nothing. Has no effect if a group is kept already.
    pub(super) fn reserve_earliest(&mut self, ask: &Ask) {
        if self.has_reserved {
            return;
        }
        let objective = self.objective;
        let usable = self.candidates.iter_mut().filter(|it| it.has_room(ask));
        let earliest = usable.min_by_key(|it| it.first_byte(ask, objective));
        if let Some(candidate) = earliest {
            candidate.is_needed = true;
            self.has_reserved = true;
        }
    }

    /// Returns whether a further ask may get a group.
    pub(super) fn is_open(&self) -> bool {
        self.candidates.iter().any(Candidate::is_open)
    }

    /// Returns whether any start is lent.
    pub(super) fn is_ready(&self) -> bool {
        self.candidates.iter().any(|candidate| candidate.starts > 0)
    }

    /// Returns the number of requests at all groups.
    pub(super) fn running(&self) -> u32 {
        self.candidates.iter().map(|c| c.load.requests).sum()
    }

    /// Returns the rate at which groups read prompts of this size, if that has been measured;
    /// `None` for plain services.
    pub(super) fn read_rate(&self, prompt_tokens: u32) -> Option<f64> {
        let expected = self.candidates.iter().map(|candidate| {
            candidate.group.memory_tokens?;
            let expected = candidate.expected?;
            Some(expected.prompts_per_second(f64::from(prompt_tokens)))
        });
        expected.sum()
    }

    /// Returns the rate of starts if groups have free slots, so that only starts are missing.
    pub(super) fn start_rate(&self) -> Option<f64> {
        let mut free = self.candidates.iter().filter(|c| c.has_slot()).peekable();
        free.peek()?;
        let starts: u32 = free.map(|candidate| candidate.starts).sum();
        (starts > 0).then(|| f64::from(starts) / START_WINDOW.as_secs_f64())
    }
}

/// Returns a number of tokens as a float; exact up to 2^32, and more tokens count as that many.
pub(super) fn to_float(tokens: u64) -> f64 {
    f64::from(u32::try_from(tokens).unwrap_or(u32::MAX))
}
