//! What the troubles of a run do.

use std::time::Duration;

use tanagerhub_catalogue::VmId;
use tanagerhub_groups::{GroupState, GroupsEvent};

use super::trouble::{Role, Trouble};
use super::vm::VmModel;
use super::world::{Delivery, World};

/// The time after which the store drops the row of a VM that has ended.
const LAPSE_TIME: Duration = Duration::from_millis(3_600);

impl World {
    pub fn trouble(&mut self, trouble: Trouble) {
        self.trace(&format!("{trouble:?}"));
        self.is_troubled = true;
        self.idle_since = None;
        let planner = self.planner_node();
        let now = self.now;
        let others = (0..self.nodes.len()).filter(|index| Some(*index) != planner);
        let mut others = others.filter(|index| self.nodes[*index].alive);
        let other = others.next();
        match trouble {
            Trouble::StopOther => {
                if let Some(node) = other {
                    self.nodes[node].draining = true;
                    self.handle(node, GroupsEvent::ResignPlanner);
                    self.nodes[node].presence.set_stopping();
                    self.send(
                        Duration::from_millis(400),
                        node,
                        Delivery::Trouble(Trouble::End(node)),
                    );
                }
            }
            Trouble::End(node) => self.nodes[node].alive = false,
            Trouble::KillPlanner => {
                if let Some(node) = planner {
                    self.nodes[node].alive = false;
                }
            }
            Trouble::KillOther => {
                if let Some(node) = other {
                    self.nodes[node].alive = false;
                }
            }
            Trouble::FreezePlanner(time) => {
                if let Some(node) = planner {
                    self.nodes[node].frozen_until = now + time;
                }
            }
            Trouble::StartNode(large) => self.start_node(large),
            Trouble::TurnPlannerAway(time) => {
                if let Some(node) = planner {
                    self.nodes[node].turned_until = now + time;
                }
            }
            Trouble::TurnAllAway(time) => {
                for node in &mut self.nodes {
                    node.turned_until = now + time;
                }
            }
            Trouble::SlowStore(time, by) => {
                self.slow_until = now + time;
                self.slow_by = by;
            }
            Trouble::LoseAnswers(time) => self.lost_until = now + time,
            Trouble::Crash(role) => {
                if let Some(vm) = self.find(role) {
                    let model = self.vms.get_mut(&vm).unwrap();
                    model.alive = false;
                    model.member = None;
                    self.send(LAPSE_TIME, 0, Delivery::VmRowLapses(vm));
                }
            }
            Trouble::Silence(role, time) => {
                if let Some(vm) = self.find(role) {
                    self.vms.get_mut(&vm).unwrap().silent_until = now + time;
                }
            }
            Trouble::Revive { with_members } => self.revive(with_members),
        }
    }

    /// Brings back the group that a head has left last, if it is in none.
    fn revive(&mut self, with_members: bool) {
        let is_former_head = |it: &VmModel| {
            let former = it
                .former
                .as_ref()
                .filter(|_| it.alive && it.member.is_none());
            former.is_some_and(|member| member.members[0] == it.vm.name)
        };
        let head = self.vms.values().find(|it| is_former_head(it));
        let Some(member) = head.and_then(|it| it.former.clone()) else {
            return;
        };
        for (rank, name) in member.members.iter().enumerate() {
            let model = self.vms.get_mut(&VmId::of(name)).unwrap();
            let state = if rank == 0 {
                GroupState::Open
            } else {
                GroupState::Ready
            };
            if model.alive && model.member.is_none() && (rank == 0 || with_members) {
                model.rejoin(member.clone(), state);
            }
        }
    }

    /// Returns a living VM with a part, the last by name.
    fn find(&self, role: Role) -> Option<VmId> {
        let part = |model: &VmModel| match &model.member {
            Some(it) => Role::of(it.members.len(), it.members[0] == model.vm.name),
            None => Role::Spare,
        };
        let mut living = self.vms.iter().rev().filter(|(_, it)| it.alive);
        living.find(|(_, it)| part(it) == role).map(|(vm, _)| *vm)
    }

    /// Returns the node that plans, by the store, and the other ones.
    fn planner_node(&self) -> Option<usize> {
        self.nodes.iter().position(|it| it.boot == self.planner.0)
    }
}
