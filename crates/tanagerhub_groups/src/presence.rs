//! Which nodes are there, and which of them plans.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::DataCentreId;
use tanagerhub_clock::Moment;
use tanagerhub_table::{RowVersion, VersionedRow};

use crate::KnownBoots;
use crate::rows::{RowError, decode, encode};

/// Time between two writes of the presence row of a node that plans.
const PLANNER_WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Nodes, the first by name, that watch closely whether another one plans.
pub const SUCCESSOR_COUNT: usize = 3;
/// The least time between two writes of the presence row of any other node.
const WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// What each node adds to that time, so that the writes of a large fleet stay few.
const WRITE_INTERVAL_PER_NODE: Duration = Duration::from_millis(250);
/// Silence after which a planner is replaced.
const PLANNER_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Silence after which a planner is replaced by a node that looks rarely.
const SLOW_PLANNER_TIMEOUT: Duration = Duration::from_secs(12);
/// How much later than its period a row of a node that does not plan may be seen.
const ROW_DELAY_TOLERANCE: Duration = Duration::from_millis(1_500);
/// Periods without a row after which a node no longer counts.
const MISSED_WRITES_LIMIT: u32 = 3;
/// The time over which nodes spread their attempts to plan.
const PLANNING_JITTER: Duration = Duration::from_millis(250);

/// What a node writes of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresenceRow {
    /// Drawn at each start of the process.
    pub boot: u64,
    /// Whether it plans.
    pub planning: bool,
    /// Whether it is about to end, and will not plan again.
    pub stopping: bool,
    /// Rises with each write.
    pub write_count: u64,
    /// Where its peers hear of the store's rows.
    pub relay: Option<RelayEndpoint>,
}

/// Where a node tells its peers of the store's rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayEndpoint {
    /// The node's data centre.
    pub data_centre: DataCentreId,
    /// The address that peers ask.
    pub address: SocketAddr,
}

/// What [`Presence`] wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PresenceAction {
    /// Write this node's row.
    Write(Vec<u8>),
    /// Try to become the planner.
    BecomePlanner(KnownBoots),
}

/// The nodes that are there, judged by the changes of their rows.
#[derive(Debug)]
pub struct Presence {
    node: String,
    own: PresenceRow,
    written_at: Option<Moment>,
    nodes: BTreeMap<String, NodeEntry>,
    /// Since when no planner is seen.
    vacant_since: Option<Moment>,
    planning_delay: Duration,
}

#[derive(Debug)]
struct NodeEntry {
    row: PresenceRow,
    version: RowVersion,
    updated_at: Moment,
    /// The start before this one, whose writes may still be applied late.
    previous_boot: Option<u64>,
}

impl NodeEntry {
    fn new(row: PresenceRow, version: RowVersion, updated_at: Moment) -> Self {
        Self {
            row,
            version,
            updated_at,
            previous_boot: None,
        }
    }

    /// Takes in a newer row, unless it was written by the start before.
    fn update(&mut self, row: PresenceRow, version: RowVersion, updated_at: Moment) {
        self.version = version;
        if self.previous_boot == Some(row.boot) {
            return;
        }
        if row.boot != self.row.boot {
            self.previous_boot = Some(self.row.boot);
        }
        self.row = row;
        self.updated_at = updated_at;
    }
}

impl Presence {
    /// A node that knows nobody yet; `boot` and `draw` are random numbers.
    #[must_use]
    pub fn new(node: impl Into<String>, boot: u64, draw: u64) -> Self {
        let own = PresenceRow {
            boot,
            planning: false,
            stopping: false,
            write_count: 0,
            relay: None,
        };
        let jitter = u64::try_from(PLANNING_JITTER.as_millis()).unwrap_or(u64::MAX);
        Self {
            node: node.into(),
            own,
            written_at: None,
            nodes: BTreeMap::new(),
            vacant_since: None,
            planning_delay: Duration::from_millis(draw % jitter),
        }
    }

    /// Sets where this node tells its peers of the store's rows.
    #[must_use]
    pub const fn relay(mut self, endpoint: RelayEndpoint) -> Self {
        self.own.relay = Some(endpoint);
        self
    }

    /// Takes in changed rows; `all` says that rows which are not among them are gone.
    ///
    /// # Errors
    ///
    /// Names the first row that can't be read; the others are taken in all the same.
    pub fn apply_rows(
        &mut self,
        now: Moment,
        rows: &[VersionedRow],
        all: bool,
    ) -> Result<(), RowError> {
        if all {
            let listed = |name: &String| rows.iter().any(|row| row.key.name() == name);
            self.nodes.retain(|name, _| listed(name));
        }
        let mut result = Ok(());
        for row in rows {
            let name = row.key.name();
            let Some(value) = &row.value else {
                self.nodes.remove(name);
                continue;
            };
            if self
                .nodes
                .get(name)
                .is_some_and(|entry| entry.version >= row.version)
            {
                continue;
            }
            match decode(&row.key, value) {
                Ok(content) => self.update_node(now, name, content, row.version),
                Err(error) => result = result.and(Err(error)),
            }
        }
        result
    }

    fn update_node(&mut self, now: Moment, name: &str, row: PresenceRow, version: RowVersion) {
        if let Some(entry) = self.nodes.get_mut(name) {
            entry.update(row, version, now);
            return;
        }
        let entry = NodeEntry::new(row, version, now);
        self.nodes.insert(name.to_owned(), entry);
    }

