//! A VM that takes orders and forms groups as PROTOCOL.md has it, and tells of itself with a lag.

use std::collections::VecDeque;
use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, Vm, VmState};
use tanagerhub_clock::Moment;
use tanagerhub_groups::{GroupReport, GroupState, Order, OrderResult, VmReport};

use super::calls::expected_count;
use super::trouble::Habit;

/// The time of a join whose model was that of the VM's last group, and of any other.
const REJOIN_TIME: Duration = Duration::from_millis(200);
const JOIN_TIME: Duration = Duration::from_millis(1_100);
/// The time from an order to open until the head serves.
const FORM_TIME: Duration = Duration::from_millis(100);
/// The age of what the VM reports.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// The time after which a head without all its members is broken.
const STALL_TIME: Duration = Duration::from_secs(5);

/// A membership in a group.
#[derive(Debug, Clone)]
pub struct Member {
    pub group: GroupId,
    pub epoch: Epoch,
    pub members: Vec<String>,
    pub state: GroupState,
    model: String,
    /// When the state changes by itself.
    due: Option<Moment>,
    missing_since: Option<Moment>,
}

impl Member {
    pub fn is(&self, group: GroupId, epoch: Epoch) -> bool {
        (self.group, self.epoch) == (group, epoch)
    }

    pub fn serves(&self) -> bool {
        matches!(self.state, GroupState::Open | GroupState::Closing)
    }
}

#[derive(Debug)]
pub struct VmModel {
    pub vm: Vm,
    pub alive: bool,
    pub silent_until: Moment,
    pub member: Option<Member>,
    /// The group that it left last by an order.
    pub former: Option<Member>,
    pub habits: Vec<Habit>,
    /// Orders that were left unanswered, with the time at which each came.
    pub held: VecDeque<(Moment, Order)>,
    last_model: String,
    newest_epoch: Epoch,
    pub order_count: u64,
    /// What it has reported, from its last change back.
    history: VecDeque<(Moment, VmReport)>,
}

impl VmModel {
    pub fn new(name: &str, port: u16) -> Self {
        let vm = Vm {
            name: name.to_owned(),
            address: ([10, 0, 0, 1], port).into(),
            data_centre: "dc".to_owned(),
            domain: "domain".to_owned(),
            service: Some("llm".to_owned()),
            state: VmState::Live,
        };
        Self {
            vm,
            alive: true,
            silent_until: Moment::ZERO,
            member: None,
            former: None,
            habits: Vec::new(),
            held: VecDeque::new(),
            last_model: String::new(),
            newest_epoch: Epoch(0),
            order_count: 0,
            history: VecDeque::new(),
        }
    }

    /// Returns the VM's present state.
    pub fn report(&self) -> VmReport {
        let name = &self.vm.name;
        let group = self.member.as_ref().map(|member| {
            let rank = member.members.iter().position(|it| it == name);
            GroupReport {
                group: member.group,
                epoch: member.epoch,
                rank: u32::try_from(rank.unwrap()).unwrap(),
                state: member.state,
            }
        });
        let due = self.member.as_ref().and_then(|member| member.due);
        VmReport {
            vm: self.vm.clone(),
            started_ms: 1,
            slots: 17,
            cold_remaining: Duration::ZERO,
            staged: vec!["large".to_owned(), "small".to_owned()],
            served_model: self.member.as_ref().map(|member| member.model.clone()),
            busy: Some(due.is_some()),
            order_count: Some(self.order_count),
            group,
        }
    }

    /// Returns what the VM tells now, which is as of some time ago.
    pub fn lagging_report(&self, now: Moment) -> VmReport {
        let old = self
            .history
            .iter()
            .find(|(at, _)| now.since(*at) >= REPORT_LAG);
        let known = old.or(self.history.back());
        known.map_or_else(|| self.report(), |(_, report)| report.clone())
    }

    /// Records the present state. Returns whether it differs from the last one.
    pub fn record(&mut self, now: Moment) -> bool {
        let report = self.report();
        if self
            .history
            .front()
            .is_some_and(|(_, last)| *last == report)
        {
            return false;
        }
        self.history.push_front((now, report));
        self.history.truncate(8);
        true
    }

    /// Returns whether the VM can become a member.
    pub fn is_usable(&self, now: Moment) -> bool {
        let is_deaf = |it: &Habit| matches!(it, Habit::Ignores(_, _, to) if now < *to);
        self.alive && self.silent_until <= now && !self.habits.iter().any(is_deaf)
    }

