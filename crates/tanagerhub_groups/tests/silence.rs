//! A VM that stops responding for a short time and goes on keeps its place.

#[path = "support/simulation.rs"]
mod simulation;

use std::time::Duration;

use simulation::Simulation;
use tanagerhub_catalogue::{Epoch, GroupId, VmId, VmState};
use tanagerhub_groups::{GroupsEvent, GroupsSettings, KnownBoots, Order, ProbeFailure};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);
/// The time from the loss of a member until its group is renewed.
const RENEWAL_TIME: Duration = Duration::from_millis(300);

/// Reports to both nodes that requests at a head's group fell silent.
fn suspect(simulation: &mut Simulation, head: &str) {
    simulation.suspect(0, head);
    simulation.suspect(1, head);
}

fn membership(simulation: &mut Simulation, head: &str) -> (GroupId, Epoch) {
    let membership = simulation.server(head).report.group.unwrap();
    (membership.group, membership.epoch)
}

/// Returns the epoch and the members of a group, according to the planner.
fn planned(simulation: &Simulation, group: GroupId) -> (Epoch, Vec<String>) {
    let statuses = simulation.nodes[0].groups.group_statuses(simulation.now);
    let status = statuses.into_iter().find(|status| status.group == group);
    status.map(|status| (status.epoch, status.members)).unwrap()
}

/// Returns whether a node sends requests to a head.
fn is_routed(simulation: &Simulation, node: usize, head: &str) -> bool {
    let heads = simulation.nodes[node].groups.heads();
    heads.iter().any(|listed| listed.name == head)
}

fn assert_no_violations(simulation: &Simulation) {
    let violations = &simulation.violations;
    assert!(violations.is_empty(), "{violations:?}");
}

#[parameterized(
    head_of_big = { "big", 0, 1_000, true },
    member_of_big = { "big", 2, 1_000, true },
    head_of_small = { "small", 0, 1_000, true },
    member_of_small = { "small", 1, 1_000, true },
    head_for_longer = { "big", 0, 1_400, true },
    member_for_longer = { "small", 1, 1_400, true },
    head_during_outage = { "small", 0, 1_000, false },
    member_during_outage = { "big", 2, 1_000, false },
)]
fn silent_member_keeps_group(model: &str, rank: usize, millis: u64, has_store: bool) {
    let mut simulation = Simulation::serving(2);
    simulation.set_store_down(!has_store);
    simulation.run(SECOND);
    let head = simulation.open_heads(model).remove(0);
    let members = simulation.members(&head);
    let before = membership(&mut simulation, &head);
    let sent = simulation.orders.len();
    simulation.silence(&members[rank]);
    suspect(&mut simulation, &head);
    simulation.run(Duration::from_millis(200));
    assert!(
        [0, 1]
            .iter()
            .all(|node| !is_routed(&simulation, *node, &head))
    );
    simulation.run(Duration::from_millis(millis - 200));
    simulation.resume(&members[rank]);
    simulation.run(2 * SECOND);
    let orders = &simulation.orders[sent..];
    assert!(orders.is_empty(), "{orders:?}");
    assert_eq!(planned(&simulation, before.0), (before.1, members));
    assert_eq!(membership(&mut simulation, &head), before);
    assert!(
        [0, 1]
            .iter()
            .all(|node| is_routed(&simulation, *node, &head))
    );
    assert_no_violations(&simulation);
}

#[parameterized(
    head_of_big = { "big", 0, true },
    member_of_big = { "big", 2, true },
    head_of_small = { "small", 0, true },
    member_of_small = { "small", 1, true },
    head_during_outage = { "small", 0, false },
    member_during_outage = { "big", 2, false },
)]
fn silent_member_replaced(model: &str, rank: usize, has_store: bool) {
    let mut simulation = Simulation::serving(2);
    simulation.set_store_down(!has_store);
    simulation.run(SECOND);
    let groups = simulation.open_heads(model).len();
    let head = simulation.open_heads(model).remove(0);
    let silent = simulation.members(&head)[rank].clone();
    simulation.silence(&silent);
    suspect(&mut simulation, &head);
    simulation.run(GroupsSettings::default().silence_timeout + RENEWAL_TIME);
    assert!(!simulation.assigned(0).contains(&silent));
    simulation.run(4 * SECOND);
    let others = simulation.open_heads(model).into_iter();
    assert_eq!(others.filter(|head| *head != silent).count(), groups);
    assert_no_violations(&simulation);
}

