//! Edges of a node: HTTP, engines, peers and the platform.

pub mod engine;
pub mod peers;
pub mod platform;
