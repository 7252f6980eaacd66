//! Which VMs can be or remain members of groups.

use std::time::Duration;

use tanagerhub_catalogue::VmId;
use tanagerhub_clock::Moment;

use crate::{Decision, GroupState};

use super::Groups;
use super::group::Group;
use super::order_tries::OrderNews;
use super::stage::LOAD_TIMEOUT_FACTOR;

impl Groups {
    /// Returns whether a member can't take part, so that another VM is to take its place.
    pub(super) fn lacks_member(&self, now: Moment, group: &Group) -> bool {
        let mut members = group.members.iter();
        members.any(|vm| self.is_missing(now, group, *vm))
    }

    /// Returns whether a VM can't take part in its group: it is unusable, or is not in place and can't be
    /// brought there.
    pub(super) fn is_missing(&self, now: Moment, group: &Group, vm: VmId) -> bool {
        let is_late = match self.vms.state_in(vm, group) {
            None => self.is_unresponsive(now, vm),
            Some(GroupState::Ready) if group.was_ready && group.head() == Some(vm) => {
                self.is_unresponsive(now, vm)
            }
            Some(GroupState::Joining) => now.since(group.known_since) > self.join_timeout(group),
            Some(_) => false,
        };
        is_late || self.is_unusable(vm)
    }

    /// Returns the time after which a member that still joins is taken for lost.
    fn join_timeout(&self, group: &Group) -> Duration {
        let mut engines = self.engines.iter();
        let engine = engines.find(|engine| engine.service == group.row.service);
        let model = engine.and_then(|engine| engine.model(&group.row.model));
        model.map_or(Duration::MAX, |model| {
            (model.load_time + model.join_time) * LOAD_TIMEOUT_FACTOR
        })
    }

    /// Returns whether a member is lost, so that the group's requests can't go on.
    pub(super) fn has_lost_member(&self, group: &Group) -> bool {
        let is_gone = |vm: &VmId| {
            let entry = self.vms.get(*vm);
            entry.is_none_or(|entry| entry.is_gone(&self.settings))
        };
        group.members.iter().any(is_gone)
    }

    /// Returns whether a VM can't remain a member: it is unknown, lost or leaving.
    pub(super) fn is_unusable(&self, vm: VmId) -> bool {
        self.vms
            .get(vm)
            .is_none_or(|entry| entry.is_gone(&self.settings) || entry.is_leaving())
    }

    /// Returns whether a VM can become a member: it is usable and reachable.
    pub(super) fn is_available(&self, vm: VmId) -> bool {
        let entry = self.vms.get(vm);
        !self.is_unusable(vm) && entry.is_some_and(|entry| !entry.is_unavailable(&self.settings))
    }

    /// Returns whether a VM can't be brought anywhere now: it begins no order, or gives no report.
    pub(super) fn is_unresponsive(&self, now: Moment, vm: VmId) -> bool {
        let entry = self.vms.get(vm);
        entry.is_some_and(|entry| entry.is_unresponsive(now))
    }

    pub(super) fn is_reachable(&self, vm: VmId) -> bool {
        let entry = self.vms.get(vm);
        entry.is_some_and(|entry| !entry.is_unavailable(&self.settings))
    }

    /// Returns whether neither this node nor other nodes reach a VM.
    pub(super) fn is_confirmed_gone(&self, vm: VmId) -> bool {
        let entry = self.vms.get(vm);
        entry.is_none_or(|entry| {
            entry.is_unreachable(&self.settings) && entry.is_gone(&self.settings)
        })
    }

    /// Tells operators of the VMs that ignore orders, and of those that follow them again.
    pub(super) fn tell_ignored_orders(&mut self, now: Moment) {
        let entries = self.vms.list.values_mut();
        let news = entries.filter_map(|entry| {
            let news = entry.tries.take_news(now)?;
            let vm = entry.report.vm.name.clone();
            Some(match news {
                OrderNews::Ignores(orders) => Decision::VmIgnoresOrders { vm, orders },
                OrderNews::Follows => Decision::VmFollowsOrders { vm },
            })
        });
        self.decisions.extend(news);
    }
}
