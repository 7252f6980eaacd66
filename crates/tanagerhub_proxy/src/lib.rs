//! Transparent HTTP/1.1 client and server that pass requests and responses on unmodified.
//!
//! A node's own interface is served by `async-h1`. That library normalises the request target,
//! rejects responses whose body is delimited by the end of the connection and limits request heads
//! to 8 KiB, so requests that must be forwarded unmodified go through this crate, which uses
//! `hyper`.

mod backend_response;
mod client;
mod connection_io;
mod hop;
mod memory_budget;
mod metered_stream;
mod pool;
mod request_body;
mod reserved_body;
mod response_body;
mod send_error;
mod server;
mod sliced_body;
mod write_stall;

pub use backend_response::{BackendResponse, BackendResponseBody, BodyError};
pub use client::{Client, Reuse};
pub use hop::strip_hop_headers;
pub use memory_budget::{Level, MemoryBudget, MemoryError, Part, PartUsage, Reservation};
pub use pool::PoolLimits;
pub use request_body::{RequestBody, RequestBodyError};
pub use reserved_body::ReservedBody;
pub use response_body::{IncompleteBody, ResponseBody, empty_body, full_body, stream_body};
pub use send_error::SendError;
pub use server::{LimitsHandle, Server, ServerLimits, serve, serve_within};
pub use write_stall::StallLimit;
