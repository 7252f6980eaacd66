//! A deterministic simulation of nodes, engines and callers.
#![expect(
    clippy::cast_precision_loss,
    reason = "counts of groups and organisations are small"
)]

pub mod engine;
pub mod policy;
pub mod runner;
pub mod scenario;
