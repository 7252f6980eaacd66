//! Groups with an unusable member are repaired.

#[path = "support/simulation.rs"]
mod simulation;

use std::collections::BTreeSet;
use std::time::Duration;

use simulation::Simulation;
use tanagerhub_catalogue::{VmId, VmState};
use tanagerhub_groups::{GroupState, GroupsEvent, KnownBoots, ProbeFailure};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

#[parameterized(
    head_of_big = { "big", 0 },
    member_of_big = { "big", 2 },
    head_of_small = { "small", 0 },
    member_of_small = { "small", 1 },
)]
fn replace_unreachable_member(model: &str, rank: usize) {
    let mut simulation = Simulation::serving(1);
    let head = simulation.open_heads(model).remove(0);
    let members = simulation.members(&head);
    let stopped = members[rank].clone();
    simulation.stop_server(&stopped);
    simulation.suspect(0, &head);
    simulation.run(4 * SECOND);
    let heads = simulation.open_heads(model);
    let repaired = heads.iter().any(|head| {
        let now = simulation.members(head);
        !now.contains(&stopped)
            && members.iter().filter(|name| now.contains(name)).count() + 1 == members.len()
    });
    assert!(repaired, "{heads:?}");
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

#[parameterized(
    unreachable = { |simulation, head| {
        simulation.stop_server(head);
        simulation.suspect(0, head);
    }, true },
    restarted = { |simulation, head| simulation.report(head, |report| {
        report.started_ms += 1;
        report.group = None;
    }), true },
    removed = { |simulation, head| simulation.unlist(head), true },
    leaving = { |simulation, head| {
        simulation.report(head, |report| report.vm.state = VmState::Leaving);
        simulation.unlist(head);
    }, false },
)]
fn report_lost_group(lose: fn(&mut Simulation, &str), is_lost: bool) {
    let mut simulation = Simulation::serving(1);
    let head = simulation.open_heads("small").remove(0);
    let membership = simulation.server(&head).report.group.unwrap();
    simulation.nodes[0].groups.take_lost_groups();
    lose(&mut simulation, &head);
    simulation.run(SECOND);
    let lost = simulation.nodes[0].groups.take_lost_groups();
    assert_eq!(
        lost.contains(&(membership.group, membership.epoch)),
        is_lost
    );
}

#[test]
fn replace_unreachable_member_without_suspicion() {
    let mut simulation = Simulation::serving(1);
    let head = simulation.open_heads("small").remove(0);
    let stopped = simulation.members(&head)[1].clone();
    simulation.stop_server(&stopped);
    // No request failed there, so the failure is found only by regular probes.
    simulation.run(8 * SECOND);
    let serves = |head: &String| simulation.members(head).contains(&stopped);
    assert!(!simulation.open_heads("small").iter().any(serves));
}