#[parameterized(
    head_of_big = { "big", 0, true },
    member_of_big = { "big", 2, true },
    head_of_small = { "small", 0, true },
    member_of_small = { "small", 1, true },
    head_during_outage = { "small", 0, false },
    member_during_outage = { "big", 2, false },
)]
fn refused_member_replaced_at_once(model: &str, rank: usize, has_store: bool) {
    let mut simulation = Simulation::serving(2);
    simulation.set_store_down(!has_store);
    simulation.run(SECOND);
    let head = simulation.open_heads(model).remove(0);
    let stopped = simulation.members(&head)[rank].clone();
    simulation.stop_server(&stopped);
    suspect(&mut simulation, &head);
    simulation.run(RENEWAL_TIME);
    assert!(!simulation.assigned(0).contains(&stopped));
    assert_no_violations(&simulation);
}

/// A VM that was silent and then refuses connections has ended.
#[test]
fn silent_then_refused_member_replaced_at_once() {
    let mut simulation = Simulation::serving(2);
    let head = simulation.open_heads("small").remove(0);
    let member = simulation.members(&head)[1].clone();
    simulation.silence(&member);
    suspect(&mut simulation, &head);
    simulation.run(Duration::from_millis(300));
    assert!(simulation.assigned(0).contains(&member));
    simulation.stop_server(&member);
    simulation.resume(&member);
    simulation.run(SECOND + RENEWAL_TIME);
    assert!(!simulation.assigned(0).contains(&member));
}

/// Each node tells its traffic which groups lost a member, which confirms that requests crashed it.
#[parameterized(
    planner = { 0, 1_000, false },
    other_node = { 1, 1_000, false },
    planner_for_good = { 0, 2_000, true },
    other_node_for_good = { 1, 2_000, true },
)]
fn report_group_of_silent_member(node: usize, millis: u64, is_lost: bool) {
    let mut simulation = Simulation::serving(2);
    let head = simulation.open_heads("small").remove(0);
    let group = membership(&mut simulation, &head);
    simulation.nodes[node].groups.take_lost_groups();
    simulation.silence(&head);
    suspect(&mut simulation, &head);
    simulation.run(Duration::from_millis(millis));
    let lost = simulation.nodes[node].groups.take_lost_groups();
    assert_eq!(lost.contains(&group), is_lost);
    assert!(simulation.degraded.contains(&group));
}

/// Two silences with a response between them are not one long silence.
#[test]
fn silences_do_not_add_up() {
    let mut simulation = Simulation::serving(2);
    let head = simulation.open_heads("big").remove(0);
    let (group, epoch) = membership(&mut simulation, &head);
    for _ in 0..4 {
        simulation.silence(&head);
        suspect(&mut simulation, &head);
        simulation.run(Duration::from_millis(900));
        simulation.resume(&head);
        simulation.run(Duration::from_millis(300));
    }
    assert_eq!(planned(&simulation, group).0, epoch);
}

/// A node that was suspended while a probe ran has missed the response.
#[test]
fn late_probe_results_keep_member() {
    let mut simulation = Simulation::serving(2);
    let head = simulation.open_heads("small").remove(0);
    let (group, epoch) = membership(&mut simulation, &head);
    let sent = simulation.now;
    simulation.nodes[0].alive = false;
    simulation.run(5 * SECOND);
    simulation.nodes[0].alive = true;
    for _ in 0..2 {
        let result = Err(ProbeFailure::Unanswered);
        let vm = VmId::of(&head);
        simulation.send_event(0, GroupsEvent::Probed { vm, sent, result });
    }
    simulation.run(3 * SECOND);
    assert_eq!(planned(&simulation, group).0, epoch);
    assert!(is_routed(&simulation, 0, &head));
}

