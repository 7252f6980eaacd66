//! Calls of plain services.

use http::Method;
use tanagerhub_catalogue::ServiceEntry;
use tanagerhub_traffic::Repeat;
use tanagerhub_wire::backend::BackendRequest;
use tanagerhub_wire::callers::{ErrorResponse, ServiceCall};
use tanagerhub_wire::http::Response;

use super::passing::{WholeAnswer, read_whole};
use super::{CallerEdge, Job, idempotency};
use crate::refusal::error_answer;
use crate::run::Run;

impl CallerEdge {
    /// Answers a call of a plain service.
    pub(super) async fn serve(
        self,
        mut job: Job,
        call: &ServiceCall,
    ) -> Result<Response, ErrorResponse> {
        let settings = job.entry.service().cloned();
        let repeatable = settings.as_ref().is_some_and(|it| is_repeatable(it, call));
        let repeat = if repeatable {
            Repeat::Whole
        } else {
            Repeat::Never
        };
        job.info = job.info.repeat(repeat);
        if !repeatable && let Some(key) = idempotency(&job).cloned() {
            let deduplicates = settings.is_some_and(|it| it.deduplicates);
            return self.serve_claimed(job, call, &key, deduplicates).await;
        }
        let answer = self.send_to_service(&job, call).await;
        answer
            .map(WholeAnswer::into_response)
            .map_err(|refusal| error_answer(&refusal))
    }

    /// Sends a call and reads the whole answer.
    pub(super) async fn send_to_service(
        &self,
        job: &Job,
        call: &ServiceCall,
    ) -> Result<WholeAnswer, tanagerhub_traffic::Refusal> {
        let request = BackendRequest::new(call.method.clone(), call.target())
            .headers(job.request.headers.clone())
            .body(job.request.body.clone());
        let (ticket, decision) = self.line.traffic.submit(job.info.clone());
        let mut run = Run::new(self.line.clone(), ticket, request);
        let started = run.start(decision).await?;
        read_whole(&mut run, started, self.body_limit).await
    }
}

/// Whether a call may be repeated, by the longest route that matches it.
///
/// A call that no route matches may be repeated only if its method says so.
fn is_repeatable(settings: &ServiceEntry, call: &ServiceCall) -> bool {
    let matching = settings.routes.iter().filter(|route| {
        let method = route.method == "*" || route.method.eq_ignore_ascii_case(call.method.as_str());
        method && is_below(&call.path, &route.path)
    });
    let longest = matching.max_by_key(|route| (route.path.len(), route.method != "*"));
    longest.map_or_else(|| is_safe(&call.method), |route| route.repeatable)
}

/// Whether `path` is `start` or lies below it.
fn is_below(path: &str, start: &str) -> bool {
    let start = start.trim_end_matches('/');
    let rest = path.strip_prefix(start);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}
