//! Simulations of many memberships in simulated time.

#[path = "nodes/failures.rs"]
mod failures;
#[path = "nodes/measure.rs"]
#[expect(dead_code, reason = "some figures are only printed, by an example")]
mod measure;
#[path = "nodes/simulation.rs"]
mod simulation;
#[path = "nodes/spreading.rs"]
mod spreading;
#[path = "nodes/targets.rs"]
mod targets;
