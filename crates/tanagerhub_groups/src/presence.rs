//! Liveness of the nodes, and succession of the planner.

mod node_entry;
mod peers;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{DataCentreId, NodeId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{FeedPage, PageKind, RowKey, StoreEra, StoreVersion};

use crate::groups::{TERM_GAP, TERM_LENGTH};
use crate::rows::{RowError, decode, encode};
use crate::{KnownBoots, LapsedBoot, Pledge};

use node_entry::NodeEntry;

/// The interval at which the planner writes its presence row.
const PLANNER_WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of nodes, first by name, that watch closely whether there is a planner.
pub const SUCCESSOR_COUNT: usize = 3;
/// The shortest interval at which a node that is not the planner writes its presence row.
const WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// The write interval of a node that is not the planner is at least this time multiplied by the
/// number of nodes, which limits the number of writes in a large fleet.
const WRITE_INTERVAL_PER_NODE: Duration = Duration::from_millis(250);
/// The time without a new presence row after which a planner is replaced.
const PLANNER_TIMEOUT: Duration = TERM_LENGTH.saturating_add(TERM_GAP);
/// The same timeout on nodes that read the rows rarely.
pub const SLOW_PLANNER_TIMEOUT: Duration = Duration::from_secs(12);
/// How much later than its write interval the row of a node that is not the planner may be read.
const ROW_DELAY_TOLERANCE: Duration = Duration::from_millis(1_500);
/// The number of missed writes after which a node no longer counts as live.
const MISSED_WRITES_LIMIT: u32 = 3;
/// The longest time between two ticks of a node that runs. After a longer one it stood still, and may
/// not have read what others wrote.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);
/// How old the last read may be for a node that reaches the store.
const MAX_READ_AGE: Duration = Duration::from_secs(1);
/// The range over which nodes spread their attempts to become the planner.
const PLANNING_JITTER: Duration = Duration::from_millis(250);

/// A node's row about itself, which other nodes read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresenceRow {
    /// The boot id, a random number drawn at each start of the process.
    pub boot: u64,
    /// Whether the node is the planner.
    pub planning: bool,
    /// Whether the process is about to end and will not become the planner again.
    pub stopping: bool,
    /// The number of writes since the start of the process.
    pub write_count: u64,
    /// The endpoint that relays the store's rows to other nodes, if any.
    pub relay: Option<RelayEndpoint>,
}

/// The endpoint at which a node relays the store's rows to other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayEndpoint {
    /// The node's data centre.
    pub data_centre: DataCentreId,
    /// The address that other nodes connect to.
    pub address: SocketAddr,
}

/// Another live node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// The node's id.
    pub node: NodeId,
    /// The boot id of its process.
    pub boot: u64,
    /// The endpoint at which it serves other nodes.
    pub endpoint: RelayEndpoint,
    /// Whether the process is about to end.
    pub stopping: bool,
}

/// A node's answer to a planner that asks for a promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Promised {
    /// It is given.
    Given,
    /// The node may plan itself, so the planner is to give way.
    Refused,
    /// The node may have pledged something else. It doesn't plan itself.
    NotYet,
}

/// An action that [`Presence`] requests from its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PresenceAction {
    /// Write this value to the node's presence row.
    Write(Vec<u8>),
    /// Try to become the planner.
    BecomePlanner {
        /// The processes that may be the planner, and those that are not.
        boots: KnownBoots,
        /// The value of this node's row as the planner, to be written with the planner's row.
        value: Vec<u8>,
    },
}

/// The live nodes, determined by changes of their rows.
#[derive(Debug)]
pub struct Presence {
    node: String,
    own: PresenceRow,
    written_at: Option<Moment>,
    nodes: BTreeMap<String, NodeEntry>,
    /// When the rows were last read; `None` before the first time.
    read_at: Option<Moment>,
    /// Whether the last attempt to read the rows failed.
    read_failed: bool,
    /// Since when this node has run and read the rows without interruption; `None` before the first
    /// time. A planner counts as silent only for as long.
    observing_since: Option<Moment>,
    /// The era of the rows that were read last.
    era: Option<StoreEra>,
    ticked_at: Option<Moment>,
    /// What this node has pledged to planners.
    pledge: Pledge,
    /// When this node first found that there is no planner.
    vacant_since: Option<Moment>,
    planning_delay: Duration,
}

