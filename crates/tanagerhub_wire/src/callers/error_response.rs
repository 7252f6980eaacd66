//! Errors in the shape that callers of model servers expect.

use std::time::Duration;

use ::http::header::{RETRY_AFTER, WWW_AUTHENTICATE};
use ::http::{HeaderValue, StatusCode};
use bytes::Bytes;
use serde::Serialize;

use crate::callers::{OUTCOME, Outcome};
use crate::http::{Response, json};

/// What went wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ErrorKind {
    /// The HTTP message breaks a rule; answered with this status.
    Malformed(StatusCode),
    /// The head is longer than allowed.
    HeadTooLarge,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The request did not arrive in time.
    SlowRequest,
    /// The body or a header does not say what it should.
    InvalidRequest,
    /// The key is missing or belongs to no organisation.
    Unauthorised,
    /// No entry has this name.
    UnknownEntry,
    /// The API has no such path.
    UnknownPath,
    /// The path has no such method.
    UnknownMethod,
    /// The organisation has used up its rate or concurrency.
    RateLimited,
    /// Too much work waits.
    Overloaded,
    /// No back end can take the request now.
    Unavailable,
    /// A request with the same `Idempotency-Key` still runs.
    InProgress,
    /// The `Idempotency-Key` was used for another request.
    KeyReused,
    /// The request has crashed back ends.
    Quarantined,
    /// The back end broke off or gave an answer that can't be used.
    BackendFailed,
    /// The back end did not answer in time.
    BackendTimeout,
    /// The node itself failed.
    Internal,
}

impl ErrorKind {
    /// The status of the answer.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Malformed(status) => status,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowRequest => StatusCode::REQUEST_TIMEOUT,
            Self::InvalidRequest => StatusCode::BAD_REQUEST,
            Self::Unauthorised => StatusCode::UNAUTHORIZED,
            Self::UnknownEntry | Self::UnknownPath => StatusCode::NOT_FOUND,
            Self::UnknownMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Self::Overloaded | Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::InProgress => StatusCode::CONFLICT,
            Self::KeyReused | Self::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            Self::BackendFailed => StatusCode::BAD_GATEWAY,
            Self::BackendTimeout => StatusCode::GATEWAY_TIMEOUT,
            Self::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// The word for it in the answer's `code`.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed_request",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::SlowRequest => "slow_request",
            Self::InvalidRequest => "invalid_request",
            Self::Unauthorised => "invalid_api_key",
            Self::UnknownEntry => "model_not_found",
            Self::UnknownPath => "unknown_path",
            Self::UnknownMethod => "unknown_method",
            Self::RateLimited => "rate_limit_exceeded",
            Self::Overloaded => "overloaded",
            Self::Unavailable => "unavailable",
            Self::InProgress => "request_in_progress",
            Self::KeyReused => "idempotency_key_reused",
            Self::Quarantined => "quarantined",
            Self::BackendFailed => "backend_failed",
            Self::BackendTimeout => "backend_timeout",
            Self::Internal => "internal_error",
        }
    }

    /// The group of errors that it belongs to, in the answer's `type`.
    const fn error_type(self) -> &'static str {
        match self {
            Self::Unauthorised => "authentication_error",
            Self::RateLimited => "rate_limit_error",
            _ if self.status().as_u16() < 500 => "invalid_request_error",
            _ => "server_error",
        }
    }
}

/// An error as the caller gets it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerhub_wire::callers::{ErrorResponse, ErrorKind, Outcome};
///
/// let response = ErrorResponse::new(ErrorKind::Overloaded, Outcome::NotRun, "the queue is full")
///     .retry_after(Duration::from_millis(1_200))
///     .into_response();
/// assert_eq!(response.status(), 503);
/// assert_eq!(response.headers()["retry-after"], "2");
/// assert_eq!(response.headers()["x-tanagerhub-outcome"], "not-run");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorResponse {
    kind: ErrorKind,
    outcome: Outcome,
    message: String,
    retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    message: &'a str,
    r#type: &'static str,
    param: Option<&'a str>,
    code: &'static str,
    outcome: Outcome,
}

impl ErrorResponse {
    /// Makes an error.
    #[must_use]
    pub fn new(kind: ErrorKind, outcome: Outcome, message: impl Into<String>) -> Self {
        Self {
            kind,
            outcome,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Tells the caller when to come back; rounded up to whole seconds.
    #[must_use]
    pub const fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// What went wrong.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// What became of the request.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// What went wrong, in words.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.message
    }

    /// The answer to send.
    #[must_use]
    pub fn into_response(self) -> Response {
        let mut response = json(self.kind.status(), &self.envelope());
        let headers = response.headers_mut();
        headers.insert(OUTCOME, self.outcome.header());
        if let Some(delay) = self.retry_after {
            let seconds = delay.as_millis().div_ceil(1_000).max(1);
            let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.kind == ErrorKind::Unauthorised {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        response
    }

    /// The error as a server-sent event, for a stream that has begun.
    ///
    /// # Panics
    ///
    /// Never: the error is plain data.
    #[must_use]
    pub fn event(&self) -> Bytes {
        let text = serde_json::to_string(&self.envelope()).expect("the error is plain data");
        format!("data: {text}\n\n").into()
    }

    fn envelope(&self) -> Envelope<'_> {
        Envelope {
            error: Detail {
                message: &self.message,
                r#type: self.kind.error_type(),
                param: None,
                code: self.kind.code(),
                outcome: self.outcome,
            },
        }
    }
}
