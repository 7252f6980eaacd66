//! The authentication key that all nodes share.

use std::fmt;
use std::str::FromStr;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The minimum length of a key.
const MIN_KEY_BYTES: usize = 16;
/// The length of the truncated message authentication code on the wire.
pub(crate) const MAC_BYTES: usize = 16;

/// A key for HMAC-SHA256 that all nodes share; its `Debug` output doesn't show it.
///
/// # Examples
///
/// ```
/// use tanagerhub_wire::peers::PeerKey;
///
/// assert!("correct horse battery staple".parse::<PeerKey>().is_ok());
/// assert!("short".parse::<PeerKey>().is_err());
/// ```
#[derive(Clone)]
pub struct PeerKey(Hmac<Sha256>);

/// The error of a key that is too short to be safe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the peer key has {length} bytes; at least {MIN_KEY_BYTES} are needed")]
pub struct PeerKeyError {
    length: usize,
}

impl FromStr for PeerKey {
    type Err = PeerKeyError;

    fn from_str(text: &str) -> Result<Self, PeerKeyError> {
        let short = PeerKeyError { length: text.len() };
        if text.len() < MIN_KEY_BYTES {
            return Err(short);
        }
        Hmac::new_from_slice(text.as_bytes())
            .map(Self)
            .map_err(|_invalid_length| short)
    }
}

impl PeerKey {
    /// Returns the authentication code of `message` in this `context`.
    pub(crate) fn sign(&self, context: &[u8], message: &[u8]) -> [u8; MAC_BYTES] {
        let full = self.mac(context, message).finalize().into_bytes();
        let mut short = [0; MAC_BYTES];
        short.copy_from_slice(&full[..MAC_BYTES]);
        short
    }

    /// Returns whether `code` authenticates `message` in this `context`. The comparison takes
    /// constant time.
    pub(crate) fn verify(&self, context: &[u8], message: &[u8], code: &[u8]) -> bool {
        let mac = self.mac(context, message);
        code.len() == MAC_BYTES && mac.verify_truncated_left(code).is_ok()
    }

    fn mac(&self, context: &[u8], message: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(&context.len().to_le_bytes());
        mac.update(context);
        mac.update(message);
        mac
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}
