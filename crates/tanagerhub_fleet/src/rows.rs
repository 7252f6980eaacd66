//! The rows of the table that hold groups, VMs and entries.

use bincode::config::standard;
use bincode::serde::{decode_from_slice, encode_to_vec};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{DataCentreId, DomainId, EntryId, Epoch, GroupId, NodeId, VmId};
use tanagerhub_table::{Row, RowKey};

/// The prefix of the keys of group rows.
pub const GROUP_PREFIX: &str = "group/";

/// The row of one group; it exists from formation until the group is dissolved.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRow {
    /// The entry that the group serves.
    pub entry: EntryId,
    /// The fencing token of the group.
    pub epoch: Epoch,
    /// The data centre of the members.
    pub data_centre: DataCentreId,
    /// The fabric domain of the members.
    pub domain: DomainId,
    /// The members, by rank.
    pub members: Vec<VmId>,
    /// Whether the group is a standby group, which has its weights loaded to replace a broken
    /// group.
    pub standby: bool,
    /// Whether the group accepts no new requests and will be dissolved.
    pub draining: bool,
    /// The division of the cold limit among nodes.
    pub slots: Vec<ColdSlots>,
    /// The number of moves of cold slots; after a move, new holders wait before they use their
    /// slots.
    pub moves: u32,
}

/// The number of requests that one node may have in flight on a cold group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdSlots {
    /// The node that holds the slots.
    pub node: NodeId,
    /// The node's limit on requests in flight.
    pub count: u32,
}

/// The row of one VM; a VM without a row is free at epoch zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VmRow {
    /// The highest fencing token that was issued for the VM.
    pub epoch: Epoch,
    /// The group that the VM belongs to; `None` when the VM is free.
    pub group: Option<GroupId>,
}

/// The row of one entry; formations of its groups conflict on it, so that they are serialised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EntryRow {
    /// The number of groups of the entry that are neither draining nor on standby.
    pub held: u32,
}

/// A row whose content can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("row \"{key}\" can't be decoded: {reason}")]
pub struct RowError {
    /// The key of the row.
    pub key: RowKey,
    /// Why decoding failed.
    pub reason: String,
}

/// Returns the key of a group's row.
#[must_use]
pub fn group_key(group: GroupId) -> RowKey {
    RowKey::new(format!("{GROUP_PREFIX}{group}"))
}

/// Returns the key of a VM's row.
#[must_use]
pub fn vm_key(vm: VmId) -> RowKey {
    RowKey::new(format!("vm/{vm}"))
}

/// Returns the key of an entry's row.
#[must_use]
pub fn entry_key(entry: EntryId) -> RowKey {
    RowKey::new(format!("entry/{entry}"))
}

/// Returns the group whose row has this key; `None` when it is not the key of a group row.
#[must_use]
pub fn group_of(key: &RowKey) -> Option<GroupId> {
    let digits = key.as_str().strip_prefix(GROUP_PREFIX)?;
    u64::from_str_radix(digits, 16).ok().map(GroupId)
}

/// Encodes a row's content.
///
/// # Panics
///
/// Never: the row types have no content that can't be encoded.
#[must_use]
pub fn encode<T: Serialize>(content: &T) -> Vec<u8> {
    encode_to_vec(content, standard()).expect("row types can always be encoded")
}

/// Decodes a row's content.
///
/// # Errors
///
/// Fails when the row was not written by [`encode`] with the same type.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, RowError> {
    let row_error = |reason: String| RowError {
        key: row.key.clone(),
        reason,
    };
    let (content, used) =
        decode_from_slice(&row.value, standard()).map_err(|error| row_error(error.to_string()))?;
    if used != row.value.len() {
        return Err(row_error(format!(
            "{} bytes too many",
            row.value.len() - used
        )));
    }
    Ok(content)
}
