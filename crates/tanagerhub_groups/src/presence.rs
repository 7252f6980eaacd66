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
const PLANNER_PERIOD: Duration = Duration::from_secs(1);
/// Nodes, the first by name, that watch closely whether another one plans.
pub const SUCCESSORS: usize = 3;
/// The least time between two writes of the presence row of any other node.
const PERIOD: Duration = Duration::from_secs(5);
/// What each node adds to that time, so that the writes of a large fleet stay few.
const PERIOD_STEP: Duration = Duration::from_millis(250);
/// Silence after which a planner is replaced.
const PLANNER_LIMIT: Duration = Duration::from_millis(2_600);
/// Silence after which a planner is replaced by a node that looks rarely.
const SLOW_LIMIT: Duration = Duration::from_secs(12);
/// How much later than its period a row of a node that does not plan may be seen.
const QUIET_SLACK: Duration = Duration::from_millis(1_500);
/// Periods without a row after which a node no longer counts.
const PERIODS: u32 = 3;
/// The time over which nodes spread their attempts to plan.
const SPREAD: Duration = Duration::from_millis(250);

/// What a node writes of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresenceRow {
    /// Drawn at each start of the process.
    pub boot: u64,
    /// Whether it plans.
    pub plans: bool,
    /// Whether it is about to end, and will not plan again.
    pub stops: bool,
    /// Rises with each write.
    pub count: u64,
    /// Where its peers hear of the store's rows.
    pub relay: Option<RelayPlace>,
}

/// Where a node tells its peers of the store's rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayPlace {
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
    Plan(KnownBoots),
}

/// The nodes that are there, judged by the changes of their rows.
#[derive(Debug)]
pub struct Presence {
    node: String,
    own: PresenceRow,
    written: Option<Moment>,
    nodes: BTreeMap<String, Seen>,
    /// Since when no planner is seen.
    vacant: Option<Moment>,
    turn: Duration,
}

#[derive(Debug)]
struct Seen {
    row: PresenceRow,
    version: RowVersion,
    at: Moment,
    /// The start before this one, whose writes may still be applied late.
    former: Option<u64>,
}

impl Seen {
    fn new(row: PresenceRow, version: RowVersion, at: Moment) -> Self {
        Self {
            row,
            version,
            at,
            former: None,
        }
    }

    /// Takes in a newer row, unless it was written by the start before.
    fn update(&mut self, row: PresenceRow, version: RowVersion, at: Moment) {
        self.version = version;
        if self.former == Some(row.boot) {
            return;
        }
        if row.boot != self.row.boot {
            self.former = Some(self.row.boot);
        }
        self.row = row;
        self.at = at;
    }
}

impl Presence {
    /// A node that knows nobody yet; `boot` and `draw` are random numbers.
    #[must_use]
    pub fn new(node: impl Into<String>, boot: u64, draw: u64) -> Self {
        let own = PresenceRow {
            boot,
            plans: false,
            stops: false,
            count: 0,
            relay: None,
        };
        let spread = u64::try_from(SPREAD.as_millis()).unwrap_or(u64::MAX);
        Self {
            node: node.into(),
            own,
            written: None,
            nodes: BTreeMap::new(),
            vacant: None,
            turn: Duration::from_millis(draw % spread),
        }
    }

    /// Sets where this node tells its peers of the store's rows.
    #[must_use]
    pub const fn relay(mut self, place: RelayPlace) -> Self {
        self.own.relay = Some(place);
        self
    }

    /// Takes in changed rows; `all` says that rows which are not among them are gone.
    ///
    /// # Errors
    ///
    /// Names the first row that can't be read; the others are taken in all the same.
    pub fn rows(&mut self, now: Moment, rows: &[VersionedRow], all: bool) -> Result<(), RowError> {
        if all {
            let listed = |name: &String| rows.iter().any(|row| row.key.name() == name);
            self.nodes.retain(|name, _| listed(name));
        }
        let mut verdict = Ok(());
        for row in rows {
            let name = row.key.name();
            let Some(value) = &row.value else {
                self.nodes.remove(name);
                continue;
            };
            if self
                .nodes
                .get(name)
                .is_some_and(|seen| seen.version >= row.version)
            {
                continue;
            }
            match decode(&row.key, value) {
                Ok(content) => self.see(now, name, content, row.version),
                Err(error) => verdict = verdict.and(Err(error)),
            }
        }
        verdict
    }

    fn see(&mut self, now: Moment, name: &str, row: PresenceRow, version: RowVersion) {
        if let Some(seen) = self.nodes.get_mut(name) {
            seen.update(row, version, now);
            return;
        }
        let seen = Seen::new(row, version, now);
        self.nodes.insert(name.to_owned(), seen);
    }

