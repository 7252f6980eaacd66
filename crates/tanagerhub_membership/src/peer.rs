//! The recorded state of other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{CatalogueVersion, DataCentreId, NodeId};

use crate::Identity;

/// The recorded state of another node of the region.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Peer {
    /// The id of its slot.
    pub node: NodeId,
    /// The address to send messages to.
    pub address: SocketAddr,
    /// The data centre of the node.
    pub data_centre: DataCentreId,
    /// The newest process recorded for the slot.
    pub identity: Identity,
    /// The version that it last reported to this node; zero if it has not responded yet.
    pub version: CatalogueVersion,
    /// The number of requests in flight that it last reported.
    pub load: u16,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The time since it was last confirmed to be alive, serialised in milliseconds; `None` if
    /// never.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "age_ms")]
    pub age: Option<Duration>,
}
