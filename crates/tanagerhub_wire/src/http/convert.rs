//! Conversion between the types of `async-h1` and those of the `http` crate.

use std::io;

use ::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use bytes::Bytes;
use http_types::Body;

use crate::http::{Request, Response, ResponseBody};

/// Headers that apply to a single connection, and those that each hop sets itself.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header must not be forwarded to the next hop.
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(&name.as_str())
}

/// Converts a request; `None` when its method, target or a header is invalid.
pub(crate) fn request(head: &http_types::Request, body: Bytes) -> Option<Request> {
    let url = head.url();
    let target = &url[http_types::url::Position::BeforePath..http_types::url::Position::AfterQuery];
    let mut request = Request::new(body);
    *request.method_mut() = Method::from_bytes(head.method().as_ref().as_bytes()).ok()?;
    *request.uri_mut() = target.parse().ok()?;
    *request.headers_mut() = headers(head.iter())?;
    Some(request)
}

/// Converts headers; `None` when one of them is invalid.
fn headers(from: http_types::headers::Iter<'_>) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    for (name, values) in from {
        let name = HeaderName::from_bytes(name.as_str().as_bytes()).ok()?;
        for value in values {
            let value = HeaderValue::from_str(value.as_str()).ok()?;
            headers.append(name.clone(), value);
        }
    }
    Some(headers)
}

/// Converts a response, with `Connection: close` if `close` is set.
pub(crate) fn response(response: Response, close: bool) -> io::Result<http_types::Response> {
    let (parts, body) = response.into_parts();
    let mut response = http_types::Response::new(status(parts.status));
    for (name, value) in &parts.headers {
        if !is_hop_by_hop(name) {
            append_header(&mut response, name, value)?;
        }
    }
    if close {
        response.insert_header("connection", "close");
    }
    // The caller would read a chunked body after these statuses as the next response.
    let bodiless = matches!(
        parts.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    if !bodiless {
        response.set_body(self::body(body));
    }
    Ok(response)
}

/// Appends a header.
///
/// Returns an error for a value outside ASCII, for which `async-h1` itself would panic.
pub(crate) fn append_header(
    to: &mut impl AsMut<http_types::Headers>,
    name: &HeaderName,
    value: &HeaderValue,
) -> io::Result<()> {
    let value = http_types::headers::HeaderValue::from_bytes(value.as_bytes().to_vec());
    let value = value.map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
    to.as_mut().append(name.as_str(), value);
    Ok(())
}

fn body(body: ResponseBody) -> Body {
    match body {
        ResponseBody::Complete(bytes) => {
            let length = bytes.len();
            Body::from_reader(futures_lite::io::Cursor::new(bytes), Some(length))
        }
        ResponseBody::Stream(reader) => Body::from_reader(reader, None),
    }
}

fn status(code: StatusCode) -> http_types::StatusCode {
    http_types::StatusCode::try_from(code.as_u16())
        .unwrap_or(http_types::StatusCode::InternalServerError)
}
