//! Content-addressed names of stored objects.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::serde_as;
use sha2::{Digest, Sha256};

/// The name of an object: the SHA-256 hash of its content.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectName(#[serde_as(as = "Hex")] [u8; 32]);

impl ObjectName {
    /// Returns the name of an object with this content.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }
}

impl fmt::Display for ObjectName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl From<[u8; 32]> for ObjectName {
    /// Creates a name from a SHA-256 hash that was computed elsewhere.
    fn from(hash: [u8; 32]) -> Self {
        Self(hash)
    }
}