    /// Takes part once more in a group that it has left, in another state.
    pub fn rejoin(&mut self, mut member: Member, state: GroupState) {
        member.state = state;
        member.due = None;
        member.missing_since = None;
        self.member = Some(member);
        self.order_count += 1;
    }

    /// Returns whether the VM never carries an order out.
    pub fn ignores(&self, now: Moment, order: &Order) -> bool {
        self.habits.iter().any(|habit| match habit {
            Habit::Ignores(kind, from, to) => kind.includes(order) && (*from..*to).contains(&now),
            Habit::NeedsSoleJoin(_) => {
                matches!(order, Order::Join { .. }) && expected_count(order).is_some()
            }
            Habit::OpensUncounted => false,
        })
    }

    /// Returns how late the VM carries a join out because of a habit, which ends with that.
    pub fn delay_sole_join(&mut self, order: &Order) -> Option<Duration> {
        let is_join = matches!(order, Order::Join { .. });
        let index = self
            .habits
            .iter()
            .position(|it| matches!(it, Habit::NeedsSoleJoin(_)));
        let index = index.filter(|_| is_join && expected_count(order).is_none())?;
        match self.habits.remove(index) {
            Habit::NeedsSoleJoin(by) => Some(by),
            Habit::OpensUncounted | Habit::Ignores(..) => None,
        }
    }

    /// Carries an order out.
    pub fn execute(&mut self, now: Moment, order: &Order) -> OrderResult {
        let is_open = matches!(order, Order::Open { .. });
        let is_counted = !(is_open && self.habits.contains(&Habit::OpensUncounted));
        let count = expected_count(order).filter(|_| is_counted);
        if count.is_some_and(|count| count != self.order_count) {
            return OrderResult::Unfit;
        }
        let is_in = |it: &Option<Member>, group: &GroupId, epoch: &Epoch| {
            it.as_ref().is_some_and(|member| member.is(*group, *epoch))
        };
        match order {
            Order::Join {
                group,
                epoch,
                model,
                members,
                ..
            } => {
                if *epoch < self.newest_epoch {
                    return OrderResult::Stale;
                }
                if is_in(&self.member, group, epoch) {
                    return OrderResult::Accepted;
                }
                self.newest_epoch = *epoch;
                let is_warm = self.last_model == *model;
                self.last_model.clone_from(model);
                let time = if is_warm { REJOIN_TIME } else { JOIN_TIME };
                self.member = Some(Member {
                    group: *group,
                    epoch: *epoch,
                    members: members.clone(),
                    state: GroupState::Joining,
                    model: model.clone(),
                    due: Some(now + time),
                    missing_since: None,
                });
            }
            Order::Open { group, epoch, .. } => {
                let Some(member) = self.member.as_mut().filter(|it| it.is(*group, *epoch)) else {
                    return OrderResult::Unfit;
                };
                if member.state != GroupState::Ready || member.due.is_some() {
                    return OrderResult::Unfit;
                }
                member.due = Some(now + FORM_TIME);
            }
            Order::Close { group, epoch } => {
                let Some(member) = self.member.as_mut().filter(|it| it.is(*group, *epoch)) else {
                    return OrderResult::Unfit;
                };
                member.state = GroupState::Ready;
                member.due = None;
            }
            Order::Leave { group, epoch } => {
                if !is_in(&self.member, group, epoch) {
                    return OrderResult::Unfit;
                }
                self.former = self.member.take();
            }
            Order::Stage { .. } => {}
        }
        self.order_count += 1;
        OrderResult::Accepted
    }

    /// Completes what is due. `is_complete` states that all members are in the VM's group.
    pub fn advance(&mut self, now: Moment, is_complete: bool) {
        let Some(member) = &mut self.member else {
            return;
        };
        if member.due.is_some_and(|due| due <= now) {
            member.due = None;
            member.state = match member.state {
                GroupState::Joining => GroupState::Ready,
                GroupState::Ready => GroupState::Open,
                other => other,
            };
        }
        if is_complete || !member.serves() {
            member.missing_since = None;
            return;
        }
        let since = *member.missing_since.get_or_insert(now);
        if now.since(since) >= STALL_TIME {
            member.state = GroupState::Broken;
        }
    }
}
