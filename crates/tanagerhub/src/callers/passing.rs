//! Passes a back end's whole answer on.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use tanagerhub_traffic::AttemptEvent;
use tanagerhub_wire::http::{Response, ResponseBody};

use crate::run::{Run, Started};

/// An answer of a back end that has arrived whole.
#[derive(Debug, Clone)]
pub(super) struct WholeAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl WholeAnswer {
    /// The answer for the caller.
    pub(super) fn into_response(self) -> Response {
        let mut answer = Response::new(ResponseBody::from(self.body));
        *answer.status_mut() = self.status;
        for (name, value) in &self.headers {
            if is_passed_on(name.as_str()) {
                answer.headers_mut().append(name.clone(), value.clone());
            }
        }
        answer
    }

    /// The answer's content type.
    pub(super) fn content_type(&self) -> String {
        let value = self.headers.get(http::header::CONTENT_TYPE);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or("application/octet-stream").to_owned()
    }
}

/// Whether a header of a back end speaks of the answer, and not of its connection or of us.
fn is_passed_on(name: &str) -> bool {
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

/// Reads the answer to its end, and starts again where that is decided.
pub(super) async fn read_whole(
    run: &mut Run,
    mut started: Started,
    limit: usize,
) -> Result<WholeAnswer, tanagerhub_traffic::Refusal> {
    loop {
        let attempt = started.dispatch.attempt;
        let (status, headers) = (started.answer.status, started.answer.headers);
        match started.answer.body.read(limit).await {
            Ok(body) => {
                run.report(attempt, end_of(status, &body));
                return Ok(WholeAnswer {
                    status,
                    headers,
                    body,
                });
            }
            Err(error) => started = run.restart(attempt, &error, None).await?,
        }
    }
}

/// What a whole answer says of its attempt.
fn end_of(status: StatusCode, body: &[u8]) -> AttemptEvent {
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

/// The tokens that a completion says it has; zero for other answers.
fn completion_tokens(body: &[u8]) -> u32 {
    let completion: Result<Completion, _> = serde_json::from_slice(body);
    completion.map_or(0, |completion| completion.usage.completion_tokens)
}
