//! Foreign rows in the groups' table.

#[path = "support/simulation.rs"]
mod simulation;

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::Simulation;
use tanagerhub_catalogue::VmId;
use tanagerhub_groups::{GroupState, KnownBoots};
use yare::parameterized;

/// A value that no build writes: its first byte is no valid start of a number.
const UNREADABLE: &[u8] = &[0xff, 1, 2];

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(0x5eed_0201))]

    /// A planner ignores rows that it can't decode, and forms its groups beside them.
    #[test]
    fn form_groups_beside_unreadable_row(
        name in prop_oneof![
            Just("g/00000000000000ff".to_owned()),
            Just("g/xyz".to_owned()),
            "[a-z/]{0,12}",
        ],
        value in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        let mut simulation = Simulation::new(1, 10);
        simulation.put_row(&name, &value);
        simulation.plan(0, KnownBoots::default());
        simulation.run(Duration::from_secs(9));
        prop_assert!(!simulation.open_heads("small").is_empty());
        prop_assert!(simulation.violations.is_empty(), "{:?}", simulation.violations);
    }
}

/// A planner of another build may write its row in a form that this build can't decode. Taking the
/// row for a free one would make a second planner.
#[test]
fn unreadable_planner_row_is_held() {
    let mut simulation = Simulation::new(1, 10);
    simulation.put_row("planner", UNREADABLE);
    simulation.plan(0, KnownBoots::default());
    simulation.run(Duration::from_secs(1));
    assert!(!simulation.nodes[0].groups.is_planning());
    assert_eq!(simulation.commits, 0);
}

/// An unreadable planner's row that no planner writes any more is taken over.
#[test]
fn unreadable_planner_row_is_taken_after_timeout() {
    let mut simulation = Simulation::new(1, 10);
    simulation.put_row("planner", UNREADABLE);
    for _ in 0..2 {
        simulation.plan(0, KnownBoots::default());
        simulation.run(Duration::from_secs(3));
    }
    assert!(simulation.nodes[0].groups.is_planning());
}

/// A new planner that can't decode the rows of groups must not take their VMs for free ones: orders
/// to them would end the groups.
#[parameterized(
    open = { GroupState::Open },
    not_open_yet = { GroupState::Ready },
)]
fn groups_with_unreadable_rows_are_left_alone(state: GroupState) {
    let mut simulation = Simulation::new(2, 10);
    simulation.add_node(2);
    simulation.plan(0, KnownBoots::default());
    simulation.run(Duration::from_secs(9));
    let heads = [simulation.open_heads("big"), simulation.open_heads("small")].concat();
    assert!(heads.len() > 2, "{heads:?}");
    simulation.nodes[0].alive = false;
    let mut groups = BTreeSet::new();
    for head in &heads {
        let group = simulation.server(head).report.group.unwrap().group;
        simulation.report(head, |report| {
            report.group.as_mut().unwrap().state = state;
        });
        simulation.put_row(&format!("g/{group}"), UNREADABLE);
        groups.insert(group);
    }
    let orders = simulation.orders.len();
    let known_boots = KnownBoots {
        live: Vec::new(),
        ended: vec![1],
        lapsed: Vec::new(),
    };
    simulation.plan(1, known_boots);
    simulation.run(Duration::from_secs(9));
    assert!(simulation.nodes[1].groups.is_planning());
    for (vm, order) in &simulation.orders[orders..] {
        let membership = simulation.servers[vm].report.group;
        let is_member = membership.is_some_and(|it| groups.contains(&it.group));
        assert!(!is_member, "{order:?}");
    }
    for head in &heads {
        let membership = simulation.servers[&VmId::of(head)].report.group.unwrap();
        assert!(groups.contains(&membership.group) && membership.state == state);
    }
}