/// The entry of a VM may expire in an outage of the store, and is back shortly after it.
#[parameterized(
    head = { 0, true },
    member = { 2, true },
    head_for_good = { 0, false },
    member_for_good = { 2, false },
)]
fn silent_member_not_relisted_yet_keeps_place(rank: usize, is_back: bool) {
    let mut simulation = Simulation::serving(2);
    let head = simulation.open_heads("big").remove(0);
    let (group, epoch) = membership(&mut simulation, &head);
    let silent = simulation.members(&head)[rank].clone();
    for node in 0..2 {
        simulation.send_event(node, GroupsEvent::StoreReachable);
    }
    simulation.unlist(&silent);
    simulation.silence(&silent);
    simulation.run(SECOND);
    assert_eq!(planned(&simulation, group).0, epoch);
    if is_back {
        simulation.resume(&silent);
        simulation.report(&silent, |_| {});
    }
    simulation.run(2 * SECOND);
    assert_eq!(planned(&simulation, group).0 == epoch, is_back);
    assert_eq!(planned(&simulation, group).1.contains(&silent), is_back);
    assert!(!is_back || is_routed(&simulation, 1, &head));
}

/// A group that lacks a member for good must not take those of a group with a silent member.
#[parameterized(
    first = { 0 },
    second = { 1 },
)]
fn silent_group_is_not_dissolved(silent: usize) {
    let mut simulation = Simulation::new(1, 10);
    simulation.plan(0, KnownBoots::default());
    simulation.run(9 * SECOND);
    simulation.begin_traffic();
    let assigned = simulation.assigned(0);
    let names: Vec<String> = simulation
        .servers
        .values()
        .map(|server| server.report.vm.name.clone())
        .collect();
    for name in names.iter().filter(|name| !assigned.contains(name)) {
        simulation.stop_server(name);
        simulation.unlist(name);
    }
    let mut heads = simulation.open_heads("small");
    assert_eq!(heads.len(), 2);
    heads.rotate_left(silent);
    let before = membership(&mut simulation, &heads[0]);
    let member = simulation.members(&heads[0])[1].clone();
    simulation.stop_server(&simulation.members(&heads[1])[1].clone());
    simulation.suspect(0, &heads[1]);
    simulation.silence(&member);
    simulation.suspect(0, &heads[0]);
    simulation.run(Duration::from_millis(1_200));
    simulation.resume(&member);
    simulation.run(8 * SECOND);
    let (epoch, members) = planned(&simulation, before.0);
    assert_eq!(epoch, before.1);
    assert!(members.contains(&member));
    assert!(is_routed(&simulation, 0, &heads[0]));
    assert_no_violations(&simulation);
}

/// The streams of a group with a silent member will go on, so the head finishes them before its
/// group is renewed for another reason.
#[test]
fn finish_requests_beside_silent_member() {
    let mut simulation = Simulation::serving(2);
    let head = simulation.open_heads("big").remove(0);
    let members = simulation.members(&head);
    let sent = simulation.orders.len();
    simulation.silence(&members[1]);
    suspect(&mut simulation, &head);
    simulation.run(Duration::from_millis(200));
    simulation.report(&members[2], |report| report.vm.state = VmState::Leaving);
    simulation.run(SECOND);
    let vm = VmId::of(&head);
    let mut orders = simulation.orders[sent..].iter();
    let first = orders.find(|(to, _)| *to == vm);
    assert!(matches!(first, Some((_, Order::Close { .. }))), "{first:?}");
}

