//! Node slots: the rows that say which nodes a region counts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{DataCentreId, NodeId};
use tanagerhub_table::{Row, RowKey, RowVersion};

use crate::{Identity, MembershipError};

/// The start of the names of node slots' rows.
pub const SLOT_PREFIX: &str = "node/";

/// One node's place in its region, as the table holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeSlot {
    /// Where peers send to.
    pub address: SocketAddr,
    /// The process that registered last.
    pub identity: Identity,
    /// The region's name.
    pub region: String,
    /// The data centre.
    pub data_centre: DataCentreId,
}

impl NodeSlot {
    /// The slot's id.
    #[must_use]
    pub fn node(&self) -> NodeId {
        NodeId::of(&self.address.to_string())
    }

    /// The name of the slot's row.
    #[must_use]
    pub fn key(node: NodeId) -> RowKey {
        RowKey::new(format!("{SLOT_PREFIX}{node}"))
    }

    /// The content of the slot's row.
    ///
    /// # Panics
    ///
    /// Never: a slot has no value that JSON can't hold.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a slot is plain data")
    }

    /// Reads a slot's row.
    ///
    /// # Errors
    ///
    /// Returns an error that names the row when its content is malformed.
    pub fn decode(row: &Row) -> Result<Self, MembershipError> {
        serde_json::from_slice(&row.value).map_err(|error| MembershipError::Row {
            key: row.key.clone(),
            reason: error.to_string(),
        })
    }
}

/// A slot with the version of its row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRow {
    /// The slot.
    pub slot: NodeSlot,
    /// The version of its row.
    pub version: RowVersion,
}
