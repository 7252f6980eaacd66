//! Framing of callers' requests and of backend servers' responses.

#[path = "framing/endless.rs"]
mod endless;
#[path = "framing/refusals.rs"]
mod refusals;
