//! How simulated VMs carry orders out.

use tanagerhub_catalogue::VmId;
use tanagerhub_groups::{GroupState, Order, OrderResult};

use super::backend_server::{JoinFault, PendingStep};
use super::{OPEN_TIME, Simulation, engine, joined_count};

impl Simulation {
    /// Makes a VM refuse each join, as one that lacks the model does.
    pub fn refuse_joins(&mut self, name: &str) {
        self.server(name).join_fault = Some(JoinFault::Refused);
    }

    /// Makes no join of a VM come to an end.
    pub fn join_for_ever(&mut self, name: &str) {
        self.server(name).join_fault = Some(JoinFault::Endless);
    }

    /// Makes the VMs execute the orders that they left without a response.
    pub fn deliver_held_orders(&mut self) {
        self.order_holders.clear();
        for (vm, order) in std::mem::take(&mut self.held_orders) {
            self.execute_order(vm, &order);
        }
    }

    /// Makes a VM leave orders without a response.
    pub fn hold_orders(&mut self, name: &str) {
        self.hold_such_orders(name, |_| true);
    }

    /// Makes a VM leave some orders without a response.
    pub fn hold_such_orders(&mut self, name: &str, is_held: fn(&Order) -> bool) {
        self.order_holders.insert(VmId::of(name), is_held);
    }

    /// Executes an order as a model engine does.
    pub fn execute_order(&mut self, vm: VmId, order: &Order) -> OrderResult {
        let (now, quick_loads) = (self.now, self.quick_loads);
        let is_refused = self.is_refused(vm, order);
        if !is_refused {
            self.check_join(vm, order);
        }
        self.check_load(vm, order);
        if let Order::Join {
            group,
            epoch,
            members,
            ..
        } = order
        {
            self.check_member_list(format!("g/{group}"), *epoch, members);
        }
        let Some(server) = self.servers.get_mut(&vm).filter(|server| server.alive) else {
            return OrderResult::Unknown;
        };
        if server.displaced {
            return OrderResult::Misdirected;
        }
        if is_refused {
            return OrderResult::Unfit;
        }
        let quick = if quick_loads { 10 } else { 1 };
        match order {
            Order::Stage { model } => {
                let time = engine().model(model).unwrap().load_time / quick;
                server
                    .pending
                    .push((now + time, PendingStep::Staged(model.clone())));
            }
            Order::Join {
                group,
                epoch,
                model,
                members,
                ..
            } => {
                if server.report.state_in(*group, *epoch).is_some() {
                    return OrderResult::Accepted;
                }
                if !server.join(now, (*group, *epoch), model, members) {
                    return OrderResult::Stale;
                }
            }
            Order::Open { group, epoch, .. } => {
                if server.report.state_in(*group, *epoch) != Some(GroupState::Ready) {
                    return OrderResult::Unfit;
                }
                let done = PendingStep::Open(*group, *epoch);
                server.pending.push((now + OPEN_TIME, done));
            }
            Order::Close { group, epoch } => {
                if server.report.state_in(*group, *epoch).is_some() {
                    server.set_state(GroupState::Closing);
                    let done = PendingStep::Closed(*group, *epoch);
                    server.pending.push((now + server.closing_time, done));
                    if server.closing_time.is_zero() {
                        server.set_state(GroupState::Ready);
                    }
                }
            }
            Order::Leave { group, epoch } => {
                if server.report.state_in(*group, *epoch).is_some() {
                    server.left = Some((*group, *epoch));
                    server.report.group = None;
                    server.report.served_model = None;
                }
            }
        }
        server.order_count += 1;
        OrderResult::Accepted
    }

    /// Returns whether a VM has accepted another order since the report that an order relies on, or
    /// refuses it anyway.
    fn is_refused(&self, vm: VmId, order: &Order) -> bool {
        let known = match order {
            Order::Join { proof, .. } => joined_count(proof),
            Order::Open { proof, .. } => Some(proof.order_count()),
            Order::Close { .. } | Order::Leave { .. } | Order::Stage { .. } => None,
        };
        let server = &self.servers[&vm];
        let refuses =
            server.join_fault == Some(JoinFault::Refused) && matches!(order, Order::Join { .. });
        refuses || known.is_some_and(|known| known != server.order_count)
    }
}
