//! Between the types of `async-h1` and the standard ones.

use std::io;

use ::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use bytes::Bytes;
use http_types::Body;

use crate::http::{Request, Response, ResponseBody};

/// Headers that speak of one connection only.
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

/// Whether a header must not be passed on to the next hop.
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(&name.as_str())
}

/// Makes a standard request; `None` when a part of it is not valid.
pub(crate) fn request(head: &http_types::Request, body: Bytes) -> Option<Request> {
    let url = head.url();
    let target = &url[http_types::url::Position::BeforePath..http_types::url::Position::AfterQuery];
    let mut request = Request::new(body);
    *request.method_mut() = Method::from_bytes(head.method().as_ref().as_bytes()).ok()?;
    *request.uri_mut() = target.parse().ok()?;
    *request.headers_mut() = headers(head.iter())?;
    Some(request)
}

/// Makes standard headers; `None` when one of them is not valid.
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

/// Makes an answer for `async-h1`.
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
    // A chunked body would be taken for the next answer after these.
    let bodiless = matches!(
        parts.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    if !bodiless {
        response.set_body(self::body(body));
    }
    Ok(response)
}

/// Appends a header, where `async-h1` itself would panic at bytes outside ASCII.
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
