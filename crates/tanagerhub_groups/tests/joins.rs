//! A VM joins a group only if it has said itself that it leaves none that serves.

#[path = "support/simulation.rs"]
mod simulation;

use std::collections::BTreeSet;
use std::time::Duration;

use simulation::{Simulation, joined_count};
use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_groups::{
    GroupReport, GroupState, GroupsEvent, JoinProof, KnownBoots, Order, OrderResult, VmReport,
};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

fn with_ended(boot: u64) -> KnownBoots {
    KnownBoots {
        live: Vec::new(),
        ended: vec![boot],
        lapsed: Vec::new(),
    }
}

fn assert_sound(simulation: &Simulation) {
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// Two groups of one domain, by their heads, and the domain's only spare.
struct Domain {
    heads: [String; 2],
    spare: String,
}

/// Returns a domain with two small groups, of which all spares but one are stopped.
fn domain_with_one_spare(simulation: &mut Simulation) -> Domain {
    let domain = |name: &str| name.rsplit_once('-').unwrap().0.to_owned();
    let heads = simulation.open_heads("small");
    let in_domain = |name: &str| heads.iter().filter(|it| domain(it) == name).count();
    let name = heads.iter().map(|it| domain(it));
    let name = name.clone().find(|it| in_domain(it) > 1).unwrap();
    let mut heads = heads.iter().filter(|it| domain(it) == name).cloned();
    let heads = [heads.next().unwrap(), heads.next().unwrap()];
    let assigned: BTreeSet<String> = simulation.assigned(0).into_iter().collect();
    let all = (0..10).map(|number| format!("{name}-{number}"));
    let mut free: Vec<String> = all.filter(|it| !assigned.contains(it)).collect();
    for spare in &free {
        simulation.report(spare, |report| report.staged = vec!["small".to_owned()]);
    }
    let spare = free.pop().unwrap();
    for other in free {
        simulation.stop_server(&other);
        simulation.unlist(&other);
    }
    simulation.run(SECOND);
    Domain { heads, spare }
}

fn report(simulation: &mut Simulation, name: &str) -> VmReport {
    simulation.server(name).report.clone()
}

/// Stops a member of a group, which the nodes notice.
fn stop_member(simulation: &mut Simulation, head: &str, nodes: usize) {
    let stopped = simulation.members(head)[1].clone();
    simulation.stop_server(&stopped);
    for node in 0..nodes {
        simulation.suspect(node, head);
    }
}

/// Guards against a planner that starts after an outage and takes rows from before it for the
/// present: a spare that serves in one group was joined to another one.
#[test]
fn spare_in_use_is_not_joined_by_old_row() {
    let mut simulation = Simulation::serving(2);
    let Domain { heads, spare } = domain_with_one_spare(&mut simulation);
    let old = report(&mut simulation, &spare);
    simulation.set_store_down(true);
    stop_member(&mut simulation, &heads[0], 2);
    simulation.run(4 * SECOND);
    assert!(simulation.members(&heads[0]).contains(&spare));
    assert!(simulation.open_heads("small").contains(&heads[0]));
    for node in 0..2 {
        simulation.nodes[node].alive = false;
    }
    stop_member(&mut simulation, &heads[1], 0);
    simulation.add_node(3);
    simulation.store_down = false;
    simulation.send_event(2, GroupsEvent::VmChanged(old));
    simulation.plan(2, with_ended(1));
    simulation.run(6 * SECOND);
    assert!(simulation.nodes[2].groups.is_planning());
    assert_sound(&simulation);
    assert!(simulation.open_heads("small").contains(&heads[0]));
}

/// Guards against a join that is sent late, after another planner has used the VM: the number of
/// orders that the VM had accepted no longer holds.
#[test]
fn join_after_other_order_is_refused() {
    let mut simulation = Simulation::serving(2);
    let Domain { heads, spare } = domain_with_one_spare(&mut simulation);
    simulation.orders.clear();
    simulation.hold_orders(&spare);
    stop_member(&mut simulation, &heads[0], 1);
    simulation.run(2 * SECOND);
    let vm = VmId::of(&spare);
    let joins = simulation.orders.iter();
    let mut joins = joins.filter(|(to, order)| *to == vm && matches!(order, Order::Join { .. }));
    let (_, join) = joins.next().cloned().unwrap();
    let stage = Order::Stage {
        model: "small".to_owned(),
    };
    simulation.execute_order(vm, &stage);
    assert_eq!(simulation.execute_order(vm, &join), OrderResult::Unfit);
    assert_eq!(report(&mut simulation, &spare).group, None);
}

/// A VM that a group's row lists is left in the group in which it is found to serve.
#[test]
fn member_found_in_serving_group_stays_there() {
    let mut simulation = Simulation::serving(2);
    let Domain { heads, spare } = domain_with_one_spare(&mut simulation);
    let taken = simulation.members(&heads[0])[1].clone();
    // Another planner has made a group of the member and the spare.
    let members = vec![spare.clone(), taken.clone()];
    for (rank, state) in [(0, GroupState::Open), (1, GroupState::Ready)] {
        let membership = GroupReport {
            group: GroupId(99),
            epoch: Epoch(1 << 40),
            rank,
            state,
        };
        let name = &members[usize::try_from(rank).unwrap()];
        let members = members.clone();
        simulation.server(name).set_group(membership, members);
        simulation.report(name, |_| {});
    }
    simulation.orders.clear();
    simulation.run(10 * SECOND);
    let own: Vec<VmId> = members.iter().map(|name| VmId::of(name)).collect();
    let orders = simulation.orders.iter();
    let orders: Vec<_> = orders.filter(|(vm, _)| own.contains(vm)).collect();
    assert!(orders.is_empty(), "{orders:?}");
    assert!(simulation.open_heads("small").contains(&spare));
    assert_sound(&simulation);
}

/// Guards against a group that is renewed every 2 s with a member that serves elsewhere (review/12): what
/// the member had said of itself was too old, and it was taken for available.
#[test]
fn member_that_serves_elsewhere_renews_no_group() {
    let mut simulation = Simulation::serving(2);
    let Domain { heads, spare } = domain_with_one_spare(&mut simulation);
    let taken = simulation.members(&heads[0])[1].clone();
    let members = vec![spare.clone(), taken.clone()];
    for (rank, state) in [(0, GroupState::Open), (1, GroupState::Ready)] {
        let membership = GroupReport {
            group: GroupId(99),
            epoch: Epoch(1 << 40),
            rank,
            state,
        };
        let name = &members[usize::try_from(rank).unwrap()];
        let members = members.clone();
        simulation.server(name).set_group(membership, members);
        simulation.report(name, |_| {});
    }
    let before = simulation.commits;
    simulation.run(20 * SECOND);
    assert!(simulation.commits - before <= 1, "{}", simulation.commits);
    assert_sound(&simulation);
}

/// A free VM that reports a group whose head nobody knows leaves it, and is used after the time in
/// which such a head breaks off.
#[test]
fn stray_leaves_before_it_joins() {
    let mut simulation = Simulation::serving(1);
    let Domain { heads, spare } = domain_with_one_spare(&mut simulation);
    let membership = GroupReport {
        group: GroupId(99),
        epoch: Epoch(1),
        rank: 1,
        state: GroupState::Ready,
    };
    let members = vec!["gone".to_owned(), spare.clone()];
    simulation.server(&spare).set_group(membership, members);
    simulation.report(&spare, |_| {});
    simulation.run(SECOND);
    assert_eq!(report(&mut simulation, &spare).group, None);
    stop_member(&mut simulation, &heads[0], 1);
    simulation.run(3 * SECOND);
    assert_eq!(report(&mut simulation, &spare).group, None);
    simulation.run(5 * SECOND);
    assert!(simulation.members(&heads[0]).contains(&spare));
    assert_sound(&simulation);
}

/// Returns a simulation in which a larger group lacks members, so that a smaller one is about to be
/// dissolved for it, and the heads of the smaller ones.
fn before_dissolution() -> (Simulation, Vec<String>) {
    let mut simulation = Simulation::new(1, 18);
    simulation.resize_big(8);
    simulation.plan(0, KnownBoots::default());
    simulation.run(9 * SECOND);
    simulation.begin_traffic();
    let small = simulation.open_heads("small");
    let big = simulation.open_heads("big").remove(0);
    for _ in 0..3 {
        let stopped = simulation.members(&big)[3].clone();
        simulation.stop_server(&stopped);
        simulation.suspect(0, &big);
        simulation.run(SECOND);
    }
    assert_eq!(simulation.open_heads("small"), small);
    (simulation, small)
}

/// Guards against members of a group that serves (TWO), because the head's answer to the order to leave
/// was taken for the deed, although it was junk.
#[test]
fn answer_to_leave_frees_no_member() {
    let (mut simulation, small) = before_dissolution();
    let small = small.len();
    simulation.pretending = simulation.servers.keys().copied().collect();
    simulation.run(30 * SECOND);
    assert_sound(&simulation);
    assert_eq!(simulation.open_heads("small").len(), small);
    simulation.pretending.clear();
    simulation.run_until(
        40 * SECOND,
        "the smaller group is dissolved",
        |simulation| simulation.open_heads("small").len() < small,
    );
    simulation.run(30 * SECOND);
    assert_sound(&simulation);
}

/// Guards against members of a group that serves (TWO): its head had left it, and orders of another planner
/// brought it back before its members were used.
#[test]
fn head_that_comes_back_keeps_its_members() {
    let (mut simulation, before) = before_dissolution();
    simulation.run_until(40 * SECOND, "a head leaves", |simulation| {
        simulation.open_heads("small").len() < before.len()
    });
    let open = simulation.open_heads("small");
    let head = before.iter().find(|head| !open.contains(head)).unwrap();
    let members = simulation.members(head);
    let member = simulation.server(&members[1]).report.group.unwrap();
    let membership = GroupReport {
        rank: 0,
        state: GroupState::Open,
        ..member
    };
    simulation.server(head).set_group(membership, members);
    simulation.report(head, |_| {});
    simulation.run(40 * SECOND);
    assert_sound(&simulation);
}

/// Guards against members of a group that serves (TWO): a join that was sent once the head had left is
/// carried out late, after other orders brought the head back. Its member is in no group by then.
#[test]
fn late_join_meets_head_that_is_back() {
    let (mut simulation, before) = before_dissolution();
    for head in &before {
        let member = simulation.members(head)[1].clone();
        let staged = ["big", "small"].map(str::to_owned);
        simulation.report(&member, |report| report.staged = staged.into());
    }
    simulation.run_until(40 * SECOND, "a head leaves", |simulation| {
        simulation.open_heads("small").len() < before.len()
    });
    let open = simulation.open_heads("small");
    let head = before.iter().find(|head| !open.contains(head)).unwrap();
    let members = simulation.members(head);
    let membership = simulation.server(&members[1]).report.group.unwrap();
    simulation.hold_such_orders(&members[1], |order| matches!(order, Order::Join { .. }));
    simulation.run_until(60 * SECOND, "the member is to join", |simulation| {
        !simulation.held_orders.is_empty()
    });
    let membership = GroupReport {
        rank: 0,
        state: GroupState::Open,
        ..membership
    };
    simulation.server(head).set_group(membership, members);
    simulation.deliver_held_orders();
    assert_sound(&simulation);
}

/// A member of a dissolved group leaves it, by an order, within a second of its head.
#[test]
fn members_of_dissolved_group_leave() {
    let (mut simulation, before) = before_dissolution();
    simulation.run_until(40 * SECOND, "a head leaves", |simulation| {
        simulation.open_heads("small").len() < before.len()
    });
    let open = simulation.open_heads("small");
    let head = before.iter().find(|head| !open.contains(head)).unwrap();
    let member = simulation.members(head)[1].clone();
    assert!(report(&mut simulation, &member).group.is_some());
    simulation.run(SECOND);
    assert_eq!(report(&mut simulation, &member).group, None);
}

/// A former head that doesn't serve, and has not left its group, is joined to no other one.
#[test]
fn head_that_has_not_left_joins_nowhere() {
    let mut simulation = Simulation::serving(1);
    let Domain { heads, spare } = domain_with_one_spare(&mut simulation);
    let members = vec![spare.clone(), "gone".to_owned()];
    let membership = GroupReport {
        group: GroupId(99),
        epoch: Epoch(1),
        rank: 0,
        state: GroupState::Ready,
    };
    simulation.server(&spare).set_group(membership, members);
    simulation.report(&spare, |_| {});
    simulation.hold_such_orders(&spare, |order| matches!(order, Order::Leave { .. }));
    simulation.orders.clear();
    stop_member(&mut simulation, &heads[0], 1);
    simulation.run(4 * SECOND);
    assert_only_leaves(&simulation, &spare);
    simulation.deliver_held_orders();
    simulation.run(9 * SECOND);
    assert!(simulation.members(&heads[0]).contains(&spare));
    assert_sound(&simulation);
}

/// A member of a dissolved group that has not left it is joined to no other one, though its head is out.
#[test]
fn member_that_has_not_left_joins_nowhere() {
    let (mut simulation, before) = before_dissolution();
    let members: Vec<String> = before
        .iter()
        .map(|head| simulation.members(head)[1].clone())
        .collect();
    for member in &members {
        let staged = ["big", "small"].map(str::to_owned);
        simulation.report(member, |report| report.staged = staged.into());
        simulation.hold_such_orders(member, |order| matches!(order, Order::Leave { .. }));
    }
    simulation.run_until(40 * SECOND, "a head leaves", |simulation| {
        simulation.open_heads("small").len() < before.len()
    });
    let open = simulation.open_heads("small");
    let dissolved = before.iter().position(|head| !open.contains(head)).unwrap();
    simulation.orders.clear();
    simulation.run(4 * SECOND);
    assert_only_leaves(&simulation, &members[dissolved]);
    simulation.deliver_held_orders();
    simulation.run_until(40 * SECOND, "the larger group serves", |simulation| {
        simulation.open_heads("big").len() == 1
    });
    assert_sound(&simulation);
}

/// Checks that a VM was ordered to leave a group, and nothing else.
fn assert_only_leaves(simulation: &Simulation, name: &str) {
    let vm = VmId::of(name);
    let orders = simulation.orders.iter().filter(|(to, _)| *to == vm);
    let orders: Vec<&Order> = orders.map(|(_, order)| order).collect();
    assert!(!orders.is_empty());
    let leaves = |order: &&Order| matches!(order, Order::Leave { .. });
    assert!(orders.iter().all(leaves), "{orders:?}");
}

/// Guards against a dissolved group that serves again (review/13): the first orders to join and to open
/// are carried out once more, late. They name numbers of orders that no longer hold.
#[test]
fn late_orders_bring_no_group_back() {
    let mut simulation = Simulation::serving(1);
    let head = simulation.open_heads("small").remove(0);
    let vm = VmId::of(&head);
    let orders = simulation.orders.iter();
    let own = orders
        .filter(|(to, _)| *to == vm)
        .map(|(_, order)| order.clone());
    let own: Vec<Order> = own.collect();
    assert!(own.iter().any(|order| matches!(order, Order::Join { .. })));
    assert!(own.iter().any(|order| matches!(order, Order::Open { .. })));
    let membership = report(&mut simulation, &head).group.unwrap();
    let (group, epoch) = (membership.group, membership.epoch);
    simulation.execute_order(vm, &Order::Leave { group, epoch });
    for order in own {
        if !matches!(order, Order::Stage { .. }) {
            let result = simulation.execute_order(vm, &order);
            assert_ne!(result, OrderResult::Accepted, "{order:?}");
        }
        assert_eq!(report(&mut simulation, &head).group, None);
    }
}

/// A VM may join the group in which it is, and another one if it is in none.
#[parameterized(
    free = { None, true },
    same_group = { Some(7), true },
    other_group = { Some(8), false },
)]
fn proof_from_report(group: Option<u64>, proven: bool) {
    let mut simulation = Simulation::new(1, 1);
    let mut report = report(&mut simulation, "vm-0-0");
    report.order_count = Some(3);
    report.group = group.map(|group| GroupReport {
        group: GroupId(group),
        epoch: Epoch(1),
        rank: 1,
        state: GroupState::Ready,
    });
    let proof = JoinProof::from_report(&report, GroupId(7));
    let count = proof.and_then(|proof| joined_count(&proof));
    assert_eq!(count, proven.then_some(3));
    // The number of orders is part of each proof.
    report.order_count = None;
    assert_eq!(JoinProof::from_report(&report, GroupId(7)), None);
}

/// Guards against a member that is ordered to leave a group that serves, because the planner alone
/// can't reach the group's head.
#[test]
fn stray_stays_while_others_reach_its_head() {
    let mut simulation = Simulation::serving(3);
    let Domain { heads, spare } = domain_with_one_spare(&mut simulation);
    let head = simulation.members(&heads[0])[1].clone();
    let members = vec![head.clone(), spare.clone()];
    for (rank, state) in [(0, GroupState::Open), (1, GroupState::Ready)] {
        let membership = GroupReport {
            group: GroupId(99),
            epoch: Epoch(1 << 40),
            rank,
            state,
        };
        let name = &members[usize::try_from(rank).unwrap()];
        let members = members.clone();
        simulation.server(name).set_group(membership, members);
        simulation.report(name, |_| {});
    }
    simulation.lost_paths.insert((0, VmId::of(&head)));
    simulation.run(10 * SECOND);
    assert!(report(&mut simulation, &spare).group.is_some());
}
