//! Orders to join and leave groups.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tanagerhub_catalogue::{Fencing, GroupId, Rank, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_fleet::{Order, OrderKind, OrderResponse};

use super::{Engine, GroupMembership};
use crate::Event;
use crate::engine_standin::fabric::Target;

/// The effects of an order.
#[derive(Debug)]
pub(in crate::engine_standin) struct OrderEffects {
    pub(in crate::engine_standin) response: OrderResponse,
    pub(in crate::engine_standin) events: Vec<Event>,
    /// Sequence number of the weight load that the order starts, if any.
    pub(in crate::engine_standin) load_number: Option<u64>,
    pub(in crate::engine_standin) release: bool,
}

impl Engine {
    pub(in crate::engine_standin) fn apply_order(
        &mut self,
        order: &Order,
        vms: &BTreeMap<SocketAddr, VmId>,
    ) -> OrderEffects {
        let mut effects = OrderEffects {
            response: OrderResponse::Accepted,
            events: Vec::new(),
            load_number: None,
            release: false,
        };
        if self.settings.fencing == Fencing::Checked && order.epoch < self.highest_epoch {
            effects.response = OrderResponse::Stale {
                epoch: self.highest_epoch,
            };
            return effects;
        }
        self.highest_epoch = self.highest_epoch.max(order.epoch);
        let target = Target {
            group: order.group,
            epoch: order.epoch,
        };
        match &order.kind {
            OrderKind::Join { rank, members, .. } => {
                self.join(target, *rank, members, vms, &mut effects);
            }
            OrderKind::Release => {
                if let Some(membership) = &mut self.membership
                    && membership.target.group == order.group
                {
                    membership.released = true;
                    effects.release = true;
                    effects.events.push(Event::LeftGroup {
                        vm: self.vm(),
                        group: order.group,
                    });
                }
            }
        }
        effects
    }

    fn join(
        &mut self,
        target: Target,
        rank: Rank,
        members: &[SocketAddr],
        vms: &BTreeMap<SocketAddr, VmId>,
        effects: &mut OrderEffects,
    ) {
        let already_joined = self.membership.as_ref().is_some_and(|membership| {
            membership.target == target
                && membership.rank == rank
                && membership.members == members
                && !membership.released
        });
        if already_joined {
            return;
        }
        effects.events.extend(self.leave_group());
        self.load_count += 1;
        self.membership = Some(GroupMembership {
            target,
            rank,
            members: members.to_vec(),
            load_number: self.load_count,
            ready: None,
            released: false,
        });
        effects.load_number = Some(self.load_count);
        effects.events.push(Event::JoinedGroup {
            vm: self.vm(),
            boot: self.boot,
            group: target.group,
            epoch: target.epoch,
            rank,
            members: members
                .iter()
                .filter_map(|member| vms.get(member).copied())
                .collect(),
        });
    }

    /// Leaves the group at once; requests that are running there fail.
    pub(super) fn leave_group(&mut self) -> Option<Event> {
        let membership = self.membership.take()?;
        (!membership.released).then(|| Event::LeftGroup {
            vm: self.vm(),
            group: membership.target.group,
        })
    }

    /// Completes a load of weights, unless a newer load has replaced it.
    pub(in crate::engine_standin) fn finish_load(&mut self, load_number: u64, now: Moment) {
        if let Some(membership) = &mut self.membership
            && membership.load_number == load_number
        {
            membership.ready = Some(now);
        }
    }

    pub(in crate::engine_standin) fn drop_released(&mut self, group: GroupId) {
        let released = self
            .membership
            .as_ref()
            .is_some_and(|membership| membership.released && membership.target.group == group);
        if released {
            self.membership = None;
        }
    }
}
