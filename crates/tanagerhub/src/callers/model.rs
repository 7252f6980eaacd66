//! Completions.

use http::Method;
use http::header::{ACCEPT, CONTENT_TYPE};
use tanagerhub_traffic::Repeat;
use tanagerhub_wire::backend::BackendRequest;
use tanagerhub_wire::callers::{ErrorKind, ErrorResponse, ModelCall, Outcome};
use tanagerhub_wire::http::{Response, ResponseBody};

use super::passing::read_whole;
use super::stream::Relay;
use super::{CallerEdge, Job};
use crate::refusal::error_answer;
use crate::run::{Run, Started};

impl CallerEdge {
    /// Answers a completion, whole or streamed.
    pub(super) async fn complete(
        self,
        mut job: Job,
        call: &ModelCall,
    ) -> Result<Response, ErrorResponse> {
        check_length(&job, call)?;
        let most = call.max_tokens.unwrap_or(job.entry.limits.max_tokens);
        let repeat = if call.stream {
            Repeat::Resume
        } else {
            Repeat::Whole
        };
        job.info = job.info.repeat(repeat).tokens(call.prompt_tokens, most);
        job.info = job.info.prefixes(call.prefix.iter().copied());
        let request = engine_request(&job, call);
        let (ticket, decision) = self.line.traffic.submit(job.info.clone());
        let mut run = Run::new(self.line.clone(), ticket, request);
        let started = run
            .start(decision)
            .await
            .map_err(|refusal| error_answer(&refusal))?;
        if call.stream && is_event_stream(&started) {
            return Ok(stream(Relay::new(run, job.request.body.clone()), started));
        }
        let limit = self.body_limit;
        let answer = read_whole(&mut run, started, limit)
            .await
            .map_err(|it| error_answer(&it))?;
        Ok(answer.into_response())
    }
}

/// Streams an answer that has begun.
fn stream(relay: Relay, started: Started) -> Response {
    let (sender, body) = ResponseBody::stream();
    let mut answer = Response::new(body);
    *answer.status_mut() = started.answer.status;
    for name in [CONTENT_TYPE, http::header::CACHE_CONTROL] {
        if let Some(value) = started.answer.headers.get(&name) {
            answer.headers_mut().insert(name, value.clone());
        }
    }
    async_std::task::spawn(relay.run(started, sender));
    answer
}

fn check_length(job: &Job, call: &ModelCall) -> Result<(), ErrorResponse> {
    let most = job.entry.limits.max_tokens;
    match call.max_tokens {
        Some(wanted) if wanted > most => {
            let text = format!(
                "max_tokens is {wanted}; entry \"{}\" allows {most}",
                job.entry.name
            );
            Err(ErrorResponse::new(
                ErrorKind::InvalidRequest,
                Outcome::NotRun,
                text,
            ))
        }
        _ => Ok(()),
    }
}

fn engine_request(job: &Job, call: &ModelCall) -> BackendRequest {
    let mut request =
        BackendRequest::new(Method::POST, call.endpoint.path()).body(job.request.body.clone());
    for name in [CONTENT_TYPE, ACCEPT] {
        if let Some(value) = job.request.headers.get(&name) {
            request = request.header(name, value.clone());
        }
    }
    request
}

fn is_event_stream(started: &Started) -> bool {
    let content = started.answer.headers.get(CONTENT_TYPE);
    let events = content.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    started.answer.status.is_success() && events
}
