//! What a node is told about itself and its timings.

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{BootId, DataCentreId, NodeId};

/// A node's own place, its first contacts and its timings.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// The node's slot: the id of its address.
    pub node: NodeId,
    /// Where peers send to.
    pub address: SocketAddr,
    /// This start of the process.
    pub boot: BootId,
    /// The region's name.
    pub region: String,
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Addresses to ask first, when the table can't be reached.
    pub seeds: Vec<SocketAddr>,
    /// How long a confirmed catalogue version allows new work.
    pub freshness_limit: Duration,
    /// Time between two rounds of probes.
    pub probe_period: Duration,
    /// Peers of the own region probed in one round.
    pub fanout: usize,
    /// Time between two probes of another region.
    pub remote_period: Duration,
    /// Shortest time between two reads of the catalogue head by this node.
    pub store_period: Duration,
    /// Reads of the catalogue head a second by all nodes of a region together.
    pub region_reads: u32,
    /// Shortest time between two reads of all node slots by this node.
    pub slots_period: Duration,
    /// Longest wait between two tries while the store fails.
    pub store_backoff: Duration,
    /// A silence between two events that counts as a pause of the process.
    pub pause_limit: Duration,
    /// Time between two sends of an unanswered request to hold a version.
    pub ack_request_period: Duration,
    /// How long an operator's change is followed before it is answered.
    pub apply_limit: Duration,
}

impl MembershipSettings {
    /// Settings of a node at `address` with the usual timings.
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
            apply_limit: Duration::from_secs(15),
        }
    }

    /// Sets the addresses to ask first.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }
}
