//! The membership state in the state dump.

use serde::Serialize;
use tanagerhub_catalogue::{CatalogueVersion, NodeId};

use crate::{Freshness, Identity, MembershipCounters, Peer, Standing};

/// The membership state at one moment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MembershipStatus {
    /// The id of this node's slot.
    pub node: NodeId,
    /// The identity of this process in the slot.
    pub identity: Identity,
    /// Whether this process counts towards a majority of its region.
    pub standing: Standing,
    /// The catalogue version that this node has adopted.
    pub version: CatalogueVersion,
    /// The newest version that this node has recorded.
    pub newest: CatalogueVersion,
    /// Whether this node may take new work.
    pub freshness: Freshness,
    /// Whether the table responded to the last read.
    pub store: StoreState,
    /// The number of slots of the region, including this node's.
    pub slots: usize,
    /// The number of slots of all regions.
    pub all_slots: usize,
    /// The live nodes of the region, without this one.
    pub peers: Vec<Peer>,
    /// The number of recorded shared facts.
    pub facts: usize,
    /// The counters since the start of the process.
    pub counters: MembershipCounters,
}

/// Whether the table responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreState {
    /// No read has completed yet.
    Unasked,
    /// The last read succeeded.
    Up,
    /// The last read failed or timed out.
    Down,
}
