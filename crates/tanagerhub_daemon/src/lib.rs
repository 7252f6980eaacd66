//! Thin programs: `tanagerhubd` and `tanagerctl`.
//!
//! What they do beyond calling the libraries is here, so that it can be tested: checked settings,
//! and the operators' commands with their exit codes.

pub mod ctl;
mod json_log;
mod runtime;
pub mod settings;
mod statsd;

pub use json_log::json_log;
pub use runtime::prepare_runtime;
pub use statsd::statsd_client;