/// A single probe that is rejected or late says little about a VM.
#[parameterized(
    rejected = { ProbeFailure::TurnedAway, 100 },
    late = { ProbeFailure::Unanswered, 100 },
)]
fn one_failed_probe_keeps_member(failure: ProbeFailure, millis: u64) {
    let mut simulation = Simulation::serving(2);
    let head = simulation.open_heads("big").remove(0);
    let member = simulation.members(&head)[2].clone();
    let (group, epoch) = membership(&mut simulation, &head);
    simulation.isolate(&member, failure);
    suspect(&mut simulation, &head);
    simulation.run(Duration::from_millis(millis));
    simulation.isolated.clear();
    simulation.run(SECOND);
    assert_eq!(planned(&simulation, group).0, epoch);
}

/// The VM goes on, but its response to the one probe after the timeout is late.
#[test]
fn late_response_after_silence_keeps_member() {
    let mut simulation = Simulation::serving(2);
    let head = simulation.open_heads("big").remove(0);
    let member = simulation.members(&head)[2].clone();
    let (group, epoch) = membership(&mut simulation, &head);
    simulation.silence(&member);
    suspect(&mut simulation, &head);
    simulation.run(GroupsSettings::default().silence_timeout + Duration::from_millis(60));
    simulation.resume(&member);
    simulation.run(SECOND);
    assert_eq!(planned(&simulation, group).0, epoch);
}

#[test]
fn suspicion_of_unreachable_member_raises_alarm_again() {
    let mut simulation = Simulation::serving(2);
    let head = simulation.open_heads("big").remove(0);
    let member = simulation.members(&head)[2].clone();
    let membership = membership(&mut simulation, &head);
    simulation.silence(&member);
    suspect(&mut simulation, &head);
    simulation.run(Duration::from_millis(400));
    simulation.degraded.clear();
    suspect(&mut simulation, &head);
    simulation.run(Duration::from_millis(100));
    assert!(simulation.degraded.contains(&membership));
}

/// The VM goes on for half a second between two silences.
#[test]
fn two_short_silences_keep_member() {
    let mut simulation = Simulation::serving(2);
    let head = simulation.open_heads("big").remove(0);
    let member = simulation.members(&head)[2].clone();
    let (group, epoch) = membership(&mut simulation, &head);
    for millis in [400, 1_300] {
        simulation.silence(&member);
        suspect(&mut simulation, &head);
        simulation.run(Duration::from_millis(millis));
        simulation.resume(&member);
        simulation.run(Duration::from_millis(500));
    }
    assert_eq!(planned(&simulation, group).0, epoch);
}

/// Returns a simulation in which a group of the first domain lacks a member, and no spare is left that
/// could replace it, with the heads of this group and of one that could supply a member.
fn group_without_spare() -> (Simulation, String, String) {
    let mut simulation = Simulation::serving(3);
    let domain = |name: &str| name.rsplit_once('-').unwrap().0.to_owned();
    let heads = simulation.open_heads("small");
    let pair = heads.windows(2).find(|it| domain(&it[0]) == domain(&it[1]));
    let pair = pair.unwrap().to_vec();
    let group = |simulation: &mut Simulation, name: &str| {
        simulation.server(name).report.group.unwrap().group
    };
    let (one, other) = (&pair[0], &pair[1]);
    // Of two groups that are alike the one with the lower id is dissolved.
    let is_first = group(&mut simulation, one) < group(&mut simulation, other);
    let (kept, supplier) = if is_first { (other, one) } else { (one, other) };
    let assigned = simulation.assigned(0);
    for number in 0..10 {
        let name = format!("{}-{number}", domain(one));
        if !assigned.contains(&name) {
            simulation.stop_server(&name);
            simulation.unlist(&name);
        }
    }
    simulation.run(SECOND);
    (simulation, kept.clone(), supplier.clone())
}

