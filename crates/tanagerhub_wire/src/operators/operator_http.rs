//! The HTTP encoding of the API for operators.

use std::str::FromStr;

use ::http::header::AUTHORIZATION;
use ::http::{Method, StatusCode};
use http_types::Url;
use serde::Serialize;
use tanagerhub_catalogue::CatalogueVersion;

use crate::callers::OUTCOME;
use crate::http::{Request, Response, json};
use crate::operators::{
    Apply, MarkCall, OperatorCall, OperatorError, OperatorResponse, OperatorToken, Subject,
};

impl OperatorCall {
    /// Parses a call without checking the token.
    ///
    /// # Errors
    ///
    /// Returns the error to respond with.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_wire::operators::{OperatorCall, Subject};
    ///
    /// let request = http::Request::get("/v1/explain/vm/tbs-a-07").body(bytes::Bytes::new())?;
    /// let call = OperatorCall::parse(&request).unwrap();
    /// assert_eq!(call, OperatorCall::Explain(Subject::Vm("tbs-a-07".to_owned())));
    /// # Ok::<(), http::Error>(())
    /// ```
    pub fn parse(request: &Request) -> Result<Self, OperatorError> {
        let path = request.uri().path();
        let call = match (request.method(), path) {
            (&Method::GET, "/ready") => Self::Ready,
            (&Method::GET, "/debug/state") => Self::State,
            (&Method::GET, "/v1/catalogue") => Self::Catalogue,
            (&Method::PUT, "/v1/catalogue") => Self::Apply(parse_apply(request)?),
            (&Method::GET, "/v1/status") => Self::Status,
            (&Method::POST, "/v1/marks") => Self::Mark(parse_mark(request.body())?),
            (&Method::GET, "/v1/crashes") => Self::Crashes,
            (&Method::DELETE, "/v1/crashes") => Self::ClearCrashes,
            (&Method::GET, _) => parse_explain(path)?,
            _ => return Err(not_found(format!("{} {path}", request.method()))),
        };
        Ok(call)
    }
}

/// Authorises and parses an operator's HTTP request, and returns the response of `handler`.
///
/// All calls except [`OperatorCall::Ready`] require the token.
///
/// # Examples
///
/// ```
/// use tanagerhub_wire::operators::{
///     OperatorResponse, OperatorToken, Readiness, handle_operator_request,
/// };
///
/// # async_std::task::block_on(async {
/// let token = OperatorToken::new("s3cret");
/// let request = http::Request::get("/ready").body(bytes::Bytes::new())?;
/// let ready = Readiness { ready: true, reason: String::new() };
/// let response = handle_operator_request(&request, &token, async |_| {
///     Ok(OperatorResponse::Ready(ready))
/// });
/// assert_eq!(response.await.status(), 200);
/// # Ok::<(), http::Error>(())
/// # }).unwrap();
/// ```
pub async fn handle_operator_request<H, F>(
    request: &Request,
    token: &OperatorToken,
    handler: H,
) -> Response
where
    H: FnOnce(OperatorCall) -> F,
    F: Future<Output = Result<OperatorResponse, OperatorError>>,
{
    let call = match authorise(request, token) {
        Ok(call) => call,
        Err(error) => return error_response(&error),
    };
    match handler(call).await {
        Ok(response) => success_response(&response),
        Err(error) => error_response(&error),
    }
}

fn authorise(request: &Request, token: &OperatorToken) -> Result<OperatorCall, OperatorError> {
    let open = request.uri().path() == "/ready";
    let header = request.headers().get(AUTHORIZATION);
    if !open && !header.is_some_and(|value| token.authorises(value.as_bytes())) {
        return Err(OperatorError::Unauthorised);
    }
    OperatorCall::parse(request)
}

fn success_response(response: &OperatorResponse) -> Response {
    let status = match response {
        OperatorResponse::Ready(readiness) if !readiness.ready => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::OK,
    };
    json(status, response)
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    #[serde(flatten)]
    error: &'a OperatorError,
    message: String,
}

fn error_response(error: &OperatorError) -> Response {
    let body = ErrorBody {
        error,
        message: error.to_string(),
    };
    let mut response = json(error.status(), &body);
    response
        .headers_mut()
        .insert(OUTCOME, error.outcome().header());
    response
}

fn parse_apply(request: &Request) -> Result<Apply, OperatorError> {
    let document = std::str::from_utf8(request.body());
    let document = document.map_err(|error| invalid(format!("the document: {error}")))?;
    let mut apply = Apply {
        document: document.to_owned(),
        expected: None,
        dry_run: false,
        wait: false,
    };
    let query = request.uri().query().unwrap_or_default();
    let pairs = Url::parse(&format!("http://node/?{query}"))
        .map_err(|error| invalid(format!("the query: {error}")))?;
    for (name, value) in pairs.query_pairs() {
        match &*name {
            "expected" => apply.expected = Some(CatalogueVersion(parse_value(&name, &value)?)),
            "dry_run" => apply.dry_run = parse_value(&name, &value)?,
            "wait" => apply.wait = parse_value(&name, &value)?,
            _ => {
                return Err(invalid(format!(
                    "the query has an unknown field \"{name}\""
                )));
            }
        }
    }
    Ok(apply)
}

fn parse_value<T: FromStr>(name: &str, value: &str) -> Result<T, OperatorError> {
    let parsed = value.parse().ok();
    parsed.ok_or_else(|| invalid(format!("the query field {name} can't be \"{value}\"")))
}

fn parse_mark(body: &[u8]) -> Result<MarkCall, OperatorError> {
    serde_json::from_slice(body).map_err(|error| invalid(format!("the body: {error}")))
}

fn parse_explain(path: &str) -> Result<OperatorCall, OperatorError> {
    let subject = path
        .strip_prefix("/v1/explain/")
        .and_then(|subject| subject.split_once('/'))
        .and_then(|(kind, name)| Subject::new(kind, name));
    subject
        .map(OperatorCall::Explain)
        .ok_or_else(|| not_found(format!("GET {path}")))
}

const fn invalid(reason: String) -> OperatorError {
    OperatorError::Invalid { reason }
}

const fn not_found(name: String) -> OperatorError {
    OperatorError::NotFound { name }
}
