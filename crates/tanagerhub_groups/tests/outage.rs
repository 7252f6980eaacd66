//! Members fail while the store is unreachable.

#[path = "support/simulation.rs"]
mod simulation;

use std::collections::BTreeSet;
use std::time::Duration;

use simulation::{CommitFault, Simulation};
use tanagerhub_catalogue::VmId;
use tanagerhub_groups::{GroupsEvent, KnownBoots, ProbeFailure};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

/// Returns boot ids in which `boot` has ended.
fn with_ended(boot: u64) -> KnownBoots {
    KnownBoots {
        live: Vec::new(),
        ended: vec![boot],
        lapsed: Vec::new(),
    }
}

fn stop_member(simulation: &mut Simulation, model: &str) -> String {
    let head = simulation.open_heads(model).remove(0);
    let stopped = simulation.members(&head)[1].clone();
    simulation.stop_server(&stopped);
    simulation.suspect(0, &head);
    simulation.suspect(1, &head);
    head
}

#[parameterized(
    big = { "big" },
    small = { "small" },
)]
fn renew_group_during_outage(model: &str) {
    let mut simulation = Simulation::serving(2);
    let groups = simulation.open_heads(model).len();
    simulation.set_store_down(true);
    simulation.run(SECOND);
    let head = stop_member(&mut simulation, model);
    simulation.run(4 * SECOND);
    assert_eq!(simulation.open_heads(model).len(), groups);
    // Other nodes detect the renewal from the VMs' reports.
    let listed = simulation.nodes[1].groups.heads();
    assert!(listed.iter().any(|listed| listed.name == head));
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
    // The renewal is written to the store without another epoch.
    let before = simulation.server(&head).report.group.unwrap().epoch;
    simulation.set_store_down(false);
    simulation.run(3 * SECOND);
    assert_eq!(simulation.server(&head).report.group.unwrap().epoch, before);
    assert_eq!(simulation.open_heads(model).len(), groups);
}

#[test]
fn next_planner_reads_groups_renewed_during_outage() {
    let mut simulation = Simulation::serving(2);
    simulation.set_store_down(true);
    stop_member(&mut simulation, "small");
    simulation.run(4 * SECOND);
    simulation.set_store_down(false);
    simulation.run(2 * SECOND);
    let assigned: BTreeSet<String> = simulation.assigned(0).into_iter().collect();
    simulation.nodes[0].alive = false;
    simulation.plan(1, with_ended(1));
    simulation.run(2 * SECOND);
    let restored: BTreeSet<String> = simulation.assigned(1).into_iter().collect();
    assert_eq!(restored, assigned);
}

/// The store is unreachable for the planner alone, and another node becomes the planner.
#[test]
fn two_planners_keep_groups_disjoint() {
    let mut simulation = Simulation::serving(2);
    simulation.send_event(0, GroupsEvent::StoreUnreachable);
    simulation.run(SECOND);
    simulation.plan(1, with_ended(1));
    simulation.run(SECOND);
    for model in ["big", "small", "small"] {
        stop_member(&mut simulation, model);
        simulation.run(Duration::from_millis(700));
    }
    simulation.run(6 * SECOND);
    simulation.send_event(0, GroupsEvent::StoreReachable);
    simulation.run(6 * SECOND);
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
    let planning = simulation
        .nodes
        .iter()
        .filter(|node| node.groups.is_planning());
    assert_eq!(planning.count(), 1);
    let assigned = simulation.assigned(1);
    let distinct: BTreeSet<&String> = assigned.iter().collect();
    assert_eq!(distinct.len(), assigned.len());
}

