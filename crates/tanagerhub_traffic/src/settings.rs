//! Settings of a node's traffic decisions.

use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{DataCentreId, NodeId};

/// Settings of [`Traffic`](crate::Traffic).
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::{DataCentreId, NodeId};
/// use tanagerhub_traffic::TrafficSettings;
///
/// let settings = TrafficSettings::default()
///     .node(NodeId::of("10.0.0.1:7400"), DataCentreId::of("tbs-a"))
///     .nodes(8);
/// assert_eq!(settings.nodes, 8);
/// ```
#[expect(
    clippy::struct_excessive_bools,
    reason = "switches that are independent of each other"
)]
#[serde_as]
#[derive(Debug, Clone, Serialize)]
pub struct TrafficSettings {
    /// This node's slot.
    pub node: NodeId,
    /// This node's data centre.
    pub data_centre: DataCentreId,
    /// Node slots that share the limits.
    pub nodes: u32,
    /// Prefixes remembered for routing.
    pub prefixes: usize,
    /// Extra attempts granted per request, as a fraction.
    pub retry_ratio: f64,
    /// Extra attempts granted at once, per entry.
    pub retry_burst: f64,
    /// How far above the mean load a group may be and still get work for its cached prefix.
    pub load_bound: f64,
    /// Requests without a first byte that a fresh group may hold from this node.
    pub first_window: u32,
    /// Longest silence between two tokens of an answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stall_ms")]
    pub stall: Duration,
    /// The shortest time after which repeatable work is hedged.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hedge_floor_ms")]
    pub hedge_floor: Duration,
    /// The longest answer, in tokens, that is hedged.
    pub hedge_tokens: u32,
    /// Whether the edge moves a stream when a report of a token is answered by a retry.
    pub moves_streams: bool,
    /// How long a request that crashes back ends is refused.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "quarantine_ms")]
    pub quarantine: Duration,
    /// How a group is chosen among those with room.
    pub selection: Selection,
    /// Failures in a row after which a group gets no more requests for a while.
    pub failures: u32,
    /// For how long it gets none, unless it is seen whole before.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "suspension_ms")]
    pub suspension: Duration,
    /// Attempts of one request that names no limit itself, as long as it makes no progress.
    pub attempts: u32,
    /// Whether a slow attempt may get a second one beside it.
    pub hedges: bool,
    /// Whether the retry budget is full at the start.
    ///
    /// An empty one keeps the sum of many nodes' budgets within bounds while they restart.
    pub filled: bool,
    /// Whether `retry_burst` holds for all nodes and entries together, not for each.
    pub shares_retries: bool,
    /// The least time after which a refused caller may return.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retry_floor_ms")]
    pub retry_floor: Duration,
}

/// How a group is chosen among those with room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Selection {
    /// The better of two drawn at random, after the cache of prompts.
    ///
    /// Loads that are known with a lag send no herd to the group that seemed idle.
    TwoChoices,
    /// The one with the least of this node's own requests.
    LeastLoaded,
}

impl Default for TrafficSettings {
    fn default() -> Self {
        Self {
            node: NodeId::default(),
            data_centre: DataCentreId::default(),
            nodes: 1,
            prefixes: 16_384,
            retry_ratio: 0.1,
            retry_burst: 64.0,
            load_bound: 1.25,
            first_window: 4,
            stall: Duration::from_secs(5),
            hedge_floor: Duration::from_millis(200),
            hedge_tokens: 64,
            moves_streams: false,
            quarantine: Duration::from_mins(10),
            selection: Selection::TwoChoices,
            failures: 1,
            suspension: Duration::from_secs(5),
            attempts: 5,
            hedges: true,
            filled: true,
            shares_retries: false,
            retry_floor: Duration::from_secs(1),
        }
    }
}

impl TrafficSettings {
    /// Sets this node's slot and data centre.
    #[must_use]
    pub const fn node(mut self, node: NodeId, data_centre: DataCentreId) -> Self {
        self.node = node;
        self.data_centre = data_centre;
        self
    }

    /// Sets whether the edge moves streams that are far behind the usual pace.
    #[must_use]
    pub const fn moves_streams(mut self, moves: bool) -> Self {
        self.moves_streams = moves;
        self
    }

    /// Sets the number of node slots that share the limits.
    #[must_use]
    pub const fn nodes(mut self, nodes: u32) -> Self {
        self.nodes = nodes;
        self
    }
}
