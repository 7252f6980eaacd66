//! What operators see of a coordinator.

use serde::Serialize;
use tanagerhub_catalogue::{EntryId, Epoch, GroupId, NodeId, VmId};
use tanagerhub_clock::Moment;

use super::Coordinator;
use super::group::GroupState;
use super::placement::to_float;
use crate::first_byte::ExpectedWait;
use crate::shard::{Shard, as_text};
use crate::wait_queue::URGENCIES;

/// The state of a coordinator.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CoordinatorStatus {
    /// The shard whose backend servers the coordinator grants.
    #[serde(serialize_with = "as_text")]
    pub shard: Shard,
    /// The coordinator's node.
    pub node: NodeId,
    /// The boot id of its process.
    pub boot: u64,
    /// The node that is first in the shard's order; `None` if it is this one.
    pub next: Option<NodeId>,
    /// Whether the process is about to stop.
    pub is_stopping: bool,
    /// The number of nodes that lend.
    pub lenders: usize,
    /// Each entry.
    pub entries: Vec<EntryStatus>,
}

/// The state of an entry.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EntryStatus {
    /// The catalogue entry.
    pub entry: EntryId,
    /// Waiting asks of each urgency, from 0.
    pub waiting: [u32; URGENCIES],
    /// Requests that end per second, if it has been measured.
    pub ends_per_second: Option<f64>,
    /// Each group.
    pub groups: Vec<GroupStatus>,
}

/// The state of a group.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// The epoch of the group.
    pub epoch: Epoch,
    /// The VM that receives the requests.
    pub server: VmId,
    /// Requests of all nodes.
    pub requests: u32,
    /// Their prompt tokens and the maximum number of their output tokens.
    pub tokens: u64,
    /// Requests without a first byte.
    pub reading: u32,
    /// Their prompt tokens.
    pub reading_tokens: u64,
    /// The expected wait for the first byte behind these prompts, in milliseconds; `None` before
    /// any group of the entry has been measured.
    pub first_byte_ms: Option<f64>,
    /// The learned limit, in requests.
    pub limit: u32,
    /// The slots, in requests.
    pub slots: u32,
    /// The time that the group needs, relative to the median of the entry.
    pub slowness: f64,
    /// Whether the group gets only trial requests, because most of its attempts fail.
    pub is_failing: bool,
    /// Starts in any second that nodes lend.
    pub lent: u32,
    /// Starts of these that are available for grants.
    pub available: u32,
    /// Starts that can be granted now.
    pub starts_left: u32,
}

impl Coordinator {
    /// Returns the state at `now`, as of the last message.
    #[must_use]
    pub fn status(&self, now: Moment) -> CoordinatorStatus {
        let entries = self.entries.iter().map(|(&id, entry)| {
            let expected = entry.expected_waits(now);
            let states = entry.groups.iter().zip(entry.slowness(now)).zip(expected);
            EntryStatus {
                entry: id,
                waiting: *entry.queue.counts(),
                ends_per_second: entry.rate.per_second(entry.running(&self.loads)),
                groups: states
                    .map(|((state, slowness), expected)| {
                        self.group_status(now, state, slowness, expected)
                    })
                    .collect(),
            }
        });
        CoordinatorStatus {
            shard: self.shard,
            node: self.node,
            boot: self.boot,
            next: self.next,
            is_stopping: self.is_stopping,
            lenders: self.loans.lenders(),
            entries: entries.collect(),
        }
    }

    fn group_status(
        &self,
        now: Moment,
        state: &GroupState,
        slowness: f64,
        expected: Option<ExpectedWait>,
    ) -> GroupStatus {
        let group = state.group;
        let load = self.loads.of((group.group, group.epoch));
        let available = self.start_limit(&group);
        let window = self.windows.get(&group.server);
        GroupStatus {
            group: group.group,
            epoch: group.epoch,
            server: group.server,
            requests: load.requests,
            tokens: load.tokens,
            reading: load.reading,
            reading_tokens: load.reading_tokens,
            first_byte_ms: expected.map(|expected| {
                let wait = expected.with(to_float(load.reading_tokens));
                wait.as_secs_f64() * 1e3
            }),
            limit: state.limit.requests(),
            slots: group.slots,
            slowness,
            is_failing: state.failures.next_trial(now).is_some(),
            lent: self.loans.counted(group.server),
            available,
            starts_left: window.map_or(available, |window| window.peek(now, available)),
        }
    }
}
