//! The HTTP/1.1 server and message types shared by the APIs for callers and operators.
//!
//! `async-h1` reads and writes the messages. This module adds what it lacks: limits on sizes and
//! connections, timeouts, strict validation of the head with a 400 response, detection of callers
//! that disconnect, and a graceful stop.

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

/// A request with its complete body.
pub type Request = ::http::Request<Bytes>;

/// A response with a complete or a streamed body.
pub type Response = ::http::Response<ResponseBody>;

/// Returns a response with `value` as its JSON body.
///
/// # Panics
///
/// Panics when `value` can't be serialised as JSON, such as a map whose keys aren't strings.
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
    let text = serde_json::to_vec(value).expect("responses are serialisable");
    let mut response = Response::new(ResponseBody::from(text));
    *response.status_mut() = status;
    response.headers_mut().insert(
        ::http::header::CONTENT_TYPE,
        ::http::HeaderValue::from_static("application/json"),
    );
    response
}
