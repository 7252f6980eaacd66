//! A node that reads its configuration from the platform's store and routes requests by host and
//! path.
//!
//! The traits in [`adapters`] hide the deployment's own formats and names. An adapter decodes each
//! message once into the types of this crate.

pub mod adapters;
mod attempt;
mod attempt_error;
mod call;
pub(crate) mod capacity;
mod composition_metrics;
mod configuration;
mod control;
mod control_store;
mod exchange;
mod failure;
mod feed;
mod feed_source;
mod feed_timing;
mod forwarder;
mod front;
mod gateway_metrics;
mod gateway_settings;
mod group_activity;
mod limit_notices;
mod memory;
mod memory_metrics;
mod planner_calls;
mod relay;
mod relay_log;
mod self_reports;
mod servers;
mod shared;
mod start;
mod state_dump;
mod store_eras;
mod store_health;
mod streaming;
mod unreadable_values;

pub use adapters::{
    Adapters, BoxFuture, CallConditions, DecodedReport, Dialect, EngineAnswer, Engines, HeadError,
    OperatorRow, ResponseKind, Store,
};
pub use call::{CallHead, Upstream};
pub use configuration::{Configuration, KeyHolder};
pub use feed_timing::FeedBounds;
pub use gateway_metrics::GatewayMetrics;
pub use gateway_settings::GatewaySettings;
pub use start::{Gateway, GatewayError};
pub use tanagerhub_traffic::{MAX_PAUSE, SelfReport};
