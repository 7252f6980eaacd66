//! The effects of the nodes' actions on the table, the engines and the other nodes.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_fleet::{
    FleetAction, FleetEvent, Health, MemberReport, Order, OrderFailure, OrderKind, OrderResponse,
    ProbeFailure, StoreFailure,
};
use tanagerhub_table::CommitOutcome;

use super::{LATENCY, QueuedItem, Simulation, VmCondition};

impl Simulation {
    pub(super) fn perform(&mut self, index: usize, action: FleetAction, sent: Moment) {
        let partitioned = self.nodes[index].store_partitioned;
        let event = match action {
            FleetAction::Commit(transaction) => FleetEvent::Committed {
                transaction: transaction.id,
                outcome: if partitioned {
                    CommitOutcome::NotApplied
                } else {
                    self.table.commit(&transaction)
                },
            },
            FleetAction::Read { read, query } => FleetEvent::Rows {
                read,
                result: if partitioned {
                    Err(StoreFailure::Unavailable)
                } else {
                    self.table.read(&query)
                },
            },
            FleetAction::Probe { vm, .. } => {
                let result = self.probe(index, vm);
                let event = FleetEvent::Probed { vm, sent, result };
                let late = result == Err(ProbeFailure::Timeout);
                let delay = if late {
                    Duration::from_millis(500)
                } else {
                    LATENCY
                };
                return self.schedule(delay, QueuedItem::Event(index, event));
            }
            FleetAction::Order { order, .. } => {
                if self.hold_orders {
                    self.held_orders.push((index, order));
                    return;
                }
                let (vm, group, epoch) = (order.vm, order.group, order.epoch);
                let result = self.apply_order(index, order);
                FleetEvent::Ordered {
                    vm,
                    group,
                    epoch,
                    result,
                }
            }
            FleetAction::Attest {
                group,
                epoch,
                age,
                health,
            } => return self.deliver_attestation(index, (group, epoch), age + LATENCY, health),
        };
        self.schedule(LATENCY, QueuedItem::Event(index, event));
    }

    fn deliver_attestation(
        &mut self,
        from: usize,
        group: (GroupId, Epoch),
        age: Duration,
        health: Health,
    ) {
        if self.nodes[from].peers_partitioned {
            return;
        }
        for index in 0..self.nodes.len() {
            if index == from || self.nodes[index].peers_partitioned {
                continue;
            }
            let event = FleetEvent::Attested {
                from: self.nodes[from].id,
                group: group.0,
                epoch: group.1,
                age: age + LATENCY,
                health,
            };
            self.schedule(LATENCY, QueuedItem::Event(index, event));
        }
    }

    fn probe(&self, index: usize, vm: VmId) -> Result<MemberReport, ProbeFailure> {
        let engine = self.engines.get(&vm).ok_or(ProbeFailure::Timeout)?;
        if self.partitioned.contains(&(index, vm)) {
            return Err(ProbeFailure::Timeout);
        }
        match engine.condition {
            VmCondition::Alive => Ok(engine.report(self.now)),
            VmCondition::Refusing => Err(ProbeFailure::Refused),
            VmCondition::Paused | VmCondition::Dead => Err(ProbeFailure::Timeout),
        }
    }

    /// Delivers an order to its engine, and returns the engine's response.
    pub fn apply_order(
        &mut self,
        index: usize,
        order: Order,
    ) -> Result<OrderResponse, OrderFailure> {
        let (now, load, cold) = (self.now, self.load_time, self.cold_time);
        let partitioned = self.partitioned.contains(&(index, order.vm));
        let engine = self.engines.get_mut(&order.vm).ok_or(OrderFailure::Lost)?;
        if partitioned || engine.condition != VmCondition::Alive {
            return Err(OrderFailure::Lost);
        }
        if engine.checks_fencing && order.epoch < engine.epoch {
            return Ok(OrderResponse::Stale {
                epoch: engine.epoch,
            });
        }
        engine.epoch = order.epoch;
        match order.kind {
            OrderKind::Release => {
                engine.group = None;
                engine.weights = None;
                engine.ready_at = None;
            }
            OrderKind::Join { rank, weights, .. } => {
                engine.group = Some(order.group);
                engine.rank = rank;
                if engine.weights.as_ref() != Some(&weights) || engine.ready_at.is_none() {
                    engine.weights = Some(weights);
                    engine.loads += 1;
                    let slot = self
                        .load_slots
                        .iter_mut()
                        .min()
                        .expect("the load limit is zero");
                    *slot = (*slot).max(now) + load;
                    engine.ready_at = Some(*slot);
                    engine.warm_at = Some(*slot + cold);
                }
            }
        }
        Ok(OrderResponse::Accepted)
    }
}
