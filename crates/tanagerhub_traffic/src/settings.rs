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
    /// Id of this node's slot.
    pub node: NodeId,
    /// Data centre of this node; its groups are preferred.
    pub data_centre: DataCentreId,
    /// Number of node slots that share the limits.
    pub nodes: u32,
    /// Maximum number of prompt prefixes in the routing index.
    pub prefixes: usize,
    /// Extra attempts (retries, hedges and moved streams) per request, as a fraction.
    pub retry_ratio: f64,
    /// Extra attempts that may be used at once, per entry.
    pub retry_burst: f64,
    /// Factor of the mean load up to which a group is chosen for its cached prefix.
    pub load_bound: f64,
    /// Maximum number of requests without a first byte from this node at one group.
    pub first_window: u32,
    /// Maximum time between two tokens of a response.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stall_ms")]
    pub stall: Duration,
    /// Minimum delay of a hedge.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hedge_floor_ms")]
    pub hedge_floor: Duration,
    /// Maximum length, in tokens, of a response that is hedged.
    pub hedge_tokens: u32,
    /// Whether slow streams are moved. The edge must then accept
    /// [`Next::Retry`](crate::Next::Retry) in response to a reported token.
    pub moves_streams: bool,
    /// How long a request that crashes backend servers is refused.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "quarantine_ms")]
    pub quarantine: Duration,
    /// How a group is chosen among those with room.
    pub selection: Selection,
    /// Consecutive failures after which a group is suspended.
    pub failures: u32,
    /// How long a group is suspended, unless it is attested complete before.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "suspension_ms")]
    pub suspension: Duration,
    /// Maximum number of attempts of a request that has no limit of its own. Moving a slow stream
    /// is not limited by it.
    pub attempts: u32,
    /// Whether a second attempt may be started while a slow one still runs.
    pub hedges: bool,
    /// Whether the retry budgets start full.
    ///
    /// Empty budgets keep the sum of many nodes' budgets bounded while they restart.
    pub filled: bool,
    /// Whether `retry_burst` is divided among all nodes and entries, instead of applying to each.
    pub shares_retries: bool,
    /// Whether a group that leaves the routes confirms the crashes suspected there, in addition to a
    /// lost member.
    pub routes_confirm: bool,
    /// Minimum retry delay in responses to refused callers.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retry_floor_ms")]
    pub retry_floor: Duration,
}

/// How a group is chosen among those with room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Selection {
    /// A group with a cached prefix of the prompt if there is one, else one chosen by the prompt's
    /// prefix, else the less loaded of two drawn at random.
    ///
    /// As loads are reported with a delay, random draws prevent all nodes from choosing the same
    /// idle group at once.
    TwoChoices,
    /// The group with the least estimated load.
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
            routes_confirm: true,
            retry_floor: Duration::from_secs(1),
        }
    }
}

impl TrafficSettings {
    /// Sets the id of this node's slot and its data centre.
    #[must_use]
    pub const fn node(mut self, node: NodeId, data_centre: DataCentreId) -> Self {
        self.node = node;
        self.data_centre = data_centre;
        self
    }

    /// Sets whether streams that are much slower than usual are moved.
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
