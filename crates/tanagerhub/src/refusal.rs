//! Turns refusals into answers for callers.

use tanagerhub_traffic::{Outcome, Reason, Refusal};
use tanagerhub_wire::callers::{self, ErrorKind, ErrorResponse};

/// The answer that tells a caller of a refusal.
pub(crate) fn error_answer(refusal: &Refusal) -> ErrorResponse {
    let answer = ErrorResponse::new(
        kind_of(refusal),
        outcome_of(refusal.outcome),
        refusal.reason.to_string(),
    );
    match refusal.retry_after {
        Some(after) => answer.retry_after(after),
        None => answer,
    }
}

fn kind_of(refusal: &Refusal) -> ErrorKind {
    match refusal.reason {
        Reason::UnknownEntry => ErrorKind::UnknownEntry,
        Reason::Stale | Reason::ShuttingDown => ErrorKind::Unavailable,
        Reason::RequestRate | Reason::TokenRate | Reason::Concurrency => ErrorKind::RateLimited,
        Reason::Overloaded | Reason::NoGroup | Reason::QueueFull => ErrorKind::Overloaded,
        Reason::DeadlinePassed => ErrorKind::BackendTimeout,
        Reason::Crashes => ErrorKind::Quarantined,
        Reason::BackendFailed | Reason::BrokenAnswer => ErrorKind::BackendFailed,
    }
}

/// The outcome as the caller reads it.
pub(crate) const fn outcome_of(outcome: Outcome) -> callers::Outcome {
    match outcome {
        Outcome::NotRun => callers::Outcome::NotRun,
        Outcome::Ran => callers::Outcome::Ran,
        Outcome::Unknown => callers::Outcome::Unknown,
    }
}
