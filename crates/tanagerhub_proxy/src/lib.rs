//! Transparent HTTP/1.1: a client and a server that change nothing on the way.
//!
//! The own interface of a node is served by `async-h1`. That library normalises the request target,
//! refuses answers that end with their connection and reads heads up to 8 KiB only, so requests
//! that must arrive unchanged go through `hyper` here.

mod backend_response;
mod client;
mod hop;
mod pool;
mod response_body;
mod send_error;
mod server;

pub use backend_response::{BackendResponse, BackendResponseBody, BodyError};
pub use client::{Client, Reuse};
pub use hop::strip_hop_headers;
pub use pool::PoolLimits;
pub use response_body::{IncompleteBody, ResponseBody, empty_body, full_body, stream_body};
pub use send_error::SendError;
pub use server::{LimitsHandle, Server, ServerLimits, serve};
