//! Handles callers' requests.

mod buffered_response;
mod claimed;
mod generated_text;
mod model;
mod service;
mod stream;

use std::sync::Arc;

use http::StatusCode;
use tanagerhub_catalogue::{Catalogue, Entry, Organisation, RequestId};
use tanagerhub_clock::Clock;
use tanagerhub_traffic::RequestInfo;
use tanagerhub_wire::callers::{
    Call, CallerRequest, ErrorKind, ErrorResponse, IdempotencyKey, Outcome, model_list,
};
use tanagerhub_wire::http::{Request, Response};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::claim_handle::ClaimHandle;
use crate::request_run::RunContext;

/// Handles the requests of callers.
#[derive(Debug, Clone)]
pub(crate) struct CallerHandler {
    pub(crate) run_context: RunContext,
    pub(crate) claims: Arc<ClaimHandle>,
    pub(crate) clock: Clock,
    /// The largest response body that is buffered, in bytes.
    pub(crate) body_limit: usize,
}

/// A caller's request with its catalogue entry and organisation.
#[derive(Debug, Clone)]
struct Job {
    request: CallerRequest,
    organisation: Organisation,
    entry: Entry,
    info: RequestInfo,
}

impl CallerHandler {
    /// Returns the response to one request; a failure becomes an error response.
    pub(crate) async fn respond(self, request: Request) -> Response {
        match self.try_respond(request).await {
            Ok(response) => response,
            Err(error) => error.into_response(),
        }
    }

    async fn try_respond(self, request: Request) -> Result<Response, ErrorResponse> {
        let request = CallerRequest::parse(request)?;
        let snapshot = self.run_context.traffic.snapshot();
        let organisation = organisation_of(&snapshot.catalogue, &request)?;
        if matches!(request.call, Call::ListModels) {
            return Ok(model_list_response(&snapshot.catalogue));
        }
        let entry = entry_of(&snapshot.catalogue, &request)?;
        let job = self.new_job(request, organisation, entry);
        match job.request.call.clone() {
            Call::Model(call) => self.serve_model(job, &call).await,
            Call::Service(call) => self.serve_service(job, &call).await,
            Call::ListModels => Ok(model_list_response(&snapshot.catalogue)),
        }
    }

    fn new_job(&self, request: CallerRequest, organisation: Organisation, entry: Entry) -> Job {
        let id = RequestId(rand::random());
        let seed = organisation.id().0 ^ entry.id().0;
        let fingerprint = xxh3_64_with_seed(&request.fingerprint.to_le_bytes(), seed);
        let info = RequestInfo::new(id, organisation.id(), entry.id())
            .deadline(self.clock.now() + entry.limits.timeout)
            .fingerprint(fingerprint);
        Job {
            request,
            organisation,
            entry,
            info,
        }
    }
}

fn organisation_of(
    catalogue: &Catalogue,
    request: &CallerRequest,
) -> Result<Organisation, ErrorResponse> {
    let organisation = catalogue.organisation_by_key(&request.key).cloned();
    organisation.ok_or_else(|| {
        let text = "the key belongs to no organisation";
        ErrorResponse::new(ErrorKind::Unauthorised, Outcome::NotRun, text)
    })
}

fn entry_of(catalogue: &Catalogue, request: &CallerRequest) -> Result<Entry, ErrorResponse> {
    let entry = request.entry_id().and_then(|id| catalogue.entry(id));
    let matches_call = |entry: &&Entry| match request.call {
        Call::Model(_) => entry.model().is_some(),
        Call::Service(_) => entry.service().is_some(),
        Call::ListModels => false,
    };
    entry.filter(matches_call).cloned().ok_or_else(|| {
        let name = request.entry().unwrap_or_default();
        let text = format!("the catalogue has no such entry: \"{name}\"");
        ErrorResponse::new(ErrorKind::UnknownEntry, Outcome::NotRun, text)
    })
}

fn model_list_response(catalogue: &Catalogue) -> Response {
    let models = catalogue
        .entries
        .iter()
        .filter(|entry| entry.model().is_some());
    model_list(models.map(|entry| (entry.name.as_str(), entry.owner.as_str())))
}

/// Returns the error for a call that failed at a backend server and may have run.
fn backend_failed(text: impl Into<String>) -> ErrorResponse {
    ErrorResponse::new(ErrorKind::BackendFailed, Outcome::Unknown, text)
}

/// Returns the status of a recorded response; 502 if the recorded code is invalid.
fn recorded_status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY)
}

/// Returns the request's idempotency key, under which the caller may repeat it.
const fn idempotency_key(job: &Job) -> Option<&IdempotencyKey> {
    job.request.idempotency_key.as_ref()
}