/// The commit of a renewal to the store gets no response, and the rows are unchanged.
#[test]
fn epochs_rise_after_unknown_commit() {
    let mut simulation = Simulation::serving(2);
    let (heads, free) = groups_sharing_domain(&simulation);
    let head = heads[0].clone();
    for name in &free {
        simulation.report(name, |report| report.staged = vec!["small".to_owned()]);
    }
    simulation.set_store_down(true);
    simulation.stop_server(&simulation.members(&head)[1].clone());
    simulation.suspect(0, &head);
    simulation.run(4 * SECOND);
    let before = simulation.server(&head).report.group.unwrap().epoch;
    simulation
        .commit_faults
        .extend([CommitFault::Delayed, CommitFault::Refused]);
    simulation.set_store_down(false);
    simulation.run(Duration::from_millis(200));
    // Another member fails before the store contains the first renewal.
    let stopped = simulation.members(&head)[1].clone();
    simulation.stop_server(&stopped);
    simulation.suspect(0, &head);
    simulation.run(4 * SECOND);
    assert!(!simulation.members(&head).contains(&stopped));
    assert!(simulation.server(&head).report.group.unwrap().epoch > before);
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// Returns the heads of at least two small groups in one domain, and the domain's free VMs.
fn groups_sharing_domain(simulation: &Simulation) -> (Vec<String>, Vec<String>) {
    let domain = |name: &str| name.rsplit_once('-').unwrap().0.to_owned();
    let heads = simulation.open_heads("small");
    let domain_name = heads
        .iter()
        .map(|head| domain(head))
        .find(|domain_name| {
            heads
                .iter()
                .filter(|head| domain(head) == *domain_name)
                .count()
                > 1
        })
        .unwrap();
    let heads = heads.into_iter().filter(|head| domain(head) == domain_name);
    let assigned: BTreeSet<String> = simulation.assigned(0).into_iter().collect();
    let all = (0..10).map(|number| format!("{domain_name}-{number}"));
    (
        heads.collect(),
        all.filter(|name| !assigned.contains(name)).collect(),
    )
}

/// Makes the planner renew a group with an unreachable member while the planner can't reach the
/// store. Returns the spare that it used.
fn use_spare(
    simulation: &mut Simulation,
    head: &str,
    free: &[String],
    duration: Duration,
) -> String {
    simulation.send_event(0, GroupsEvent::StoreUnreachable);
    simulation.stop_server(&simulation.members(head)[1].clone());
    simulation.suspect(0, head);
    simulation.run(duration);
    let members = simulation.assigned(0).into_iter();
    let mut used_spare: Vec<String> = members.filter(|name| free.contains(name)).collect();
    assert_eq!(used_spare.len(), 1);
    used_spare.remove(0)
}

/// A spare that a planner used while it could not reach the store was meanwhile assigned to another
/// group.
#[test]
fn release_spare_assigned_to_other_group() {
    let mut simulation = Simulation::serving(2);
    let (heads, free) = groups_sharing_domain(&simulation);
    for name in &free {
        simulation.hold_orders(name);
    }
    let used_spare = use_spare(&mut simulation, &heads[0], &free, SECOND);
    // The joins never arrive, the planner is paused, and only the used spare is left.
    simulation.nodes[0].alive = false;
    simulation.held_orders.clear();
    simulation.deliver_held_orders();
    for name in free.iter().filter(|name| **name != used_spare) {
        simulation.stop_server(name);
    }
    simulation.stop_server(&heads[0]);
    simulation.stop_server(&simulation.members(&heads[1])[1].clone());
    simulation.plan(1, with_ended(1));
    simulation.run(4 * SECOND);
    assert!(simulation.members(&heads[1]).contains(&used_spare));
    simulation.nodes[1].alive = false;
    simulation.nodes[0].alive = true;
    simulation.send_event(0, GroupsEvent::StoreReachable);
    simulation.run(SECOND);
    simulation.plan(0, with_ended(2));
    simulation.run(2 * SECOND);
    assert!(simulation.nodes[0].groups.is_planning());
    let assigned = simulation.assigned(0);
    let distinct: BTreeSet<&String> = assigned.iter().collect();
    assert_eq!(distinct.len(), assigned.len());
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// A VM that joined a group before the store contained the renewal is no spare for another group.
#[parameterized(
    first = { 0 },
    second = { 1 },
)]
fn keep_spare_in_provisional_group(renewed: usize) {
    let mut simulation = Simulation::serving(2);
    let (mut heads, free) = groups_sharing_domain(&simulation);
    heads.rotate_left(renewed);
    let duration = Duration::from_millis(700);
    let used_spare = use_spare(&mut simulation, &heads[0], &free, duration);
    // The planner is paused before the group serves, and only the used spare is left.
    simulation.nodes[0].alive = false;
    simulation.run(2 * SECOND);
    for name in free.iter().filter(|name| **name != used_spare) {
        simulation.stop_server(name);
    }
    let stopped = simulation.members(&heads[1])[1].clone();
    simulation.stop_server(&stopped);
    simulation.suspect(1, &heads[1]);
    simulation.plan(1, with_ended(1));
    simulation.run(6 * SECOND);
    assert!(simulation.members(&heads[0]).contains(&used_spare));
    assert!(simulation.open_heads("small").contains(&heads[0]));
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// VMs that disappear in an outage may be listed again shortly after it; otherwise they are
/// removed.
#[parameterized(
    at_once = { 0, 1_500, true },
    at_once_and_late = { 0, 2_000, false },
    later = { 1_500, 600, false },
)]
fn relist_vm_after_outage(at: u64, wait: u64, listed: bool) {
    let mut simulation = Simulation::serving(2);
    let head = simulation.open_heads("big").remove(0);
    simulation.set_store_down(true);
    simulation.run(SECOND);
    simulation.set_store_down(false);
    simulation.run(Duration::from_millis(at + 100));
    simulation.unlist(&head);
    simulation.run(Duration::from_millis(wait));
    let heads = simulation.nodes[1].groups.heads();
    assert_eq!(heads.iter().any(|other| other.name == head), listed);
}

