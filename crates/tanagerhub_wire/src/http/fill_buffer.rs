//! Fewer, larger writes.

use std::io;

use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncReadExt};

/// The least room that the chunk encoder of `async-h1` needs, in bytes.
const MIN_ENCODER_BYTES: usize = 64;

/// Fills `block` with what is ready, so that a head and its body go out in one write.
///
/// Waits for the first bytes only. Returns their number; zero at the end.
pub(crate) async fn fill_buffer<R>(reader: &mut R, buffer: &mut [u8]) -> io::Result<usize>
where
    R: AsyncRead + Unpin,
{
    let mut filled = reader.read(buffer).await?;
    while filled > 0 && buffer.len() - filled >= MIN_ENCODER_BYTES {
        match future::poll_once(reader.read(&mut buffer[filled..])).await {
            // An error comes again at the next read, after these bytes.
            None | Some(Ok(0) | Err(_)) => break,
            Some(Ok(count)) => filled += count,
        }
    }
    Ok(filled)
}
