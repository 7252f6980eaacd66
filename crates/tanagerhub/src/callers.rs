//! Answers callers.

mod claimed;
mod generated_text;
mod model;
mod passing;
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
use crate::run::Line;

/// The node's edge towards callers.
#[derive(Debug, Clone)]
pub(crate) struct CallerEdge {
    pub(crate) line: Line,
    pub(crate) claims: Arc<ClaimHandle>,
    pub(crate) clock: Clock,
    /// The largest body of a back end that is read whole, in bytes.
    pub(crate) body_limit: usize,
}

/// A caller's request with what the catalogue says of it.
#[derive(Debug, Clone)]
struct Job {
    request: CallerRequest,
    organisation: Organisation,
    entry: Entry,
    info: RequestInfo,
}

impl CallerEdge {
    /// Answers one request.
    pub(crate) async fn answer(self, request: Request) -> Response {
        match self.try_answer(request).await {
            Ok(answer) => answer,
            Err(error) => error.into_response(),
        }
    }

    async fn try_answer(self, request: Request) -> Result<Response, ErrorResponse> {
        let request = CallerRequest::parse(request)?;
        let snapshot = self.line.traffic.snapshot();
        let organisation = organisation_of(&snapshot.catalogue, &request)?;
        if matches!(request.call, Call::ListModels) {
            return Ok(models(&snapshot.catalogue));
        }
        let entry = entry_of(&snapshot.catalogue, &request)?;
        let job = self.job(request, organisation, entry);
        match job.request.call.clone() {
            Call::Model(call) => self.complete(job, &call).await,
            Call::Service(call) => self.serve(job, &call).await,
            Call::ListModels => Ok(models(&snapshot.catalogue)),
        }
    }

    fn job(&self, request: CallerRequest, organisation: Organisation, entry: Entry) -> Job {
        let id = RequestId(rand::random());
        let seed = organisation.id().0 ^ entry.id().0;
        let fingerprint = xxh3_64_with_seed(&request.fingerprint.to_le_bytes(), seed);
        let info = RequestInfo::new(id, organisation.id(), entry.id())
            .deadline(self.clock.now() + entry.limits.deadline)
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
    let organisation = catalogue.organisation_of(&request.key).cloned();
    organisation.ok_or_else(|| {
        let text = "the key belongs to no organisation";
        ErrorResponse::new(ErrorKind::Unauthorised, Outcome::NotRun, text)
    })
}

fn entry_of(catalogue: &Catalogue, request: &CallerRequest) -> Result<Entry, ErrorResponse> {
    let entry = request.entry_id().and_then(|id| catalogue.entry(id));
    let fits = |entry: &&Entry| match request.call {
        Call::Model(_) => entry.model().is_some(),
        Call::Service(_) => entry.service().is_some(),
        Call::ListModels => false,
    };
    entry.filter(fits).cloned().ok_or_else(|| {
        let name = request.entry().unwrap_or_default();
        let text = format!("the catalogue has no such entry: \"{name}\"");
        ErrorResponse::new(ErrorKind::UnknownEntry, Outcome::NotRun, text)
    })
}

fn models(catalogue: &Catalogue) -> Response {
    let models = catalogue
        .entries
        .iter()
        .filter(|entry| entry.model().is_some());
    model_list(models.map(|entry| (entry.name.as_str(), entry.owner.as_str())))
}

/// An answer that a node can't pass on.
fn broken(text: impl Into<String>) -> ErrorResponse {
    ErrorResponse::new(ErrorKind::BackendFailed, Outcome::Unknown, text)
}

/// The status of an answer that was recorded.
fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY)
}

/// The key under which a caller may send a request again.
const fn idempotency(job: &Job) -> Option<&IdempotencyKey> {
    job.request.idempotency_key.as_ref()
}
