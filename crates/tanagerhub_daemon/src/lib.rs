//! The library part of the programs `tanagerhubd` and `tanagerctl`.
//!
//! Contains the checked settings and the operators' commands with their exit codes, so that they
//! can be tested without the programs.

pub mod ctl;
mod json_log;
mod runtime;
pub mod settings;
mod statsd;

pub use json_log::json_log;
pub use runtime::prepare_runtime;
pub use statsd::statsd_client;
