//! What a node reports to coordinators: its attempts that run and that have ended.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tanagerhub_capacity::{GroupRunning, Sample, Shard};
use tanagerhub_catalogue::{Epoch, GroupId};

use super::Traffic;
use crate::AttemptKey;
use crate::groups::GroupKey;
use crate::in_flight::{Attempt, Request};

/// How an attempt ended, for its sample.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Ending {
    /// Whether it failed or was refused.
    pub(super) failed: bool,
    /// Whether a byte came too late or not at all.
    pub(super) late: bool,
    /// Whether the request was not sent at all, so that there is no sample.
    pub(super) unsent: bool,
    /// Number of tokens of the complete response.
    pub(super) tokens: Option<u32>,
}

/// The requests of this node at a group.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    requests: u32,
    tokens: u64,
    /// Those without a first byte, and their prompt tokens.
    reading: u32,
    reading_tokens: u64,
}

impl Counts {
    fn add(&mut self, request: &Request, is_reading: bool) {
        self.requests += 1;
        self.tokens += request.info.total_tokens();
        if is_reading {
            self.reading += 1;
            self.reading_tokens += u64::from(request.info.prompt_tokens);
        }
    }

    const fn of_group(self, group: GroupId, epoch: Epoch) -> GroupRunning {
        GroupRunning {
            group,
            epoch,
            requests: self.requests,
            tokens: self.tokens,
            reading: self.reading,
            reading_tokens: self.reading_tokens,
        }
    }
}

impl Traffic {
    /// Records the sample of an attempt that has ended, if its group is coordinated.
    pub(super) fn record_sample(&mut self, attempt: &Attempt, ending: Ending) {
        if ending.unsent {
            return;
        }
        let Some(capacity) = &mut self.capacity else {
            return;
        };
        let (Some(group), Some(request)) = (
            self.groups.arena.get(attempt.group),
            self.requests.get(attempt.request),
        ) else {
            return;
        };
        let Some(shard) = group.route.shared else {
            return;
        };
        let elapsed = capacity.now.since(attempt.started);
        let first_byte = attempt.has_first_byte().then_some(attempt.first_byte_wait);
        let wait = first_byte.unwrap_or(elapsed);
        let tokens = ending.tokens.unwrap_or(request.tokens_sent);
        let sample = Sample {
            group: group.route.group,
            epoch: attempt.epoch,
            first_byte_us: first_byte.map(as_micros),
            late: ending.late || is_late(request, wait),
            reported_late: attempt.grant.is_some()
                && first_byte.is_some_and(|wait| is_late(request, wait)),
            failed: ending.failed,
            prompt_tokens: request.info.prompt_tokens,
            tokens: tokens.saturating_sub(attempt.resume_at),
            rest_us: as_micros(first_byte.map_or(Duration::ZERO, |it| elapsed.saturating_sub(it))),
        };
        capacity.borrower.record_sample(capacity.now, shard, sample);
    }

    /// Reports the first byte of an attempt, if its group is coordinated.
    pub(super) fn report_first_byte(&mut self, key: AttemptKey) {
        let (Some(capacity), Some(attempt)) = (&mut self.capacity, self.attempts.get(key)) else {
            return;
        };
        let (Some(group), Some(request)) = (
            self.groups.arena.get(attempt.group),
            self.requests.get(attempt.request),
        ) else {
            return;
        };
        let Some(shard) = group.route.shared else {
            return;
        };
        let wait = attempt.first_byte_wait;
        let late = is_late(request, wait);
        let now = capacity.now;
        let borrower = &mut capacity.borrower;
        borrower.record_first_byte(now, shard, attempt.grant, wait, late);
    }

    /// Returns the requests at coordinated groups, and those about to be sent there.
    pub(super) fn running_by_shard(&self) -> HashMap<Shard, Vec<GroupRunning>> {
        let Some(capacity) = &self.capacity else {
            return HashMap::new();
        };
        let mut counts: BTreeMap<(Shard, GroupId, Epoch), Counts> = BTreeMap::new();
        let mut count = |group: Option<GroupKey>, epoch, request, is_reading: bool| {
            let group = group.and_then(|key| self.groups.arena.get(key));
            let request = self.requests.get(request);
            let (Some(group), Some(request)) = (group, request) else {
                return;
            };
            let Some(shard) = group.route.shared else {
                return;
            };
            let sum = counts.entry((shard, group.route.group, epoch)).or_default();
            sum.add(request, is_reading);
        };
        for attempt in self.attempts.values() {
            let is_reading = !attempt.has_first_byte();
            count(
                Some(attempt.group),
                attempt.epoch,
                attempt.request,
                is_reading,
            );
        }
        for (key, _) in &capacity.held {
            if let Some(grant) = self.requests.get(*key).and_then(|it| it.shared.grant) {
                count(self.groups.key(grant.group), grant.epoch, *key, true);
            }
        }
        let mut running: HashMap<Shard, Vec<GroupRunning>> = HashMap::new();
        for ((shard, group, epoch), counts) in counts {
            let groups = running.entry(shard).or_default();
            groups.push(counts.of_group(group, epoch));
        }
        running
    }
}

/// Whether a wait for the first byte misses the request's objective.
fn is_late(request: &Request, wait: Duration) -> bool {
    request
        .info
        .objective
        .is_some_and(|objective| wait > objective)
}

fn as_micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}