#[test]
fn complete_one_of_two_broken_groups() {
    let mut simulation = Simulation::new(1, 10);
    simulation.plan(0, KnownBoots::default());
    simulation.run(9 * SECOND);
    simulation.begin_traffic();
    let assigned = simulation.assigned(0);
    let spares: Vec<String> = simulation
        .servers
        .values()
        .map(|server| server.report.vm.name.clone())
        .filter(|name| !assigned.contains(name))
        .collect();
    let heads = simulation.open_heads("small");
    assert_eq!(heads.len(), 2);
    for name in &spares {
        simulation.stop_server(name);
        simulation.unlist(name);
    }
    for head in &heads {
        let stopped = simulation.members(head)[1].clone();
        simulation.stop_server(&stopped);
        simulation.suspect(0, head);
    }
    simulation.run(4 * SECOND);
    assert_eq!(simulation.open_heads("small").len(), 1);
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// Guards against two groups of different models that wait for each other's members for ever: the larger
/// one is completed, whichever of them broke first.
#[parameterized(
    larger_first = { ["big", "small"] },
    smaller_first = { ["small", "big"] },
)]
fn complete_one_of_two_models(order: [&str; 2]) {
    let mut simulation = Simulation::staged(6);
    simulation.plan(0, KnownBoots::default());
    simulation.run(6 * SECOND);
    simulation.begin_traffic();
    let spare = simulation.spares().remove(0);
    simulation.stop_server(&spare);
    simulation.unlist(&spare);
    for model in order {
        let head = simulation.open_heads(model).remove(0);
        let stopped = simulation.members(&head)[1].clone();
        simulation.stop_server(&stopped);
        simulation.unlist(&stopped);
        simulation.suspect(0, &head);
        simulation.run(SECOND);
    }
    simulation.run(8 * SECOND);
    let names: BTreeSet<String> = simulation.assigned(0).into_iter().collect();
    let heads = simulation.open_heads("big");
    let members: BTreeSet<String> = heads
        .iter()
        .flat_map(|head| simulation.members(head))
        .collect();
    assert_eq!(members.len(), 3, "{names:?}");
    assert!(members.iter().all(|name| simulation.server(name).alive));
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

#[test]
fn finish_requests_before_member_leaves() {
    let mut simulation = Simulation::serving(1);
    let head = simulation.open_heads("small").remove(0);
    let leaving = simulation.members(&head)[1].clone();
    simulation.report(&leaving, |report| report.vm.state = VmState::Leaving);
    simulation.run(Duration::from_millis(500));
    let listed = simulation.nodes[0].groups.heads();
    assert!(listed.iter().all(|listed| listed.name != head));
    simulation.run(8 * SECOND);
    let serves = |head: &String| simulation.members(head).contains(&leaving);
    assert!(!simulation.open_heads("small").iter().any(serves));
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// A backend server comes back under another name at the same address, and responds to probes
/// there.
#[parameterized(
    head = { 0 },
    member = { 1 },
)]
fn replace_displaced_member(rank: usize) {
    let mut simulation = Simulation::serving(1);
    let head = simulation.open_heads("small").remove(0);
    let displaced = simulation.members(&head)[rank].clone();
    simulation.server(&displaced).displaced = true;
    simulation.suspect(0, &head);
    simulation.run(4 * SECOND);
    assert!(!simulation.assigned(0).contains(&displaced));
}

/// Nothing on the other nodes depends on whether such a VM still runs.
#[test]
fn probe_unlisted_vm_on_planner_only() {
    let mut simulation = Simulation::new(1, 10);
    simulation.add_node(2);
    simulation.plan(0, KnownBoots::default());
    simulation.run(9 * SECOND);
    let head = simulation.open_heads("big")[0].clone();
    let member = simulation.members(&head)[1].clone();
    let vm = VmId::of(&member);
    simulation.unlist(&member);
    simulation.run(SECOND / 2);
    assert!(simulation.nodes[0].probes.contains(&vm));
    assert!(!simulation.nodes[1].probes.contains(&vm));
}

/// A VM may be removed from the list without notice, and continue to serve for a while.
#[test]
fn keep_streams_of_unlisted_member() {
    let mut simulation = Simulation::serving(1);
    let head = simulation.open_heads("big").remove(0);
    let leaving = simulation.members(&head)[2].clone();
    simulation.unlist(&leaving);
    simulation.run(Duration::from_millis(400));
    assert!(simulation.degraded.is_empty(), "{:?}", simulation.degraded);
    let listed = simulation.nodes[0].groups.heads();
    assert!(listed.iter().all(|listed| listed.name != head));
    // The head finishes its requests before its group is renewed.
    let state = simulation.server(&head).report.group.unwrap().state;
    assert_ne!(state, GroupState::Joining);
    simulation.run(8 * SECOND);
    let serves = |head: &String| simulation.members(head).contains(&leaving);
    assert!(!simulation.open_heads("big").iter().any(serves));
}

#[test]
fn report_group_of_unreachable_member() {
    let mut simulation = Simulation::serving(1);
    let head = simulation.open_heads("big").remove(0);
    let membership = simulation.server(&head).report.group.unwrap();
    let stopped = simulation.members(&head)[2].clone();
    simulation.stop_server(&stopped);
    simulation.suspect(0, &head);
    simulation.run(Duration::from_millis(300));
    assert_eq!(simulation.degraded, [(membership.group, membership.epoch)]);
}

