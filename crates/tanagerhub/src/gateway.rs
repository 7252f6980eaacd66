//! A node whose truth is the platform's store, and whose callers come by host and path.
//!
//! The deployment's own formats and names stay behind the traits in [`edges`]: what they say is
//! decoded once into the types of this crate.

mod call;
mod configuration;
mod control;
mod control_store;
pub mod edges;
mod exchange;
mod feed;
mod feed_pace;
mod feed_source;
mod front;
mod gateway_metrics;
mod gateway_settings;
mod pulse;
mod relay;
mod relay_log;
mod reply;
mod shared;
mod start;
mod state_dump;
mod streaming;

pub use call::{CallHead, Upstream};
pub use configuration::{Configuration, KeyHolder};
pub use edges::{AnswerKind, Dialect, Edges, Engines, HeadError, OperatorRow, Pending, Store};
pub use feed_pace::FeedBounds;
pub use gateway_metrics::GatewayMetrics;
pub use gateway_settings::GatewaySettings;
pub use start::{Gateway, GatewayError};
