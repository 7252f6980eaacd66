//! Error responses in the format that callers of model servers expect.

use std::time::Duration;

use ::http::header::{RETRY_AFTER, WWW_AUTHENTICATE};
use ::http::{HeaderValue, StatusCode};
use bytes::Bytes;
use serde::Serialize;

use crate::callers::{OUTCOME, Outcome};
use crate::http::{Response, json};

/// The kind of an error; it determines the status and the code of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ErrorKind {
    /// The HTTP message is malformed; the response has this status.
    Malformed(StatusCode),
    /// The head of the request is longer than allowed.
    HeadTooLarge,
    /// The body of the request is longer than allowed.
    BodyTooLarge,
    /// The request did not arrive in time.
    SlowRequest,
    /// The body or a header has an invalid value.
    InvalidRequest,
    /// The key is missing or belongs to no organisation.
    Unauthorised,
    /// The catalogue has no entry of this name.
    UnknownEntry,
    /// The API has no such path.
    UnknownPath,
    /// The path does not support the method.
    UnknownMethod,
    /// The organisation has reached its limit on rate or concurrency.
    RateLimited,
    /// Too many requests are waiting, or too many connections are open.
    Overloaded,
    /// No backend server can accept the request now.
    Unavailable,
    /// A request with the same `Idempotency-Key` is still running.
    InProgress,
    /// The `Idempotency-Key` was used for a different request.
    KeyReused,
    /// The request is refused because it has crashed backend servers.
    Quarantined,
    /// The connection to the backend server failed, or its response is unusable.
    BackendFailed,
    /// The backend server did not respond in time.
    BackendTimeout,
    /// An internal error of the node.
    Internal,
}

impl ErrorKind {
    /// Returns the HTTP status of the response.
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

    /// Returns the value of the field `code` of the response.
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

    /// Returns the value of the field `type` of the response.
    const fn error_type(self) -> &'static str {
        match self {
            Self::Unauthorised => "authentication_error",
            Self::RateLimited => "rate_limit_error",
            _ if self.status().as_u16() < 500 => "invalid_request_error",
            _ => "server_error",
        }
    }
}

/// An error response to a caller.
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
    /// Creates an error response without `Retry-After`.
    #[must_use]
    pub fn new(kind: ErrorKind, outcome: Outcome, message: impl Into<String>) -> Self {
        Self {
            kind,
            outcome,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Returns the response with the header `Retry-After`, rounded up to whole seconds.
    #[must_use]
    pub const fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the kind of the error.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns whether the request was run.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns the text for the caller.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Converts the error to the HTTP response.
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

    /// Returns the error as a server-sent event, for a stream that has already started.
    ///
    /// # Panics
    ///
    /// Never, as the error is always serialisable.
    #[must_use]
    pub fn event(&self) -> Bytes {
        let text = serde_json::to_string(&self.envelope()).expect("the error is serialisable");
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
