//! Removal of hop-by-hop headers.

use http::{HeaderMap, HeaderName, HeaderValue};
use tanagerhub_proxy::strip_hop_headers;
use yare::parameterized;

#[parameterized(
    one = { &["x-hop, x-other"] },
    several = { &["x-hop", "x-other"] },
    close_first = { &["close", "x-hop , X-Other"] },
    not_ascii_first = { &["x-\u{fc}", "x-hop,x-other"] },
    not_ascii_beside = { &["x-\u{fc}, x-hop, x-other"] },
    empty_options = { &[",,x-hop", "x-other,"] },
)]
fn strip_named_headers(connection: &[&str]) {
    let mut headers = HeaderMap::new();
    for value in connection {
        let value = HeaderValue::from_bytes(value.as_bytes()).unwrap();
        headers.append(http::header::CONNECTION, value);
    }
    for name in ["x-hop", "x-other", "keep-alive", "te", "x-kept"] {
        let name = HeaderName::from_static(name);
        headers.append(&name, HeaderValue::from_static("1"));
        headers.append(&name, HeaderValue::from_static("2"));
    }
    strip_hop_headers(&mut headers);
    assert_eq!(headers.keys().collect::<Vec<_>>(), ["x-kept"]);
    assert_eq!(headers.len(), 2);
}
