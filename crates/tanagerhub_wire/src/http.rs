//! HTTP/1.1 for callers and operators: the plumbing that both share.
//!
//! `async-h1` reads and writes the messages. This module adds what it lacks: limits on sizes,
//! connections and time, strict checks of the head with a 400 for the caller, detection of a caller
//! that has gone, and a graceful stop.

mod answer_body;
mod connection;
pub(crate) mod convert;
mod gather;
pub(crate) mod head;
mod limits;
mod replay;
mod server;

use bytes::Bytes;

pub use answer_body::{AnswerBody, AnswerSender, CallerGone};
pub use limits::HttpLimits;
pub use server::{HttpCounters, HttpServer, serve};

pub(crate) use convert::{append_header, is_hop_by_hop};
pub(crate) use gather::gather;
pub(crate) use replay::Replay;

/// A request that has been read whole.
pub type Request = ::http::Request<Bytes>;

/// An answer, whole or streamed.
pub type Response = ::http::Response<AnswerBody>;

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
/// let answer = json(StatusCode::OK, &[1, 2]);
/// assert_eq!(answer.headers()["content-type"], "application/json");
/// ```
#[must_use]
pub fn json(status: ::http::StatusCode, value: &impl serde::Serialize) -> Response {
    let text = serde_json::to_vec(value).expect("answers are plain data");
    let mut answer = Response::new(AnswerBody::from(text));
    *answer.status_mut() = status;
    answer.headers_mut().insert(
        ::http::header::CONTENT_TYPE,
        ::http::HeaderValue::from_static("application/json"),
    );
    answer
}
