//! Hop-by-hop headers, which apply to a single connection.

use http::HeaderMap;
use http::header::{
    CONNECTION, HeaderName, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes hop-by-hop headers, including those listed in `Connection`.
///
/// # Examples
///
/// ```
/// use http::HeaderMap;
/// use tanagerhub_proxy::strip_hop_headers;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", "x-hop".parse().unwrap());
/// headers.insert("x-hop", "1".parse().unwrap());
/// headers.insert("host", "shop.example".parse().unwrap());
/// strip_hop_headers(&mut headers);
/// assert_eq!(headers.len(), 1);
/// ```
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    // The options `close` and `keep-alive` are no header names, but removing headers with these
    // names does no harm, because no such header has to be forwarded.
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .flat_map(|value| value.as_bytes().split(|byte| *byte == b','))
        .filter_map(|option| HeaderName::from_bytes(option.trim_ascii()).ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
