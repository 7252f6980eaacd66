//! The rows of the store that describe the planner and the groups.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_table::{DecodeError, RowKey, Sections, StoreEra, decode_value, encode_value};

/// The name of the table that contains the planner's row and all groups.
pub const GROUPS_TABLE: &str = "groups";
const PLANNER_ROW: &str = "planner";
/// The row of the nodes that the planner asks without the store, which older builds ignore.
const GUARANTORS_ROW: &str = "guarantors";
const GROUP_PREFIX: &str = "g/";
/// The prefix of the marks of eras, which older builds ignore.
const ERA_PREFIX: &str = "era/";

/// The planner's row. It is written with each change of a group, which serialises the changes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PlannerRow {
    /// The boot id of the planner; zero after it stopped planning.
    pub boot: u64,
    /// A random number for each write, which is also the id of its transaction. It distinguishes
    /// the writes of one boot, also if a response is lost.
    pub nonce: u64,
}

/// The nodes whose promises extend the planner's term while the store doesn't answer it.
///
/// It is written with the planner's row, so a node that reads both reads whom the planner must ask.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct GuarantorsRow {
    /// The boot id of the planner.
    pub boot: u64,
    /// The addresses at which the nodes serve other nodes.
    pub nodes: Vec<SocketAddr>,
}

/// The row of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRow {
    /// The service whose VMs are the members.
    pub service: String,
    /// The name of the model that the group serves.
    pub model: String,
    /// Names of the members, the head first.
    pub members: Vec<String>,
    /// The epoch at which the members join.
    pub epoch: Epoch,
}

/// A row that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("row \"{key}\" can't be decoded: {reason}")]
pub struct RowError {
    /// The key of the row.
    pub key: RowKey,
    /// The decoder's error.
    pub reason: String,
}

/// The kind of a row in the groups' table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RowKind {
    Planner,
    Group(GroupId),
    Guarantors,
    /// The mark of an era in which groups were planned.
    Era(StoreEra),
    Unknown,
}

pub(crate) fn planner_key() -> RowKey {
    RowKey::in_table(GROUPS_TABLE, PLANNER_ROW)
}

pub(crate) fn guarantors_key() -> RowKey {
    RowKey::in_table(GROUPS_TABLE, GUARANTORS_ROW)
}

pub(crate) fn group_key(group: GroupId) -> RowKey {
    RowKey::in_table(GROUPS_TABLE, &format!("{GROUP_PREFIX}{group}"))
}

pub(crate) fn era_key(era: StoreEra) -> RowKey {
    RowKey::in_table(GROUPS_TABLE, &format!("{ERA_PREFIX}{}", era.0))
}

pub(crate) fn row_kind(key: &RowKey) -> RowKind {
    let name = key.name();
    if name == PLANNER_ROW {
        return RowKind::Planner;
    }
    if name == GUARANTORS_ROW {
        return RowKind::Guarantors;
    }
    if let Some(era) = name.strip_prefix(ERA_PREFIX) {
        return era
            .parse()
            .map_or(RowKind::Unknown, |era| RowKind::Era(StoreEra(era)));
    }
    name.strip_prefix(GROUP_PREFIX)
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .map_or(RowKind::Unknown, |id| RowKind::Group(GroupId(id)))
}

pub(crate) fn encode<T: Serialize>(content: &T) -> Vec<u8> {
    encode_value(content, &Sections::default())
}

pub(crate) fn decode<T: DeserializeOwned>(key: &RowKey, value: &[u8]) -> Result<T, RowError> {
    let row_error = |error: DecodeError| RowError {
        key: key.clone(),
        reason: error.to_string(),
    };
    decode_value(value)
        .map(|(content, _)| content)
        .map_err(row_error)
}

#[cfg(test)]
mod tests;
