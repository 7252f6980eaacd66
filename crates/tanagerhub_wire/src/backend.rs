//! HTTP client for backend servers: engines and plain services.
//!
//! Each error says whether any byte of the request can have reached the backend server. A body is
//! checked against its length or its final chunk, so that a truncated response is never taken for
//! a complete one.

mod backend_body;
mod backend_client;
mod backend_connection;
mod backend_error;
mod backend_request;
mod pool;

pub use backend_body::BackendBody;
pub use backend_client::{BackendClient, BackendResponse};
pub use backend_error::{BackendError, BodyError};
pub use backend_request::{BackendRequest, ConnectionRule, Timeouts};
pub use pool::PoolLimits;
