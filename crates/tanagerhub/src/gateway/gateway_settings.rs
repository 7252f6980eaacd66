//! The settings of a gateway.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::DataCentreId;
use tanagerhub_groups::GroupsSettings;

use crate::gateway::FeedBounds;

/// How long a caller may take no byte of a waiting response.
const DEFAULT_CALLER_STALL: Duration = Duration::from_secs(4);

/// The settings of a gateway, which the platform's settings file provides.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The name of the node, which must be unique.
    pub node: String,
    /// The name of its data centre.
    pub data_centre: String,
    /// The names of the data centres of its region, to whose nodes requests may be forwarded;
    /// `None` for all.
    pub region: Option<Vec<String>>,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address of the readiness check for the load balancer.
    pub ready_address: SocketAddr,
    /// The address that serves metrics and the state dump; `None` disables it.
    pub metrics_address: Option<SocketAddr>,
    /// The address that serves the store's rows to peers of the same data centre. Without it the
    /// node reads all rows from the store itself and relays none to peers.
    pub peer_address: Option<SocketAddr>,
    /// How long keys stay valid without a confirmation from the store.
    pub key_life: Duration,
    /// The limit of attempts beyond the first, as a fraction of all requests.
    pub retry_ratio: f64,
    /// The number of extra attempts beyond that fraction, for all nodes together.
    pub retry_slack: f64,
    /// The time from the stop signal until the process must have exited.
    pub grace: Duration,
    /// The time after the stop signal during which callers may still open connections, while the
    /// readiness check already fails.
    pub drain: Duration,
    /// The bounds for the propagation of changes.
    pub bounds: FeedBounds,
    /// The memory in bytes beyond which the process is killed; `None` switches the memory budget
    /// off.
    pub memory_limit: Option<u64>,
    /// How long a caller may take no byte of a waiting response before its connection is closed;
    /// has no effect without a memory limit.
    pub caller_stall: Duration,
    /// The settings of the group decisions.
    pub groups: GroupsSettings,
}

impl GatewaySettings {
    /// Returns settings with the default limits for a node with these addresses.
    #[must_use]
    pub fn new(
        node: &str,
        data_centre: &str,
        caller_address: SocketAddr,
        ready_address: SocketAddr,
    ) -> Self {
        Self {
            node: node.to_owned(),
            data_centre: data_centre.to_owned(),
            region: None,
            caller_address,
            ready_address,
            metrics_address: None,
            peer_address: None,
            key_life: Duration::from_secs(4),
            retry_ratio: 0.1,
            retry_slack: 100.0,
            grace: Duration::from_secs(8),
            drain: Duration::from_millis(2_500),
            bounds: FeedBounds::default(),
            memory_limit: None,
            caller_stall: DEFAULT_CALLER_STALL,
            groups: GroupsSettings::default(),
        }
    }

    /// Returns the ids of the data centres of the node's region.
    pub(crate) fn region_centres(&self) -> Option<BTreeSet<DataCentreId>> {
        let names = self.region.as_ref()?.iter();
        Some(names.map(|name| DataCentreId::of(name)).collect())
    }

    /// Returns whether the name, the data centre and the caller and readiness addresses are equal.
    pub(crate) fn has_same_identity(&self, other: &Self) -> bool {
        self.node == other.node
            && self.data_centre == other.data_centre
            && self.caller_address == other.caller_address
            && self.ready_address == other.ready_address
    }

    /// Returns these settings with the values of `other` for all that can change while a node runs.
    pub(crate) fn reloaded_with(self, other: Self) -> Self {
        Self {
            node: self.node,
            data_centre: self.data_centre,
            region: self.region,
            caller_address: self.caller_address,
            ready_address: self.ready_address,
            metrics_address: self.metrics_address,
            peer_address: self.peer_address,
            memory_limit: self.memory_limit,
            caller_stall: self.caller_stall,
            ..other
        }
    }

    /// Sets the address that serves metrics and the state dump.
    #[must_use]
    pub const fn metrics(mut self, address: SocketAddr) -> Self {
        self.metrics_address = Some(address);
        self
    }

    /// Sets the address that serves the store's rows to peers.
    #[must_use]
    pub const fn peers(mut self, address: SocketAddr) -> Self {
        self.peer_address = Some(address);
        self
    }

    /// Sets how long keys stay valid without a confirmation from the store.
    #[must_use]
    pub const fn key_life(mut self, life: Duration) -> Self {
        self.key_life = life;
        self
    }

    /// Sets the limit of attempts beyond the first: a fraction of all requests, and a number of
    /// attempts beyond it.
    #[must_use]
    pub const fn retries(mut self, ratio: f64, slack: f64) -> Self {
        self.retry_ratio = ratio;
        self.retry_slack = slack;
        self
    }

    /// Sets the bounds for the propagation of changes.
    #[must_use]
    pub const fn bounds(mut self, bounds: FeedBounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Sets the memory in bytes beyond which the process is killed.
    #[must_use]
    pub const fn memory(mut self, limit: u64) -> Self {
        self.memory_limit = Some(limit);
        self
    }

    /// Sets the time from the stop signal until the process must have exited.
    #[must_use]
    pub const fn grace(mut self, grace: Duration) -> Self {
        self.grace = grace;
        self
    }
}
