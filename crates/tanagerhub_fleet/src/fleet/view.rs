//! The views of groups and the status of the fleet.

use tanagerhub_clock::Moment;

use crate::{EntryStatus, FleetStatus, GroupView, Health, MemberView, NotServing, Phase};

use super::Fleet;
use super::group::Group;

impl Fleet {
    pub(super) fn view(&self, now: Moment, group: &Group) -> GroupView {
        let health = health(group);
        let cold_slots = if health == Health::Cold {
            self.own_slots(now, group)
        } else {
            0
        };
        let why_not = self.why_not(now, group, health, cold_slots);
        let addresses = group.addresses.iter().copied();
        let members = group.row.members.iter().copied();
        let members = members.zip(addresses);
        GroupView {
            id: group.id,
            epoch: group.row.epoch,
            entry: group.row.entry,
            members: members
                .map(|(vm, address)| MemberView { vm, address })
                .collect(),
            data_centre: group.row.data_centre,
            phase: self.phase(now, group, health),
            age: group.valid_attestation().map(|at| now.since(at)),
            eligible: why_not.is_none(),
            health,
            cold_slots,
            why_not,
        }
    }

    /// Updates each group's addresses and exclusion after marks, listed VMs or rows changed.
    pub(super) fn refresh(&mut self) {
        let vms = &self.vms;
        for group in self.groups.values_mut() {
            let data_centre = group.row.data_centre;
            let members = &group.row.members;
            group.addresses = members.iter().map(|vm| vms.address(*vm)).collect();
            group.exclusion = if members.iter().any(|vm| vms.is_marked_out(*vm, data_centre)) {
                Some(NotServing::MarkedOut)
            } else if members.iter().any(|vm| vms.is_leaving(*vm)) {
                Some(NotServing::Leaving)
            } else {
                None
            };
        }
    }

    fn phase(&self, now: Moment, group: &Group, health: Health) -> Phase {
        let complete = group.is_complete(now, self.settings.age_limit);
        match health {
            _ if group.row.draining => Phase::Draining,
            _ if !complete && group.attested_at.is_none() => Phase::Loading,
            _ if !complete => Phase::Broken,
            Health::Leaving => Phase::Draining,
            Health::Cold => Phase::Warming,
            Health::Warm => Phase::Serving,
        }
    }

    /// Returns why this node sends the group no new requests at `now`; `None` when it is eligible.
    fn why_not(
        &self,
        now: Moment,
        group: &Group,
        health: Health,
        cold_slots: u32,
    ) -> Option<NotServing> {
        if self.catalogue.entry(group.row.entry).is_none() {
            return Some(NotServing::NoEntry);
        }
        if group.row.draining {
            return Some(NotServing::Draining);
        }
        if group.row.standby {
            return Some(NotServing::Standby);
        }
        if group.exclusion.is_some() {
            return group.exclusion;
        }
        if health == Health::Leaving {
            return Some(NotServing::Leaving);
        }
        if !group.is_complete(now, self.settings.age_limit) {
            return Some(match group.attested_at {
                Some(_) => NotServing::Unattested,
                None => NotServing::Loading,
            });
        }
        if now < group.suspicion.until {
            return Some(NotServing::Suspected);
        }
        if health == Health::Cold && cold_slots == 0 {
            return Some(if !group.has_row() || self.may_use_slots(now) {
                NotServing::NoColdSlots
            } else {
                NotServing::StaleSlots
            });
        }
        None
    }

    pub(super) fn build_status(&self, now: Moment) -> FleetStatus {
        let groups: Vec<GroupView> = self.groups(now).collect();
        let eligible = |id| {
            let serves = |group: &&GroupView| group.entry == id && group.eligible;
            saturating_u32(groups.iter().filter(serves).count())
        };
        let entries = self
            .catalogue
            .entries
            .iter()
            .map(|entry| EntryStatus {
                id: entry.id(),
                name: entry.name.clone(),
                min: entry.limits.replicas_min,
                max: entry.limits.replicas_max,
                held: saturating_u32(self.held_groups(entry.id()).count()),
                eligible: eligible(entry.id()),
            })
            .collect();
        let engines = || {
            let list = self.vms.list.iter();
            list.filter(|(_, info)| info.service.is_none())
        };
        FleetStatus {
            entries,
            vms: engines().count(),
            free_vms: engines().filter(|(vm, _)| self.is_free(**vm)).count(),
            left_out: self.vms.left_out(now),
            store_down: self.store.is_down(),
            planner: self.planner.rank,
            peers: self.peers.clone(),
            counters: self.counters,
            groups,
        }
    }
}

/// Returns the group's health; leaving if the platform lists a member as leaving or no longer lists
/// it.
fn health(group: &Group) -> Health {
    if group.exclusion == Some(NotServing::Leaving) {
        return Health::Leaving;
    }
    group.health
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
