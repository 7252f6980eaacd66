//! What is known of the other nodes.

use std::net::SocketAddr;

use serde::Serialize;
use tanagerhub_catalogue::{CatalogueVersion, DataCentreId, NodeId};

use crate::Identity;

/// Another node of the region that is alive.
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
}
