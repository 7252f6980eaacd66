//! Membership as the state dump shows it.

use serde::Serialize;
use tanagerhub_catalogue::{CatalogueVersion, NodeId};

use crate::{Freshness, Identity, MembershipCounters, Peer, Standing};

/// Membership at one moment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MembershipStatus {
    /// The own slot.
    pub node: NodeId,
    /// Which process speaks for it.
    pub identity: Identity,
    /// Whether it counts.
    pub standing: Standing,
    /// The version that is followed.
    pub version: CatalogueVersion,
    /// The newest version heard of.
    pub newest: CatalogueVersion,
    /// Whether new work may be taken.
    pub freshness: Freshness,
    /// Whether the table answered the last read.
    pub store: StoreState,
    /// Slots of the region, the own one included.
    pub slots: usize,
    /// Slots of all regions.
    pub all_slots: usize,
    /// Live nodes of the region.
    pub peers: Vec<Peer>,
    /// Shared facts known.
    pub facts: usize,
    /// Counts since the start.
    pub counters: MembershipCounters,
}

/// Whether the table answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreState {
    /// Not asked yet.
    Unasked,
    /// The last read was answered.
    Up,
    /// The last read failed or is overdue.
    Down,
}
