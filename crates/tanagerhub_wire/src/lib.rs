//! The network interfaces of a node: HTTP servers for callers and operators, the transport between
//! nodes, and clients of backend servers and the platform.

pub mod backend;
pub mod callers;
pub mod engine;
pub mod http;
pub mod operators;
pub mod peers;
pub mod platform;
