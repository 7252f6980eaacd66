//! Converts refusals of the traffic decisions to error responses.

use tanagerhub_traffic::{Outcome, Reason, Refusal};
use tanagerhub_wire::callers::{self, ErrorKind, ErrorResponse};

/// Returns the error response for a refusal.
pub(crate) fn error_response(refusal: &Refusal) -> ErrorResponse {
    let response = ErrorResponse::new(
        error_kind(refusal),
        caller_outcome(refusal.outcome),
        refusal.reason.to_string(),
    );
    match refusal.retry_after {
        Some(after) => response.retry_after(after),
        None => response,
    }
}

fn error_kind(refusal: &Refusal) -> ErrorKind {
    match refusal.reason {
        Reason::UnknownEntry => ErrorKind::UnknownEntry,
        Reason::Stale | Reason::ShuttingDown => ErrorKind::Unavailable,
        Reason::RequestRate | Reason::TokenRate | Reason::Concurrency => ErrorKind::RateLimited,
        Reason::Overloaded | Reason::NoGroup | Reason::Paused | Reason::QueueFull => {
            ErrorKind::Overloaded
        }
        Reason::DeadlinePassed => ErrorKind::BackendTimeout,
        Reason::Crashes => ErrorKind::Quarantined,
        Reason::BackendFailed | Reason::BrokenAnswer => ErrorKind::BackendFailed,
    }
}

/// Converts an outcome to the type that callers receive.
pub(crate) const fn caller_outcome(outcome: Outcome) -> callers::Outcome {
    match outcome {
        Outcome::NotRun => callers::Outcome::NotRun,
        Outcome::Ran => callers::Outcome::Ran,
        Outcome::Unknown => callers::Outcome::Unknown,
    }
}
