//! A simulated engine on a VM.

use std::collections::BTreeMap;

use tanagerhub_catalogue::{BootId, Epoch, GroupId, Rank, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_fleet::{EngineState, MemberReport, Temperature};

/// The condition of an engine's VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmCondition {
    Alive,
    /// Does not respond; keeps its state.
    Paused,
    /// Does not respond; returns without weights.
    Dead,
    /// The VM is running, but its engine is not.
    Refusing,
}

#[derive(Debug)]
pub struct Engine {
    pub vm: VmId,
    pub condition: VmCondition,
    pub boot: BootId,
    pub group: Option<GroupId>,
    pub epoch: Epoch,
    pub rank: Rank,
    pub weights: Option<String>,
    pub ready_at: Option<Moment>,
    pub warm_at: Option<Moment>,
    pub checks_fencing: bool,
    pub leaving: bool,
    /// When the engine was last ready, by the group and epoch that it was in.
    pub ready_at_epoch: BTreeMap<(GroupId, Epoch), Moment>,
    pub loads: u32,
}

impl Engine {
    pub(super) fn state(&self, now: Moment) -> EngineState {
        match self.ready_at {
            None => EngineState::Empty,
            Some(at) if now < at => EngineState::Loading,
            Some(_) => EngineState::Ready,
        }
    }

    pub fn report(&self, now: Moment) -> MemberReport {
        let warm = self.warm_at.is_some_and(|at| now >= at);
        MemberReport {
            vm: self.vm,
            boot: self.boot,
            group: self.group,
            epoch: self.epoch,
            rank: self.rank,
            state: self.state(now),
            temperature: if warm {
                Temperature::Warm
            } else {
                Temperature::Cold
            },
            leaving: self.leaving,
            running: 0,
            waiting: 0,
        }
    }

    pub(super) fn restart(&mut self) {
        self.boot = BootId(self.boot.0 + 1);
        self.group = None;
        self.epoch = Epoch(0);
        self.weights = None;
        self.ready_at = None;
        self.warm_at = None;
    }
}
