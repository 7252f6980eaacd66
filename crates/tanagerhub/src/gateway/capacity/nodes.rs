//! The nodes that take part in shared capacity.

use std::collections::HashMap;
use std::net::SocketAddr;

use tanagerhub_capacity::Shard;
use tanagerhub_catalogue::NodeId;
use tanagerhub_groups::Peer;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The addresses of the other live nodes, which are both their destinations and their senders.
#[derive(Debug, Default)]
pub(crate) struct NodeAddresses(HashMap<NodeId, SocketAddr>);

impl NodeAddresses {
    pub(crate) fn new(peers: &[Peer]) -> Self {
        let addresses = peers.iter().map(|peer| (peer.node, peer.endpoint.address));
        Self(addresses.collect())
    }

    pub(crate) fn get(&self, node: NodeId) -> Option<SocketAddr> {
        self.0.get(&node).copied()
    }

    /// Returns whether messages of a node are sent from this address.
    pub(crate) fn is_sender(&self, node: NodeId, from: SocketAddr) -> bool {
        self.get(node) == Some(from)
    }
}

/// Sorts the nodes that may coordinate a shard in the order in which they do.
///
/// All nodes compute the same order. A node that joins or leaves does not change the order of the
/// others.
pub(crate) fn rendezvous_order(shard: Shard, mut nodes: Vec<NodeId>) -> Vec<NodeId> {
    let rank = |node: &NodeId| xxh3_64_with_seed(&node.0.to_le_bytes(), shard.seed());
    nodes.sort_unstable_by_key(|node| (rank(node), *node));
    nodes
}

#[cfg(test)]
mod tests;
