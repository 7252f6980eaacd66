//! Completions of models.

use http::Method;
use http::header::{ACCEPT, CONTENT_TYPE};
use tanagerhub_traffic::Repeat;
use tanagerhub_wire::backend::BackendRequest;
use tanagerhub_wire::callers::{ErrorKind, ErrorResponse, ModelCall, Outcome};
use tanagerhub_wire::http::{Response, ResponseBody};

use super::buffered_response::read_buffered;
use super::stream::StreamRelay;
use super::{CallerHandler, Job};
use crate::refusal::error_response;
use crate::request_run::{RequestRun, StartedResponse};

impl CallerHandler {
    /// Serves a completion, buffered or streamed.
    pub(super) async fn serve_model(
        self,
        mut job: Job,
        call: &ModelCall,
    ) -> Result<Response, ErrorResponse> {
        check_max_tokens(&job, call)?;
        let max_tokens = call.max_tokens.unwrap_or(job.entry.limits.max_tokens);
        let repeat = if call.stream {
            Repeat::Resume
        } else {
            Repeat::Whole
        };
        job.info = job
            .info
            .repeat(repeat)
            .tokens(call.prompt_tokens, max_tokens);
        job.info = job.info.prefixes(call.prefix.iter().copied());
        let request = engine_request(&job, call);
        let (ticket, decision) = self.run_context.traffic.submit(job.info.clone());
        let mut run = RequestRun::new(self.run_context.clone(), ticket, request);
        let started = run
            .start(decision)
            .await
            .map_err(|refusal| error_response(&refusal))?;
        if call.stream && is_event_stream(&started) {
            return Ok(stream_response(
                StreamRelay::new(run, job.request.body.clone()),
                started,
            ));
        }
        let limit = self.body_limit;
        let response = read_buffered(&mut run, started, limit)
            .await
            .map_err(|refusal| error_response(&refusal))?;
        Ok(response.into_response())
    }
}

/// Streams a response whose head has arrived; a task relays its body.
fn stream_response(relay: StreamRelay, started: StartedResponse) -> Response {
    let (sender, body) = ResponseBody::stream();
    let mut response = Response::new(body);
    *response.status_mut() = started.response.status;
    for name in [CONTENT_TYPE, http::header::CACHE_CONTROL] {
        if let Some(value) = started.response.headers.get(&name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    async_std::task::spawn(relay.run(started, sender));
    response
}

fn check_max_tokens(job: &Job, call: &ModelCall) -> Result<(), ErrorResponse> {
    let max_tokens = job.entry.limits.max_tokens;
    match call.max_tokens {
        Some(requested) if requested > max_tokens => {
            let text = format!(
                "max_tokens is {requested}; entry \"{}\" allows {max_tokens}",
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

/// Whether a response is a stream of events, as opposed to a whole one or an error.
pub(super) fn is_event_stream(started: &StartedResponse) -> bool {
    let content = started.response.headers.get(CONTENT_TYPE);
    let events = content.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    started.response.status.is_success() && events
}