    /// Takes in whether this node plans.
    pub fn set_planning(&mut self, planning: bool) {
        if self.own.planning != planning {
            self.own.planning = planning;
            self.written_at = None;
        }
    }

    /// Takes in that this node is about to end.
    pub fn set_stopping(&mut self) {
        self.own.planning = false;
        self.own.stopping = true;
        self.written_at = None;
    }

    /// The starts of all other nodes, by whether they are there.
    fn known_boots(&self, now: Moment) -> KnownBoots {
        let mut known_boots = KnownBoots::default();
        for (name, entry) in &self.nodes {
            let limit = if entry.row.planning {
                self.planner_timeout(now)
            } else {
                self.write_interval() + ROW_DELAY_TOLERANCE
            };
            let list =
                if *name == self.node || entry.row.stopping || now.since(entry.updated_at) >= limit
                {
                    &mut known_boots.ended
                } else {
                    &mut known_boots.live
                };
            list.push(entry.row.boot);
            known_boots.ended.extend(entry.previous_boot);
        }
        known_boots
    }

    /// The nodes that are there, this one included.
    #[must_use]
    pub fn live_nodes(&self, now: Moment) -> usize {
        let others = self
            .live_entries(now)
            .filter(|(name, _)| **name != self.node);
        others.count() + 1
    }

    /// How many live nodes precede this one by name.
    #[must_use]
    pub fn rank(&self, now: Moment) -> usize {
        let before = self
            .live_entries(now)
            .filter(|(name, _)| **name < self.node);
        before.count()
    }

    /// Where this node hears of the store's rows, the best first; nowhere if it is to ask the store.
    ///
    /// A node hears from those of its data centre that precede it by name, so nobody hears from
    /// itself by a detour.
    #[must_use]
    pub fn relay_addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let Some(own) = self.own.relay else {
            return Vec::new();
        };
        self.live_entries(now)
            .filter(|(name, entry)| **name < self.node && !entry.row.stopping)
            .filter_map(|(_, entry)| entry.row.relay)
            .filter(|relay| relay.data_centre == own.data_centre)
            .map(|relay| relay.address)
            .collect()
    }

    /// How many nodes follow the rows at the store itself while all are well.
    #[must_use]
    pub fn store_readers(&self, now: Moment) -> usize {
        let Some(own) = self.own.relay else {
            return self.live_nodes(now);
        };
        let relays = self
            .live_entries(now)
            .filter_map(|(_, entry)| entry.row.relay);
        let data_centres: BTreeSet<DataCentreId> = relays
            .map(|relay| relay.data_centre)
            .chain([own.data_centre])
            .collect();
        let without_relay = self
            .live_entries(now)
            .filter(|(name, entry)| **name != self.node && entry.row.relay.is_none());
        data_centres.len() + without_relay.count()
    }

    fn live_entries(&self, now: Moment) -> impl Iterator<Item = (&String, &NodeEntry)> {
        let limit = self.write_interval() * MISSED_WRITES_LIMIT;
        let live = move |entry: &NodeEntry| now.since(entry.updated_at) < limit;
        self.nodes.iter().filter(move |(_, entry)| live(entry))
    }

    /// Time between two writes of a node that does not plan.
    fn write_interval(&self) -> Duration {
        let nodes = u32::try_from(self.nodes.len()).unwrap_or(u32::MAX);
        WRITE_INTERVAL.max(WRITE_INTERVAL_PER_NODE.saturating_mul(nodes))
    }

    /// Whether another node plans, as far as is known.
    #[must_use]
    pub fn has_other_planner(&self, now: Moment) -> bool {
        let limit = self.planner_timeout(now);
        self.nodes.iter().any(|(name, entry)| {
            *name != self.node && entry.row.planning && now.since(entry.updated_at) < limit
        })
    }

    /// The silence after which this node takes a planner for gone.
    ///
    /// Only the first few nodes follow the rows closely, so that the others need not.
    fn planner_timeout(&self, now: Moment) -> Duration {
        if self.rank(now) < SUCCESSOR_COUNT {
            PLANNER_TIMEOUT
        } else {
            SLOW_PLANNER_TIMEOUT
        }
    }

    /// What is due now; `knows` says that the rows of the nodes are known and up to date.
    pub fn tick(&mut self, now: Moment, rows_current: bool) -> Vec<PresenceAction> {
        let mut actions = Vec::new();
        let interval = if self.own.planning {
            PLANNER_WRITE_INTERVAL
        } else {
            self.write_interval()
        };
        if self.written_at.is_none_or(|at| now.since(at) >= interval) {
            self.written_at = Some(now);
            self.own.write_count += 1;
            actions.push(PresenceAction::Write(encode(&self.own)));
        }
        if self.is_planning_due(now, rows_current) {
            actions.push(PresenceAction::BecomePlanner(self.known_boots(now)));
        }
        actions
    }

    /// Whether the planner's place has been vacant long enough for this node's turn.
    fn is_planning_due(&mut self, now: Moment, rows_current: bool) -> bool {
        if self.own.planning || !rows_current || self.has_other_planner(now) {
            self.vacant_since = None;
            return false;
        }
        let since = *self.vacant_since.get_or_insert(now);
        if now.since(since) < self.planning_delay {
            return false;
        }
        self.vacant_since = None;
        true
    }
}
