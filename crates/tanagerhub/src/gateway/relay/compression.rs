//! Compression of relayed pages.
//!
//! A configuration of many routes has tens of kilobytes, and a node passes each version of it on to
//! several peers. Uncompressed, a series of changes fills a narrow link, on which datagrams between
//! nodes are then late or lost.

use std::io::{self, Read as _, Write as _};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use http::HeaderMap;
use http::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderName, HeaderValue};

/// The content coding, as HTTP names it.
const CODING: &str = "deflate";
/// The size from which on a body is compressed. Smaller ones fit into one packet.
const MIN_BYTES: usize = 1 << 10;

/// The header of a query whose response may be compressed.
///
/// Nodes of a build that doesn't know it send the response as it is.
pub(super) const fn accept_header() -> (HeaderName, HeaderValue) {
    (ACCEPT_ENCODING, HeaderValue::from_static(CODING))
}

/// The header of a compressed response.
pub(super) const fn content_header() -> (HeaderName, HeaderValue) {
    (CONTENT_ENCODING, HeaderValue::from_static(CODING))
}

/// Whether the sender of a query accepts a compressed response.
pub(super) fn is_accepted(headers: &HeaderMap) -> bool {
    headers.get(ACCEPT_ENCODING).is_some_and(|it| it == CODING)
}

/// Whether a response is compressed.
pub(super) fn is_compressed(headers: &HeaderMap) -> bool {
    headers.get(CONTENT_ENCODING).is_some_and(|it| it == CODING)
}

/// Returns the compressed body; `None` if the body is too small to gain from it.
pub(super) fn compress(body: &[u8]) -> Option<Vec<u8>> {
    if body.len() < MIN_BYTES {
        return None;
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(body).ok()?;
    let compressed = encoder.finish().ok()?;
    (compressed.len() < body.len()).then_some(compressed)
}

/// Returns the body, which may have at most `max_bytes`.
pub(super) fn decompress(compressed: &[u8], max_bytes: usize) -> io::Result<Vec<u8>> {
    let limit = u64::try_from(max_bytes).unwrap_or(u64::MAX);
    let mut body = Vec::new();
    let mut decoder = ZlibDecoder::new(compressed).take(limit.saturating_add(1));
    decoder.read_to_end(&mut body)?;
    if body.len() > max_bytes {
        return Err(io::Error::other(format!("over {max_bytes} bytes")));
    }
    Ok(body)
}
