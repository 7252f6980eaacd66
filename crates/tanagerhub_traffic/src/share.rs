//! This node's share of limits that hold over all nodes.

use std::time::Duration;

use serde::Serialize;
use tanagerhub_catalogue::NodeId;
use tanagerhub_clock::Moment;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long the view must show fewer live nodes before this node's share grows.
const GROWTH_DELAY: Duration = Duration::from_secs(10);

/// This node's share of a limit.
///
/// # Examples
///
/// ```
/// use tanagerhub_traffic::Share;
///
/// let shares: Vec<Share> = (0..3).map(|place| Share { nodes: 3, place }).collect();
/// let counts: u32 = shares.iter().map(|share| share.count(10)).sum();
/// assert_eq!(counts, 10);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Share {
    /// Number of nodes that share the limit.
    pub nodes: u32,
    /// Index of this node among them, from zero.
    pub place: u32,
}

impl Share {
    /// The share of a node that does not know the other nodes yet: a place behind all others.
    pub const NONE: Self = Self {
        nodes: u32::MAX,
        place: u32::MAX - 1,
    };

    /// Returns the share of the node `own` in a limit that it shares with `others`.
    ///
    /// All nodes rank themselves by rendezvous hashing for each `key`, so that those who get the
    /// remainder of a division differ from limit to limit, and a node that joins or leaves changes
    /// the places of few others.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_catalogue::NodeId;
    /// use tanagerhub_traffic::Share;
    ///
    /// let (one, other) = (NodeId::of("n1"), NodeId::of("n2"));
    /// let shares = [Share::among(&[other], one, 7), Share::among(&[one], other, 7)];
    /// assert_eq!(shares[0].place + shares[1].place, 1);
    /// ```
    #[must_use]
    pub fn among(others: &[NodeId], own: NodeId, key: u64) -> Self {
        let rank = |node: NodeId| (xxh3_64_with_seed(&node.0.to_le_bytes(), key), node);
        let own_rank = rank(own);
        let before = others.iter().filter(|node| rank(**node) < own_rank).count();
        let count = |nodes| u32::try_from(nodes).unwrap_or(u32::MAX);
        Self {
            nodes: count(others.len().saturating_add(1)),
            place: count(before),
        }
    }

    /// Returns this node's share of a rate.
    #[must_use]
    pub fn rate(self, limit: f64) -> f64 {
        limit / f64::from(self.nodes.max(1))
    }

    /// Returns this node's share of a count. The shares of all nodes add up to the limit.
    #[must_use]
    pub const fn count(self, limit: u32) -> u32 {
        let nodes = if self.nodes == 0 { 1 } else { self.nodes };
        let extra = if self.place < limit % nodes { 1 } else { 0 };
        limit / nodes + extra
    }
}

/// State of this node's view, from membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Freshness {
    /// Whether the view is fresh enough to accept new requests.
    pub takes_work: bool,
    /// Number of nodes that accept requests, this one included.
    pub live_nodes: u32,
    /// Index of this node among them in the order of ids, from zero.
    pub place: u32,
}

/// Computes the share from the number of live nodes. The share shrinks at once and grows after
/// [`GROWTH_DELAY`].
#[derive(Debug, Clone)]
pub(crate) struct ShareTracker {
    node_slots: u32,
    share: Share,
    pending: Option<(Share, Moment)>,
}

impl ShareTracker {
    /// Starts with the share that holds when all node slots are live.
    pub(crate) fn new(node_slots: u32) -> Self {
        let node_slots = node_slots.max(1);
        Self {
            node_slots,
            share: Share {
                nodes: node_slots,
                place: node_slots - 1,
            },
            pending: None,
        }
    }

    /// Applies a view. Returns whether the share changed.
    ///
    /// Fewer live nodes than a majority count as a majority, so that the two sides of a network
    /// partition together never use more than twice a limit.
    pub(crate) fn update(&mut self, now: Moment, view: &Freshness) -> bool {
        let nodes = view.live_nodes.max(self.node_slots / 2 + 1);
        let pending = Share {
            nodes,
            place: view.place.min(nodes - 1),
        };
        if pending == self.share {
            self.pending = None;
            return false;
        }
        let since = match self.pending {
            Some((share, since)) if share == pending => since,
            _ => now,
        };
        self.pending = Some((pending, since));
        let grows = pending.nodes <= self.share.nodes;
        if grows && now.since(since) < GROWTH_DELAY {
            return false;
        }
        self.share = pending;
        self.pending = None;
        true
    }

    /// Returns the current share.
    pub(crate) const fn share(&self) -> Share {
        self.share
    }
}
