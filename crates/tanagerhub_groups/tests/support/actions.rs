//! The actions of the simulated nodes, and their results.

use tanagerhub_catalogue::VmId;
use tanagerhub_groups::{GroupsAction, GroupsEvent, OrderResult, ProbeFailure, SeenVm, VmReport};
use tanagerhub_table::{FeedPage, RowVersion, StoreAnswer, StoreTime};

use super::{RENEWAL_INTERVAL, Simulation};

impl Simulation {
    pub(super) fn tick_node(&mut self, index: usize) {
        let mut events = std::mem::take(&mut self.nodes[index].events);
        let node = &self.nodes[index];
        if node.groups.writes_presence() && self.now.since(node.renewed_at) >= RENEWAL_INTERVAL {
            events.push(GroupsEvent::RenewTerm(self.term_row(index)));
            self.nodes[index].renewed_at = self.now;
        }
        events.push(GroupsEvent::Tick);
        // Actions are carried out at once, and their results are handled in the same tick.
        while !events.is_empty() {
            let mut results = Vec::new();
            for event in events {
                let actions = self.nodes[index].groups.on_event(self.now, event);
                for action in actions {
                    if let GroupsAction::Probe { vm } = &action {
                        self.nodes[index].probes.push(*vm);
                    }
                    results.extend(self.run_action(index, action));
                }
            }
            events = results;
        }
        self.nodes[index].groups.take_decisions();
        let degraded = self.nodes[index].groups.take_degraded();
        self.degraded.extend(degraded);
    }

    fn run_action(&mut self, node: usize, action: GroupsAction) -> Option<GroupsEvent> {
        let event = match action {
            GroupsAction::Commit(transaction) => {
                let id = transaction.id;
                let result = self.commit(node, transaction);
                let answer = StoreAnswer::new(result, self.store.era);
                GroupsEvent::Committed { id, answer }
            }
            GroupsAction::AskPromises => {
                if !self.is_promised(node) {
                    return None;
                }
                GroupsEvent::Promised {
                    asked_at: self.now,
                    by_all: self.silent_successors.is_empty(),
                }
            }
            GroupsAction::AskPeers { vm } => {
                let seen = self.seen_by_peers(node, vm);
                GroupsEvent::PeersReplied { vm, seen }
            }
            GroupsAction::ReadRows if self.is_turned_away(node) => {
                self.reads += 1;
                assert!(self.reads < 1_000, "{} reads", self.reads);
                GroupsEvent::RowsRead(None)
            }
            GroupsAction::ReadRows => GroupsEvent::RowsRead(Some(FeedPage {
                rows: self.store.rows.values().cloned().collect(),
                version: RowVersion(self.store.version),
                at: StoreTime(self.now.as_millis()),
                era: self.store.era,
            })),
            GroupsAction::Order {
                vm,
                order,
                expires_at,
                ..
            } => {
                assert!(self.now < expires_at, "{order:?} after the end of the term");
                self.orders.push((vm, order.clone()));
                if ![0, self.nodes[node].boot].contains(&self.planner_boot()) {
                    self.foreign_orders.push((node, order.clone()));
                }
                let is_lost = self.lost_paths.contains(&(node, vm));
                let cut_off = is_lost || self.cut_off.contains_key(&node);
                let result = if cut_off || self.isolated.contains_key(&vm) {
                    OrderResult::NotSent
                } else if self.order_holders.contains(&vm) || self.silent.contains(&vm) {
                    self.held_orders.push((vm, order.clone()));
                    OrderResult::Unknown
                } else {
                    self.execute_order(vm, &order)
                };
                GroupsEvent::Ordered { vm, order, result }
            }
            GroupsAction::Probe { vm } => {
                let server = &self.servers[&vm];
                let result = if let Some(failure) = self.cut_off.get(&node) {
                    Err(*failure)
                } else if self.lost_paths.contains(&(node, vm)) {
                    Err(ProbeFailure::Unanswered)
                } else if self.overloaded.contains(&vm) {
                    Err(ProbeFailure::TurnedAway)
                } else if let Some(failure) = self.isolated.get(&vm) {
                    Err(*failure)
                } else if self.silent.contains(&vm) {
                    Err(ProbeFailure::Unanswered)
                } else if server.alive {
                    Ok(VmReport {
                        started_ms: server.report.started_ms + u64::from(server.displaced),
                        busy: Some(!server.pending.is_empty()),
                        order_count: Some(server.order_count),
                        ..server.report.clone()
                    })
                } else {
                    Err(ProbeFailure::Refused)
                };
                GroupsEvent::Probed {
                    vm,
                    sent: self.now,
                    result,
                }
            }
        };
        Some(event)
    }

    /// Returns what the other nodes find of a VM.
    fn seen_by_peers(&self, node: usize, vm: VmId) -> Option<SeenVm> {
        let server = &self.servers[&vm];
        let answers = server.alive && !server.displaced;
        let answers = answers && !self.isolated.contains_key(&vm) && !self.silent.contains(&vm);
        let others = self.nodes.iter().enumerate();
        let mut others = others.filter(|(index, it)| *index != node && it.alive);
        let reaches = |index: usize| {
            !self.cut_off.contains_key(&index) && !self.lost_paths.contains(&(index, vm))
        };
        (answers && others.any(|(index, _)| reaches(index))).then_some(SeenVm {
            started_ms: server.report.started_ms,
            group: server.report.group,
        })
    }

    /// Returns whether the store refuses the calls of a node.
    pub(crate) fn is_turned_away(&self, node: usize) -> bool {
        self.store_down || self.store_silent || self.turned_away.contains(&node)
    }

    /// Returns whether all other nodes promise not to become the planner.
    fn is_promised(&self, node: usize) -> bool {
        let others = self.nodes.iter().enumerate();
        let mut others = others.filter(|(index, other)| *index != node && other.alive);
        others.all(|(index, other)| {
            if self.silent_successors.contains(&index) {
                return true;
            }
            let answers = !self.mute.contains(&index);
            answers && self.is_turned_away(index) && other.groups.may_promise()
        })
    }
}
