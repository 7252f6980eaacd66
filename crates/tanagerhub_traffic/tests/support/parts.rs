//! Helpers of the tests.
#![expect(dead_code, reason = "each test binary uses a part")]

pub mod claim_simulation;
pub mod fake_table;
pub mod traffic_world;
