//! Parses the HTTP requests of callers.

use ::http::header::AUTHORIZATION;
use ::http::{HeaderMap, Method};
use bytes::Bytes;
use tanagerhub_catalogue::{EntryId, KeyHash};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::callers::prompt::{CompletionBody, estimate_tokens, prefix_hashes};
use crate::callers::{
    Call, Endpoint, ErrorKind, ErrorResponse, IdempotencyKey, ModelCall, Outcome, ServiceCall,
};
use crate::http::{Request, is_hop_by_hop};

/// The prefix of the paths of all plain services.
const SERVICES_PREFIX: &str = "/services/";

/// A parsed request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The hash of the bearer key.
    pub key: KeyHash,
    /// The requested call.
    pub call: Call,
    /// The key that identifies the request when the caller repeats it.
    pub idempotency_key: Option<IdempotencyKey>,
    /// A hash of the call and the body; a repeated request has the same.
    pub fingerprint: u64,
    /// The headers to forward, without the bearer key.
    pub headers: HeaderMap,
    /// The body, unchanged.
    pub body: Bytes,
}

impl CallerRequest {
    /// Parses a request.
    ///
    /// # Errors
    ///
    /// Returns the error response to send; no part of the request has been run.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_wire::callers::{Call, CallerRequest};
    ///
    /// let request = http::Request::get("/services/shop-api/stock?sku=7")
    ///     .header("authorization", "Bearer s3cret")
    ///     .body(bytes::Bytes::new())?;
    /// let request = CallerRequest::parse(request).unwrap();
    /// let Call::Service(call) = &request.call else { panic!() };
    /// assert_eq!(call.entry, "shop-api");
    /// assert_eq!(call.target(), "/stock?sku=7");
    /// # Ok::<(), http::Error>(())
    /// ```
    pub fn parse(request: Request) -> Result<Self, ErrorResponse> {
        let key = parse_key(request.headers())?;
        let call = parse_call(&request)?;
        let idempotency_key = parse_idempotency_key(request.headers())?;
        let fingerprint = fingerprint(&call, request.body());
        let (parts, body) = request.into_parts();
        Ok(Self {
            key,
            call,
            idempotency_key,
            fingerprint,
            headers: forwarded_headers(&parts.headers),
            body,
        })
    }

    /// Returns the name of the called entry, or `None` for a list of models.
    #[must_use]
    pub fn entry(&self) -> Option<&str> {
        match &self.call {
            Call::ListModels => None,
            Call::Model(call) => Some(&call.entry),
            Call::Service(call) => Some(&call.entry),
        }
    }

    /// Returns the id of the called entry, or `None` for a list of models.
    #[must_use]
    pub fn entry_id(&self) -> Option<EntryId> {
        self.entry().map(EntryId::of)
    }
}

fn parse_call(request: &Request) -> Result<Call, ErrorResponse> {
    let path = request.uri().path();
    if let Some(rest) = path.strip_prefix(SERVICES_PREFIX) {
        return service_call(request, rest).map(Call::Service);
    }
    let (method, endpoint) = match path {
        "/v1/models" => (Method::GET, None),
        "/v1/chat/completions" => (Method::POST, Some(Endpoint::Chat)),
        "/v1/completions" => (Method::POST, Some(Endpoint::Text)),
        _ => return Err(refused(ErrorKind::UnknownPath, format!("no path {path}"))),
    };
    if *request.method() != method {
        let text = format!("{path} takes {method}, not {}", request.method());
        return Err(refused(ErrorKind::UnknownMethod, text));
    }
    match endpoint {
        Some(endpoint) => model_call(endpoint, request.body()).map(Call::Model),
        None => Ok(Call::ListModels),
    }
}

fn service_call(request: &Request, rest: &str) -> Result<ServiceCall, ErrorResponse> {
    let (entry, path) = rest.split_once('/').unwrap_or((rest, ""));
    if entry.is_empty() {
        let text = "the path names no service: /services/{entry}/...";
        return Err(refused(ErrorKind::UnknownPath, text));
    }
    Ok(ServiceCall {
        entry: entry.to_owned(),
        method: request.method().clone(),
        path: format!("/{path}"),
        query: request.uri().query().map(str::to_owned),
    })
}

fn model_call(endpoint: Endpoint, body: &[u8]) -> Result<ModelCall, ErrorResponse> {
    let body: CompletionBody = serde_json::from_slice(body)
        .map_err(|error| invalid(format!("the body is not a completion request: {error}")))?;
    let complete = match endpoint {
        Endpoint::Chat => body.has_messages(),
        Endpoint::Text => body.has_prompt(),
    };
    if !complete {
        let field = match endpoint {
            Endpoint::Chat => "messages",
            Endpoint::Text => "prompt",
        };
        return Err(invalid(format!(
            "the field \"{field}\" is missing or empty"
        )));
    }
    let prompt = body.prompt();
    Ok(ModelCall {
        endpoint,
        stream: body.stream.unwrap_or(false),
        max_tokens: body.max_completion_tokens.or(body.max_tokens),
        prefix: prefix_hashes(&prompt),
        prompt_tokens: estimate_tokens(&prompt),
        entry: body.model,
    })
}

fn parse_key(headers: &HeaderMap) -> Result<KeyHash, ErrorResponse> {
    let key = headers
        .get(AUTHORIZATION)
        .and_then(|value| bearer(value.as_bytes()));
    key.map(KeyHash::of).ok_or_else(|| {
        let text = "the header Authorization must be \"Bearer\" and a key";
        refused(ErrorKind::Unauthorised, text)
    })
}

/// Returns the token of an `Authorization` header with the scheme `Bearer`.
pub(crate) fn bearer(value: &[u8]) -> Option<&str> {
    let (scheme, token) = std::str::from_utf8(value).ok()?.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, ErrorResponse> {
    let mut values = headers.get_all("idempotency-key").iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let key = value.to_str().ok().and_then(IdempotencyKey::new);
    match (key, values.next()) {
        (Some(key), None) => Ok(Some(key)),
        _ => Err(invalid(
            "the header Idempotency-Key must be one key of 1 to 255 visible characters",
        )),
    }
}

fn fingerprint(call: &Call, body: &[u8]) -> u64 {
    match call {
        Call::ListModels => 0,
        Call::Model(_) => xxh3_64(body),
        Call::Service(call) => {
            let mut hash = Xxh3::new();
            hash.update(call.method.as_str().as_bytes());
            hash.update(b" ");
            hash.update(call.target().as_bytes());
            hash.update(b"\n");
            hash.update(body);
            hash.digest()
        }
    }
}

/// Returns the headers to forward: all but hop-by-hop headers, the bearer key and the names that
/// only nodes may set.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    let named: Vec<String> = connection_options(headers);
    for (name, value) in headers {
        let reserved = name.as_str().starts_with("x-tanagerhub-") || *name == "last-event-id";
        let dropped = reserved
            || *name == AUTHORIZATION
            || is_hop_by_hop(name)
            || named
                .iter()
                .any(|option| option.eq_ignore_ascii_case(name.as_str()));
        if !dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Returns the header names that the caller lists in `Connection`, which makes them hop-by-hop.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_owned())
        .collect()
}

fn invalid(text: impl Into<String>) -> ErrorResponse {
    refused(ErrorKind::InvalidRequest, text)
}

fn refused(kind: ErrorKind, text: impl Into<String>) -> ErrorResponse {
    ErrorResponse::new(kind, Outcome::NotRun, text)
}
