//! The settings of a node's membership.

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{BootId, DataCentreId, NodeId};

/// A node's identity, its seeds and its timings.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// The id of the node's slot, derived from its address.
    pub node: NodeId,
    /// The address that peers send messages to.
    pub address: SocketAddr,
    /// The boot id of this process.
    pub boot: BootId,
    /// The name of the node's region.
    pub region: String,
    /// The data centre of the node.
    pub data_centre: DataCentreId,
    /// Addresses of nodes from which the slots are requested while none are known, for example
    /// because the table is unreachable.
    pub seeds: Vec<SocketAddr>,
    /// Time for which a confirmation of the catalogue version allows new work.
    pub freshness_limit: Duration,
    /// Time between two rounds of probes, before jitter.
    pub probe_period: Duration,
    /// Number of peers of the node's region that are probed in one round.
    pub fanout: usize,
    /// Time between two probes of other regions, before jitter.
    pub remote_period: Duration,
    /// Minimum time between two reads of the catalogue head by this node, before jitter.
    pub store_period: Duration,
    /// Reads of the catalogue head per second by all nodes of a region together.
    pub region_reads: u32,
    /// Minimum time between two reads of all node slots by this node, before jitter.
    pub slots_period: Duration,
    /// Maximum delay between two reads while the store fails, before jitter.
    pub store_backoff: Duration,
    /// Time between two events from which on the process counts as having been paused.
    pub pause_limit: Duration,
    /// Time after which an [`AckRequest`](crate::AckRequest) without a response is sent again.
    pub ack_request_period: Duration,
    /// Time after which the outcome of an operator's change is reported, whatever its stage.
    pub apply_timeout: Duration,
}

impl MembershipSettings {
    /// Creates the settings of a node at `address`, with the default timings and no seeds.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_catalogue::{BootId, DataCentreId};
    /// use tanagerhub_membership::MembershipSettings;
    ///
    /// let address = "10.0.0.1:7400".parse()?;
    /// let settings = MembershipSettings::new(address, BootId(7), "tbilisi", DataCentreId::of("tbs-a"))
    ///     .seeds(vec!["10.0.0.2:7400".parse()?]);
    /// assert_eq!(settings.seeds.len(), 1);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    #[must_use]
    pub fn new(
        address: SocketAddr,
        boot: BootId,
        region: impl Into<String>,
        data_centre: DataCentreId,
    ) -> Self {
        Self {
            node: NodeId::of(&address.to_string()),
            address,
            boot,
            region: region.into(),
            data_centre,
            seeds: Vec::new(),
            freshness_limit: Duration::from_secs(4),
            probe_period: Duration::from_millis(250),
            fanout: 2,
            remote_period: Duration::from_secs(1),
            store_period: Duration::from_secs(1),
            region_reads: 8,
            slots_period: Duration::from_secs(15),
            store_backoff: Duration::from_secs(10),
            pause_limit: Duration::from_secs(2),
            ack_request_period: Duration::from_millis(300),
            apply_timeout: Duration::from_secs(15),
        }
    }

    /// Sets the addresses of the nodes from which slots are requested while none are known.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }
}
