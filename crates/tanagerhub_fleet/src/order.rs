//! Orders to engines.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{Epoch, GroupId, Rank, VmId};

/// The whole wanted state of one member; obeying it twice changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The VM that is meant.
    pub vm: VmId,
    /// The group that the order belongs to.
    pub group: GroupId,
    /// The group's epoch, as the fencing number.
    pub epoch: Epoch,
    /// What the member shall do.
    pub kind: OrderKind,
}

/// What a member shall do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load the weights and join the group.
    Join {
        /// The member's place.
        rank: Rank,
        /// The weights to load.
        weights: String,
        /// The addresses of all members, by rank.
        members: Vec<SocketAddr>,
    },
    /// Take no new work, finish what runs and drop the weights.
    Release,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResponse {
    /// The engine obeys.
    Accepted,
    /// The engine has seen a higher epoch and checks fencing numbers.
    Stale {
        /// The highest epoch that the engine has seen.
        epoch: Epoch,
    },
}
