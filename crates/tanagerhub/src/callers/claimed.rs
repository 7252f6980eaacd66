//! Calls that run at most once, by their `Idempotency-Key`.

use std::time::Duration;

use http::HeaderMap;
use http::header::CONTENT_TYPE;
use tanagerhub_traffic::{
    ClaimRequest, ClaimResponse, Outcome as Ended, RecordedResponse, Refusal, claim_key,
};
use tanagerhub_wire::callers::{ErrorKind, ErrorResponse, IdempotencyKey, Outcome, ServiceCall};
use tanagerhub_wire::http::Response;

use super::passing::WholeAnswer;
use super::{CallerEdge, Job, broken, status};
use crate::refusal::{error_answer, outcome_of};

/// How long a claim may take to be written.
const CLAIM_LIMIT: Duration = Duration::from_secs(2);
/// When a caller should ask again whose request still runs.
const RETRY_IN_PROGRESS: Duration = Duration::from_secs(1);
/// When a caller should ask again whose claim could not be written.
const RETRY_UNCLAIMED: Duration = Duration::from_secs(5);

impl CallerEdge {
    /// Claims the key, then sends the call.
    ///
    /// It goes on when the caller leaves, since its outcome must be recorded.
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
            deadline: self.clock.now() + CLAIM_LIMIT.min(job.entry.limits.deadline),
        };
        let call = call.clone();
        let work = async move {
            match self.claims.claim(claim).await {
                ClaimResponse::Granted => self.serve_granted(&job, &call).await,
                ClaimResponse::Unclaimed => self.serve_unclaimed(&job, &call).await,
                answer => answer_repeated(answer),
            }
        };
        async_std::task::spawn(work).await
    }

    async fn serve_granted(
        &self,
        job: &Job,
        call: &ServiceCall,
    ) -> Result<Response, ErrorResponse> {
        let answer = self.send_to_service(job, call).await;
        let (outcome, recorded) = record(&answer);
        self.claims.finish(job.info.id, outcome, recorded);
        answer
            .map(WholeAnswer::into_response)
            .map_err(|refusal| error_answer(&refusal))
    }

    async fn serve_unclaimed(
        &self,
        job: &Job,
        call: &ServiceCall,
    ) -> Result<Response, ErrorResponse> {
        let answer = self.send_to_service(job, call).await;
        answer
            .map(WholeAnswer::into_response)
            .map_err(|refusal| error_answer(&refusal))
    }
}

/// What is recorded of an answer.
fn record(answer: &Result<WholeAnswer, Refusal>) -> (Ended, Option<RecordedResponse>) {
    match answer {
        Ok(answer) => {
            let recorded = RecordedResponse {
                status: answer.status.as_u16(),
                content_type: answer.content_type(),
                body: answer.body.to_vec(),
            };
            (Ended::Ran, Some(recorded))
        }
        Err(refusal) => (refusal.outcome, None),
    }
}

/// Answers a call whose key was claimed before, or could not be claimed.
fn answer_repeated(answer: ClaimResponse) -> Result<Response, ErrorResponse> {
    match answer {
        ClaimResponse::Replay(recorded) => Ok(replay(recorded)),
        ClaimResponse::Ended(outcome) => {
            let text =
                "an earlier request with this Idempotency-Key ended without an answer to repeat";
            Err(ErrorResponse::new(
                ErrorKind::BackendFailed,
                outcome_of(outcome),
                text,
            ))
        }
        ClaimResponse::InProgress => {
            let text = "a request with this Idempotency-Key still runs";
            let error = ErrorResponse::new(ErrorKind::InProgress, Outcome::Unknown, text);
            Err(error.retry_after(RETRY_IN_PROGRESS))
        }
        ClaimResponse::BodyMismatch => {
            let text = "this Idempotency-Key was used for another request";
            Err(ErrorResponse::new(
                ErrorKind::KeyReused,
                Outcome::NotRun,
                text,
            ))
        }
        ClaimResponse::Unknown => Err(broken(
            "an earlier request with this Idempotency-Key was cut off; it may have run",
        )),
        ClaimResponse::NotRun | ClaimResponse::Granted | ClaimResponse::Unclaimed => {
            let text = "the claim on this Idempotency-Key could not be written";
            let error = ErrorResponse::new(ErrorKind::Unavailable, Outcome::NotRun, text);
            Err(error.retry_after(RETRY_UNCLAIMED))
        }
    }
}

fn replay(recorded: RecordedResponse) -> Response {
    let mut headers = HeaderMap::new();
    if let Ok(value) = recorded.content_type.parse() {
        headers.insert(CONTENT_TYPE, value);
    }
    let answer = WholeAnswer {
        status: status(recorded.status),
        headers,
        body: recorded.body.into(),
    };
    answer.into_response()
}
