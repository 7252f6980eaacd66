//! The promises that hold at each step of a simulation.

use tanagerhub_catalogue::{Epoch, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_groups::{GroupRow, GroupState, Order};
use tanagerhub_table::RowKey;

use super::Simulation;
use super::backend_server::{BackendServer, PendingStep};

impl Simulation {
    pub(super) fn check_row(&mut self, key: &RowKey, value: &[u8]) {
        if key.name().starts_with("g/") {
            let decoded = bincode::serde::decode_from_slice(value, bincode::config::standard());
            let (row, _): (GroupRow, usize) = decoded.unwrap();
            self.check_member_list(key.name().to_owned(), row.epoch, &row.members);
        }
    }

    /// Checks that an epoch of a group has the same members in all rows and orders.
    pub(super) fn check_member_list(&mut self, row: String, epoch: Epoch, members: &[String]) {
        let text = format!("{row} has two lists of members at {epoch:?}");
        let first = self.member_lists.entry((row, epoch));
        if *first.or_insert_with(|| members.to_vec()) != members {
            self.violations.insert(text);
        }
    }

    /// Checks that no VM joins another group while the head of its own group serves.
    ///
    /// A join at an epoch below the VM's highest one is refused and therefore not checked.
    pub(super) fn check_join(&mut self, vm: VmId, order: &Order) {
        let Order::Join { group, epoch, .. } = order else {
            return;
        };
        let server = &self.servers[&vm];
        if *epoch < server.highest_epoch {
            return;
        }
        let Some(membership) = server
            .report
            .group
            .filter(|membership| membership.group != *group)
        else {
            return;
        };
        let head = server.members.first().map(|name| VmId::of(name));
        let head = head.and_then(|head| self.servers.get(&head));
        let is_serving = head.is_some_and(|head| {
            let state = head.report.state_in(membership.group, membership.epoch);
            head.alive && matches!(state, Some(GroupState::Open | GroupState::Closing))
        });
        if is_serving {
            let name = &server.report.vm.name;
            let text = format!("{name} was ordered to leave a group that is serving");
            self.violations.insert(text);
        }
    }

    /// Checks that no VM of a group loads a model, which replaces the one that it serves.
    pub(super) fn check_load(&mut self, vm: VmId, order: &Order) {
        if !matches!(order, Order::Stage { .. }) {
            return;
        }
        let name = &self.servers[&vm].report.vm.name;
        let groups = self
            .store
            .rows
            .iter()
            .filter(|(key, _)| key.name().starts_with("g/"));
        let is_member = groups
            .filter_map(|(_, row)| row.value.as_ref())
            .any(|value| {
                let decoded = bincode::serde::decode_from_slice(value, bincode::config::standard());
                decoded.is_ok_and(|(row, _): (GroupRow, usize)| row.members.contains(name))
            });
        if is_member {
            let text = format!("{name} was ordered to load a model while in a group");
            self.violations.insert(text);
        }
    }

    /// Checks that each member of a serving group was ready for this group at this epoch, and that
    /// their number is the group size. Also records the highest number of concurrent loads.
    pub(super) fn check_groups(&mut self) {
        let loads = |server: &BackendServer| {
            let staging =
                |(_, done): &&(Moment, PendingStep)| matches!(done, PendingStep::Staged(_));
            server.pending.iter().filter(staging).count()
        };
        let running = self.servers.values().map(loads).sum();
        if !self.quick_loads {
            self.max_concurrent_loads = self.max_concurrent_loads.max(running);
        }
        let mut found = Vec::new();
        for server in self.servers.values() {
            let Some(membership) = server.report.group else {
                continue;
            };
            if membership.state != GroupState::Open || !server.alive {
                continue;
            }
            let model = server.report.served_model.clone().unwrap_or_default();
            let size = self
                .engine
                .model(&model)
                .map_or(0, |model| model.group_size);
            let ready = server.members.iter().filter(|name| {
                let member = &self.servers[&VmId::of(name)];
                let state = member.report.state_in(membership.group, membership.epoch);
                let has_left = member.left == Some((membership.group, membership.epoch));
                let is_later = member.highest_epoch > membership.epoch;
                let unusable = !member.alive || is_later || has_left;
                unusable || state.is_some_and(|state| state != GroupState::Joining)
            });
            if ready.count() != size {
                found.push(format!("{membership:?} serves with {:?}", server.members));
            }
        }
        self.violations.extend(found);
    }
}
