//! Organisations with their keys and limits.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::serde_as;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{OrganisationId, PerSecond};

/// An organisation that calls catalogue entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The name, unique in the catalogue.
    pub name: String,
    /// Its share of an entry under load, relative to the weights of the other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Hashes of the bearer keys that authenticate its requests.
    #[serde(default)]
    pub keys: Vec<KeyHash>,
    /// Its limits, over all nodes together.
    #[serde(default)]
    pub limits: OrganisationLimits,
}

impl Organisation {
    /// Returns the id computed from the organisation's name.
    #[must_use]
    pub fn id(&self) -> OrganisationId {
        OrganisationId::of(&self.name)
    }
}

const fn default_weight() -> u32 {
    1
}

/// Limits of an organisation, over all nodes together; `None` sets no limit.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrganisationLimits {
    /// Maximum rate of requests.
    pub requests: Option<PerSecond>,
    /// Maximum rate of tokens, prompt and response together.
    pub tokens: Option<PerSecond>,
    /// Maximum number of requests in flight.
    pub concurrency: Option<u32>,
}

/// The SHA-256 hash of a bearer key.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::KeyHash;
///
/// let hash = KeyHash::of("s3cret");
/// assert!(hash.matches(&KeyHash::of("s3cret")));
/// assert!(!hash.matches(&KeyHash::of("guess")));
/// ```
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(#[serde_as(as = "Hex")] [u8; 32]);

impl KeyHash {
    /// Returns the hash of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Compares two hashes in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}
