//! Groups are formed and brought into service.

#[path = "support/world.rs"]
mod world;

use std::time::Duration;

use tanagerhub_groups::{GroupsEvent, KnownBoots};
use world::World;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn form_from_empty_vms() {
    let mut world = World::new(6, 10);
    world.plan(0, KnownBoots::default());
    world.run(9 * SECOND);
    assert!(world.open_heads("big").len() >= 6);
    assert!(world.open_heads("small").len() >= 12);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Groups of eight get their share though the VMs of each domain come one after the other.
#[test]
fn form_while_vms_arrive() {
    let mut world = World::new(3, 1);
    world.resize_big(8);
    world.plan(0, KnownBoots::default());
    for place in 1..18 {
        world.run(SECOND / 10);
        for domain in 0..3 {
            world.add_machine(&format!("vm-{domain}-{place}"), domain);
        }
        world.list_all();
    }
    world.run(9 * SECOND);
    assert_eq!(world.open_heads("big").len(), 3);
    assert_eq!(world.open_heads("small").len(), 12);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

#[test]
fn form_within_one_domain() {
    let mut world = World::new(3, 5);
    world.plan(0, KnownBoots::default());
    world.run(9 * SECOND);
    let heads = [world.open_heads("big"), world.open_heads("small")].concat();
    assert!(!heads.is_empty());
    for head in heads {
        let domain = |name: &String| name.split('-').nth(1).map(str::to_owned);
        let members = world.members(&head);
        assert!(
            members.iter().all(|name| domain(name) == domain(&head)),
            "{members:?}"
        );
    }
}

#[test]
fn open_after_all_are_ready() {
    let mut world = World::new(1, 2);
    world.mute("vm-0-1");
    world.plan(0, KnownBoots::default());
    world.run(20 * SECOND);
    assert!(world.open_heads("small").is_empty());
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    world.deliver_orders();
    world.run_until(20 * SECOND, "the group serves", |world| {
        world.open_heads("small").len() == 1
    });
}

#[test]
fn load_within_limits() {
    let mut world = World::new(6, 10);
    world.begin_traffic();
    world.plan(0, KnownBoots::default());
    world.run(40 * SECOND);
    assert!(
        world.most_loads > 0 && world.most_loads <= 7,
        "{}",
        world.most_loads
    );
}

#[test]
fn load_within_limits_after_takeover() {
    let mut world = World::new(6, 10);
    world.begin_traffic();
    world.plan(0, KnownBoots::default());
    world.run(4 * SECOND);
    world.nodes[0].alive = false;
    world.add_node(2);
    let gone = vec![1];
    world.plan(
        1,
        KnownBoots {
            live: Vec::new(),
            gone,
        },
    );
    world.run(10 * SECOND);
    assert!(world.most_loads <= 7, "{}", world.most_loads);
}

#[test]
fn list_heads_of_evacuated() {
    let mut world = World::new(2, 10);
    world.plan(0, KnownBoots::default());
    world.run(9 * SECOND);
    let heads = |world: &World| world.nodes[0].groups.heads().len();
    let all = heads(&world);
    let centre = tanagerhub_catalogue::DataCentreId::of("dc-0");
    world.tell(0, GroupsEvent::Evacuated(vec![centre]));
    world.run(SECOND);
    assert!(heads(&world) > 0 && heads(&world) < all);
    world.tell(0, GroupsEvent::Evacuated(Vec::new()));
    world.run(SECOND);
    assert_eq!(heads(&world), all);
}
