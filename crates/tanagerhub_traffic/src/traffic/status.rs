//! The traffic part of the state dump.

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;
use tanagerhub_capacity::BorrowerStatus;
use tanagerhub_catalogue::{EntryId, Epoch, GroupId, OrganisationId};
use tanagerhub_clock::Moment;

use super::Traffic;
use crate::{Counters, CrashFact, DrainState, Share};

/// Maximum number of crashing requests in the dump.
const MAX_SHOWN_CRASHES: usize = 100;

/// The state of a node's traffic.
#[derive(Debug, Clone, Serialize)]
pub struct TrafficStatus {
    /// Whether the node's view is fresh enough to accept new requests.
    pub takes_work: bool,
    /// The phase of a graceful shutdown.
    pub drain: DrainState,
    /// This node's share of the limits that hold over all nodes.
    pub share: Share,
    /// Number of requests that wait or run.
    pub open: usize,
    /// Number of prompt prefixes in the routing index.
    pub prefixes: usize,
    /// Counters since the node's start.
    pub counters: Counters,
    /// Status of each entry, ordered by id.
    pub entries: Vec<EntryStatus>,
    /// Organisations with requests that wait or run, ordered by id.
    pub organisations: Vec<OrganisationStatus>,
    /// Status of each group, ordered by id.
    pub groups: Vec<GroupStatus>,
    /// Requests that crashed backend servers, newest first.
    pub crashes: Vec<CrashFact>,
    /// Loans and asks at the coordinators of shared capacity.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub capacity: Option<BorrowerStatus>,
}

/// Status of one entry.
#[serde_as]
#[derive(Debug, Clone, Serialize)]
pub struct EntryStatus {
    /// Id of the entry.
    pub entry: EntryId,
    /// Number of eligible groups that do not drain.
    pub serving: usize,
    /// Number of requests that wait for a group.
    pub waiting: usize,
    /// Number of attempts that run.
    pub running: u32,
    /// Extra attempts left in the retry budget.
    pub retry_budget: f64,
    /// Moving average of the time from dispatch to the end of the response.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "service_ms")]
    pub service: Duration,
}

/// Status of one organisation.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct OrganisationStatus {
    /// Id of the organisation.
    pub organisation: OrganisationId,
    /// Number of its requests that wait or run.
    pub active: u32,
}

/// Status of one group at this node.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct GroupStatus {
    /// Id of the group.
    pub group: GroupId,
    /// Epoch of the group in the newest routes.
    pub epoch: Epoch,
    /// Whether its route is eligible and does not drain.
    pub takes_work: bool,
    /// Whether it has room for one more request from this node now.
    pub has_room: bool,
    /// This node's slots while the group is in cold start; `None` when it is warm.
    pub cold: Option<u32>,
    /// Number of requests in flight from this node.
    pub in_flight: u32,
    /// Number of these requests without a first byte.
    pub unanswered: u32,
}

impl Traffic {
    /// Returns the state for the dump.
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
            crashes: self.crashes.facts(now, MAX_SHOWN_CRASHES),
            capacity: self.capacity.as_ref().map(|it| it.borrower.status(now)),
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
                    unanswered: group.awaiting_first_byte,
                }
            })
            .collect();
        groups.sort_unstable_by_key(|it| it.group);
        groups
    }
}
