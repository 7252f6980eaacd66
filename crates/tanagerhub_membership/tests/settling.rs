//! Nodes that start with the store up.

use std::time::Duration;

#[path = "support/world.rs"]
mod world;

use world::World;

#[test]
fn settle_eight_nodes() {
    let mut world = World::settled(1, 8, 1);
    for node in 0..8 {
        println!("{:?}", world.nodes[node].membership.status(world.now));
        assert!(world.is_fresh(node), "node {node} is not fresh");
        assert_eq!(world.nodes[node].membership.peers(world.now).len(), 7);
    }
    world.apply(0, 1, 0);
    world.run(Duration::from_secs(2));
    println!("{:?}", world.answers);
    for node in 0..8 {
        assert_eq!(world.version(node), 1);
    }
}
