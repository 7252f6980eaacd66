//! A tanagerhub node, assembled.
//!
//! [`Node::start`] joins the decision crates with the edges: one control thread owns groups and
//! membership, tasks on the runtime's threads carry traffic.

mod metrics;
mod node_settings;

pub use metrics::Metrics;
pub use node_settings::{NodeSettings, PeerKey, SettingsError};
