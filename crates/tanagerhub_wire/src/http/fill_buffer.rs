//! Combines small reads of an encoder into larger writes.

use std::io;

use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncReadExt};

/// The minimum free space that the chunk encoder of `async-h1` needs.
const MIN_ENCODER_BYTES: usize = 64;

/// Fills `buffer` with the bytes that are ready, so that a head and its body are sent in one write.
///
/// Waits only for the first bytes. Returns the number of bytes read; zero at the end.
pub(crate) async fn fill_buffer<R>(reader: &mut R, buffer: &mut [u8]) -> io::Result<usize>
where
    R: AsyncRead + Unpin,
{
    let mut filled = reader.read(buffer).await?;
    while filled > 0 && buffer.len() - filled >= MIN_ENCODER_BYTES {
        match future::poll_once(reader.read(&mut buffer[filled..])).await {
            // The next read returns the error again, after these bytes have been written.
            None | Some(Ok(0) | Err(_)) => break,
            Some(Ok(count)) => filled += count,
        }
    }
    Ok(filled)
}
