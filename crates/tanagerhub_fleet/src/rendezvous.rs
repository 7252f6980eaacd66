//! Rendezvous hashing, which assigns tasks to nodes without coordination.

use tanagerhub_catalogue::{DataCentreId, NodeId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Peer;

/// The number of watchers that are chosen from the group's own data centre first.
const LOCAL_WATCHERS: usize = 2;

/// Returns the weight of a node for a key; the highest weight ranks first.
fn weight(key: u64, node: NodeId) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), key)
}

/// Returns the peers by descending weight for a key.
pub(crate) fn ranked_peers(key: u64, peers: &[Peer]) -> Vec<Peer> {
    let mut peers = peers.to_vec();
    peers.sort_by_key(|peer| std::cmp::Reverse(weight(key, peer.node)));
    peers
}

/// Returns the rank of `node` for a key; `None` when it is not among the peers.
pub(crate) fn rank_of(key: u64, peers: &[Peer], node: NodeId) -> Option<usize> {
    let own = weight(key, node);
    let live = peers.iter().any(|peer| peer.node == node);
    let ahead = |peer: &&Peer| weight(key, peer.node) > own;
    live.then(|| peers.iter().filter(ahead).count())
}

/// Returns the rank of `node` among the watchers of a group; `None` when it does not watch the
/// group.
pub(crate) fn watcher_rank(
    key: u64,
    data_centre: DataCentreId,
    peers: &[Peer],
    node: NodeId,
    count: usize,
) -> Option<usize> {
    let (local, remote): (Vec<Peer>, Vec<Peer>) = peers
        .iter()
        .partition(|peer| peer.data_centre == data_centre);
    let first = LOCAL_WATCHERS.min(local.len()).min(count);
    let others = remote.len().min(count - first);
    if let Some(position) = rank_of(key, &local, node) {
        if position < first {
            return Some(position);
        }
        // With too few nodes elsewhere, more nodes of this data centre watch the group.
        let position = position + others;
        return (position < count).then_some(position);
    }
    let position = rank_of(key, &remote, node)?;
    (position < others).then_some(first + position)
}
