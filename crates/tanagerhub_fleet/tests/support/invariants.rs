//! The invariants that hold at each step of a simulation.

use std::collections::BTreeMap;
use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_fleet::GroupView;
use tanagerhub_fleet::rows::GroupRow;

use super::Simulation;

impl Simulation {
    /// Checks the invariants of the table and of all nodes' views; panics with the one that is
    /// violated.
    pub fn check_invariants(&mut self) {
        let groups = self.table.all_groups();
        let mut group_by_vm = BTreeMap::new();
        for (id, row) in &groups {
            for vm in &row.members {
                let other = group_by_vm.insert(*vm, *id);
                assert_eq!(other, None, "VM {vm} is in two groups");
                assert_eq!(self.table.vm(*vm).group, Some(*id), "row of VM {vm}");
            }
        }
        for entry in &self.catalogue.entries {
            let counts_as_held =
                |row: &&GroupRow| row.entry == entry.id() && !row.draining && !row.standby;
            let held = groups.values().filter(counts_as_held).count();
            assert_eq!(held, self.table.entry(entry.id()).held as usize);
            let max = entry.limits.replicas_max as usize;
            let (old_held, old_max) = self
                .held
                .insert(entry.id(), (held, max))
                .unwrap_or((0, max));
            assert!(
                held <= old_held || held <= max.max(old_max),
                "{} grew to {held} replicas, its limit is {max}",
                entry.name
            );
        }
        for vm in &self.vms {
            let epoch = self.table.vm(vm.id()).epoch;
            let old = self.epochs.insert(vm.id(), epoch).unwrap_or_default();
            assert!(epoch >= old, "epoch of {} fell", vm.name);
        }
        self.check_views();
    }

    fn check_views(&self) {
        let mut slots: BTreeMap<(GroupId, Epoch), u32> = BTreeMap::new();
        for node in self.nodes.iter().filter(|node| node.running) {
            for view in node.fleet.groups(self.now) {
                *slots.entry((view.id, view.epoch)).or_default() += view.cold_slots;
                if view.eligible {
                    self.check_complete(&view);
                }
            }
        }
        for ((id, epoch), count) in slots {
            assert!(count <= 2, "group {id} epoch {epoch}: {count} cold slots");
        }
    }

    fn check_complete(&self, view: &GroupView) {
        let limit = Duration::from_secs(2) + self.tick;
        for member in &view.members {
            let seen = self.engines[&member.vm]
                .ready_at_epoch
                .get(&(view.id, view.epoch));
            let age = seen.map(|at| self.now.since(*at));
            assert!(
                age.is_some_and(|age| age <= limit),
                "group {} is eligible, member {} is missing since {age:?}",
                view.id,
                member.vm
            );
        }
    }
}