    /// Takes in whether this node plans.
    pub fn plans(&mut self, plans: bool) {
        if self.own.plans != plans {
            self.own.plans = plans;
            self.written = None;
        }
    }

    /// Takes in that this node is about to end.
    pub fn stops(&mut self) {
        self.own.plans = false;
        self.own.stops = true;
        self.written = None;
    }

    /// The starts of all other nodes, by whether they are there.
    fn boots(&self, now: Moment) -> KnownBoots {
        let mut boots = KnownBoots::default();
        for (name, seen) in &self.nodes {
            let limit = if seen.row.plans {
                self.planner_limit(now)
            } else {
                self.period() + QUIET_SLACK
            };
            let list = if *name == self.node || seen.row.stops || now.since(seen.at) >= limit {
                &mut boots.gone
            } else {
                &mut boots.live
            };
            list.push(seen.row.boot);
            boots.gone.extend(seen.former);
        }
        boots
    }

    /// The nodes that are there, this one included.
    #[must_use]
    pub fn live(&self, now: Moment) -> usize {
        let others = self.seen_live(now).filter(|(name, _)| **name != self.node);
        others.count() + 1
    }

    /// How many live nodes precede this one by name.
    #[must_use]
    pub fn place(&self, now: Moment) -> usize {
        let before = self.seen_live(now).filter(|(name, _)| **name < self.node);
        before.count()
    }

    /// Where this node hears of the store's rows, the best first; nowhere if it is to ask the store.
    ///
    /// A node hears from those of its data centre that precede it by name, so nobody hears from
    /// itself by a detour.
    #[must_use]
    pub fn relays(&self, now: Moment) -> Vec<SocketAddr> {
        let Some(own) = self.own.relay else {
            return Vec::new();
        };
        self.seen_live(now)
            .filter(|(name, seen)| **name < self.node && !seen.row.stops)
            .filter_map(|(_, seen)| seen.row.relay)
            .filter(|relay| relay.data_centre == own.data_centre)
            .map(|relay| relay.address)
            .collect()
    }

    /// How many nodes follow the rows at the store itself while all are well.
    #[must_use]
    pub fn askers(&self, now: Moment) -> usize {
        let Some(own) = self.own.relay else {
            return self.live(now);
        };
        let relays = self.seen_live(now).filter_map(|(_, seen)| seen.row.relay);
        let centres: BTreeSet<DataCentreId> = relays
            .map(|relay| relay.data_centre)
            .chain([own.data_centre])
            .collect();
        let alone = self
            .seen_live(now)
            .filter(|(name, seen)| **name != self.node && seen.row.relay.is_none());
        centres.len() + alone.count()
    }

    fn seen_live(&self, now: Moment) -> impl Iterator<Item = (&String, &Seen)> {
        let limit = self.period() * PERIODS;
        let live = move |seen: &Seen| now.since(seen.at) < limit;
        self.nodes.iter().filter(move |(_, seen)| live(seen))
    }

    /// Time between two writes of a node that does not plan.
    fn period(&self) -> Duration {
        let nodes = u32::try_from(self.nodes.len()).unwrap_or(u32::MAX);
        PERIOD.max(PERIOD_STEP.saturating_mul(nodes))
    }

    /// Whether another node plans, as far as is known.
    #[must_use]
    pub fn other_plans(&self, now: Moment) -> bool {
        let limit = self.planner_limit(now);
        self.nodes
            .iter()
            .any(|(name, seen)| *name != self.node && seen.row.plans && now.since(seen.at) < limit)
    }

    /// The silence after which this node takes a planner for gone.
    ///
    /// Only the first few nodes follow the rows closely, so that the others need not.
    fn planner_limit(&self, now: Moment) -> Duration {
        if self.place(now) < SUCCESSORS {
            PLANNER_LIMIT
        } else {
            SLOW_LIMIT
        }
    }

    /// What is due now; `knows` says that the rows of the nodes are known and up to date.
    pub fn tick(&mut self, now: Moment, knows: bool) -> Vec<PresenceAction> {
        let mut actions = Vec::new();
        let period = if self.own.plans {
            PLANNER_PERIOD
        } else {
            self.period()
        };
        if self.written.is_none_or(|at| now.since(at) >= period) {
            self.written = Some(now);
            self.own.count += 1;
            actions.push(PresenceAction::Write(encode(&self.own)));
        }
        if self.may_plan(now, knows) {
            actions.push(PresenceAction::Plan(self.boots(now)));
        }
        actions
    }

    /// Whether the planner's place has been vacant long enough for this node's turn.
    fn may_plan(&mut self, now: Moment, knows: bool) -> bool {
        if self.own.plans || !knows || self.other_plans(now) {
            self.vacant = None;
            return false;
        }
        let since = *self.vacant.get_or_insert(now);
        if now.since(since) < self.turn {
            return false;
        }
        self.vacant = None;
        true
    }
}
