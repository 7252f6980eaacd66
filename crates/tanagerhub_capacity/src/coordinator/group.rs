//! A group and what was learned about it.

use std::time::Duration;

use tanagerhub_clock::Moment;

use crate::coordinated_group::CoordinatedGroup;
use crate::failure_share::FailureShare;
use crate::first_byte::FirstByteWaits;
use crate::granted_prompts::GrantedPrompt;
use crate::learned_limit::LearnedLimit;
use crate::message::{FirstByte, Sample};
use crate::service_time::ServiceTime;

use super::placement::to_float;

/// The minimum time between events on the limit of a group.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(super) struct GroupState {
    pub(super) group: CoordinatedGroup,
    pub(super) limit: LearnedLimit,
    pub(super) service_time: ServiceTime,
    pub(super) failures: FailureShare,
    pub(super) first_bytes: FirstByteWaits,
    event_at: Option<Moment>,
    event_limit: u32,
}

impl GroupState {
    pub(super) fn new(group: CoordinatedGroup) -> Self {
        let limit = LearnedLimit::new(group.slots);
        Self {
            group,
            event_limit: limit.requests(),
            limit,
            service_time: ServiceTime::default(),
            failures: FailureShare::default(),
            first_bytes: FirstByteWaits::default(),
            event_at: None,
        }
    }

    /// Replaces the description of the group, which has the same epoch.
    pub(super) fn update(&mut self, group: CoordinatedGroup) {
        if group.slots != self.group.slots {
            self.limit.set_slots(group.slots);
        }
        self.group = group;
    }

    /// Learns from an attempt that ended while the group had `used` requests. `usual` is the share
    /// of late responses at the other groups of the entry.
    pub(super) fn record(&mut self, now: Moment, sample: &Sample, used: u32, usual: f64) {
        self.failures.record(now, sample.failed);
        if sample.failed {
            self.limit.record_failure(now);
            return;
        }
        match (sample.reported_late, sample.late) {
            (true, _) => {}
            (false, true) => self.limit.record_late(now, used, usual),
            (false, false) => self.limit.record_timely(used),
        }
        if let Some(seconds) = self.service_seconds(sample) {
            self.service_time.record(now, seconds);
        }
    }

    /// Learns from the first byte of a granted prompt, while the group had `used` requests. A late
    /// one counts now, not seconds later at the end of the attempt.
    pub(super) fn record_first_byte(
        &mut self,
        now: Moment,
        first_byte: &FirstByte,
        prompt: GrantedPrompt,
        used: u32,
        usual: f64,
    ) {
        let wait = Duration::from_micros(u64::from(first_byte.wait_us));
        // Prompts that were granted later don't count: the longer a wait, the more of them there
        // are, so that the time per token would seem several times as long.
        let tokens = to_float(prompt.tokens);
        let reading = self.group.token_read_time.mul_f64(tokens);
        self.first_bytes.record(now, wait, reading);
        if first_byte.late {
            self.limit.record_late(now, used, usual);
        }
    }

    /// Returns the time per token, or the wait for the first byte at plain services.
    fn service_seconds(&self, sample: &Sample) -> Option<f64> {
        let micros = if self.group.memory_tokens.is_none() {
            f64::from(sample.first_byte_us?)
        } else if sample.tokens > 0 {
            f64::from(sample.rest_us) / f64::from(sample.tokens)
        } else {
            return None;
        };
        Some(micros / 1e6)
    }

    /// Returns the former and the present limit if an event is due for a change.
    pub(super) fn limit_change(&mut self, now: Moment) -> Option<(u32, u32)> {
        let limit = self.limit.requests();
        let is_early = self
            .event_at
            .is_some_and(|at| now.since(at) < EVENT_INTERVAL);
        if is_early || limit == self.event_limit {
            return None;
        }
        self.event_at = Some(now);
        Some((std::mem::replace(&mut self.event_limit, limit), limit))
    }
}
