//! HTTP/1.1 for callers and operators: the plumbing that both share.
//!
//! `async-h1` reads and writes the messages. This module adds what it lacks: limits on sizes,
//! connections and time, strict checks of the head with a 400 for the caller, detection of a caller
//! that has gone, and a graceful stop.

mod connection;
pub(crate) mod convert;
mod fill_buffer;
pub(crate) mod head;
mod limits;
mod prefixed_stream;
mod response_body;
mod server;

use bytes::Bytes;

pub use limits::HttpLimits;
pub use response_body::{CallerDisconnected, ResponseBody, ResponseSender};
pub use server::{HttpCounters, HttpServer, serve};

pub(crate) use convert::{append_header, is_hop_by_hop};
pub(crate) use fill_buffer::fill_buffer;
pub(crate) use prefixed_stream::PrefixedStream;

/// A request that has been read whole.
pub type Request = ::http::Request<Bytes>;

/// An answer, whole or streamed.
pub type Response = ::http::Response<ResponseBody>;

/// Makes a JSON answer.
///
/// # Panics
///
/// Panics when `value` can't be written as JSON, such as a map whose keys aren't strings.
///
/// # Examples
///
/// ```
/// use http::StatusCode;
/// use tanagerhub_wire::http::json;
///
/// let response = json(StatusCode::OK, &[1, 2]);
/// assert_eq!(response.headers()["content-type"], "application/json");
/// ```
#[must_use]
pub fn json(status: ::http::StatusCode, value: &impl serde::Serialize) -> Response {
    let text = serde_json::to_vec(value).expect("answers are plain data");
    let mut response = Response::new(ResponseBody::from(text));
    *response.status_mut() = status;
    response.headers_mut().insert(
        ::http::header::CONTENT_TYPE,
        ::http::HeaderValue::from_static("application/json"),
    );
    response
}
