//! The HTTP protocol of model engines.
//!
//! | call | body | response |
//! |---|---|---|
//! | `GET /engine/report` | | [`MemberReport`](tanagerhub_fleet::MemberReport) as JSON |
//! | `POST /engine/order` | [`Order`](tanagerhub_fleet::Order) as JSON | [`OrderResponse`](tanagerhub_fleet::OrderResponse) as JSON, 200 |
//! | `POST /v1/chat/completions`, `POST /v1/completions` | the caller's JSON | JSON, or server-sent events |
//!
//! Each server-sent event carries one token, and its `id:` field the number of tokens generated so
//! far. A stream is resumed by sending the same body with [`LAST_EVENT_ID`] and, as `resume_text`
//! in the body, the text generated so far. Closing the connection cancels the stream.

/// The id of the request, which engines write to their logs.
pub const REQUEST_ID: &str = "x-tanagerhub-request";
/// The group that the request is sent to; another group responds with 409 and does not run it.
pub const GROUP: &str = "x-tanagerhub-group";
/// The epoch of the group in [`GROUP`].
pub const EPOCH: &str = "x-tanagerhub-epoch";
/// The priority of the request; 0 is the highest.
pub const PRIORITY: &str = "x-tanagerhub-priority";
/// The number of tokens that the caller has already received.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Set to `true` by an engine or service that refuses a request without running any part of it.
pub const NOT_RUN: &str = "x-tanagerhub-not-run";
/// Set to `cold` by an engine that responds during its cold start.
pub const TEMPERATURE: &str = "x-tanagerhub-temperature";

mod engine_client;

pub use engine_client::{EngineClient, EngineError};
