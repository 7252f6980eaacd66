//! Orders to engines, and the engines' responses.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{Epoch, GroupId, Rank, VmId};

/// The complete target state of one member. Applying an order twice has no further effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The VM whose engine the order is for.
    pub vm: VmId,
    /// The group that the member shall join or leave.
    pub group: GroupId,
    /// The group's epoch, as the fencing token.
    pub epoch: Epoch,
    /// The requested state.
    pub kind: OrderKind,
}

/// The state that an order requests of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load the weights unless they are loaded already, and join the group.
    Join {
        /// The member's rank in the group.
        rank: Rank,
        /// The name of the weights in the weight store.
        weights: String,
        /// The addresses of all members, by rank.
        members: Vec<SocketAddr>,
    },
    /// Accept no new requests, finish running ones and drop the weights.
    Release,
}

/// An engine's response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResponse {
    /// The engine accepted the order.
    Accepted,
    /// The engine checks fencing tokens and has seen a higher epoch; the order was refused.
    Stale {
        /// The highest epoch that the engine has seen.
        epoch: Epoch,
    },
}