/// An overloaded head closes new connections, including those of probes.
#[parameterized(
    head_for_a_while = { 0, 3, true },
    head_for_long = { 0, 6, false },
    other_member = { 1, 1, false },
)]
fn keep_busy_member(rank: usize, seconds: u64, kept: bool) {
    let mut simulation = Simulation::serving(1);
    let head = simulation.open_heads("small").remove(0);
    let busy = simulation.members(&head)[rank].clone();
    simulation.overload(&busy);
    for _ in 0..4 * seconds {
        if simulation.open_heads("small").contains(&head) {
            simulation.suspect(0, &head);
        }
        simulation.run(Duration::from_millis(250));
    }
    assert_eq!(simulation.assigned(0).contains(&busy), kept);
    assert_eq!(
        simulation.degraded.is_empty(),
        kept,
        "{:?}",
        simulation.degraded
    );
}

/// A head that was busy, and has served since, is not considered unreachable when it is busy again.
#[test]
fn keep_head_that_is_busy_twice() {
    let mut simulation = Simulation::new(6, 10);
    simulation.add_node(2);
    simulation.plan(0, KnownBoots::default());
    simulation.run(9 * SECOND);
    simulation.begin_traffic();
    let head = simulation.open_heads("small").remove(0);
    for _ in 0..2 {
        simulation.overload(&head);
        // A node that is not the planner probes only on suspicion.
        simulation.suspect(1, &head);
        simulation.run(Duration::from_millis(300));
        simulation.overloaded.clear();
        simulation.run(6 * SECOND);
    }
    assert!(simulation.degraded.is_empty(), "{:?}", simulation.degraded);
}

#[test]
fn keep_vm_relisted_after_outage() {
    let mut simulation = Simulation::serving(1);
    let head = simulation.open_heads("small").remove(0);
    let before = simulation.nodes[0].groups.heads().len();
    simulation.send_event(0, GroupsEvent::StoreReachable);
    simulation.unlist(&head);
    simulation.run(SECOND);
    let report = simulation.server(&head).report.clone();
    simulation.send_event(0, GroupsEvent::VmChanged(report));
    simulation.run(SECOND);
    assert!(simulation.nodes[0].groups.heads().len() >= before - 1);
    simulation.run(4 * SECOND);
    assert_eq!(simulation.nodes[0].groups.heads().len(), before);
}

/// A VM whose entry expired in an outage, and is back shortly after it, has not ended.
#[parameterized(
    relisted = { true },
    dropped = { false },
)]
fn report_group_of_expired_vm(is_back: bool) {
    let mut simulation = Simulation::serving(1);
    let head = simulation.open_heads("small").remove(0);
    let membership = simulation.server(&head).report.group.unwrap();
    simulation.nodes[0].groups.take_lost_groups();
    simulation.send_event(0, GroupsEvent::StoreReachable);
    simulation.unlist(&head);
    simulation.run(SECOND);
    if is_back {
        simulation.report(&head, |_| {});
    }
    simulation.run(SECOND);
    let lost = simulation.nodes[0].groups.take_lost_groups();
    let expected = (!is_back).then_some((membership.group, membership.epoch));
    assert_eq!(lost, Vec::from_iter(expected));
}

#[test]
fn drop_vm_not_relisted_after_outage() {
    let mut simulation = Simulation::serving(1);
    let head = simulation.open_heads("small").remove(0);
    simulation.send_event(0, GroupsEvent::StoreReachable);
    simulation.unlist(&head);
    simulation.run(4 * SECOND);
    let listed = simulation.nodes[0].groups.heads();
    assert!(listed.iter().all(|listed| listed.name != head));
}

