//! Strict validation of message heads before `async-h1` parses them.

use ::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use httparse::{EMPTY_HEADER, Header, Status};

/// The maximum number of headers of a message.
const MAX_HEADERS: usize = 100;

/// How the body of a message is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The message has neither `Content-Length` nor chunked encoding.
    None,
    /// `Content-Length`, in bytes.
    Length(u64),
    /// Chunked transfer encoding.
    Chunked,
}

/// Why a head is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum HeadError {
    #[error("the head can't be read: {0}")]
    Malformed(String),
    #[error("the header Host is missing")]
    MissingHost,
    #[error("there is more than one Host")]
    DuplicateHost,
    #[error("HTTP/1.{0} is not supported, use HTTP/1.1")]
    UnsupportedVersion(u8),
    #[error("the Content-Length headers differ")]
    ConflictingLengths,
    #[error("the Content-Length \"{0}\" is not a number")]
    InvalidLength(String),
    #[error("Content-Length and Transfer-Encoding exclude each other")]
    LengthAndEncoding,
    #[error("the Transfer-Encoding \"{0}\" is not supported, use chunked")]
    UnsupportedEncoding(String),
    #[error("the header {0} has bytes outside ASCII")]
    NotAscii(String),
    #[error("the method {0} is not supported")]
    UnsupportedMethod(String),
    #[error("the target \"{0}\" is not a path")]
    InvalidTarget(String),
}

impl HeadError {
    /// Returns the status of the response to the caller.
    pub(crate) const fn status(&self) -> StatusCode {
        match self {
            Self::UnsupportedVersion(_) => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Self::UnsupportedMethod(_) => StatusCode::NOT_IMPLEMENTED,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// The properties of a request that the server needs before `async-h1` reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestHead {
    /// How the body is delimited.
    pub(crate) framing: Framing,
    /// Whether the caller requests that the connection be closed after the response.
    pub(crate) close: bool,
}

impl RequestHead {
    /// Parses and validates a complete head.
    pub(crate) fn check(head: &[u8]) -> Result<Self, HeadError> {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let parsed = request.parse(head).map_err(malformed)?;
        check_complete(parsed, head.len())?;
        check_version(request.version)?;
        check_method(request.method.unwrap_or_default())?;
        check_target(request.path.unwrap_or_default())?;
        check_ascii(request.headers)?;
        check_host(request.headers)?;
        Ok(Self {
            framing: framing(request.headers)?,
            close: requests_close(request.headers),
        })
    }
}

/// The properties of a response that the client needs before `async-h1` reads it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ResponseHead {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// All headers, including the hop-by-hop ones.
    pub(crate) headers: HeaderMap,
    /// How the body is delimited.
    pub(crate) framing: Framing,
    /// Whether the backend server closes the connection after the response.
    pub(crate) close: bool,
}

impl ResponseHead {
    /// Parses and validates a complete head.
    pub(crate) fn check(head: &[u8]) -> Result<Self, HeadError> {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(head).map_err(malformed)?;
        check_complete(parsed, head.len())?;
        check_version(response.version)?;
        check_ascii(response.headers)?;
        Ok(Self {
            status: status(response.code)?,
            headers: header_map(response.headers)?,
            framing: framing(response.headers)?,
            close: requests_close(response.headers),
        })
    }
}

/// Returns the length of the head at the start of `bytes`, or `None` while it is incomplete.
///
/// The search starts at `from`, so that a head that arrives in small pieces isn't searched from its
/// start each time.
pub(crate) fn head_length(bytes: &[u8], from: usize) -> Option<usize> {
    let start = from.saturating_sub(3);
    bytes
        .get(start..)?
        .windows(4)
        .position(|end| end == b"\r\n\r\n")
        .map(|position| start + position + 4)
}

fn malformed(error: httparse::Error) -> HeadError {
    HeadError::Malformed(error.to_string())
}

fn check_complete(status: Status<usize>, length: usize) -> Result<(), HeadError> {
    if status == Status::Complete(length) {
        return Ok(());
    }
    Err(HeadError::Malformed("it ends early".to_owned()))
}

const fn check_version(version: Option<u8>) -> Result<(), HeadError> {
    match version {
        Some(1) => Ok(()),
        Some(other) => Err(HeadError::UnsupportedVersion(other)),
        None => Err(HeadError::UnsupportedVersion(0)),
    }
}

fn check_method(method: &str) -> Result<(), HeadError> {
    match method.parse::<http_types::Method>() {
        Ok(http_types::Method::Connect) | Err(_) => {
            Err(HeadError::UnsupportedMethod(method.to_owned()))
        }
        Ok(_) => Ok(()),
    }
}

fn check_target(target: &str) -> Result<(), HeadError> {
    if target.starts_with('/') && target.is_ascii() {
        return Ok(());
    }
    Err(HeadError::InvalidTarget(
        target.escape_default().to_string(),
    ))
}

fn check_ascii(headers: &[Header<'_>]) -> Result<(), HeadError> {
    match headers.iter().find(|header| !header.value.is_ascii()) {
        Some(header) => Err(HeadError::NotAscii(header.name.to_owned())),
        None => Ok(()),
    }
}

fn check_host(headers: &[Header<'_>]) -> Result<(), HeadError> {
    match values(headers, "host").count() {
        0 => Err(HeadError::MissingHost),
        1 => Ok(()),
        _ => Err(HeadError::DuplicateHost),
    }
}

fn framing(headers: &[Header<'_>]) -> Result<Framing, HeadError> {
    let length = content_length(headers)?;
    let mut encodings = values(headers, "transfer-encoding");
    match (length, encodings.next(), encodings.next()) {
        (None, None, _) => Ok(Framing::None),
        (Some(length), None, _) => Ok(Framing::Length(length)),
        (Some(_), Some(_), _) => Err(HeadError::LengthAndEncoding),
        (None, Some(one), None) if one.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (None, Some(other), _) => Err(HeadError::UnsupportedEncoding(other.to_owned())),
    }
}

fn content_length(headers: &[Header<'_>]) -> Result<Option<u64>, HeadError> {
    let mut found = None;
    for value in values(headers, "content-length") {
        let length = parse_digits(value)?;
        if found.is_some_and(|earlier| earlier != length) {
            return Err(HeadError::ConflictingLengths);
        }
        found = Some(length);
    }
    Ok(found)
}

/// Parses a number of digits only; `u64::from_str` would accept a plus sign.
fn parse_digits(value: &str) -> Result<u64, HeadError> {
    let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    digits
        .then(|| value.parse().ok())
        .flatten()
        .ok_or_else(|| HeadError::InvalidLength(value.to_owned()))
}

fn status(code: Option<u16>) -> Result<StatusCode, HeadError> {
    let status = StatusCode::from_u16(code.unwrap_or_default());
    status.map_err(|error| HeadError::Malformed(error.to_string()))
}

fn header_map(headers: &[Header<'_>]) -> Result<HeaderMap, HeadError> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let name = name.map_err(|error| HeadError::Malformed(error.to_string()))?;
        let value = HeaderValue::from_bytes(header.value);
        let value = value.map_err(|error| HeadError::Malformed(error.to_string()))?;
        map.append(name, value);
    }
    Ok(map)
}

fn requests_close(headers: &[Header<'_>]) -> bool {
    values(headers, "connection")
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}

fn values<'a>(headers: &'a [Header<'a>], name: &'a str) -> impl Iterator<Item = &'a str> {
    headers
        .iter()
        .filter(move |header| header.name.eq_ignore_ascii_case(name))
        .map(|header| std::str::from_utf8(header.value).unwrap_or_default().trim())
}
