//! The rule that no group stays broken for which there are VMs.

use std::time::Duration;

use tanagerhub_catalogue::VmId;
use tanagerhub_groups::GroupRow;

use super::vm::VmModel;
use super::world::{Node, World};

/// The longest time for which a group stays broken while there are VMs for it and a node may plan: a VM
/// is found to be lost, another group gives way for it, and two VMs in turn begin no order.
const REPAIR_TIME: Duration = Duration::from_secs(18);

impl World {
    /// Checks that no group stays broken for long for which there are VMs, while a node may plan.
    pub fn check_repair(&mut self) {
        let now = self.now;
        let plans = |it: &Node| it.groups.may_plan(now) && self.runs(it);
        let broken = self.broken_group().filter(|_| self.nodes.iter().any(plans));
        let Some(group) = broken else {
            self.idle_since = None;
            return;
        };
        let since = *self.idle_since.get_or_insert(now);
        if now.since(since) > REPAIR_TIME {
            self.broken
                .insert(format!("REPAIR: {group} is broken since {since:?}"));
        }
    }

    /// Returns a group that doesn't serve although the VMs in no group that serves suffice for it.
    fn broken_group(&self) -> Option<String> {
        let rows = self
            .rows
            .iter()
            .filter(|(key, _)| key.name().starts_with("g/"));
        let rows = rows.filter_map(|(key, row)| Some((key.name(), group_in(row.value.as_ref()?))));
        let (serving, broken): (Vec<_>, Vec<_>) = rows.partition(|(_, row)| self.serves(row));
        let is_used = |name: &String| serving.iter().any(|(_, row)| row.members.contains(name));
        let is_idle = |it: &&VmModel| it.is_usable(self.now) && !is_used(&it.vm.name);
        let idle = self.vms.values().filter(is_idle).count();
        let broken = broken.iter().filter(|(_, row)| row.members.len() <= idle);
        broken.map(|(name, _)| (*name).to_owned()).next()
    }

    /// Returns whether the head of a group's row is open with all its members.
    fn serves(&self, row: &GroupRow) -> bool {
        row.members.iter().enumerate().all(|(rank, name)| {
            let model = &self.vms[&VmId::of(name)];
            let member = model.member.as_ref().filter(|_| model.alive);
            member.is_some_and(|it| it.epoch >= row.epoch && (rank > 0 || it.serves()))
        })
    }
}

/// Returns a group's row.
fn group_in(value: &[u8]) -> GroupRow {
    let config = bincode::config::standard();
    bincode::serde::decode_from_slice(value, config).unwrap().0
}
