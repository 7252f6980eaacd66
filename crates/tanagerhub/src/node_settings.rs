//! The settings of a node.

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{DataCentreId, NodeId};
use tanagerhub_fleet::FleetSettings;
use tanagerhub_wire::operators::OperatorToken;
use tanagerhub_wire::peers::PeerKey;

/// The addresses that a node listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// The address that callers connect to.
    pub callers: SocketAddr,
    /// The address that operators and the platform's load balancer connect to.
    pub operators: SocketAddr,
    /// The address that peers send to; it also identifies the node's slot, so its port can't be 0.
    pub peers: SocketAddr,
}

/// The settings of a node, checked by [`check`](Self::check).
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The address that callers connect to.
    pub callers: SocketAddr,
    /// The address that operators and the platform's load balancer connect to.
    pub operators: SocketAddr,
    /// The address that peers send to; it also identifies the node's slot.
    pub peers: SocketAddr,
    /// Addresses of peers that the node contacts first.
    pub seeds: Vec<SocketAddr>,
    /// The name of the node's data centre; must not be empty.
    pub data_centre: String,
    /// The name of the node's region; must not be empty.
    pub region: String,
    /// The key shared by all nodes.
    pub peer_key: PeerKey,
    /// The hash of the operators' token.
    pub operator_token: OperatorToken,
    /// The timings of the group decisions.
    pub fleet: FleetSettings,
    /// How long a stopping node still accepts requests, so that the load balancer stops sending
    /// before the node refuses.
    pub drain_grace: Duration,
    /// How long a stopping node waits for requests in flight and open claims.
    pub drain_timeout: Duration,
    /// The maximum number of connections that callers may have open; must be above zero.
    pub max_connections: usize,
    /// The largest request body, and the largest response body that is buffered, in bytes.
    pub body_limit: usize,
    /// The seed of the node's random choices; drawn at random if `None`.
    pub seed: Option<u64>,
}

impl NodeSettings {
    /// Returns settings with default limits; the region and the data centre are still empty.
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

    /// Sets the node's region and data centre.
    #[must_use]
    pub fn location(mut self, region: impl Into<String>, data_centre: impl Into<String>) -> Self {
        self.region = region.into();
        self.data_centre = data_centre.into();
        self
    }

    /// Sets the addresses of the peers that the node contacts first.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the timings of the group decisions.
    #[must_use]
    pub fn fleet(mut self, fleet: FleetSettings) -> Self {
        self.fleet = fleet;
        self
    }

    /// Sets how long a stopping node still accepts requests.
    #[must_use]
    pub const fn drain_grace(mut self, grace: Duration) -> Self {
        self.drain_grace = grace;
        self
    }

    /// Sets the seed of the node's random choices, which is otherwise drawn at random.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Returns the id of the node's slot, which is derived from the peer address.
    #[must_use]
    pub fn node(&self) -> NodeId {
        NodeId::of(&self.peers.to_string())
    }

    /// Returns the id of the node's data centre.
    #[must_use]
    pub fn data_centre_id(&self) -> DataCentreId {
        DataCentreId::of(&self.data_centre)
    }

    /// Checks that the required settings have a value, and numbers are above zero where they must be.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting.
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
            return Err(SettingsError::Zero {
                setting: "connections",
            });
        }
        Ok(())
    }
}

/// Why a setting is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A required setting is empty.
    #[error("setting \"{setting}\" must not be empty")]
    Empty {
        /// The name of the setting, as in its flag.
        setting: &'static str,
    },
    /// A number that must be above zero is zero.
    #[error("setting \"{setting}\" must be above zero")]
    Zero {
        /// The name of the setting, as in its flag.
        setting: &'static str,
    },
}
