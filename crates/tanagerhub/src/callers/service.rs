//! Calls of plain services.

use http::Method;
use tanagerhub_catalogue::ServiceEntry;
use tanagerhub_traffic::Repeat;
use tanagerhub_wire::backend::BackendRequest;
use tanagerhub_wire::callers::{ErrorResponse, ServiceCall};
use tanagerhub_wire::http::Response;

use super::buffered_response::{BufferedResponse, read_buffered};
use super::{CallerHandler, Job, idempotency_key};
use crate::refusal::error_response;
use crate::request_run::RequestRun;

impl CallerHandler {
    /// Serves a call of a plain service; claims its idempotency key if the call isn't repeatable.
    pub(super) async fn serve_service(
        self,
        mut job: Job,
        call: &ServiceCall,
    ) -> Result<Response, ErrorResponse> {
        let settings = job.entry.service().cloned();
        let repeatable = settings
            .as_ref()
            .is_some_and(|service| is_repeatable(service, call));
        let repeat = if repeatable {
            Repeat::Whole
        } else {
            Repeat::Never
        };
        job.info = job.info.repeat(repeat);
        if !repeatable && let Some(key) = idempotency_key(&job).cloned() {
            let deduplicates = settings.is_some_and(|service| service.deduplicates);
            return self.serve_claimed(job, call, &key, deduplicates).await;
        }
        let response = self.send_to_service(&job, call).await;
        response
            .map(BufferedResponse::into_response)
            .map_err(|refusal| error_response(&refusal))
    }

    /// Sends a call and reads the response to its end.
    pub(super) async fn send_to_service(
        &self,
        job: &Job,
        call: &ServiceCall,
    ) -> Result<BufferedResponse, tanagerhub_traffic::Refusal> {
        let request = BackendRequest::new(call.method.clone(), call.target())
            .headers(job.request.headers.clone())
            .body(job.request.body.clone());
        let (ticket, decision) = self.run_context.traffic.submit(job.info.clone());
        let mut run = RequestRun::new(self.run_context.clone(), ticket, request);
        let started = run.start(decision).await?;
        read_buffered(&mut run, started, self.body_limit).await
    }
}

/// Returns whether a call may be repeated, according to the longest route that matches it.
///
/// A call that matches no route may be repeated only if its method is safe.
fn is_repeatable(settings: &ServiceEntry, call: &ServiceCall) -> bool {
    let matching = settings.routes.iter().filter(|route| {
        let method_matches =
            route.method == "*" || route.method.eq_ignore_ascii_case(call.method.as_str());
        method_matches && is_path_prefix(&call.path, &route.path)
    });
    let longest = matching.max_by_key(|route| (route.path.len(), route.method != "*"));
    longest.map_or_else(|| is_safe(&call.method), |route| route.repeatable)
}

/// Returns whether `path` is `prefix` or a path below it.
fn is_path_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}
