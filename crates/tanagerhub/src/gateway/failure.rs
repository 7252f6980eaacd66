//! Failure responses that the node itself sends.

use std::time::Duration;

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;
use tanagerhub_proxy::{ResponseBody, full_body};
use tanagerhub_traffic::{Outcome, Reason, Refusal};

/// A failure of a request, sent to the caller as a JSON response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) status: StatusCode,
    pub(crate) reason: String,
    pub(crate) retry_after: Option<Duration>,
    /// What the request lacked at this node, if that is why it has not run.
    pub(crate) lack: Option<Lack>,
}

/// What a request lacked at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lack {
    /// No backend server was in reach.
    Servers,
    /// None of those in reach had room in time.
    Room,
    /// All of them had asked this node for a pause.
    Pauses,
}

#[derive(Debug, Serialize)]
struct Body<'a> {
    error: &'a str,
}

const fn lack(reason: Reason) -> Option<Lack> {
    match reason {
        Reason::NoGroup | Reason::BackendFailed => Some(Lack::Servers),
        Reason::DeadlinePassed | Reason::Overloaded => Some(Lack::Room),
        Reason::Paused => Some(Lack::Pauses),
        _ => None,
    }
}

impl Failure {
    pub(crate) fn new(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.into(),
            retry_after: None,
            lack: None,
        }
    }

    /// Returns the failure of a request that has not run and may be retried after a delay.
    pub(crate) fn unavailable(reason: impl Into<String>, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }

    /// Returns the failure for a refusal of the traffic decisions. It has a retry delay only if the
    /// request has not run.
    pub(crate) fn from_refusal(refusal: &Refusal) -> Self {
        let status = match (refusal.reason, refusal.outcome) {
            (Reason::RequestRate | Reason::TokenRate | Reason::Concurrency, Outcome::NotRun) => {
                StatusCode::TOO_MANY_REQUESTS
            }
            (_, Outcome::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
            (Reason::DeadlinePassed, _) => StatusCode::GATEWAY_TIMEOUT,
            (_, Outcome::Ran | Outcome::Unknown) => StatusCode::BAD_GATEWAY,
        };
        let not_run = refusal.outcome == Outcome::NotRun;
        Self {
            status,
            reason: refusal.reason.to_string(),
            retry_after: refusal.retry_after.filter(|_| not_run),
            lack: lack(refusal.reason).filter(|_| not_run),
        }
    }

    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let body = Body {
            error: &self.reason,
        };
        let json = serde_json::to_vec(&body).expect("a string is always serialisable");
        let mut response = Response::new(full_body(json));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.2}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
