//! The authenticated frame of every message between nodes.

use std::fmt::Display;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tanagerhub_catalogue::BootId;
use tanagerhub_membership::PROTOCOL;

use crate::peers::PeerKey;
use crate::peers::peer_key::MAC_BYTES;

/// The maximum length of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 4_096;
/// The maximum length of a request or response over HTTP/2.
pub const MAX_FRAME_BYTES: usize = 8 * 1_024 * 1_024;
/// The length of protocol version, boot id and sequence number.
const HEADER_BYTES: usize = 18;

#[cfg(test)]
mod tests;

/// A message with its sender's boot id and sequence number.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::BootId;
/// use tanagerhub_wire::peers::{Frame, MAX_DATAGRAM_BYTES, PeerKey};
///
/// let key: PeerKey = "correct horse battery staple".parse()?;
/// let frame = Frame { boot: BootId(4), sequence: 1, body: "hello".to_owned() };
/// let bytes = frame.seal(&key, b"", MAX_DATAGRAM_BYTES)?;
/// assert_eq!(Frame::<String>::open(&bytes, &key, b"", MAX_DATAGRAM_BYTES)?.body, "hello");
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame<T> {
    /// The sender's boot id.
    pub boot: BootId,
    /// The sequence number, which increases with each message of the boot.
    pub sequence: u64,
    /// The content of the message.
    pub body: T,
}

/// Why a message is dropped, or not sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The message is longer than allowed.
    #[error("the message has {length} bytes; at most {limit} are allowed")]
    Oversized {
        /// The length of the message, in bytes.
        length: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The authentication code is not valid for the shared key.
    #[error("the message is not authenticated with the shared key")]
    Unauthenticated,
    /// The message has another protocol version.
    #[error("the message has protocol version {version}; this node uses {PROTOCOL}")]
    Version {
        /// The protocol version of the message.
        version: u16,
    },
    /// The message is authentic but can't be decoded.
    #[error("the message is malformed: {reason}")]
    Malformed {
        /// The error of the decoder.
        reason: String,
    },
}

impl<T: Serialize> Frame<T> {
    /// Encodes and authenticates the message.
    ///
    /// [`Self::open`] accepts it only with the same `context`.
    ///
    /// # Errors
    ///
    /// Returns an error when the message can't be encoded or is longer than `limit` bytes.
    pub fn seal(&self, key: &PeerKey, context: &[u8], limit: usize) -> Result<Vec<u8>, FrameError> {
        self.seal_as(PROTOCOL, key, context, limit)
    }

    fn seal_as(
        &self,
        version: u16,
        key: &PeerKey,
        context: &[u8],
        limit: usize,
    ) -> Result<Vec<u8>, FrameError> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + MAC_BYTES);
        bytes.extend(version.to_le_bytes());
        bytes.extend(self.boot.0.to_le_bytes());
        bytes.extend(self.sequence.to_le_bytes());
        let config = bincode::config::standard();
        bincode::serde::encode_into_std_write(&self.body, &mut bytes, config).map_err(malformed)?;
        let code = key.sign(context, &bytes);
        bytes.extend(code);
        check_length(bytes.len(), limit)?;
        Ok(bytes)
    }
}

impl<T: DeserializeOwned> Frame<T> {
    /// Authenticates and decodes a message.
    ///
    /// # Errors
    ///
    /// Returns an error when the message is longer than `limit` bytes, is not authentic in this
    /// `context`, has another protocol version or can't be decoded. It must then be dropped.
    pub fn open(
        bytes: &[u8],
        key: &PeerKey,
        context: &[u8],
        limit: usize,
    ) -> Result<Self, FrameError> {
        check_length(bytes.len(), limit)?;
        let split = bytes.len().checked_sub(MAC_BYTES);
        let split = split.filter(|at| *at >= HEADER_BYTES);
        let (signed, code) = bytes.split_at(split.ok_or(FrameError::Unauthenticated)?);
        if !key.verify(context, signed, code) {
            return Err(FrameError::Unauthenticated);
        }
        let version = u16::from_le_bytes([signed[0], signed[1]]);
        if version != PROTOCOL {
            return Err(FrameError::Version { version });
        }
        let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
        let payload = &signed[HEADER_BYTES..];
        let (body, used) = bincode::serde::decode_from_slice(payload, config).map_err(malformed)?;
        if used != payload.len() {
            return Err(malformed("bytes are left after the content"));
        }
        Ok(Self {
            boot: BootId(number(&signed[2..10])),
            sequence: number(&signed[10..HEADER_BYTES]),
            body,
        })
    }
}

fn check_length(length: usize, limit: usize) -> Result<(), FrameError> {
    if length > limit {
        return Err(FrameError::Oversized { length, limit });
    }
    Ok(())
}

fn malformed(reason: impl Display) -> FrameError {
    FrameError::Malformed {
        reason: reason.to_string(),
    }
}

/// Reads a little-endian number of eight bytes.
fn number(bytes: &[u8]) -> u64 {
    let mut copy = [0; 8];
    copy.copy_from_slice(bytes);
    u64::from_le_bytes(copy)
}
