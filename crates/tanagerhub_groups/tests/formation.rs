//! Groups are formed and brought into service.

mod support;

use std::time::Duration;

use support::world::World;
use tanagerhub_groups::KnownBoots;

#[test]
fn form_from_empty_vms() {
    let mut world = World::new(6, 10);
    world.plan(0, KnownBoots::default());
    world.run(Duration::from_secs(9));
    assert!(world.open_heads("big").len() >= 5, "{:?}", world.open_heads("big"));
    assert!(world.open_heads("small").len() >= 10);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
