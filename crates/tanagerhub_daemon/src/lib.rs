//! Thin programs: `tanagerhubd` and `tanagerctl`.
//!
//! What they do beyond calling the libraries is here, so that it can be tested: checked settings,
//! and the operators' commands with their exit codes.

pub mod ctl;
pub mod settings;
mod statsd;

pub use statsd::statsd_client;
