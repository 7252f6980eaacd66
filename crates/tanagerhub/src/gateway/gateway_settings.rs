//! Settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_groups::GroupsSettings;

use crate::gateway::FeedBounds;

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The node's name, different from all others'.
    pub node: String,
    /// The name of its data centre.
    pub data_centre: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the node takes requests.
    pub ready: SocketAddr,
    /// Where counters and the state are read, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Where peers of the same data centre hear of the store's rows; without it the node asks the
    /// store itself, and tells nobody.
    pub peers: Option<SocketAddr>,
    /// For how long keys count without a word from the store.
    pub key_life: Duration,
    /// Attempts beyond the first, as a share of all requests.
    pub retry_ratio: f64,
    /// Attempts beyond that share, over all nodes.
    pub retry_slack: f64,
    /// Time from the signal to stop until the process must have ended.
    pub grace: Duration,
    /// Time after the signal to stop in which callers may still open connections.
    pub drain: Duration,
    /// How soon changes must be known.
    pub bounds: FeedBounds,
    /// Settings of the decisions on groups.
    pub groups: GroupsSettings,
}

impl GatewaySettings {
    /// Settings with the usual limits for a node at these addresses.
    #[must_use]
    pub fn new(node: &str, data_centre: &str, callers: SocketAddr, ready: SocketAddr) -> Self {
        Self {
            node: node.to_owned(),
            data_centre: data_centre.to_owned(),
            callers,
            ready,
            metrics: None,
            peers: None,
            key_life: Duration::from_secs(4),
            retry_ratio: 0.1,
            retry_slack: 100.0,
            grace: Duration::from_secs(8),
            drain: Duration::from_millis(2_500),
            bounds: FeedBounds::default(),
            groups: GroupsSettings::default(),
        }
    }

    /// Whether both are of the same node at the same addresses.
    pub(crate) fn has_same_identity(&self, other: &Self) -> bool {
        self.node == other.node
            && self.data_centre == other.data_centre
            && self.callers == other.callers
            && self.ready == other.ready
    }

    /// These settings with all that may change while a node runs taken from `other`.
    pub(crate) fn reloaded_with(self, other: Self) -> Self {
        Self {
            node: self.node,
            data_centre: self.data_centre,
            callers: self.callers,
            ready: self.ready,
            metrics: self.metrics,
            peers: self.peers,
            ..other
        }
    }

    /// Sets where counters and the state are read.
    #[must_use]
    pub const fn metrics(mut self, address: SocketAddr) -> Self {
        self.metrics = Some(address);
        self
    }

    /// Sets where peers hear of the store's rows.
    #[must_use]
    pub const fn peers(mut self, address: SocketAddr) -> Self {
        self.peers = Some(address);
        self
    }

    /// Sets for how long keys count without a word from the store.
    #[must_use]
    pub const fn key_life(mut self, life: Duration) -> Self {
        self.key_life = life;
        self
    }

    /// Sets the budget of attempts beyond the first.
    #[must_use]
    pub const fn retries(mut self, ratio: f64, slack: f64) -> Self {
        self.retry_ratio = ratio;
        self.retry_slack = slack;
        self
    }

    /// Sets how soon changes must be known.
    #[must_use]
    pub const fn bounds(mut self, bounds: FeedBounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Sets the time from the signal to stop until the process must have ended.
    #[must_use]
    pub const fn grace(mut self, grace: Duration) -> Self {
        self.grace = grace;
        self
    }
}
