//! A tanagerhub node: combines the crates that decide on groups, membership and traffic with
//! network and storage I/O.
//!
//! [`Node::start`] starts one control thread, which owns the decisions on groups and membership,
//! and tasks on the runtime's threads, which serve requests.

mod callers;
mod claim_handle;
mod control;
mod control_event;
mod export;
mod fleet_copy;
pub mod gateway;
mod metrics;
mod node;
mod node_settings;
mod refusal;
mod request_run;
mod snapshot;
mod ticket;
mod traffic_handle;
mod wake;

pub use metrics::Metrics;
pub use node::{Node, NodeError};
pub use node_settings::{Addresses, NodeSettings, SettingsError};
pub use tanagerhub_wire::peers::PeerKey;
