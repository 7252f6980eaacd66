//! Foreign rows in the groups' table.

#[path = "support/simulation.rs"]
mod simulation;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::Simulation;
use tanagerhub_groups::KnownBoots;

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
