//! The VMs in no group, and which of them can become members.

use std::collections::{BTreeMap, BTreeSet};

use tanagerhub_catalogue::{DomainId, Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use super::Groups;
use super::join_check::{FormerHead, JoinCheck};
use super::term::ActiveTerm;
use super::vm_entry::VmEntry;

/// The VMs in no group, excluding those used by changes of the current round.
pub(super) struct FreeVms {
    pub(super) by_domain: BTreeMap<DomainId, BTreeSet<VmId>>,
    /// Groups and epochs whose heads may be serving, according to the VMs' reports.
    pub(super) serving: BTreeSet<(GroupId, Epoch)>,
}

impl FreeVms {
    /// Removes VMs of a domain, because a change uses them.
    pub(super) fn take(&mut self, domain: DomainId, vms: &[VmId]) {
        if let Some(free) = self.by_domain.get_mut(&domain) {
            free.retain(|vm| !vms.contains(vm));
        }
    }
}

/// What a free VM must match to become a member.
#[derive(Debug, Clone, Copy)]
pub(super) struct SpareRequirements<'a> {
    pub(super) domain: DomainId,
    pub(super) service: &'a str,
    pub(super) model: &'a str,
    /// The group that lacks a member; `None` for a new group.
    pub(super) group: Option<GroupId>,
}

/// The result of a search for VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Search {
    Found(Vec<VmId>),
    /// There may be enough once these VMs have reported.
    Awaits(Vec<VmId>),
    TooFew,
}

impl Groups {
    pub(super) fn free_vms(&self, now: Moment) -> FreeVms {
        let mut by_domain: BTreeMap<DomainId, BTreeSet<VmId>> = BTreeMap::new();
        for vm in self.available_vms() {
            if let Some(entry) = self.vms.get(vm) {
                by_domain.entry(entry.domain).or_default().insert(vm);
            }
        }
        FreeVms {
            by_domain,
            serving: self.serving_groups(now),
        }
    }

    /// Returns the VMs in no group that can become members.
    pub(super) fn available_vms(&self) -> BTreeSet<VmId> {
        let mut vms = self.unassigned_vms();
        vms.retain(|vm| self.is_available(*vm));
        vms
    }

    /// Returns the usable VMs in no group.
    pub(super) fn unassigned_vms(&self) -> BTreeSet<VmId> {
        let held: BTreeSet<VmId> = self
            .by_id
            .values()
            .flat_map(|group| group.members.iter().copied())
            .collect();
        let is_held = |vm: &VmId, entry: &VmEntry| {
            let group = entry.report.group.map(|membership| membership.group);
            held.contains(vm) || group.is_some_and(|group| self.unreadable.contains(&group))
        };
        self.vms
            .list
            .iter()
            .filter(|(vm, entry)| !is_held(vm, entry) && !self.is_unusable(**vm))
            .map(|(vm, _)| *vm)
            .collect()
    }

    /// Returns `count` matching free VMs that have proven that they may join a group.
    pub(super) fn spares(
        &self,
        now: Moment,
        term: ActiveTerm,
        free: &FreeVms,
        requirements: SpareRequirements<'_>,
        count: usize,
    ) -> Search {
        let (mut proven, mut unknown, mut needed) = (Vec::new(), 0, Vec::new());
        // Those that have begun the last order to them come first.
        let mut spares: Vec<VmId> = self.matching_spares(now, free, requirements).collect();
        spares.sort_by_key(|vm| self.vms.get(*vm).map(|entry| entry.tries.sent()));
        for vm in spares {
            match self.check_join(now, term, vm, requirements.group) {
                JoinCheck::Proven(_) => proven.push(vm),
                JoinCheck::Unknown(asked) => {
                    unknown += 1;
                    needed.push(asked);
                }
                // It is in no group shortly.
                JoinCheck::MustLeave(_, _, FormerHead::Out) => {
                    unknown += 1;
                    needed.push(vm);
                }
                JoinCheck::Taken
                | JoinCheck::MustLeave(_, _, FormerHead::Ended)
                | JoinCheck::HeadMustLeave(..)
                | JoinCheck::Waits => {}
            }
            if proven.len() == count {
                return Search::Found(proven);
            }
        }
        let missing = count - proven.len();
        if unknown < missing {
            return Search::TooFew;
        }
        needed.truncate(missing);
        Search::Awaits(needed)
    }

    /// Returns whether a VM reports another group at a newer epoch than the row's, from a renewal
    /// while the store was unreachable.
    fn joined_elsewhere(&self, entry: &VmEntry, group: Option<GroupId>) -> bool {
        let Some(membership) = entry.report.group else {
            return false;
        };
        let known = self.by_id.get(&membership.group);
        group != Some(membership.group) && known.is_some_and(|known| known.epoch < membership.epoch)
    }

    /// Returns the free VMs of a domain that have the model staged and are available.
    pub(super) fn matching_spares(
        &self,
        now: Moment,
        free: &FreeVms,
        requirements: SpareRequirements<'_>,
    ) -> impl Iterator<Item = VmId> {
        // A VM may report a group whose head accepts requests although no row contains the VM.
        let serves = |entry: &VmEntry| {
            let membership = entry.report.group;
            membership.is_some_and(|membership| {
                free.serving.contains(&(membership.group, membership.epoch))
            })
        };
        let fits = move |vm: &&VmId| {
            self.vms.get(**vm).is_some_and(|entry| {
                entry.report.vm.service.as_deref() == Some(requirements.service)
                    && entry.report.has_staged(requirements.model)
                    && entry.staging.is_none()
                    && !entry.is_unresponsive(now)
                    && !self.joined_elsewhere(entry, requirements.group)
                    && !serves(entry)
            })
        };
        let in_domain = free.by_domain.get(&requirements.domain);
        in_domain.into_iter().flatten().filter(fits).copied()
    }
}
