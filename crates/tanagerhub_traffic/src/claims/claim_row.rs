//! Key and encoding of a claim row in the table.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tanagerhub_catalogue::{BootId, OrganisationId, RequestId};
use tanagerhub_table::{RowKey, Sections, decode_value, encode_value};

use crate::Outcome;

/// Prefix of the keys of all claim rows.
pub const CLAIM_PREFIX: &str = "claim/";

/// Returns the key of the claim row for an organisation's idempotency key.
///
/// The key contains a hash of both, so its length does not depend on the idempotency key.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::OrganisationId;
/// use tanagerhub_traffic::claim_key;
///
/// let key = claim_key(OrganisationId::of("shop"), "return-17");
/// assert!(key.as_str().starts_with("claim/"));
/// assert_ne!(key, claim_key(OrganisationId::of("hire"), "return-17"));
/// ```
#[must_use]
pub fn claim_key(organisation: OrganisationId, key: &str) -> RowKey {
    let mut hash = Sha256::new();
    hash.update(organisation.0.to_be_bytes());
    hash.update(key.as_bytes());
    let digest = hash.finalize();
    let mut name = String::with_capacity(CLAIM_PREFIX.len() + 2 * NAME_BYTES);
    name.push_str(CLAIM_PREFIX);
    for byte in &digest[..NAME_BYTES] {
        name.push(hex_digit(byte >> 4));
        name.push(hex_digit(byte & 0xf));
    }
    RowKey::new(name)
}

/// Number of hash bytes in a row key.
const NAME_BYTES: usize = 20;

fn hex_digit(value: u8) -> char {
    char::from_digit(u32::from(value), 16).unwrap_or('0')
}

/// The value of a claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Hash of the request's method, path and body.
    pub body_hash: u64,
    /// Boot id of the node that holds the claim.
    pub boot: BootId,
    /// The request for which the claim was written.
    pub request: RequestId,
    /// Wall time of the write in seconds; used only to expire old rows.
    pub wall_s: u64,
    /// Result of the request; `None` until it is recorded.
    pub result: Option<ClaimResult>,
}

/// The recorded result of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimResult {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The response; `None` if there was none or its body was too large to record.
    pub response: Option<RecordedResponse>,
}

/// A response recorded to be replayed to a caller that repeats the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Response body, complete.
    pub body: Vec<u8>,
}

impl ClaimRow {
    /// Encodes the row's value.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode_value(self, &Sections::default())
    }

    /// Decodes a row's value; returns `None` if it is not an encoded claim.
    #[must_use]
    pub fn decode(content: &[u8]) -> Option<Self> {
        decode_value(content).ok().map(|(row, _)| row)
    }

    /// Returns whether the row is at least `lifetime_s` seconds of wall time old.
    #[must_use]
    pub const fn is_expired(&self, wall_s: u64, lifetime_s: u64) -> bool {
        wall_s.saturating_sub(self.wall_s) >= lifetime_s
    }
}
