//! Edges of a node: HTTP, engines, peers and the platform.

pub mod backend;
pub mod callers;
pub mod engine;
pub mod http;
pub mod operators;
pub mod peers;
pub mod platform;
