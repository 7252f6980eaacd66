//! Shared helpers of the integration tests.
#![expect(dead_code, reason = "each test binary uses a part")]

pub mod claim_simulation;
pub mod fake_table;
pub mod traffic_simulation;
