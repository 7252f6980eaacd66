//! VMs in groups that no row lists: a group that serves without a row is ended, and its VMs are used.

#[path = "support/simulation.rs"]
mod simulation;

use std::time::Duration;

use simulation::Simulation;
use tanagerhub_catalogue::{Epoch, VmId};
use tanagerhub_groups::{GroupReport, GroupState, KnownBoots, Order, ProbeFailure};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);
/// The time within which a group is repaired once the head of a dissolved one is back, if the model is on
/// the hosts.
const REPAIR_TIME: Duration = Duration::from_secs(6);

/// A domain in which a smaller group is dissolved for a larger one, which lacks a member.
struct Dissolved {
    simulation: Simulation,
    head: String,
    members: Vec<String>,
    /// The membership of the head.
    membership: GroupReport,
}

/// Returns a domain with a larger and a smaller group. A member of the larger one and the only spare have
/// just ended.
fn serving_groups() -> Dissolved {
    let mut simulation = Simulation::staged(6);
    simulation.plan(0, KnownBoots::default());
    simulation.run_until(10 * SECOND, "both groups serve", Simulation::serves_both);
    simulation.begin_traffic();
    let big = simulation.open_heads("big").remove(0);
    let head = simulation.open_heads("small").remove(0);
    let members = simulation.members(&head);
    let membership = simulation.server(&head).report.group.unwrap();
    let spare = simulation.spares().remove(0);
    let stopped = [simulation.members(&big)[2].clone(), spare];
    for name in &stopped {
        simulation.stop_server(name);
        simulation.unlist(name);
    }
    simulation.suspect(0, &big);
    Dissolved {
        simulation,
        head,
        members,
        membership,
    }
}

/// Returns such a domain in which the head of the smaller group has left for the larger one.
fn dissolved_group() -> Dissolved {
    let mut dissolved = serving_groups();
    let head = VmId::of(&dissolved.head);
    let simulation = &mut dissolved.simulation;
    simulation.run_until(10 * SECOND, "the head has left", |simulation| {
        simulation.servers[&head].report.group.is_none()
    });
    dissolved
}

/// Returns the orders that a VM was sent.
fn orders<'a>(simulation: &'a Simulation, name: &str) -> impl Iterator<Item = &'a Order> {
    let vm = VmId::of(name);
    let orders = simulation.orders.iter();
    orders
        .filter(move |(to, _)| *to == vm)
        .map(|(_, order)| order)
}

/// Guards against a broken group that is never repaired (review/13, trials): the head of a dissolved group
/// is open again, alone or with its member, and nobody ended it.
#[parameterized(
    alone = { false },
    with_member = { true },
)]
fn group_beside_head_that_is_back_is_repaired(with_member: bool) {
    let Dissolved {
        mut simulation,
        head,
        members,
        membership,
    } = dissolved_group();
    let open = GroupReport {
        state: GroupState::Open,
        ..membership
    };
    simulation.server(&head).set_group(open, members.clone());
    simulation.report(&head, |_| {});
    if with_member {
        let ready = GroupReport {
            rank: 1,
            state: GroupState::Ready,
            ..membership
        };
        simulation
            .server(&members[1])
            .set_group(ready, members.clone());
        simulation.report(&members[1], |_| {});
    }
    simulation.orders.clear();
    simulation.run(REPAIR_TIME);
    assert_eq!(simulation.open_heads("big").len(), 1);
    let closed = orders(&simulation, &head).position(|it| matches!(it, Order::Close { .. }));
    let left = orders(&simulation, &head).position(|it| matches!(it, Order::Leave { .. }));
    assert!(closed.is_some() && closed < left, "{closed:?} {left:?}");
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// Guards against requests that are cut off: a head that is back finishes them before it leaves.
#[test]
fn head_that_is_back_finishes_requests() {
    let Dissolved {
        mut simulation,
        head,
        members,
        membership,
    } = dissolved_group();
    let open = GroupReport {
        state: GroupState::Open,
        ..membership
    };
    simulation.server(&head).closing_time = SECOND;
    simulation.server(&head).set_group(open, members);
    simulation.report(&head, |_| {});
    simulation.run_until(3 * SECOND, "the head closes", |simulation| {
        let group = simulation.servers[&VmId::of(&head)].report.group;
        group.is_some_and(|it| it.state == GroupState::Closing)
    });
    simulation.orders.clear();
    simulation.run(SECOND * 8 / 10);
    assert_eq!(orders(&simulation, &head).count(), 0);
    simulation.run(SECOND);
    assert!(orders(&simulation, &head).any(|it| matches!(it, Order::Leave { .. })));
}

/// A group at an epoch above all that the planner knows is one of another planner, and goes on.
#[test]
fn group_of_later_planner_goes_on() {
    let Dissolved {
        mut simulation,
        head,
        members,
        membership,
    } = dissolved_group();
    for (rank, state) in [(0, GroupState::Open), (1, GroupState::Ready)] {
        let membership = GroupReport {
            epoch: Epoch(1 << 40),
            rank,
            state,
            ..membership
        };
        let name = &members[usize::try_from(rank).unwrap()];
        simulation
            .server(name)
            .set_group(membership, members.clone());
        simulation.report(name, |_| {});
    }
    simulation.orders.clear();
    simulation.run(4 * SECOND);
    assert_eq!(orders(&simulation, &head).count(), 0);
    assert!(simulation.is_open_head(VmId::of(&head)));
}

/// Guards against requests that are cut off: a head that is open again before its group's row is deleted
/// got the order to leave without the one to close.
#[test]
fn head_that_is_back_while_it_leaves_closes_first() {
    let Dissolved {
        mut simulation,
        head,
        membership,
        ..
    } = serving_groups();
    let (group, epoch) = (membership.group, membership.epoch);
    simulation.hold_such_orders(&head, |order| matches!(order, Order::Leave { .. }));
    simulation.run_until(10 * SECOND, "the head is to leave", |simulation| {
        orders(simulation, &head).any(|it| *it == Order::Leave { group, epoch })
    });
    simulation.report(&head, |report| {
        report.group = Some(GroupReport {
            state: GroupState::Open,
            ..membership
        });
    });
    simulation.orders.clear();
    simulation.run(2 * SECOND);
    let first = orders(&simulation, &head).next();
    assert_eq!(first, Some(&Order::Close { group, epoch }));
}

/// Guards against a former head that goes on serving: its group was renewed without it while nobody reached
/// it. It is ended, and can be used.
#[test]
fn former_head_that_is_back_is_ended() {
    let mut simulation = Simulation::serving(1);
    let head = simulation.open_heads("small").remove(0);
    simulation.isolate(&head, ProbeFailure::Refused);
    simulation.suspect(0, &head);
    simulation.run(3 * SECOND);
    assert!(!simulation.assigned(0).contains(&head));
    simulation.isolated.clear();
    simulation.orders.clear();
    simulation.run(REPAIR_TIME);
    assert_eq!(simulation.server(&head).report.group, None);
    let ends = |it: &&Order| matches!(it, Order::Close { .. } | Order::Leave { .. });
    let ends: Vec<_> = orders(&simulation, &head).filter(ends).collect();
    assert_eq!(ends.len(), 2, "{ends:?}");
}
