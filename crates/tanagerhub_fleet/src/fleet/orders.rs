//! Orders to engines, and the handling of their responses.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, Rank, VmId};
use tanagerhub_clock::Moment;

use crate::decision::Reason;
use crate::{EngineState, FleetAction, Order, OrderFailure, OrderKind, OrderResponse};

use super::Fleet;
use super::group::{Group, Member};

/// The time after which an order without effect is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// How long each further watcher waits for the one before it to send an order.
const ORDER_WATCHER_DELAY: Duration = Duration::from_secs(3);

impl Fleet {
    /// Orders misplaced members into their groups, those of entries with the fewest complete groups
    /// first.
    ///
    /// Restarted members load from the weight store again, so each node lets only its share of the
    /// load limit load at once. New groups are not limited here, as the planner has already counted
    /// them.
    pub(super) fn send_orders(&mut self, now: Moment) {
        if self.store.rows_confirmed_at.is_none() {
            return;
        }
        let mut pending: Vec<(u32, GroupId)> = self
            .groups
            .values()
            .filter(|group| needs_order(group, now))
            .map(|group| (self.complete_groups(group.row.entry), group.id))
            .collect();
        if pending.is_empty() {
            return;
        }
        pending.sort_unstable();
        let mut capacity = self.reload_capacity(now);
        for (_, id) in pending {
            self.order_group(now, id, &mut capacity);
        }
    }

    fn order_group(&mut self, now: Moment, id: GroupId, capacity: &mut usize) {
        let Some(group) = self.groups.get(&id) else {
            return;
        };
        let due: Vec<(usize, VmId)> = group
            .members
            .iter()
            .enumerate()
            .filter(|(_, member)| is_order_due(member, group.watch_rank, now))
            .map(|(rank, member)| (rank, member.vm))
            .collect();
        let admitted = self.is_admitted(group, now);
        if !admitted && *capacity == 0 {
            return;
        }
        if !admitted {
            *capacity = capacity.saturating_sub(due.len());
        }
        let Some(joins) = self.join_orders(id, &due) else {
            return;
        };
        let until = now + self.settings.order_limit;
        for (address, order) in joins {
            let (vm, epoch) = (order.vm, order.epoch);
            self.counters.orders += 1;
            self.actions.push(FleetAction::Order {
                address,
                order,
                until,
            });
            self.record_member_decision(now, id, vm, Reason::Ordered { epoch });
        }
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        for (rank, _) in due {
            group.members[rank].ordered_at = Some(now);
        }
    }

    /// Returns the join orders for the given members; `None` when the address of any member of the
    /// group is unknown.
    fn join_orders(
        &self,
        id: GroupId,
        due: &[(usize, VmId)],
    ) -> Option<Vec<(std::net::SocketAddr, Order)>> {
        let group = self.groups.get(&id)?;
        let weights = &self.catalogue.entry(group.row.entry)?.model()?.weights;
        let members = group
            .row
            .members
            .iter()
            .map(|vm| self.vms.address(*vm))
            .collect::<Option<Vec<_>>>()?;
        let join = |(rank, vm): &(usize, VmId)| {
            let order = Order {
                vm: *vm,
                group: id,
                epoch: group.row.epoch,
                kind: OrderKind::Join {
                    rank: Rank(u16::try_from(*rank).unwrap_or(u16::MAX)),
                    weights: weights.clone(),
                    members: members.clone(),
                },
            };
            (members[*rank], order)
        };
        Some(due.iter().map(join).collect())
    }

    /// Orders VMs to drop their weights; `epoch` is the one now in their rows.
    pub(super) fn send_release_orders(
        &mut self,
        now: Moment,
        group: GroupId,
        vms: &[VmId],
        epoch: Epoch,
    ) {
        for vm in vms {
            let Some(address) = self.vms.address(*vm) else {
                continue;
            };
            self.counters.orders += 1;
            self.actions.push(FleetAction::Order {
                address,
                order: Order {
                    vm: *vm,
                    group,
                    epoch,
                    kind: OrderKind::Release,
                },
                until: now + self.settings.order_limit,
            });
        }
    }

    /// Handles the result of an order. When the response was lost, the next probe shows whether the
    /// engine applied the order.
    pub(super) fn on_ordered(
        &mut self,
        now: Moment,
        vm: VmId,
        order: (GroupId, Epoch),
        result: Result<OrderResponse, OrderFailure>,
    ) {
        let (id, epoch) = order;
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let current = group.row.epoch == epoch;
        let Some(member) = group.members.iter_mut().find(|member| member.vm == vm) else {
            return;
        };
        match result {
            Ok(OrderResponse::Accepted) if current => {
                member.must_join = false;
                member.probe_ended_at = None;
            }
            Ok(OrderResponse::Stale { epoch: seen }) if seen > group.row.epoch => {
                member.needs_order_since = None;
                self.request_row_read(id);
                self.record_member_decision(now, id, vm, Reason::Overtaken { epoch: seen });
            }
            Err(OrderFailure::Expired) if current => member.ordered_at = None,
            _ => {}
        }
    }

    /// Returns how many restarted members may begin to load now.
    fn reload_capacity(&self, now: Moment) -> usize {
        let share = (self.settings.loads_max / self.peers.len().max(1)).max(1);
        let loading = self
            .groups
            .values()
            .filter(|group| group.watch_rank == Some(0) && !self.is_admitted(group, now))
            .flat_map(|group| &group.members)
            .filter(|member| is_loading(member))
            .count();
        share.saturating_sub(loading)
    }

    /// Returns whether the planner already counted the group's loads when it formed the group, as
    /// for a new group that was never attested.
    fn is_admitted(&self, group: &Group, now: Moment) -> bool {
        group.attested_at.is_none() && now.since(group.epoch_seen_at) < self.settings.load_time * 2
    }
}

/// Returns whether the member loads weights.
pub(super) fn is_loading(member: &Member) -> bool {
    let loads = |report: crate::MemberReport| report.state == EngineState::Loading;
    member.report.is_some_and(loads)
}

fn needs_order(group: &Group, now: Moment) -> bool {
    let due = |member: &Member| is_order_due(member, group.watch_rank, now);
    group.has_row() && !group.row.draining && group.members.iter().any(due)
}

fn is_order_due(member: &Member, rank: Option<usize>, now: Moment) -> bool {
    let Some((rank, needs_order_since)) = rank.zip(member.needs_order_since) else {
        return false;
    };
    let step = u32::try_from(rank).unwrap_or(u32::MAX);
    let turn = now.since(needs_order_since) >= ORDER_WATCHER_DELAY.saturating_mul(step);
    let waited = member
        .ordered_at
        .is_none_or(|ordered_at| now.since(ordered_at) >= ORDER_RETRY_INTERVAL);
    turn && waited && member.failing.is_none()
}
