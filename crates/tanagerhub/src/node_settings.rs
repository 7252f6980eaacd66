//! What a node is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{DataCentreId, NodeId};
use tanagerhub_fleet::FleetSettings;
use tanagerhub_wire::operators::OperatorToken;
use tanagerhub_wire::peers::PeerKey;

/// Where a node listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators and the platform's balancer connect.
    pub operators: SocketAddr,
    /// Where peers send to; also names the node's slot, so its port can't be 0.
    pub peers: SocketAddr,
}

/// The settings of a node, checked by [`check`](Self::check).
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators and the platform's balancer connect.
    pub operators: SocketAddr,
    /// Where peers send to; also names the node's slot.
    pub peers: SocketAddr,
    /// Peers to speak to first.
    pub seeds: Vec<SocketAddr>,
    /// The node's data centre.
    pub data_centre: String,
    /// The node's region.
    pub region: String,
    /// The key that peers share.
    pub peer_key: PeerKey,
    /// The operators' token, as a hash.
    pub operator_token: OperatorToken,
    /// Timings of the decisions on groups.
    pub fleet: FleetSettings,
    /// How long a stopping node keeps accepting, so that the balancer notices first.
    pub drain_grace: Duration,
    /// How long a stopping node waits for requests in flight.
    pub drain_timeout: Duration,
    /// Connections that callers may hold open.
    pub max_connections: usize,
    /// The longest request body, in bytes.
    pub body_limit: usize,
    /// The seed of the node's random choices; `None` draws one.
    pub seed: Option<u64>,
}

impl NodeSettings {
    /// Settings with the usual limits.
    #[must_use]
    pub fn new(addresses: Addresses, peer_key: PeerKey, operator_token: OperatorToken) -> Self {
        let Addresses {
            callers,
            operators,
            peers,
        } = addresses;
        Self {
            callers,
            operators,
            peers,
            seeds: Vec::new(),
            data_centre: String::new(),
            region: String::new(),
            peer_key,
            operator_token,
            fleet: FleetSettings::default(),
            drain_grace: Duration::from_secs(5),
            drain_timeout: Duration::from_mins(1),
            max_connections: 4_096,
            body_limit: 4 << 20,
            seed: None,
        }
    }

    /// Places the node.
    #[must_use]
    pub fn location(mut self, region: impl Into<String>, data_centre: impl Into<String>) -> Self {
        self.region = region.into();
        self.data_centre = data_centre.into();
        self
    }

    /// Names the peers to speak to first.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the timings of the decisions on groups.
    #[must_use]
    pub fn fleet(mut self, fleet: FleetSettings) -> Self {
        self.fleet = fleet;
        self
    }

    /// Sets how long a stopping node keeps accepting.
    #[must_use]
    pub const fn drain_grace(mut self, grace: Duration) -> Self {
        self.drain_grace = grace;
        self
    }

    /// Sets the seed of the node's random choices.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// The node's slot.
    #[must_use]
    pub fn node(&self) -> NodeId {
        NodeId::of(&self.peers.to_string())
    }

    /// The id of the node's data centre.
    #[must_use]
    pub fn data_centre_id(&self) -> DataCentreId {
        DataCentreId::of(&self.data_centre)
    }

    /// Checks what no single field can show.
    ///
    /// # Errors
    ///
    /// Names the first setting that can't be used.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.data_centre.is_empty() {
            return Err(SettingsError::Empty {
                setting: "data-centre",
            });
        }
        if self.region.is_empty() {
            return Err(SettingsError::Empty { setting: "region" });
        }
        if self.max_connections == 0 {
            return Err(SettingsError::Empty {
                setting: "connections",
            });
        }
        Ok(())
    }
}

/// A setting that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A setting that must have a value has none.
    #[error("setting \"{setting}\" must not be empty")]
    Empty {
        /// The setting.
        setting: &'static str,
    },
    /// A number that must be above zero is zero.
    #[error("setting \"{setting}\" must be above zero")]
    Zero {
        /// The setting.
        setting: &'static str,
    },
}