impl Presence {
    /// Creates the state of a node that knows no other nodes. `boot` and `draw` are random numbers.
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
            read_at: None,
            read_failed: false,
            observing_since: None,
            era: None,
            ticked_at: None,
            pledge: Pledge::default(),
            vacant_since: None,
            planning_delay: Duration::from_millis(draw % jitter),
        }
    }

    /// Sets the endpoint at which this node relays the store's rows.
    #[must_use]
    pub const fn relay(mut self, endpoint: RelayEndpoint) -> Self {
        self.own.relay = Some(endpoint);
        self
    }

    /// Applies a page of rows. Nodes without a row are removed by one with all rows, unless the
    /// store lost their rows and they may still be live.
    ///
    /// A restored page tells nothing new of a known node, as it may be older than what is known.
    ///
    /// # Errors
    ///
    /// Returns the error of the first row that can't be decoded; the other rows are still applied.
    /// The node of such a row counts as live, with nothing else known of it: its share of limits is
    /// its own, whatever its build.
    pub fn apply_page(
        &mut self,
        now: Moment,
        page: &FeedPage,
        kind: PageKind,
    ) -> Result<(), RowError> {
        self.observe(now, page.era);
        if std::mem::take(&mut self.read_failed) {
            self.end_outage(now);
        }
        self.read_at = Some(now);
        if kind == PageKind::All {
            self.remove_unlisted(now, page);
        }
        let mut result = Ok(());
        for row in &page.rows {
            let name = row.key.name();
            let Some(value) = &row.value else {
                self.nodes.remove(name);
                continue;
            };
            let version = StoreVersion::new(page.era, row.version);
            let known = self.nodes.get_mut(name);
            if known.as_ref().is_some_and(|it| it.version >= version) {
                continue;
            }
            let content = decode(&row.key, value);
            if let Some(known) = known.filter(|_| kind == PageKind::Restored)
                && !content.as_ref().is_ok_and(|row| known.is_continued_by(row))
            {
                known.version = version;
                continue;
            }
            match content {
                Ok(content) => self.update_node(now, &row.key, Some(content), version),
                Err(error) => {
                    self.update_node(now, &row.key, None, version);
                    result = result.and(Err(error));
                }
            }
        }
        result
    }

    /// Removes the nodes without a row. Those whose row was lost with an earlier era stay while
    /// they may be live; they write it again once they notice.
    fn remove_unlisted(&mut self, now: Moment, page: &FeedPage) {
        let timeout = self.write_interval() * MISSED_WRITES_LIMIT;
        let listed: BTreeSet<&str> = page.rows.iter().map(|row| row.key.name()).collect();
        self.nodes.retain(|name, entry| {
            let is_lost = entry.version.era < page.era && now.since(entry.updated_at) < timeout;
            is_lost || listed.contains(name.as_str())
        });
    }

    /// Has this node's row written at the next tick, since the store may have lost it.
    pub const fn write_again(&mut self) {
        self.written_at = None;
    }

    /// Records that reading the rows failed. Until the next success no node ages, since none may be
    /// able to write its row.
    pub const fn record_read_failure(&mut self) {
        self.read_failed = true;
    }

    /// Begins to observe the rows anew after what may have kept this node from reading them, or what
    /// gave them other versions.
    fn observe(&mut self, now: Moment, era: Option<StoreEra>) {
        let is_continued = !self.read_failed && !self.stood_still(now) && self.era == era;
        if !is_continued {
            self.observing_since = Some(now);
        }
        self.observing_since.get_or_insert(now);
        self.era = era;
    }

    /// Returns whether the node has not run for a while before `now`.
    fn stood_still(&self, now: Moment) -> bool {
        self.ticked_at
            .is_some_and(|at| now.since(at) > MAX_TICK_GAP)
    }

    /// Returns for how long this node has observed a row without a change.
    fn unchanged_time(&self, now: Moment, entry: &NodeEntry) -> Duration {
        let since = self.observing_since.unwrap_or(now);
        now.since(entry.updated_at.max(since))
    }

    fn end_outage(&mut self, now: Moment) {
        let timeout = self.write_interval() * MISSED_WRITES_LIMIT;
        let at = self.read_at.unwrap_or(now);
        for entry in self.nodes.values_mut() {
            if at.since(entry.updated_at.max(entry.outage_end)) < timeout {
                entry.outage_end = now;
            }
        }
    }

    /// Promises not to become the planner for as long as a planner may be silent, unless this node
    /// reads the rows itself or is the planner. `store_fails` states that the last call to the store
    /// failed.
    pub fn promise(&mut self, now: Moment, store_fails: bool) -> Promised {
        let is_current = |at: Moment| !self.read_failed && now.since(at) < MAX_READ_AGE;
        let reads = !store_fails && self.read_at.is_some_and(is_current);
        if self.own.planning || reads {
            Promised::Refused
        } else if self.pledge.promise(now) {
            Promised::Given
        } else {
            Promised::NotYet
        }
    }

    /// Consents that another node takes over from a silent planner after the returned time, and
    /// promises nothing to that planner from now on.
    pub fn consent(&mut self, now: Moment) -> Duration {
        self.pledge.consent(now)
    }

    fn update_node(
        &mut self,
        now: Moment,
        key: &RowKey,
        row: Option<PresenceRow>,
        version: StoreVersion,
    ) {
        let entry = self
            .nodes
            .entry(key.name().to_owned())
            .or_insert_with(|| NodeEntry::new(key.clone(), version, now));
        entry.update(row, version, now);
    }

    /// Sets whether this node is the planner. A change is written at the next tick.
    pub fn set_planning(&mut self, planning: bool) {
        if self.own.planning != planning {
            self.own.planning = planning;
            self.written_at = None;
        }
    }

    /// Marks this node as stopping. This is written at the next tick.
    pub fn set_stopping(&mut self) {
        self.own.planning = false;
        self.own.stopping = true;
        self.written_at = None;
    }

    /// Returns the known boot ids, divided into live and ended ones.
    ///
    /// The boot id in this node's own row counts as ended, since it belongs to this process or an
    /// earlier one. Nodes that merely don't write their rows have lapsed. That of a node whose newest
    /// row can't be decoded is none of these: another process may have written the row.
    fn known_boots(&self, now: Moment) -> KnownBoots {
        let mut known_boots = KnownBoots::default();
        for (name, entry) in &self.nodes {
            known_boots.ended.extend(entry.previous_boot);
            let Some(row) = entry.row() else {
                continue;
            };
            let timeout = if row.planning {
                self.planner_timeout(now)
            } else {
                self.write_interval() + ROW_DELAY_TOLERANCE
            };
            if *name == self.node || row.stopping {
                known_boots.ended.push(row.boot);
            } else if self.unchanged_time(now, entry) >= timeout {
                known_boots.lapsed.push(LapsedBoot {
                    boot: row.boot,
                    row: entry.key.clone(),
                    version: entry.version,
                    unchanged: self.unchanged_time(now, entry),
                });
            } else {
                known_boots.live.push(row.boot);
            }
        }
        known_boots
    }

    /// Returns the number of live nodes, including this one.
    #[must_use]
    pub fn live_nodes(&self, now: Moment) -> usize {
        let others = self
            .live_entries(now)
            .filter(|(name, _)| **name != self.node);
        others.count() + 1
    }

    /// Returns the number of live nodes that precede this one by name.
    #[must_use]
    pub fn rank(&self, now: Moment) -> usize {
        let before = self
            .live_entries(now)
            .filter(|(name, _)| **name < self.node);
        before.count()
    }

    /// Returns the write interval of a node that is not the planner.
    fn write_interval(&self) -> Duration {
        let nodes = u32::try_from(self.nodes.len()).unwrap_or(u32::MAX);
        WRITE_INTERVAL.max(WRITE_INTERVAL_PER_NODE.saturating_mul(nodes))
    }

    /// Returns the name of the node that holds the planner's row, by its own presence row; `None` if none
    /// says so.
    #[must_use]
    pub fn planner(&self) -> Option<&str> {
        if self.own.planning {
            return Some(&self.node);
        }
        let planning = self.nodes.iter().filter(|(_, entry)| entry.is_planning());
        let newest = planning.max_by_key(|(_, entry)| entry.version);
        newest.map(|(name, _)| name.as_str())
    }

    /// Returns whether another node is the planner, according to its row.
    #[must_use]
    pub fn has_other_planner(&self, now: Moment) -> bool {
        let timeout = self.planner_timeout(now);
        self.nodes.iter().any(|(name, entry)| {
            *name != self.node && entry.is_planning() && self.unchanged_time(now, entry) < timeout
        })
    }

    /// Returns the time without a new row after which this node considers a planner ended.
    ///
    /// Only the first few nodes read the rows often; the others use a longer timeout.
    fn planner_timeout(&self, now: Moment) -> Duration {
        if self.rank(now) < SUCCESSOR_COUNT {
            PLANNER_TIMEOUT
        } else {
            SLOW_PLANNER_TIMEOUT
        }
    }

    /// Returns the due actions. `rows_current` states that the rows of the nodes have been read and
    /// are up to date.
    pub fn tick(&mut self, now: Moment, rows_current: bool) -> Vec<PresenceAction> {
        if self.stood_still(now) {
            self.observing_since = self.observing_since.map(|_| now);
        }
        self.ticked_at = Some(now);
        self.pledge.record_run(now);
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
            let boots = self.known_boots(now);
            let value = self.planner_value();
            actions.push(PresenceAction::BecomePlanner { boots, value });
        }
        actions
    }

    /// Returns the value of this node's row once it is the planner.
    fn planner_value(&mut self) -> Vec<u8> {
        self.own.write_count += 1;
        let row = PresenceRow {
            planning: true,
            ..self.own.clone()
        };
        encode(&row)
    }

    /// Returns whether there has been no planner for as long as this node's delay.
    fn is_planning_due(&mut self, now: Moment, rows_current: bool) -> bool {
        let may_plan = rows_current && !self.pledge.is_bound(now);
        if self.own.planning || !may_plan || self.has_other_planner(now) {
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
