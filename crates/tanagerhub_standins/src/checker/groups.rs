//! Whole and disjoint groups, and cold starts.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tanagerhub_catalogue::{GroupId, Rank, VmId};
use tanagerhub_clock::Moment;

use crate::{Absence, Fact, Started, Violation, Work};

#[derive(Debug, Default)]
pub(super) struct Groups {
    members: HashMap<GroupId, Vec<VmId>>,
    belongs: HashMap<VmId, GroupId>,
    parted: HashMap<VmId, Moment>,
    paused: HashMap<VmId, Moment>,
    dead: HashSet<VmId>,
    running: HashMap<(Work, VmId), Vec<GroupId>>,
}

impl Groups {
    pub(super) fn take(
        &mut self,
        at: Moment,
        fact: &Fact,
        limit: Duration,
        violations: &mut Vec<Violation>,
    ) {
        match fact {
            Fact::Joined {
                vm,
                group,
                rank,
                members,
                ..
            } => {
                self.dead.remove(vm);
                self.parted.remove(vm);
                self.belongs.insert(*vm, *group);
                if *rank == Rank(0) {
                    self.members.insert(*group, members.clone());
                }
            }
            Fact::Parted { vm, .. } => {
                self.belongs.remove(vm);
                self.parted.insert(*vm, at);
            }
            Fact::Missing { vm, absence } => {
                match absence {
                    Absence::Dead => self.dead.insert(*vm),
                    Absence::Paused => self.paused.insert(*vm, at).is_none(),
                };
            }
            Fact::Present { vm } => {
                self.paused.remove(vm);
            }
            Fact::Started(started) => self.started(at, started, limit, violations),
            Fact::Finished { work, vm, group } => {
                self.finished(work, *group, violations);
                self.ended(work, *vm);
            }
            Fact::Stopped { work, vm, .. } => self.ended(work, *vm),
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
                    work: started.work.clone(),
                    group,
                    member,
                    age,
                });
            }
            violations.extend(self.shared(member, group));
        }
        self.running
            .entry((started.work.clone(), started.vm))
            .or_default()
            .push(group);
    }

    /// For how long a member has not been part of its group.
    fn missing_for(&self, member: VmId, group: GroupId, at: Moment) -> Option<Duration> {
        let since = self.paused.get(&member).or_else(|| {
            let elsewhere = self.belongs.get(&member) != Some(&group);
            elsewhere.then(|| self.parted.get(&member)).flatten()
        });
        since.map(|since| at.since(*since))
    }

    /// Another group with requests in flight that the VM belongs to.
    fn shared(&self, vm: VmId, group: GroupId) -> Option<Violation> {
        let mut others = self.running.values().flatten();
        let other = others.find(|other| **other != group && self.members_of(**other).contains(&vm));
        other.map(|other| Violation::SharedVm {
            vm,
            groups: [*other, group],
        })
    }

    fn finished(&self, work: &Work, group: GroupId, violations: &mut Vec<Violation>) {
        for member in self.members_of(group) {
            if self.dead.contains(&member) {
                violations.push(Violation::MemberMissing {
                    work: work.clone(),
                    group,
                    member,
                    age: Duration::ZERO,
                });
            }
        }
    }

    fn ended(&mut self, work: &Work, vm: VmId) {
        let run = (work.clone(), vm);
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
