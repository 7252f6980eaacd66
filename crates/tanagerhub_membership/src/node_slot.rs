//! Node slots: the table rows that list the nodes of each region.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{DataCentreId, NodeId};
use tanagerhub_table::{Row, RowKey, RowVersion};

use crate::{Identity, MembershipError};

/// The prefix of the keys of node slots' rows.
pub const SLOT_PREFIX: &str = "node/";

/// One node's entry in its region's list of nodes, as stored in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeSlot {
    /// The address that peers send messages to.
    pub address: SocketAddr,
    /// The process that last registered in the slot.
    pub identity: Identity,
    /// The name of the node's region.
    pub region: String,
    /// The data centre of the node.
    pub data_centre: DataCentreId,
}

impl NodeSlot {
    /// Returns the id of the slot, which is derived from its address.
    #[must_use]
    pub fn node(&self) -> NodeId {
        NodeId::of(&self.address.to_string())
    }

    /// Returns the key of the row of a slot.
    #[must_use]
    pub fn key(node: NodeId) -> RowKey {
        RowKey::new(format!("{SLOT_PREFIX}{node}"))
    }

    /// Encodes the content of the slot's row as JSON.
    ///
    /// # Panics
    ///
    /// Never panics: JSON can represent every value of a slot.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a slot is plain data")
    }

    /// Decodes the content of a slot's row.
    ///
    /// # Errors
    ///
    /// Returns an error that names the row if its content is malformed.
    pub fn decode(row: &Row) -> Result<Self, MembershipError> {
        serde_json::from_slice(&row.value).map_err(|error| MembershipError::Row {
            key: row.key.clone(),
            reason: error.to_string(),
        })
    }
}

/// A slot and the version of its row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRow {
    /// The decoded content of the row.
    pub slot: NodeSlot,
    /// The version of the row, by which newer rows are recognised.
    pub version: RowVersion,
}
