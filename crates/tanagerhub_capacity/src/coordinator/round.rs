//! One round of decisions on the waiting asks of an entry.

use std::time::Duration;

use tanagerhub_clock::Moment;

use super::admission::FirstByteBound;
use super::entry::EntryState;
use super::placement::Placement;
use crate::coordinated_group::CoordinatedGroup;
use crate::end_rate::EndRate;
use crate::message::{Ask, RefusalReason};
use crate::wait_queue::{WaitKey, Waiting};

/// Bounds the expected wait, in seconds, when hardly any requests end.
const MAX_EXPECTED_WAIT_S: f64 = 3_600.0;

/// An ask that no longer waits.
#[derive(Debug)]
pub(super) struct Decided {
    pub(super) waiting: Waiting,
    pub(super) urgency: u8,
    pub(super) outcome: Outcome,
}

#[derive(Debug)]
pub(super) enum Outcome {
    Granted(CoordinatedGroup),
    Refused {
        reason: RefusalReason,
        /// The expected time until there is room.
        room_in: Duration,
    },
}

/// Grants and refuses asks of one entry.
#[derive(Debug)]
pub(super) struct Round<'a> {
    pub(super) now: Moment,
    pub(super) entry: &'a mut EntryState,
    pub(super) placement: Placement,
    pub(super) decided: Vec<Decided>,
}

impl Round<'_> {
    pub(super) fn run(&mut self) {
        if self.placement.candidates.is_empty() {
            self.refuse_all(RefusalReason::NoGroup, super::NO_GROUP_RETRY);
        } else if !self.placement.is_ready() {
            self.refuse_all(RefusalReason::NotReady, self.placement.ready_in);
        } else {
            self.refuse_late(self.now.before(Duration::from_nanos(1)));
            self.grant();
            self.refuse_late(self.now);
            self.refuse_excess();
        }
    }

    fn refuse_all(&mut self, reason: RefusalReason, room_in: Duration) {
        while let Some(key) = self.entry.queue.next(None) {
            self.refuse(key, reason, room_in);
        }
    }

    /// Refuses asks that might wait until `limit` at most.
    fn refuse_late(&mut self, limit: Moment) {
        while let Some(key) = self.entry.queue.next_due(limit) {
            let ahead = self.entry.queue.len();
            let room_in = self.expected_wait(key, ahead);
            self.refuse(key, RefusalReason::TimedOut, room_in);
        }
    }

    /// Grants asks in order while groups have room.
    ///
    /// An ask that gets no group keeps the groups that it needs from the asks behind it.
    fn grant(&mut self) {
        let mut passed = None;
        let mut floor_failed = false;
        while self.placement.is_open() {
            if !floor_failed && let Some(key) = self.first_below_floor() {
                floor_failed = !self.try_grant(key, FirstByteBound::Floor);
                continue;
            }
            let Some(key) = self.entry.queue.next(passed) else {
                break;
            };
            let Some(waiting) = self.entry.queue.get(key) else {
                break;
            };
            let bound = FirstByteBound::of(self.now, key, waiting);
            if !self.try_grant(key, bound) {
                self.reserve_for(key, bound);
                passed = Some(key);
            }
        }
    }

    /// Keeps the groups that an ask waits for from the asks behind it: all of them if none has
    /// room.
    ///
    /// If groups have room but read too many prompts, the first ask in the order keeps one, so that
    /// long prompts are served too. If each did so, the groups would read nothing while they wait.
    /// An overdue ask has no claim to such groups.
    fn reserve_for(&mut self, key: WaitKey, bound: FirstByteBound) {
        let Some(waiting) = self.entry.queue.get(key) else {
            return;
        };
        let ask = &waiting.ask;
        if self.placement.choose(ask, FirstByteBound::Any).is_none() {
            self.placement.reserve_for(ask);
        } else if !bound.yields() {
            self.placement.reserve_earliest(ask);
        }
    }

    fn first_below_floor(&mut self) -> Option<WaitKey> {
        let counts = *self.entry.queue.counts();
        let urgency = self.entry.shares.below_floor(self.now, &counts)?;
        self.entry.queue.first_of(urgency)
    }

    fn try_grant(&mut self, key: WaitKey, bound: FirstByteBound) -> bool {
        let Some(waiting) = self.entry.queue.get(key) else {
            return false;
        };
        let Some(index) = self.placement.choose(&waiting.ask, bound) else {
            return false;
        };
        let group = self.placement.take(index, &waiting.ask);
        self.entry.shares.record_grant(self.now, key.urgency);
        self.leave(key, Outcome::Granted(group));
        true
    }

    /// Refuses asks that are expected to wait for longer than they may.
    ///
    /// Only the arrival of an ask changes the order, so nothing is done without new ones.
    fn refuse_excess(&mut self) {
        let Some(newest) = self.most_urgent_new() else {
            return;
        };
        let first = self.first_below_floor();
        let mut ahead = 0;
        let mut refused = Vec::new();
        for (key, waiting) in self.entry.queue.iter_mut() {
            let is_new = std::mem::take(&mut waiting.is_new);
            let wait = wait_of(&self.placement, &self.entry.rate, &waiting.ask, ahead);
            let exceeds_wait = wait.is_some_and(|wait| wait > key.deadline.since(self.now));
            let may_refuse = is_new || key.urgency > newest;
            if exceeds_wait && may_refuse && first != Some(key) {
                refused.push((key, is_new, ahead));
            } else {
                ahead += 1;
            }
        }
        for (key, is_new, ahead) in refused {
            let reason = if is_new {
                RefusalReason::Overloaded
            } else {
                RefusalReason::Displaced
            };
            let room_in = self.expected_wait(key, ahead + 1);
            self.refuse(key, reason, room_in);
        }
    }

    fn most_urgent_new(&mut self) -> Option<u8> {
        self.entry
            .queue
            .iter_mut()
            .find(|(_, waiting)| waiting.is_new)
            .map(|(key, _)| key.urgency)
    }

    fn expected_wait(&self, key: WaitKey, ahead: usize) -> Duration {
        let waiting = self.entry.queue.get(key);
        waiting
            .and_then(|it| wait_of(&self.placement, &self.entry.rate, &it.ask, ahead))
            .unwrap_or_default()
    }

    fn refuse(&mut self, key: WaitKey, reason: RefusalReason, room_in: Duration) {
        self.leave(key, Outcome::Refused { reason, room_in });
    }

    fn leave(&mut self, key: WaitKey, outcome: Outcome) {
        if let Some(waiting) = self.entry.queue.remove(key) {
            self.decided.push(Decided {
                waiting,
                urgency: key.urgency,
                outcome,
            });
        }
    }
}

/// Returns the expected time until `ahead` asks like this one have got room, if it can be
/// estimated.
///
/// While groups have free slots, room depends on starts and on the prompts that they can read.
fn wait_of(placement: &Placement, rate: &EndRate, ask: &Ask, ahead: usize) -> Option<Duration> {
    let per_second = match placement.start_rate() {
        Some(starts) => {
            let read = placement.read_rate(ask.prompt_tokens);
            read.map_or(starts, |read| starts.min(read))
        }
        None => rate.per_second(placement.running())?,
    };
    let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
    let seconds = (ahead / per_second.max(1e-3)).min(MAX_EXPECTED_WAIT_S);
    Some(Duration::from_secs_f64(seconds))
}
