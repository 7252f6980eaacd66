//! Calls with an `Idempotency-Key`, which run at most once.

use std::time::Duration;

use http::HeaderMap;
use http::header::CONTENT_TYPE;
use tanagerhub_traffic::{
    ClaimRequest, ClaimResponse, Outcome as TrafficOutcome, RecordedResponse, Refusal, claim_key,
};
use tanagerhub_wire::callers::{ErrorKind, ErrorResponse, IdempotencyKey, Outcome, ServiceCall};
use tanagerhub_wire::http::Response;

use super::buffered_response::BufferedResponse;
use super::{CallerHandler, Job, backend_failed, recorded_status};
use crate::refusal::{caller_outcome, error_response};

/// The timeout for writing a claim; the entry's deadline applies if it is shorter.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// `Retry-After` for a caller whose earlier request with the key still runs.
const RETRY_AFTER_IN_PROGRESS: Duration = Duration::from_secs(1);
/// `Retry-After` for a caller whose claim could not be written.
const RETRY_AFTER_UNCLAIMED: Duration = Duration::from_secs(5);

impl CallerHandler {
    /// Claims the key, then sends the call.
    ///
    /// Runs in a task of its own, which continues when the caller disconnects: the outcome must be
    /// recorded in any case.
    pub(super) async fn serve_claimed(
        self,
        job: Job,
        call: &ServiceCall,
        key: &IdempotencyKey,
        deduplicates: bool,
    ) -> Result<Response, ErrorResponse> {
        let claim = ClaimRequest {
            request: job.info.id,
            key: claim_key(job.organisation.id(), key.as_str()),
            body_hash: job.info.fingerprint,
            deduplicates,
            deadline: self.clock.now() + CLAIM_TIMEOUT.min(job.entry.limits.timeout),
        };
        let call = call.clone();
        let work = async move {
            match self.claims.claim(claim).await {
                ClaimResponse::Granted => self.serve_granted(&job, &call).await,
                ClaimResponse::Unclaimed => self.serve_unclaimed(&job, &call).await,
                response => unsent_response(response),
            }
        };
        async_std::task::spawn(work).await
    }

    async fn serve_granted(
        &self,
        job: &Job,
        call: &ServiceCall,
    ) -> Result<Response, ErrorResponse> {
        let response = self.send_to_service(job, call).await;
        let (outcome, recorded) = claim_result(&response);
        self.claims.finish(job.info.id, outcome, recorded);
        response
            .map(BufferedResponse::into_response)
            .map_err(|refusal| error_response(&refusal))
    }

    async fn serve_unclaimed(
        &self,
        job: &Job,
        call: &ServiceCall,
    ) -> Result<Response, ErrorResponse> {
        let response = self.send_to_service(job, call).await;
        response
            .map(BufferedResponse::into_response)
            .map_err(|refusal| error_response(&refusal))
    }
}

/// Returns the outcome and the response that are recorded with the claim.
fn claim_result(
    response: &Result<BufferedResponse, Refusal>,
) -> (TrafficOutcome, Option<RecordedResponse>) {
    match response {
        Ok(response) => {
            let recorded = RecordedResponse {
                status: response.status.as_u16(),
                content_type: response.content_type(),
                body: response.body.to_vec(),
            };
            (TrafficOutcome::Ran, Some(recorded))
        }
        Err(refusal) => (refusal.outcome, None),
    }
}

/// Returns the response to a call that is not sent: its key was claimed before, or the claim
/// could not be written.
fn unsent_response(response: ClaimResponse) -> Result<Response, ErrorResponse> {
    match response {
        ClaimResponse::Replay(recorded) => Ok(replay(recorded)),
        ClaimResponse::Ended(outcome) => {
            let text =
                "an earlier request with this Idempotency-Key ended without an answer to repeat";
            Err(ErrorResponse::new(
                ErrorKind::BackendFailed,
                caller_outcome(outcome),
                text,
            ))
        }
        ClaimResponse::InProgress => {
            let text = "a request with this Idempotency-Key still runs";
            let error = ErrorResponse::new(ErrorKind::InProgress, Outcome::Unknown, text);
            Err(error.retry_after(RETRY_AFTER_IN_PROGRESS))
        }
        ClaimResponse::BodyMismatch => {
            let text = "this Idempotency-Key was used for another request";
            Err(ErrorResponse::new(
                ErrorKind::KeyReused,
                Outcome::NotRun,
                text,
            ))
        }
        ClaimResponse::Unknown => Err(backend_failed(
            "an earlier request with this Idempotency-Key was cut off; it may have run",
        )),
        ClaimResponse::NotRun | ClaimResponse::Granted | ClaimResponse::Unclaimed => {
            let text = "the claim on this Idempotency-Key could not be written";
            let error = ErrorResponse::new(ErrorKind::Unavailable, Outcome::NotRun, text);
            Err(error.retry_after(RETRY_AFTER_UNCLAIMED))
        }
    }
}

fn replay(recorded: RecordedResponse) -> Response {
    let mut headers = HeaderMap::new();
    if let Ok(value) = recorded.content_type.parse() {
        headers.insert(CONTENT_TYPE, value);
    }
    let response = BufferedResponse {
        status: recorded_status(recorded.status),
        headers,
        body: recorded.body.into(),
    };
    response.into_response()
}