/// In a large fleet, nodes that can't reach the store don't overload the VMs with probes.
#[parameterized(
    small_fleet = { 6, 960, 1_230 },
    large_fleet = { 78, 180, 260 },
)]
fn probe_rate_during_outage(nodes: usize, least: usize, most: usize) {
    let mut simulation = Simulation::new(20, 10);
    simulation.add_node(2);
    simulation.plan(0, KnownBoots::default());
    simulation.run(9 * SECOND);
    simulation.begin_traffic();
    for node in 0..2 {
        simulation.send_event(node, GroupsEvent::NodeCount(nodes));
    }
    simulation.run(SECOND);
    simulation.set_store_down(true);
    let before = [0, 1].map(|node| simulation.nodes[node].probes.len());
    simulation.run(10 * SECOND);
    let probes = [0, 1].map(|node| simulation.nodes[node].probes.len() - before[node]);
    assert!((least..=most).contains(&probes[1]), "{probes:?}");
    // The planner must know the state of every member.
    assert!(probes[0] >= 960, "{probes:?}");
    let heads = simulation.open_heads("small").len() + simulation.open_heads("big").len();
    let heads_probed = simulation.nodes[1].probes[before[1]..]
        .iter()
        .filter(|vm| simulation.is_open_head(**vm))
        .count();
    assert!(heads_probed >= 2 * heads, "{heads_probed} of {probes:?}");
}

#[test]
fn removed_vm_is_not_probed() {
    let mut simulation = Simulation::serving(2);
    let head = simulation.open_heads("small").remove(0);
    simulation.stop_server(&head);
    simulation.unlist(&head);
    simulation.run(SECOND);
    let vm = VmId::of(&head);
    let probes = |simulation: &Simulation| {
        simulation.nodes[1]
            .probes
            .iter()
            .filter(|it| **it == vm)
            .count()
    };
    let before = probes(&simulation);
    simulation.run(4 * SECOND);
    assert_eq!(probes(&simulation), before);
}

/// While nothing changes, a node that does not plan mostly probes the heads that requests go to.
#[test]
fn calm_outage_probes_mostly_heads() {
    let mut simulation = Simulation::serving(2);
    simulation.set_store_down(true);
    simulation.run(SECOND);
    let heads: BTreeSet<VmId> = ["big", "small"]
        .iter()
        .flat_map(|model| simulation.open_heads(model))
        .map(|name| VmId::of(&name))
        .collect();
    simulation.nodes[1].probes.clear();
    simulation.run(8 * SECOND);
    for vm in simulation.servers.keys() {
        let probes = &simulation.nodes[1].probes;
        let count = probes.iter().filter(|probed| *probed == vm).count();
        if heads.contains(vm) {
            assert!(count >= 13, "{count} probes of a head");
        } else {
            assert!((3..=5).contains(&count), "{count} probes of another VM");
        }
    }
}

/// A node that does not plan finds a group that was renewed in an outage within a second.
#[parameterized(
    head = { 0 },
    member = { 1 },
)]
fn renewal_found_during_outage(rank: usize) {
    let mut simulation = Simulation::serving(2);
    simulation.set_store_down(true);
    simulation.run(2 * SECOND);
    let head = simulation.open_heads("big").remove(0);
    let group = simulation.server(&head).report.group.unwrap();
    let stopped = simulation.members(&head)[rank].clone();
    simulation.stop_server(&stopped);
    simulation.suspect(0, &head);
    let renewed = move |simulation: &Simulation, node: usize| {
        let heads = simulation.nodes[node].groups.heads();
        heads
            .iter()
            .any(|head| head.group == group.group && head.epoch > group.epoch)
    };
    simulation.run_until(8 * SECOND, "the planner renews", |it| renewed(it, 0));
    simulation.run(SECOND);
    assert!(renewed(&simulation, 1));
}

/// Guards against a VM that is not used for the rest of an outage: a renewal left it out, and nobody ordered it
/// to leave its group.
#[test]
fn use_vm_that_was_left_out_again() {
    let mut simulation = Simulation::staged(6);
    simulation.add_node(2);
    simulation.plan(0, KnownBoots::default());
    simulation.run(6 * SECOND);
    simulation.begin_traffic();
    simulation.set_store_down(true);
    simulation.run(SECOND);
    let head = simulation.open_heads("big").remove(0);
    let lost = simulation.members(&head)[1].clone();
    simulation.isolate(&lost, ProbeFailure::Refused);
    simulation.suspect(0, &head);
    simulation.run(3 * SECOND);
    assert!(!simulation.members(&head).contains(&lost));
    simulation.isolated.clear();
    simulation.run(SECOND);
    let head = simulation.open_heads("small").remove(0);
    let stopped = simulation.members(&head)[1].clone();
    simulation.stop_server(&stopped);
    simulation.suspect(0, &head);
    simulation.run(5 * SECOND);
    assert!(simulation.members(&head).contains(&lost));
    assert!(simulation.open_heads("small").contains(&head));
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}
