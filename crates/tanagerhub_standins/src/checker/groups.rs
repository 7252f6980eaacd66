//! Checks that groups are complete and disjoint, and that cold engines are not overloaded.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tanagerhub_catalogue::{GroupId, Rank, VmId};
use tanagerhub_clock::Moment;

use crate::{Event, MissingCause, RequestId, Started, Violation};

#[derive(Debug, Default)]
pub(super) struct Groups {
    members: HashMap<GroupId, Vec<VmId>>,
    group_of: HashMap<VmId, GroupId>,
    left_at: HashMap<VmId, Moment>,
    paused_at: HashMap<VmId, Moment>,
    dead: HashSet<VmId>,
    /// Groups of the requests in flight, by request and VM of the group's head.
    running: HashMap<(RequestId, VmId), Vec<GroupId>>,
}

impl Groups {
    pub(super) fn apply(
        &mut self,
        at: Moment,
        event: &Event,
        limit: Duration,
        violations: &mut Vec<Violation>,
    ) {
        match event {
            Event::JoinedGroup {
                vm,
                group,
                rank,
                members,
                ..
            } => {
                self.dead.remove(vm);
                self.left_at.remove(vm);
                self.group_of.insert(*vm, *group);
                if *rank == Rank(0) {
                    self.members.insert(*group, members.clone());
                }
            }
            Event::LeftGroup { vm, .. } => {
                self.group_of.remove(vm);
                self.left_at.insert(*vm, at);
            }
            Event::Missing { vm, cause } => {
                match cause {
                    MissingCause::Dead => self.dead.insert(*vm),
                    MissingCause::Paused => self.paused_at.insert(*vm, at).is_none(),
                };
            }
            Event::Returned { vm } => {
                self.paused_at.remove(vm);
            }
            Event::Started(started) => self.started(at, started, limit, violations),
            Event::Finished {
                request_id,
                vm,
                group,
            } => {
                self.finished(request_id, *group, violations);
                self.ended(request_id, *vm);
            }
            Event::Stopped { request_id, vm, .. } => self.ended(request_id, *vm),
            _ => {}
        }
    }

    fn started(
        &mut self,
        at: Moment,
        started: &Started,
        limit: Duration,
        violations: &mut Vec<Violation>,
    ) {
        let group = started.group;
        if started.cold && started.running > started.cold_limit {
            violations.push(Violation::ColdOverload {
                vm: started.vm,
                running: started.running,
                limit: started.cold_limit,
            });
        }
        for member in self.members_of(group) {
            if let Some(age) = self.missing_for(member, group, at)
                && age > limit
            {
                violations.push(Violation::MemberMissing {
                    request_id: started.request_id.clone(),
                    group,
                    member,
                    age,
                });
            }
            violations.extend(self.shared_vm(member, group));
        }
        self.running
            .entry((started.request_id.clone(), started.vm))
            .or_default()
            .push(group);
    }

    /// Returns for how long a member has been paused or outside its group.
    fn missing_for(&self, member: VmId, group: GroupId, at: Moment) -> Option<Duration> {
        let since = self.paused_at.get(&member).or_else(|| {
            let not_member = self.group_of.get(&member) != Some(&group);
            not_member.then(|| self.left_at.get(&member)).flatten()
        });
        since.map(|since| at.since(*since))
    }

    /// Returns a violation if the VM belongs to another group with requests in flight.
    fn shared_vm(&self, vm: VmId, group: GroupId) -> Option<Violation> {
        let mut others = self.running.values().flatten();
        let other = others.find(|other| **other != group && self.members_of(**other).contains(&vm));
        other.map(|other| Violation::SharedVm {
            vm,
            groups: [*other, group],
        })
    }

    fn finished(&self, request_id: &RequestId, group: GroupId, violations: &mut Vec<Violation>) {
        for member in self.members_of(group) {
            if self.dead.contains(&member) {
                violations.push(Violation::MemberMissing {
                    request_id: request_id.clone(),
                    group,
                    member,
                    age: Duration::ZERO,
                });
            }
        }
    }

    fn ended(&mut self, request_id: &RequestId, vm: VmId) {
        let run = (request_id.clone(), vm);
        if let Some(groups) = self.running.get_mut(&run) {
            groups.pop();
            if groups.is_empty() {
                self.running.remove(&run);
            }
        }
    }

    fn members_of(&self, group: GroupId) -> Vec<VmId> {
        self.members.get(&group).cloned().unwrap_or_default()
    }
}
