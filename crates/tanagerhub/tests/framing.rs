//! Framing of callers' requests and of backend servers' responses.

#[path = "framing/cut_heads.rs"]
mod cut_heads;
#[path = "support/deployment.rs"]
mod deployment;
#[path = "framing/endless.rs"]
mod endless;
#[path = "framing/endless_streams.rs"]
mod endless_streams;
#[path = "framing/refusals.rs"]
mod refusals;
#[path = "framing/streams.rs"]
mod streams;
