//! What is known of the other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{CatalogueVersion, DataCentreId, NodeId};

use crate::Identity;

/// Another node of the region.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Peer {
    /// Its slot.
    pub node: NodeId,
    /// Where to send to.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Which process speaks for the slot.
    pub identity: Identity,
    /// The version that it last said it holds, if it spoke to this node.
    pub version: CatalogueVersion,
    /// Requests in flight there, as it last said.
    pub load: u16,
    /// Whether it shuts down.
    pub leaving: bool,
    /// How long ago it was last known to be alive, in milliseconds; `None` if never.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "age_ms")]
    pub age: Option<Duration>,
}