#[test]
fn ignore_delayed_orders_of_earlier_epoch() {
    let mut simulation = Simulation::serving(1);
    let head = simulation.open_heads("small").remove(0);
    let members = simulation.members(&head);
    // The orders of a renewed group reach a member late, after the renewal was abandoned.
    simulation.hold_orders(&members[0]);
    simulation.stop_server(&members[1]);
    simulation.suspect(0, &head);
    simulation.run(6 * SECOND);
    simulation.stop_server(&members[0]);
    simulation.run(6 * SECOND);
    simulation.server(&members[0]).alive = true;
    simulation.deliver_held_orders();
    simulation.run(10 * SECOND);
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// The head of an earlier epoch may continue to serve while no node can reach it. Both cases end
/// before a head that stalls has detected it.
#[parameterized(
    refused = { ProbeFailure::Refused, 1_000, 2_500 },
    silent = { ProbeFailure::Unanswered, 2_000, 1_500 },
)]
fn dissolve_waits_for_head_of_earlier_epoch(failure: ProbeFailure, renewal: u64, release: u64) {
    let mut simulation = Simulation::new(1, 10);
    simulation.plan(0, KnownBoots::default());
    simulation.run(9 * SECOND);
    simulation.begin_traffic();
    let heads = simulation.open_heads("small");
    let (earlier_head, other) = (heads[0].clone(), heads[1].clone());
    let member = simulation.members(&earlier_head)[1].clone();
    let names: Vec<String> = simulation
        .servers
        .values()
        .map(|server| server.report.vm.name.clone())
        .collect();
    // The group is renewed without its head, and its member does not receive the order.
    simulation.hold_orders(&member);
    simulation.isolate(&earlier_head, failure);
    simulation.suspect(0, &earlier_head);
    simulation.run(Duration::from_millis(renewal));
    assert!(!simulation.assigned(0).contains(&earlier_head));
    // No spare is left, and another group lacks just one member.
    let mut grouped = simulation.members(&other);
    grouped.push(member.clone());
    grouped.push(earlier_head.clone());
    for head in simulation.open_heads("big") {
        grouped.extend(simulation.members(&head));
    }
    let spares = names.iter().filter(|name| !grouped.contains(*name));
    for spare in spares {
        simulation.stop_server(spare);
        simulation.unlist(spare);
    }
    let stopped = simulation.members(&other)[1].clone();
    simulation.stop_server(&stopped);
    simulation.suspect(0, &other);
    simulation.run(Duration::from_millis(release));
    simulation.order_holders.clear();
    simulation.held_orders.clear();
    simulation.run(2 * SECOND);
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
    // By now the head has detected that its member does not respond.
    simulation.stop_server(&earlier_head);
    simulation.run(9 * SECOND);
    assert!(
        simulation.members(&other).contains(&member)
            || simulation.members(&member).contains(&other)
    );
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// A large group that loses more VMs than its domain has spares must not leave its other members
/// idle for good.
#[test]
fn renew_large_group_by_dissolving_smaller() {
    let mut simulation = Simulation::new(1, 18);
    simulation.resize_big(8);
    simulation.plan(0, KnownBoots::default());
    simulation.run(9 * SECOND);
    simulation.begin_traffic();
    let small = simulation.open_heads("small").len();
    for _ in 0..3 {
        let heads = simulation.open_heads("big");
        let stopped = simulation.members(&heads[0])[3].clone();
        simulation.stop_server(&stopped);
        let head = heads[0].clone();
        simulation.suspect(0, &head);
        simulation.run(4 * SECOND);
    }
    assert!(
        !has_complete_group(&simulation, "big"),
        "a spare was left in the domain"
    );
    simulation.run_until(40 * SECOND, "the large group serves again", |simulation| {
        has_complete_group(simulation, "big")
    });
    assert_eq!(simulation.open_heads("small").len(), small - 1);
    simulation.run(20 * SECOND);
    assert!(has_complete_group(&simulation, "big"));
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// Returns whether a group of the model serves and all its members are alive.
fn has_complete_group(simulation: &Simulation, model: &str) -> bool {
    let lives = |name: &String| simulation.servers[&VmId::of(name)].alive;
    let heads = simulation.open_heads(model);
    heads
        .iter()
        .any(|head| simulation.members(head).iter().all(lives))
}