/// Guards against a group that is dissolved because the planner alone lost its path to the head, which
/// serves.
#[test]
fn group_stays_while_others_reach_its_head() {
    let (mut simulation, kept, supplier) = group_without_spare();
    let members = simulation.members(&supplier);
    simulation.lost_paths.insert((0, VmId::of(&supplier)));
    simulation.run(3 * SECOND);
    let stopped = simulation.members(&kept)[1].clone();
    simulation.stop_server(&stopped);
    simulation.suspect(0, &kept);
    simulation.orders.clear();
    simulation.run(12 * SECOND);
    let members: Vec<VmId> = members.iter().map(|name| VmId::of(name)).collect();
    let orders = simulation.orders.iter();
    let orders: Vec<_> = orders.filter(|(vm, _)| members.contains(vm)).collect();
    assert!(orders.is_empty(), "{orders:?}");
    assert!(simulation.open_heads("small").contains(&supplier));
    assert!(simulation.assigned(0).contains(&supplier));
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
    simulation.lost_paths.clear();
    simulation.run(2 * SECOND);
    assert!(simulation.open_heads("small").contains(&supplier));
}

/// The members of a group whose head nobody reaches leave it, and are used once it has broken off.
#[test]
fn members_leave_head_that_nobody_reaches() {
    let (mut simulation, kept, supplier) = group_without_spare();
    simulation.isolate(&supplier, ProbeFailure::Unanswered);
    let stopped = simulation.members(&kept)[1].clone();
    simulation.stop_server(&stopped);
    simulation.suspect(0, &kept);
    simulation.run(20 * SECOND);
    let member = simulation.members(&supplier)[1].clone();
    assert!(simulation.members(&kept).contains(&member));
    let vm = VmId::of(&member);
    let orders = simulation.orders.iter().filter(|(to, _)| *to == vm);
    let orders: Vec<&Order> = orders.map(|(_, order)| order).collect();
    let joins = |order: &&Order| matches!(order, Order::Join { .. });
    let leaves = |order: &&Order| matches!(order, Order::Leave { .. });
    let last_join = orders.iter().rposition(joins).unwrap();
    let leave = orders.iter().position(leaves).unwrap();
    assert!(leave < last_join, "{orders:?}");
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
    assert!(simulation.open_heads("small").contains(&kept));
}

/// Guards against a planner that, in a later term, goes on dissolving a group by what it remembers of
/// an earlier one: another planner had kept the group, at the same epoch.
#[test]
fn dissolution_of_earlier_term_is_forgotten() {
    let (mut simulation, kept, supplier) = group_without_spare();
    // The head of the group that is to be dissolved gets no order, and stays.
    simulation.hold_orders(&supplier);
    let isolated = simulation.members(&supplier)[1].clone();
    simulation.isolate(&isolated, ProbeFailure::Unanswered);
    let stopped = simulation.members(&kept)[1].clone();
    simulation.stop_server(&stopped);
    simulation.suspect(0, &kept);
    simulation.run(5 * SECOND);
    let vm = VmId::of(&supplier);
    let is_leave = |(to, order): &(VmId, Order)| *to == vm && matches!(order, Order::Leave { .. });
    assert!(simulation.orders.iter().any(is_leave), "it is dissolved");
    simulation.held_orders.clear();
    simulation.order_holders.clear();
    simulation.nodes[0].alive = false;
    simulation.isolated.clear();
    simulation.run(3 * SECOND);
    let boots = simulation.lapsed(1);
    simulation.plan(1, boots);
    simulation.server(&stopped).alive = true;
    simulation.run(6 * SECOND);
    assert!(simulation.open_heads("small").contains(&supplier));
    simulation.nodes[1].alive = false;
    simulation.run(3 * SECOND);
    simulation.orders.clear();
    simulation.nodes[0].alive = true;
    let boots = simulation.lapsed(2);
    simulation.run(SECOND);
    simulation.plan(0, boots);
    simulation.run(3 * SECOND);
    assert!(simulation.nodes[0].groups.is_planning());
    assert!(!simulation.orders.iter().any(is_leave), "it is kept");
    assert!(simulation.open_heads("small").contains(&supplier));
}
