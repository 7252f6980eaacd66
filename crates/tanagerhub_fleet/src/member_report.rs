//! What an engine reports of itself.

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{BootId, Epoch, GroupId, Rank, VmId};

/// An engine's answer to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The VM that the engine runs on.
    pub vm: VmId,
    /// The engine's current start.
    pub boot: BootId,
    /// The group that it was last ordered into.
    pub group: Option<GroupId>,
    /// The highest epoch that it has seen.
    pub epoch: Epoch,
    /// Its place in the group.
    pub rank: Rank,
    /// How far it is with loading.
    pub state: EngineState,
    /// Whether it can bear its full load.
    pub temperature: Temperature,
    /// Whether it has said that it is about to leave.
    pub leaving: bool,
    /// Requests that it runs, as last counted.
    pub running: u32,
    /// Requests that wait in it, as last counted.
    pub waiting: u32,
}

/// How far an engine is with loading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// It holds no weights.
    Empty,
    /// It loads weights.
    Loading,
    /// It can take part in a step.
    Ready,
}

/// Whether an engine can bear its full load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Temperature {
    /// In cold start: only the entry's cold limit.
    Cold,
    /// Warmed up.
    Warm,
}
