//! The rows of the table that hold groups, VMs and entries.

use bincode::config::standard;
use bincode::serde::{decode_from_slice, encode_to_vec};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{DataCentreId, DomainId, EntryId, Epoch, GroupId, NodeId, VmId};
use tanagerhub_table::{Row, RowKey};

/// The start of the names of group rows.
pub const GROUP_PREFIX: &str = "group/";

/// The row of one group; it exists from formation until the group is dissolved.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRow {
    /// The entry that the group serves.
    pub entry: EntryId,
    /// The fencing number.
    pub epoch: Epoch,
    /// The data centre of the members.
    pub data_centre: DataCentreId,
    /// The fabric domain of the members.
    pub domain: DomainId,
    /// The members, by rank.
    pub members: Vec<VmId>,
    /// Whether the group only holds the weights ready, to take the place of a broken one.
    pub standby: bool,
    /// Whether the group takes no new work and is about to be dissolved.
    pub draining: bool,
    /// The cold limit, divided among nodes.
    pub slots: Vec<ColdSlots>,
    /// How often slots were moved; after a move, new holders wait before they use them.
    pub moves: u32,
}

/// The requests that one node may have in flight on a cold group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdSlots {
    /// The node.
    pub node: NodeId,
    /// Its requests in flight.
    pub count: u32,
}

/// The row of one VM; a VM without a row is free at epoch zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VmRow {
    /// The highest fencing number that was given out for the VM.
    pub epoch: Epoch,
    /// The group that the VM belongs to.
    pub group: Option<GroupId>,
}

/// The row of one entry, through which its formations are serialised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EntryRow {
    /// Groups of the entry that neither drain nor stand by.
    pub held: u32,
}

/// A row whose content can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("row \"{key}\" can't be decoded: {reason}")]
pub struct RowError {
    /// The row.
    pub key: RowKey,
    /// What is wrong with it.
    pub reason: String,
}

/// The name of a group's row.
#[must_use]
pub fn group_key(group: GroupId) -> RowKey {
    RowKey::new(format!("{GROUP_PREFIX}{group}"))
}

/// The name of a VM's row.
#[must_use]
pub fn vm_key(vm: VmId) -> RowKey {
    RowKey::new(format!("vm/{vm}"))
}

/// The name of an entry's row.
#[must_use]
pub fn entry_key(entry: EntryId) -> RowKey {
    RowKey::new(format!("entry/{entry}"))
}

/// The group that a row's name stands for.
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
