//! The report that an engine gives of its state.

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{BootId, Epoch, GroupId, Rank, VmId};

/// An engine's response to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The VM that the engine runs on.
    pub vm: VmId,
    /// The current boot id of the engine.
    pub boot: BootId,
    /// The group that the engine was last ordered to join.
    pub group: Option<GroupId>,
    /// The highest epoch that the engine has seen in an order.
    pub epoch: Epoch,
    /// The engine's rank in the group.
    pub rank: Rank,
    /// Whether the engine holds its weights.
    pub state: EngineState,
    /// Whether the engine can take full load.
    pub temperature: Temperature,
    /// Whether the engine announced that it is about to leave.
    pub leaving: bool,
    /// Requests that were running in the engine at its last count.
    pub running: u32,
    /// Requests that were queued in the engine at its last count.
    pub waiting: u32,
}

/// The loading state of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// The engine holds no weights.
    Empty,
    /// The engine is loading weights.
    Loading,
    /// The engine has loaded its weights and can take part in inference steps.
    Ready,
}

/// Whether an engine can take full load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Temperature {
    /// In cold start: takes only as many concurrent requests as the entry's cold limit allows.
    Cold,
    /// Warmed up: takes full load.
    Warm,
}
