//! What the state dump shows of traffic.

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;
use tanagerhub_catalogue::{EntryId, Epoch, GroupId, OrganisationId};
use tanagerhub_clock::Moment;

use super::Traffic;
use crate::{Counters, CrashFact, DrainState, Share};

/// Crashing requests shown in the dump at most.
const CRASHES_SHOWN: usize = 100;

/// The state of a node's traffic.
#[derive(Debug, Clone, Serialize)]
pub struct TrafficStatus {
    /// Whether new work is taken.
    pub takes_work: bool,
    /// How far a shutdown has come.
    pub drain: DrainState,
    /// This node's share of limits.
    pub share: Share,
    /// Requests that wait or run.
    pub open: usize,
    /// Prefixes remembered for routing.
    pub prefixes: usize,
    /// Counts since the start.
    pub counters: Counters,
    /// Entries by id.
    pub entries: Vec<EntryStatus>,
    /// Organisations with requests that wait or run.
    pub organisations: Vec<OrganisationStatus>,
    /// Groups by id.
    pub groups: Vec<GroupStatus>,
    /// Requests that crashed back ends, newest first.
    pub crashes: Vec<CrashFact>,
}

/// One entry's traffic.
#[serde_as]
#[derive(Debug, Clone, Serialize)]
pub struct EntryStatus {
    /// The entry.
    pub entry: EntryId,
    /// Groups that take work.
    pub serving: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Attempts that run.
    pub running: u32,
    /// Extra attempts left.
    pub retry_budget: f64,
    /// The usual time from dispatch to the end.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "service_ms")]
    pub service: Duration,
}

/// One organisation's traffic.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct OrganisationStatus {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Its requests that wait or run.
    pub active: u32,
}

/// One group as this node uses it.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// Its epoch.
    pub epoch: Epoch,
    /// Whether control lets it take work.
    pub takes_work: bool,
    /// Whether it has room for one more request from this node now.
    pub has_room: bool,
    /// This node's slots when it is in cold start.
    pub cold: Option<u32>,
    /// Requests in flight from this node.
    pub in_flight: u32,
    /// Of these, requests without a first byte.
    pub unanswered: u32,
}

impl Traffic {
    /// The state for the dump.
    #[must_use]
    pub fn status(&self, now: Moment) -> TrafficStatus {
        TrafficStatus {
            takes_work: self.takes_work,
            drain: self.drain_state(now),
            share: self.share.share(),
            open: self.requests.len(),
            prefixes: self.groups.prefixes.len(),
            counters: self.counters,
            entries: self.entry_statuses(),
            organisations: self.organisation_statuses(),
            groups: self.group_statuses(now),
            crashes: self.crashes.facts(now, CRASHES_SHOWN),
        }
    }

    fn entry_statuses(&self) -> Vec<EntryStatus> {
        let mut entries: Vec<EntryStatus> = self
            .entries
            .iter()
            .map(|(id, state)| EntryStatus {
                entry: *id,
                serving: self.groups.serving(*id),
                waiting: state.queue.len(),
                running: state.running,
                retry_budget: state.budget.level(),
                service: state.service_time(),
            })
            .collect();
        entries.sort_unstable_by_key(|it| it.entry);
        entries
    }

    fn organisation_statuses(&self) -> Vec<OrganisationStatus> {
        let mut organisations: Vec<OrganisationStatus> = self
            .organisations
            .iter()
            .filter(|(_, meter)| meter.active() > 0)
            .map(|(id, meter)| OrganisationStatus {
                organisation: *id,
                active: meter.active(),
            })
            .collect();
        organisations.sort_unstable_by_key(|it| it.organisation);
        organisations
    }

    fn group_statuses(&self, now: Moment) -> Vec<GroupStatus> {
        let live_nodes = self.share.share().nodes;
        let mut groups: Vec<GroupStatus> = self
            .groups
            .arena
            .values()
            .map(|group| {
                let entry = self.entries.get(&group.route.entry);
                let concurrency_limit = entry.map_or(0, |entry| entry.limits.concurrency);
                GroupStatus {
                    group: group.route.group,
                    epoch: group.route.epoch,
                    takes_work: group.route.takes_work(),
                    has_room: group.has_room(now, concurrency_limit, live_nodes),
                    cold: group.route.cold,
                    in_flight: group.in_flight,
                    unanswered: group.unanswered,
                }
            })
            .collect();
        groups.sort_unstable_by_key(|it| it.group);
        groups
    }
}
