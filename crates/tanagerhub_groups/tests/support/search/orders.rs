//! How orders reach VMs, late or not at all, and the rule TWO.

use std::time::Duration;

use tanagerhub_catalogue::VmId;
use tanagerhub_groups::{GroupsEvent, Order, OrderResult};

use super::trouble::Role;
use super::world::{Delivery, World};

const ORDER_TIMEOUT: Duration = Duration::from_millis(700);
/// The range of times after which an order that was left unanswered is carried out.
const LATE_TIMES: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(12));

impl World {
    pub fn order_arrives(&mut self, node: usize, vm: VmId, order: Order) {
        let model = &self.vms[&vm];
        let unreached = !model.alive || model.silent_until > self.now;
        let ignored = model.ignores(self.now, &order);
        let role = self.role_of(vm, &order);
        let in_trouble = self.is_troubled;
        let mut late = self.late.iter();
        let held = late.position(|it| it.matches(&order, role, in_trouble));
        let held = held.filter(|_| !unreached && !ignored);
        let late = held.map(|index| self.late.remove(index).by);
        let late = late.or_else(|| self.vms.get_mut(&vm).unwrap().delay_sole_join(&order));
        let result = if unreached || ignored {
            OrderResult::Unknown
        } else if let Some(by) = late {
            let now = self.now;
            self.vms
                .get_mut(&vm)
                .unwrap()
                .held
                .push_back((now, order.clone()));
            self.send(by, node, Delivery::LateOrder(vm));
            OrderResult::Unknown
        } else {
            self.execute(vm, &order)
        };
        self.trace(&format!(
            "{}: {order:?} -> {result:?}",
            self.vms[&vm].vm.name
        ));
        let delay = if result == OrderResult::Unknown {
            ORDER_TIMEOUT
        } else {
            Duration::from_millis(1)
        };
        let event = GroupsEvent::Ordered { vm, order, result };
        self.send(delay, node, Delivery::Event(event));
    }

    /// Returns the part that a VM has, or gets by an order.
    fn role_of(&self, vm: VmId, order: &Order) -> Role {
        let name = &self.vms[&vm].vm.name;
        let own = self.vms[&vm].member.as_ref().map(|it| it.members.clone());
        let members = match order {
            Order::Join { members, .. } => members.clone(),
            _ => own.unwrap_or_default(),
        };
        Role::of(members.len(), members.first() == Some(name))
    }

    /// Carries out the first order that a VM holds, if it is late enough.
    pub fn carry_out_late(&mut self, vm: VmId) {
        let Some((at, order)) = self.vms.get_mut(&vm).unwrap().held.pop_front() else {
            return;
        };
        let age = self.now.since(at);
        let model = &self.vms[&vm];
        if model.alive && (LATE_TIMES.0..=LATE_TIMES.1).contains(&age) {
            self.idle_since = None;
            let result = self.execute(vm, &order);
            let name = &self.vms[&vm].vm.name;
            self.trace(&format!("{name}, late: {order:?} -> {result:?}"));
        }
    }

    fn execute(&mut self, vm: VmId, order: &Order) -> OrderResult {
        let now = self.now;
        let before = self.vms[&vm].member.clone();
        let result = self.vms.get_mut(&vm).unwrap().execute(now, order);
        if let (Order::Join { group, .. }, OrderResult::Accepted) = (order, result)
            && let Some(before) = before.filter(|it| it.group != *group)
        {
            let head = &self.vms[&VmId::of(&before.members[0])];
            let own = VmId::of(&before.members[0]) == vm;
            let serves = if own {
                before.serves()
            } else {
                let member = head.member.as_ref();
                head.alive
                    && member.is_some_and(|it| it.is(before.group, before.epoch) && it.serves())
            };
            if serves {
                let name = &self.vms[&vm].vm.name;
                self.broken
                    .insert(format!("TWO: {name} leaves {:?}", before.group));
            }
        }
        if matches!(order, Order::Leave { .. }) && result == OrderResult::Accepted {
            self.release_held(vm);
        }
        result
    }

    /// Has a VM that has just left a group carry out what it holds, if it is late enough by then.
    fn release_held(&mut self, vm: VmId) {
        let mut delay = Duration::ZERO;
        for _ in 0..self.vms[&vm].held.len() {
            let gap = [5, 60, 250, 400][usize::try_from(self.draw(4)).unwrap()];
            delay += Duration::from_millis(gap);
            self.send(delay, 0, Delivery::LateOrder(vm));
        }
    }
}
