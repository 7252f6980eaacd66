//! Responses of backend servers that are read to the end before they are forwarded.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use tanagerhub_traffic::AttemptEvent;
use tanagerhub_wire::http::{Response, ResponseBody};

use crate::request_run::{RequestRun, StartedResponse};

/// A complete response of a backend server.
#[derive(Debug, Clone)]
pub(super) struct BufferedResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl BufferedResponse {
    /// Returns the response for the caller, without the headers of the backend connection.
    pub(super) fn into_response(self) -> Response {
        let mut response = Response::new(ResponseBody::from(self.body));
        *response.status_mut() = self.status;
        for (name, value) in &self.headers {
            if is_forwarded(name.as_str()) {
                response.headers_mut().append(name.clone(), value.clone());
            }
        }
        response
    }

    /// Returns the content type; `application/octet-stream` if it is missing or not text.
    pub(super) fn content_type(&self) -> String {
        let value = self.headers.get(http::header::CONTENT_TYPE);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or("application/octet-stream").to_owned()
    }
}

/// Returns whether a backend server's header is forwarded to the caller.
///
/// Headers of the connection, `date`, `server` and the `x-tanagerhub-` headers are not.
fn is_forwarded(name: &str) -> bool {
    let connection = matches!(
        name,
        "connection"
            | "keep-alive"
            | "transfer-encoding"
            | "content-length"
            | "upgrade"
            | "te"
            | "trailer"
            | "date"
            | "server"
    );
    !connection && !name.starts_with("x-tanagerhub-")
}

/// Reads the response to its end; if that fails, repeats the request where the traffic decisions
/// allow it.
pub(super) async fn read_buffered(
    run: &mut RequestRun,
    mut started: StartedResponse,
    limit: usize,
) -> Result<BufferedResponse, tanagerhub_traffic::Refusal> {
    loop {
        let attempt = started.dispatch.attempt;
        let (status, headers) = (started.response.status, started.response.headers);
        match started.response.body.read(limit).await {
            Ok(body) => {
                run.report(attempt, end_event(status, &body));
                return Ok(BufferedResponse {
                    status,
                    headers,
                    body,
                });
            }
            Err(error) => started = run.restart(attempt, &error, None).await?,
        }
    }
}

/// Returns the event to report for an attempt whose response is complete.
fn end_event(status: StatusCode, body: &[u8]) -> AttemptEvent {
    if status.is_success() {
        return AttemptEvent::Finished {
            tokens: completion_tokens(body),
        };
    }
    AttemptEvent::Responded
}

#[derive(serde::Deserialize)]
struct Completion {
    usage: Usage,
}

#[derive(serde::Deserialize)]
struct Usage {
    completion_tokens: u32,
}

/// Returns the number of tokens that a completion reports; zero for other responses.
fn completion_tokens(body: &[u8]) -> u32 {
    let completion: Result<Completion, _> = serde_json::from_slice(body);
    completion.map_or(0, |completion| completion.usage.completion_tokens)
}
