//! A VM joins a group only if it has said itself that it leaves none that serves.

#[path = "support/simulation.rs"]
mod simulation;

use std::collections::BTreeSet;
use std::time::Duration;

use simulation::Simulation;
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
    let count = proof.map(JoinProof::order_count);
    assert_eq!(count, proven.then_some(Some(3)));
}

/// Guards against a member that is ordered to leave a group that serves, because the planner alone
/// can't reach the group's head.
#[test]
#[ignore = "KNOWN-RED.txt"]
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
