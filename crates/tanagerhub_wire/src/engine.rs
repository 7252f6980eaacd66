//! The HTTP protocol of model engines.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `GET /engine/report` | | [`MemberReport`](tanagerhub_fleet::MemberReport) as JSON |
//! | `POST /engine/order` | [`Order`](tanagerhub_fleet::Order) as JSON | [`OrderResponse`](tanagerhub_fleet::OrderResponse) as JSON, 200 |
//! | `POST /v1/chat/completions`, `POST /v1/completions` | the caller's JSON | JSON, or server-sent events |
//!
//! Each server-sent event carries one token, and its `id:` field the number of tokens generated so
//! far. A stream is resumed by sending the same body with [`LAST_EVENT_ID`] and, as `resume_text`
//! in the body, the text generated so far. Closing the connection cancels the stream.

/// Names the request; engines put it into their logs.
pub const REQUEST_ID: &str = "x-tanagerhub-request";
/// The group that the request is meant for; another group answers 409 and does not run it.
pub const GROUP: &str = "x-tanagerhub-group";
/// The epoch of that group.
pub const EPOCH: &str = "x-tanagerhub-epoch";
/// The request's priority: 0 goes first.
pub const PRIORITY: &str = "x-tanagerhub-priority";
/// The number of tokens that the caller already has.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Set to `true` by an engine or service that refused a request without running any of it.
pub const NOT_RUN: &str = "x-tanagerhub-not-run";
/// Set to `cold` by an engine that answers while in cold start.
pub const TEMPERATURE: &str = "x-tanagerhub-temperature";

mod engine_client;

pub use engine_client::{EngineClient, EngineError};
