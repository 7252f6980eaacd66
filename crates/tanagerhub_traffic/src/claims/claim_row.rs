//! A claim as the table holds it.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tanagerhub_catalogue::{BootId, OrganisationId, RequestId};
use tanagerhub_table::RowKey;

use crate::Outcome;

/// The start of the names of claim rows.
pub const CLAIM_PREFIX: &str = "claim/";

/// The name of the row of one organisation's idempotency key.
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

/// Bytes of the hash that go into a row's name.
const NAME_BYTES: usize = 20;

fn hex_digit(value: u8) -> char {
    char::from_digit(u32::from(value), 16).unwrap_or('0')
}

/// The content of a claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Hash of the request's method, path and body.
    pub body_hash: u64,
    /// The start of the node that holds the claim.
    pub boot: BootId,
    /// The request that was claimed first.
    pub request: RequestId,
    /// Seconds of wall time at the claim; used only to remove old rows.
    pub wall_s: u64,
    /// What became of it; `None` until that is recorded.
    pub result: Option<ClaimResult>,
}

/// The recorded end of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimResult {
    /// Whether it ran.
    pub outcome: Outcome,
    /// The answer, unless it was too large to keep or there was none.
    pub response: Option<RecordedResponse>,
}

/// An answer kept for a caller who asks again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

impl ClaimRow {
    /// Encodes the row's content.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Encoding plain data into memory has no way to fail.
        bincode::serde::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }

    /// Decodes a row's content; `None` when it is not a claim.
    #[must_use]
    pub fn decode(content: &[u8]) -> Option<Self> {
        let (row, used) =
            bincode::serde::decode_from_slice(content, bincode::config::standard()).ok()?;
        (used == content.len()).then_some(row)
    }

    /// Whether the row is older than `lifetime_s` seconds of wall time.
    #[must_use]
    pub const fn is_expired(&self, wall_s: u64, lifetime_s: u64) -> bool {
        wall_s.saturating_sub(self.wall_s) >= lifetime_s
    }
}
